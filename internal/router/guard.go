package router

import (
	"net/http"
	"time"

	"daisylane/internal/quarantiner"
)

// reasonCrashing is the refusal of a request under which targets end.
const reasonCrashing = "crashing"

// subject returns what a job is judged by. Prompts are part of its payload.
func (r *Router) subject(req request, j job) quarantiner.Subject {
	s := quarantiner.Subject{Service: j.target}
	if r.guard.Suspects() {
		s.Requests = fingerprints(req, j)
	}
	return s
}

func fingerprints(req request, j job) []quarantiner.Fingerprint {
	return quarantiner.Fingerprints(quarantiner.Content{
		Account: req.account.Name, Method: j.method, URI: j.path, Body: j.payload, Model: j.model,
	})
}

// recordEnd records whether the target has answered a job whole, or has ended under it.
func (r *Router) recordEnd(req request, j job, a *attempt, outcome Outcome) {
	switch {
	case outcome == Complete && a.end.GetStatus() < http.StatusInternalServerError:
		if r.guard.Suspects() {
			r.guard.RecordWhole(quarantiner.Target{ID: a.choice.Name}, time.Time{}, r.subject(req, j))
		}
	case outcome != Complete && a.end.GetCrash() > 0:
		ids := fingerprints(req, j)
		r.recordDecision(req.id, "crash", a.choice.Name, ids[0].String())
		r.guard.RecordCrash(quarantiner.Report{
			Service: j.target, Target: a.choice.Name, Incarnation: int64(a.end.GetCrash()), Requests: ids,
		}, false)
	}
}

// crashingError returns the error for a request under which targets end.
func crashingError(v quarantiner.Verdict) *Error {
	return notRun(http.StatusServiceUnavailable, reasonCrashing, "targets end under requests equal to this one").withRetryAfter(v.RetryAfter)
}
