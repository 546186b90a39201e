package receiver

import (
	"time"

	"daisylane/internal/reporter"
	"daisylane/internal/retrier"
)

// record writes the line and the metrics of the request.
func (j *job) record() {
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
	j.measure(service, took)
	e := j.r.log.Info().Str("id", j.meta.ID).Str("route", name).Str("account", account).Str("service", service).
		Str("outcome", string(j.out.cause)).Int("status", j.out.status).Int64("took", took.Milliseconds())
	if j.table != nil {
		e.Int64("config", j.table.Version())
	}
	if j.budget.Outcome != "" {
		e.Str("budget", string(j.budget.Outcome)).Int64("lent", j.budget.Lent).Int64("held", j.budget.Held).Int64("used", j.budget.Used).
			Int64("limit", j.budget.Limit).Int64("left", j.budget.Left).Int64("asked", j.meta.Prompt+j.meta.Output).
			Int64("ledgerage", j.budget.Age.Milliseconds()).Int64("prepaid", j.account.Prepaid).Int64("tokens", j.tokens)
	}
	if j.last.Target.ID != "" {
		load := j.last.Pick.Load
		e.Int64("pause", j.last.Pick.EventInterval.Milliseconds()).Int64("backlog", j.last.Pick.Backlog.Milliseconds()).Int64("standing", j.last.Pick.BacklogAge.Milliseconds()).Int("running", load.Running).Int("waiting", load.Waiting)
		if !load.At.IsZero() {
			e.Int64("loadage", j.last.Chosen.Sub(load.At).Milliseconds())
		}
		e.Str("target", j.last.Target.ID).Str("addr", j.last.Target.Addr).Str("reason", j.last.Pick.Reason).
			Int64("expected", j.last.Pick.Wait.Milliseconds()).Int("sends", j.sends).Int("dials", j.dials).Int("events", j.stream.events)
	}
	if !j.out.first.IsZero() {
		e.Int64("first", j.out.first.Sub(j.arrived).Milliseconds())
	}
	if j.out.detail != nil {
		e.Str("error", j.out.detail.Error())
	}
	e.Msg("request")
}

// recordFailure writes the line of an attempt that did not end the request.
func (j *job) recordFailure(res result, v retrier.Verdict) {
	e := j.r.log.Info().Str("id", j.meta.ID).Str("target", j.last.Target.ID).Str("addr", j.last.Target.Addr).
		Str("reason", j.last.Pick.Reason).Int64("expected", j.last.Pick.Wait.Milliseconds()).
		Int("sends", j.sends).Int("dials", j.dials).Int("events", j.stream.events).
		Str("outcome", string(cause(res))).Int("status", res.status).Bool("repeat", v.Retry).Str("verdict", v.Reason).
		Int64("left", time.Until(j.deadline).Milliseconds())
	if res.err != nil {
		e.Str("error", res.err.Error())
	}
	e.Msg("attempt failed")
	if v.Retry {
		j.count(reporter.Retries, "reason", string(cause(res)), 1)
	}
}

// measure counts the request.
func (j *job) measure(service string, took time.Duration) {
	scope := j.r.scope.Tagged(map[string]string{"service": service, "outcome": string(j.out.cause)})
	scope.Counter(reporter.Requests).Inc(1)
	scope.Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	if j.budget.Outcome != "" {
		j.count(reporter.Reservations, "result", string(j.budget.Outcome), 1)
	}
	if j.tokens > 0 {
		tokens := j.r.scope.Tagged(map[string]string{"model": j.meta.Model, "kind": "prompt"})
		tokens.Counter(reporter.Tokens).Inc(j.meta.Prompt)
		tokens = j.r.scope.Tagged(map[string]string{"model": j.meta.Model, "kind": "output"})
		tokens.Counter(reporter.Tokens).Inc(j.tokens - j.meta.Prompt)
	}
	if j.stream.events > 0 {
		j.r.scope.Tagged(map[string]string{"model": j.meta.Model}).
			Histogram(reporter.FirstTokenSeconds, reporter.SecondsBuckets).RecordDuration(j.out.first.Sub(j.arrived))
	}
	if promises[j.out.status] {
		j.count(reporter.Refusals, "reason", string(j.out.cause), 1)
	}
}

// count adds to a counter with one tag.
func (j *job) count(name, tag, value string, n int64) {
	j.r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(n)
}
