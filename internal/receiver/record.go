package receiver

import (
	"fmt"
	"strconv"
	"time"

	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/retrier"
)

// clientFaults are the causes that any client can bring about as often as it likes.
var clientFaults = map[Cause]bool{
	Malformed: true, InvalidURI: true, NoRoute: true, UnknownKey: true,
	BodyTooLarge: true, BodyIncomplete: true, BodyTooSlow: true, NoMemory: true,
}

// recordOutcome logs the request and updates the metrics.
func (j *job) recordOutcome() {
	took := time.Since(j.arrived)
	name, account, service := "", "", ""
	if j.route != nil {
		name = j.route.Name
	}
	if j.account != nil {
		account = j.account.Name
	}
	if j.service != nil {
		service = j.service.Name
	}
	j.updateMetrics(service, took)
	if clientFaults[j.summary.cause] && !j.r.faultLines.Allow(j.r.log, time.Now()) {
		return
	}
	e := j.r.log.Info().Str("id", j.meta.ID).Str("route", name).Str("account", account).Str("service", service).
		Str("outcome", string(j.summary.cause)).Int("status", j.summary.status).Int64("took", took.Milliseconds())
	if j.table != nil {
		e.Int64("config", j.table.Version())
	}
	if j.reservation.Outcome != "" {
		e.Str("budget", string(j.reservation.Outcome)).Int64("lent", j.reservation.Borrowed).Int64("held", j.reservation.Granted).Int64("used", j.reservation.Used).
			Int64("limit", j.reservation.Limit).Int64("left", j.reservation.Remaining).Int64("asked", j.meta.PromptTokens+j.meta.MaxOutputTokens).
			Int64("ledgerage", j.reservation.Age.Milliseconds()).Int64("prepaid", j.account.PrepaidTokens).Int64("tokens", j.settledTokens)
	}
	if j.lastTarget.Target.ID != "" {
		load := j.lastTarget.Choice.Load
		e.Int64("pause", j.lastTarget.Choice.EventInterval.Milliseconds()).Int64("backlog", j.lastTarget.Choice.Backlog.Milliseconds()).Int64("standing", j.lastTarget.Choice.BacklogAge.Milliseconds()).Int("running", load.Running).Int("waiting", load.Waiting)
		if load.Slowness > 0 {
			e.Float64("slowness", load.Slowness)
		}
		if !load.At.IsZero() {
			e.Int64("loadage", j.lastTarget.ChosenAt.Sub(load.At).Milliseconds())
		}
		if j.service.Engine != nil {
			e.Int("priority", j.priority())
		}
		e.Str("version", j.lastTarget.Target.Version).Str("target", j.lastTarget.Target.ID).Str("addr", j.lastTarget.Target.Addr).Str("reason", j.lastTarget.Choice.Reason).
			Int64("expected", j.lastTarget.Choice.Wait.Milliseconds()).Int("sends", j.sends).Int("dials", j.dials).Int("events", j.stream.events)
	}
	if j.summary.exceeded {
		e.Bool("exceeded", true)
	}
	if j.summary.cause == Crashing {
		if j.quarantined.Key.Part != 0 {
			e.Str("part", partName(j.quarantined.Key.Part))
		}
		e.Stringer("fingerprint", j.quarantined.Fingerprint)
	}
	if j.places.Restricted() {
		e.Strs("regions", j.places.Regions())
	}
	if j.meta.FirstAttempt != "" {
		e.Str("resumes", j.meta.FirstAttempt).Str("after", j.meta.LastEventID).Str("origin", j.summary.origin)
	}
	if !j.summary.firstByteAt.IsZero() {
		e.Int64("first", j.summary.firstByteAt.Sub(j.arrived).Milliseconds())
	}
	if j.summary.failure != nil {
		e.Str("error", j.summary.failure.Error())
	}
	e.Msg("request")
}

// logFailedAttempt logs an attempt without a delivered response and counts its retry.
func (j *job) logFailedAttempt(res attemptResult, v retrier.Verdict) {
	e := j.r.log.Info().Str("id", j.meta.ID).Str("target", j.lastTarget.Target.ID).Str("addr", j.lastTarget.Target.Addr).Str("version", j.lastTarget.Target.Version).
		Str("reason", j.lastTarget.Choice.Reason).Int64("expected", j.lastTarget.Choice.Wait.Milliseconds()).
		Int("sends", j.sends).Int("dials", j.dials).Int("events", j.stream.events).
		Str("outcome", string(causeOf(res))).Int("status", res.status).Bool("repeat", v.Retry).Str("verdict", v.Reason).
		Int64("left", time.Until(j.deadline).Milliseconds())
	if res.outcome != retrier.NotRun {
		ids := quarantiner.Subject{Parts: j.sharedParts, Requests: j.identity()}.Fingerprints()
		e.Bool("crashed", res.crashed).Stringers("fingerprints", stringers(ids))
	}
	if len(j.meta.Parts) > 0 && res.outcome != retrier.NotRun {
		e.Strs("parts", partNames(j.meta.Parts))
	}
	if res.err != nil {
		e.Str("error", res.err.Error())
	}
	e.Msg("attempt failed")
	if v.Retry {
		j.incCounter(reporter.Retries, "reason", string(causeOf(res)), 1)
	}
}

// stringers returns the elements of a list as [fmt.Stringer].
func stringers[T fmt.Stringer](list []T) []fmt.Stringer {
	out := make([]fmt.Stringer, len(list))
	for i, v := range list {
		out[i] = v
	}
	return out
}

// partNames returns the IDs of prompt parts as in logs.
func partNames(parts []Part) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = partName(p.ID)
	}
	return names
}

// partName returns the ID of a prompt part as in logs.
func partName(id uint64) string { return strconv.FormatUint(id, 16) }

// updateMetrics updates the metrics of the request.
func (j *job) updateMetrics(service string, took time.Duration) {
	scope := j.r.scope.Tagged(map[string]string{"service": service, "outcome": string(j.summary.cause)})
	scope.Counter(reporter.Requests).Inc(1)
	scope.Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	if j.reservation.Outcome != "" {
		j.incCounter(reporter.Reservations, "result", string(j.reservation.Outcome), 1)
	}
	if j.settledTokens > 0 {
		tokens := j.r.scope.Tagged(map[string]string{"model": j.meta.Model, "kind": "prompt"})
		tokens.Counter(reporter.Tokens).Inc(j.meta.PromptTokens)
		tokens = j.r.scope.Tagged(map[string]string{"model": j.meta.Model, "kind": "output"})
		tokens.Counter(reporter.Tokens).Inc(j.settledTokens - j.meta.PromptTokens)
	}
	if j.stream.events > 0 {
		j.r.scope.Tagged(map[string]string{"model": j.meta.Model}).
			Histogram(reporter.FirstTokenSeconds, reporter.SecondsBuckets).RecordDuration(j.summary.firstByteAt.Sub(j.arrived))
	}
	if j.service != nil && j.service.Engine != nil && j.lastTarget.Target.ID != "" {
		result := "admitted"
		if j.summary.cause == Overloaded {
			result = "refused"
		}
		if j.summary.exceeded {
			result = "exceeded"
		}
		j.r.scope.Tagged(map[string]string{"priority": strconv.Itoa(j.priority()), "result": result}).Counter(reporter.Admissions).Inc(1)
	}
	if notRunStatuses[j.summary.status] {
		j.incCounter(reporter.Refusals, "reason", string(j.summary.cause), 1)
	}
}

// incCounter adds n to a counter with one tag.
func (j *job) incCounter(name, tag, value string, n int64) {
	j.r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(n)
}
