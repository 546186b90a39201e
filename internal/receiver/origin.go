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

// isBound reports whether the caller has events of the stream, so that it may go on only at a
// target whose version is certain.
func (j *job) isBound() bool { return j.resumable() && (j.takesUp() || j.stream.events > 0) }

// fixOrigin records where the stream begins. It is called when there is a connection to the
// target, right before the request is sent, so that the origin is mostly stored when the first
// event is delivered. It returns false if the stream may not go on there. Later attempts have
// the same version, because the note of another one may be stored already.
func (j *job) fixOrigin(chosen ChosenTarget) bool {
	if !j.resumable() {
		return true
	}
	version := j.r.dispatcher.versionOf(chosen.Target)
	if version == replaced || j.isBound() {
		return version == certain
	}
	if version == certain {
		if !j.sentAt.IsZero() {
			j.r.unsure.remove(j.meta.ID)
		}
		j.sentAt = time.Time{}
		j.setOrigin(chosen.Target.Version)
		return true
	}
	j.sentAt, j.origin = time.Now(), registrar.UnknownOrigin(j.service.Name)
	j.r.streams.Begin(j.meta.ID, j.origin)
	j.r.unsure.add(j.meta.ID, unsureStream{target: chosen.Target, sentAt: j.sentAt})
	j.r.countUnsure(unsureBegun)
	return true
}

// setOrigin records the version at which the stream has begun.
func (j *job) setOrigin(version string) {
	j.origin = registrar.Origin{Service: j.service.Name, Version: version}
	j.versions = []string{version}
	j.r.streams.Begin(j.meta.ID, j.origin)
}

// learnOrigin finds out at which version a stream has begun that broke off at a target whose
// version was uncertain when it was sent.
func (j *job) learnOrigin(chosen ChosenTarget) {
	if j.sentAt.IsZero() || j.stream.events == 0 {
		return
	}
	if version, ok := j.r.dispatcher.StartedBy(chosen.Target, j.sentAt); ok {
		j.r.unsure.remove(j.meta.ID)
		j.r.countUnsure(unsureKnown)
		j.sentAt = time.Time{}
		j.setOrigin(version)
	}
}

// mayGoOn reports whether it is known at which version the stream may go on, if the caller has
// events of it.
func (j *job) mayGoOn() bool { return j.sentAt.IsZero() || j.stream.events == 0 }

// endOrigin records how the stream has ended. One without an event can't be taken up.
func (j *job) endOrigin() {
	switch {
	case j.origin.Service == "":
	case j.takesUp():
		j.r.streams.End(j.meta.FirstAttempt, j.summary.cause != Complete)
	default:
		broken := j.stream.events > 0 && j.summary.cause != Complete
		j.r.streams.End(j.meta.ID, broken)
		if !j.sentAt.IsZero() {
			j.r.unsure.end(j.meta.ID, broken)
			if broken {
				j.r.countUnsure(unsureBroke)
			}
		}
	}
}
