package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

// job is a request in the form that is sent to a target.
type job struct {
	target          string // name of the target in the bundle
	model           string // model to route by, empty for services
	method          string
	path            string
	header          map[string]string
	payload         []byte
	idempotent      bool   // whether the request may run more than once
	claimKey        string // claim key of a non-idempotent call
	stream          bool
	maxTokens       int64 // upper bound of the charge in tokens
	maxOutputTokens int64 // upper bound of the output tokens
	promptPrefix    []byte
	// buffer holds a response that is sent to the caller only if it is complete. It
	// is nil for a stream.
	buffer *bytes.Buffer
}

// writeToBuffer is the sink of a buffered response.
func (j job) writeToBuffer(data []byte) error {
	_, err := j.buffer.Write(data)
	return err
}

// result is the final outcome of a job.
type result struct {
	end     *wirepb.End
	choice  Choice // side that returned the complete response
	failure *Error // nil if the response is complete
}

// claimState returns the final state of the job's claim.
func (res result) claimState() string {
	switch {
	case res.failure == nil:
		return claimDone
	case res.failure.Type == typeNotRun:
		return claimNotRun
	default:
		return claimUnknown
	}
}

// sink receives the parts of a response in order.
type sink func(data []byte) error

// reasonHolderClosed is the refusal of a side that knows that the holder of
// the reservation is dead.
const reasonHolderClosed = string(admitter.Closed)

// runJob runs a job. If sides refuse it because the holder of its reservation
// died, it is run once more with a reservation from the successor.
func (r *Router) runJob(ctx context.Context, req request, j job, out sink) result {
	if v := r.guard.Check(r.subject(req, j)); v.Outcome == quarantiner.Quarantined {
		r.recordDecision(req.id, "refuse", reasonCrashing, v.Fingerprint.String())
		return result{failure: crashingError(v)}
	}
	res := r.runWithReservation(ctx, req, j, out)
	if res.failure != nil && res.failure.Type == typeNotRun && res.failure.Reason == reasonHolderClosed {
		r.recordDecision(req.id, "reserve", "again", reasonHolderClosed)
		res = r.runWithReservation(ctx, req, j, out)
	}
	return res
}

// runWithReservation reserves the tokens of a job, runs it and settles the charge.
func (r *Router) runWithReservation(ctx context.Context, req request, j job, out sink) result {
	reservation, failure := r.reserve(ctx, req, j)
	if failure != nil {
		return result{failure: failure}
	}
	start := time.Now()
	res := r.runAttempts(ctx, req, j, reservation, out)
	if res.failure == nil {
		r.recordCompletion(req, j, time.Since(start))
	}
	if reservation != nil {
		r.settle(ctx, req, reservation, res)
	}
	return res
}

// recordCompletion records a request with a complete response.
func (r *Router) recordCompletion(req request, j job, took time.Duration) {
	tags := map[string]string{"service": j.target, "outcome": "whole"}
	r.scope.Tagged(tags).Counter(reporter.Requests).Inc(1)
	r.scope.Tagged(tags).Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	r.recordDecision(req.id, "answer", "whole", "", explainer.Duration("took", took))
}

func (r *Router) reserve(ctx context.Context, req request, j job) (*wirepb.Reservation, *Error) {
	if j.maxTokens == 0 {
		return nil, nil
	}
	budget, ok := req.index.BudgetFor(req.account, j.target)
	if !ok {
		return nil, notRun(http.StatusPaymentRequired, "budget", "the account has no budget for %q", j.target)
	}
	ctx, span := r.tracer.Start(ctx, "reserve")
	defer span.End()
	reservation, err := r.budgets.Reserve(ctx, req.id, &wirepb.Reserve{
		Budget: budget.Name, Tokens: j.maxTokens, Key: req.idempotencyKey, Deadline: uint64(max(time.Until(req.deadline).Milliseconds(), 1)),
	})
	if err != nil {
		r.recordDecision(req.id, "reserve", "refused", cause(err), explainer.Name("budget", budget.Name), explainer.Int("tokens", j.maxTokens))
		return nil, refusalError(err, "budget")
	}
	r.recordDecision(req.id, "reserve", "granted", "", explainer.Name("budget", budget.Name), explainer.Int("tokens", j.maxTokens),
		explainer.Name("holder", reservation.GetHolder()), explainer.Int("shard", int64(reservation.GetShard())))
	return reservation, nil
}

// settle charges the tokens that a request used, or releases the reservation if
// it did not run. If the outcome is unknown, settling is left to the side,
// which owns the charge.
func (r *Router) settle(ctx context.Context, req request, reservation *wirepb.Reservation, res result) {
	m := &wirepb.Settle{Reservation: reservation, Key: req.idempotencyKey}
	switch {
	case res.end != nil:
		m.Tokens = min(res.end.GetUsage().GetPrompt()+res.end.GetUsage().GetOutput(), reservation.GetTokens())
	case res.failure != nil && res.failure.Type == typeNotRun:
	default:
		r.recordDecision(req.id, "settle", "side", "unknown")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	r.runInBackground(func() {
		defer cancel()
		if !r.retryUntilDone(ctx, req.id, "settle", func() error { return r.budgets.Settle(ctx, m) }) {
			return
		}
		r.recordDecision(req.id, "settle", "durable", "", explainer.Int("tokens", m.Tokens))
		r.notifyBilled(ctx, req.id, res)
	})
}

const (
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 5 * time.Second
	billedTimeout   = 5 * time.Second
)

// notifyBilled tells the side that the charge is durable, so that the side
// stops sending it. If the message is lost, the side settles again, which the
// holder treats as a duplicate.
func (r *Router) notifyBilled(ctx context.Context, id string, res result) {
	if res.choice.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, billedTimeout)
	defer cancel()
	if _, err := connector.Call[*wirepb.Billed](ctx, r.pool, res.choice.Addr, id, &wirepb.Billed{}); err != nil {
		r.log.Debug().Str("id", id).Err(err).Msg("side could not be notified that its charge is durable")
	}
}

// retryUntilDone retries an action with exponential backoff until it succeeds or
// the context ends. It reports whether the action succeeded.
func (r *Router) retryUntilDone(ctx context.Context, id, name string, action func() error) bool {
	for wait := minRetryBackoff; ; wait = min(2*wait, maxRetryBackoff) {
		err := action()
		if err == nil {
			return true
		}
		r.log.Warn().Str("id", id).Str("action", name).Err(err).Msg("background action failed; retrying")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
}
