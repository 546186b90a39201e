package receiver

import (
	"net/http"
	"time"

	"daisylane/internal/registrar"
	"daisylane/internal/reporter"
)

// Results of streams that callers take up, as in metrics.
const (
	takeUpKnown   = "known"
	takeUpUnknown = "unknown"
	takeUpGone    = "gone"
)

// resumable reports whether the response is a stream that may be gone on with at another
// target.
func (j *job) resumable() bool { return j.route.Resumable }

// takesUp reports whether the caller takes up a stream that has begun.
func (j *job) takesUp() bool { return j.resumable() && j.meta.LastEventID != "" }

// mayBeTurnedAway reports whether the request may be refused because targets are
// overloaded. What was done for a stream that is taken up would be in vain.
func (j *job) mayBeTurnedAway() bool { return j.sends == 0 && !j.takesUp() }

// findOrigin restricts the targets to those whose software version fits the stream. It
// returns false if it refused the request.
func (j *job) findOrigin() bool {
	if !j.resumable() {
		return true
	}
	if !j.takesUp() {
		j.versions = j.r.streams.Versions(j.req.Context(), j.service.Name)
		return true
	}
	wait := min(max(minOriginWait, time.Duration(originWaitShare*float64(j.route.LatencyTarget))), time.Until(j.deadline)/3)
	o, err := j.r.streams.Origin(j.req.Context(), j.service.Name, j.meta.FirstAttempt, wait)
	if err != nil {
		j.summary.failure = err
		j.countTakeUp(takeUpUnknown)
		return j.refuse(http.StatusServiceUnavailable, VersionUnknown, jitter(meanRetryDelay))
	}
	return j.useOrigin(o)
}

// useOrigin makes the stream go on where it began. It returns false if it refused the
// request.
func (j *job) useOrigin(o registrar.Origin) bool {
	j.summary.origin = o.Version
	service, ok := j.table.Service(o.Service)
	if ok = ok && j.route.Uses(o.Service); ok {
		j.service, j.placesTable = service, nil
		if !j.checkPlaces(service) {
			return false
		}
	}
	if !ok || !j.r.dispatcher.Serves(service, j.allowedPlaces(), o.Version) {
		j.countTakeUp(takeUpGone)
		return j.refuse(http.StatusServiceUnavailable, VersionGone, jitter(versionGoneDelay))
	}
	j.countTakeUp(takeUpKnown)
	j.versions, j.origin = []string{o.Version}, o
	j.r.streams.Begin(j.meta.FirstAttempt, o)
	return true
}

func (j *job) countTakeUp(result string) { j.incCounter(reporter.TakeUps, "result", result, 1) }

// fixOrigin records where the stream begins. It is called before the request is sent, so
// that the origin is mostly stored when the first event is delivered. Later attempts have
// the same version, because the note of another one may be stored already.
func (j *job) fixOrigin(chosen ChosenTarget) {
	if !j.resumable() || j.origin.Service != "" {
		return
	}
	j.origin = registrar.Origin{Service: j.service.Name, Version: chosen.Target.Version}
	j.versions = []string{j.origin.Version}
	j.r.streams.Begin(j.meta.ID, j.origin)
}

// endOrigin records how the stream has ended. One without an event can't be taken up.
func (j *job) endOrigin() {
	switch {
	case j.origin.Service == "":
	case j.takesUp():
		j.r.streams.End(j.meta.FirstAttempt, j.summary.cause != Complete)
	default:
		j.r.streams.End(j.meta.ID, j.stream.events > 0 && j.summary.cause != Complete)
	}
}
