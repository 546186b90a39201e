package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

// runAttempts tries the job at one target after the other until the answer is
// whole, or another attempt is not allowed. It answers at once when it gives up.
func (r *Router) runAttempts(ctx context.Context, req request, j job, reservation *wirepb.Reservation, out sink) result {
	r.targets.Begin(req.account.Name)
	q := Query{Account: req.account.Name, Target: j.target, Prefix: j.prefix, Deadline: req.deadline}
	var last *attempt
	var verdict Verdict
	outcome, mayHaveRun := Refused, false
	for n := 1; ; n++ {
		choice, ok := r.targets.Choose(q)
		if !ok {
			break
		}
		r.record(req.id, "choose", choice.Name, choice.Reason, explainer.Name("scope", choice.Scope), explainer.Int("attempt", int64(n)))
		a := &attempt{r: r, req: req, choice: choice, answer: assembler.NewAnswer(req.id), out: out, buffered: j.buffer != nil}
		if a.buffered {
			j.buffer.Reset()
		}
		var err error
		m := j.message(req, reservation)
		m.Bundle = r.version()
		outcome, err = a.start(ctx, m)
		r.recordOutcome(req.id, choice, outcome, err)
		verdict = r.targets.Done(choice, a.report(outcome, n, j.repeatable))
		last = a
		mayHaveRun = mayHaveRun || outcome == Unknown
		if res, final := a.final(ctx, outcome); final {
			return res
		}
		if !verdict.Retry || !sleep(ctx, verdict.Wait) {
			break
		}
		q.Tried = append(q.Tried, choice.Name)
		r.scope.Tagged(map[string]string{"reason": outcome.String()}).Counter(reporter.Retries).Inc(1)
	}
	if mayHaveRun {
		return result{failure: unknownError()}
	}
	return result{failure: notRunError(ctx, last, outcome, verdict.After)}
}

// final returns the result of an outcome after which no other attempt can help.
func (a *attempt) final(ctx context.Context, outcome Outcome) (result, bool) {
	switch outcome {
	case Whole:
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

func (a *attempt) report(outcome Outcome, number int, repeatable bool) Report {
	rep := Report{
		Account: a.req.account.Name, Outcome: outcome, Number: number, Repeatable: repeatable,
		Deadline: a.req.deadline, Load: a.load,
	}
	if a.refused != nil {
		rep.After = a.refused.After
	}
	return rep
}

func (j job) message(req request, reservation *wirepb.Reservation) *wirepb.Run {
	return &wirepb.Run{
		Reservation: reservation, Account: req.account.Name, Target: j.target, Model: j.model,
		Method: j.method, Path: j.path, Header: j.header, Payload: j.payload,
		Worth: req.worth, Output: j.output, Stream: j.stream, Key: req.key, Claim: j.claim,
	}
}

func (r *Router) recordOutcome(id string, choice Choice, outcome Outcome, err error) {
	r.record(id, "attempt", outcome.String(), cause(err), explainer.Name("side", choice.Name))
}

// sleep waits unless the context ends first.
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
	return &Error{Status: http.StatusBadGateway, Type: typeInterrupted, Reason: "target", Message: message, After: time.Second}
}

func unknownError() *Error {
	return &Error{
		Status: http.StatusBadGateway, Type: typeUnknown, Reason: "target",
		Message: "the connection to the target was lost, the request may have run",
	}
}

// notRunError explains why no target took the request.
func notRunError(ctx context.Context, last *attempt, outcome Outcome, after time.Duration) *Error {
	after = max(after, time.Second)
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRun(http.StatusServiceUnavailable, "deadline", "no target could start the request within its timeout").withAfter(after)
	case last == nil:
		return notRun(http.StatusServiceUnavailable, "overload", "no target for the request is available").withAfter(2 * after)
	case outcome == Refused && last.refused != nil:
		refused := last.refused
		after = max(refused.After, after)
		return refusalError(&connector.RefusedError{Reason: refused.Reason, Text: refused.Text, After: after}, "overload")
	default:
		return notRun(http.StatusServiceUnavailable, "overload", "the target could not be reached").withAfter(after)
	}
}
