package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

// runAttempts tries the job at one target after another until a response is
// complete or the balancer allows no further attempt. It then returns without
// waiting for the deadline.
func (r *Router) runAttempts(ctx context.Context, req request, j job, reservation *wirepb.Reservation, out sink) result {
	r.balancer.RequestStarted(req.account.Name)
	q := Query{Account: req.account.Name, Target: j.target, Prefix: j.promptPrefix, Deadline: req.deadline}
	var last *attempt
	var decision RetryDecision
	outcome, mayHaveRun := Refused, false
	for n := 1; ; n++ {
		choice, ok := r.balancer.Choose(q)
		if !ok {
			break
		}
		r.recordDecision(req.id, "choose", choice.Name, choice.Reason, explainer.Name("scope", choice.Scope), explainer.Int("attempt", int64(n)))
		if v := r.guard.Admit(ctx, r.subject(req, j)); v.Outcome == quarantiner.Quarantined {
			r.balancer.Done(choice, AttemptResult{Outcome: Canceled})
			r.recordDecision(req.id, "refuse", reasonCrashing, v.Fingerprint.String())
			if mayHaveRun {
				return result{failure: unknownError()}
			}
			return result{failure: crashingError(v)}
		}
		a := &attempt{r: r, req: req, choice: choice, response: assembler.NewResponse(req.id), out: out, buffered: j.buffer != nil}
		if a.buffered {
			j.buffer.Reset()
		}
		var err error
		m := j.runMessage(req, reservation)
		m.Bundle = r.version()
		outcome, err = a.execute(ctx, m)
		r.recordAttempt(req.id, choice, outcome, err)
		r.recordEnd(req, j, a, outcome)
		decision = r.balancer.Done(choice, a.attemptResult(outcome, n, j.idempotent))
		last = a
		mayHaveRun = mayHaveRun || outcome == Unknown
		if res, final := a.finalResult(ctx, outcome); final {
			return res
		}
		if !decision.Retry || !sleep(ctx, decision.Backoff) {
			break
		}
		q.Tried = append(q.Tried, choice.Name)
		r.scope.Tagged(map[string]string{"reason": outcome.String()}).Counter(reporter.Retries).Inc(1)
	}
	if mayHaveRun {
		return result{failure: unknownError()}
	}
	return result{failure: notRunError(ctx, last, outcome, decision.RetryAfter)}
}

// finalResult returns the result of an outcome that rules out another attempt.
func (a *attempt) finalResult(ctx context.Context, outcome Outcome) (result, bool) {
	switch outcome {
	case Complete:
		return result{end: a.end, choice: a.choice}, true
	case Canceled:
		a.cancel(ctx)
		return result{failure: canceledError()}, true
	case Interrupted:
		return result{failure: interruptedError(a)}, true
	default:
		return result{}, false
	}
}

func (a *attempt) attemptResult(outcome Outcome, number int, idempotent bool) AttemptResult {
	res := AttemptResult{
		Account: a.req.account.Name, Outcome: outcome, AttemptNumber: number, Idempotent: idempotent,
		Deadline: a.req.deadline, Load: a.load,
	}
	if a.refused != nil {
		res.RetryAfter = a.refused.RetryAfter
	}
	return res
}

func (j job) runMessage(req request, reservation *wirepb.Reservation) *wirepb.Run {
	return &wirepb.Run{
		Reservation: reservation, Account: req.account.Name, Target: j.target, Model: j.model,
		Method: j.method, Path: j.path, Header: j.header, Payload: j.payload,
		Worth: req.worth, Output: j.maxOutputTokens, Stream: j.stream, Key: req.idempotencyKey, Claim: j.claimKey,
	}
}

func (r *Router) recordAttempt(id string, choice Choice, outcome Outcome, err error) {
	r.recordDecision(id, "attempt", outcome.String(), cause(err), explainer.Name("side", choice.Name))
}

// sleep waits for the duration and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (o Outcome) String() string {
	return [...]string{"whole", "refused", "unreachable", "unknown", "interrupted", "canceled"}[o]
}

func canceledError() *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Type: typeUnknown, Reason: "deadline",
		Message: "the caller's deadline passed while the request was running",
	}
}

func interruptedError(a *attempt) *Error {
	message := "the answer broke off"
	if text := a.end.GetText(); text != "" {
		message += ": " + text
	}
	return &Error{Status: http.StatusBadGateway, Type: typeInterrupted, Reason: "target", Message: message, RetryAfter: time.Second}
}

func unknownError() *Error {
	return &Error{
		Status: http.StatusBadGateway, Type: typeUnknown, Reason: "target",
		Message: "the connection to the target was lost, the request may have run",
	}
}

// notRunError returns the error for a request that no target accepted.
func notRunError(ctx context.Context, last *attempt, outcome Outcome, after time.Duration) *Error {
	after = max(after, time.Second)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRun(http.StatusServiceUnavailable, "deadline", "no target could start the request within its timeout").withRetryAfter(after)
	case last == nil:
		return notRun(http.StatusServiceUnavailable, "overload", "no target for the request is available").withRetryAfter(2 * after)
	case outcome == Refused && last.refused != nil:
		refused := last.refused
		after = max(refused.RetryAfter, after)
		return refusalError(&connector.RefusedError{Reason: refused.Reason, Text: refused.Text, RetryAfter: after}, "overload")
	default:
		return notRun(http.StatusServiceUnavailable, "overload", "the target could not be reached").withRetryAfter(after)
	}
}
