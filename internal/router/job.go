package router

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

// job is what a target is asked to do.
type job struct {
	target     string // name of the target in the bundle
	model      string // model to route by, empty for plain services
	method     string
	path       string
	header     map[string]string
	payload    []byte
	repeatable bool   // whether the call may run more than once
	claim      string // key of the claim of a non-idempotent call
	stream     bool
	tokens     int64 // upper bound of the tokens to charge
	output     int64 // maximum output tokens
	prefix     []byte
	buffer     *bytes.Buffer // answer that the caller gets only if it is whole, nil for a stream
}

// collect is the sink of a buffered answer.
func (j job) collect(data []byte) error {
	_, err := j.buffer.Write(data)
	return err
}

// result is the final outcome of a job.
type result struct {
	end     *wirepb.End
	choice  Choice // side that gave the whole answer
	failure *Error // nil if the answer is whole
}

// claimState returns the state that a claim of the job gets.
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

// sink takes the pieces of an answer in order.
type sink func(data []byte) error

// reasonClosed is the refusal of a side that knows the reservation's holder to be
// dead.
const reasonClosed = string(admitter.Closed)

// run runs a job. If the holder of its reservation died meanwhile, so that no side
// takes the job, it runs once more under a reservation of the successor.
func (r *Router) run(ctx context.Context, req request, j job, out sink) result {
	res := r.runReserved(ctx, req, j, out)
	if res.failure != nil && res.failure.Type == typeNotRun && res.failure.Reason == reasonClosed {
		r.record(req.id, "reserve", "again", reasonClosed)
		res = r.runReserved(ctx, req, j, out)
	}
	return res
}

// runReserved reserves the tokens of a job, runs it at a target and settles the charge.
func (r *Router) runReserved(ctx context.Context, req request, j job, out sink) result {
	reservation, failure := r.reserve(ctx, req, j)
	if failure != nil {
		return result{failure: failure}
	}
	began := time.Now()
	res := r.runAttempts(ctx, req, j, reservation, out)
	if res.failure == nil {
		r.whole(req, j, time.Since(began))
	}
	if reservation != nil {
		r.settle(ctx, req, reservation, res)
	}
	return res
}

// whole records a request that got its whole answer.
func (r *Router) whole(req request, j job, took time.Duration) {
	tags := map[string]string{"service": j.target, "outcome": "whole"}
	r.scope.Tagged(tags).Counter(reporter.Requests).Inc(1)
	r.scope.Tagged(tags).Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	r.record(req.id, "answer", "whole", "", explainer.Duration("took", took))
}

func (r *Router) reserve(ctx context.Context, req request, j job) (*wirepb.Reservation, *Error) {
	if j.tokens == 0 {
		return nil, nil
	}
	budget, ok := req.index.BudgetFor(req.account, j.target)
	if !ok {
		return nil, notRun(http.StatusPaymentRequired, "budget", "the account has no budget for %q", j.target)
	}
	ctx, span := r.tracer.Start(ctx, "reserve")
	defer span.End()
	reservation, err := r.budgets.Reserve(ctx, req.id, &wirepb.Reserve{
		Budget: budget.Name, Tokens: j.tokens, Key: req.key, Deadline: uint64(max(time.Until(req.deadline).Milliseconds(), 1)),
	})
	if err != nil {
		r.record(req.id, "reserve", "refused", cause(err), explainer.Name("budget", budget.Name), explainer.Int("tokens", j.tokens))
		return nil, refusalError(err, "budget")
	}
	r.record(req.id, "reserve", "granted", "", explainer.Name("budget", budget.Name), explainer.Int("tokens", j.tokens),
		explainer.Name("holder", reservation.GetHolder()), explainer.Int("shard", int64(reservation.GetShard())))
	return reservation, nil
}

// settle charges the use of a request, or releases the reservation of a request
// that did not run. An outcome that is not known is left to the side, which
// owns the charge.
func (r *Router) settle(ctx context.Context, req request, reservation *wirepb.Reservation, res result) {
	m := &wirepb.Settle{Reservation: reservation, Key: req.key}
	switch {
	case res.end != nil:
		m.Tokens = min(res.end.GetUsage().GetPrompt()+res.end.GetUsage().GetOutput(), reservation.GetTokens())
	case res.failure != nil && res.failure.Type == typeNotRun:
	default:
		r.record(req.id, "settle", "side", "unknown")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	r.background(func() {
		defer cancel()
		if !r.persist(ctx, req.id, "settle", func() error { return r.budgets.Settle(ctx, m) }) {
			return
		}
		r.record(req.id, "settle", "durable", "", explainer.Int("tokens", m.Tokens))
		r.billed(ctx, req.id, res)
	})
}

const (
	persistMinWait = 100 * time.Millisecond
	persistMaxWait = 5 * time.Second
	billedTimeout  = 5 * time.Second
)

// billed tells the side that the charge is durable, so that it stops sending it.
// A lost message costs one more settlement by the side, which is a duplicate.
func (r *Router) billed(ctx context.Context, id string, res result) {
	if res.choice.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, billedTimeout)
	defer cancel()
	if _, err := connector.Call[*wirepb.Billed](ctx, r.pool, res.choice.Addr, id, &wirepb.Billed{}); err != nil {
		r.log.Debug().Str("id", id).Err(err).Msg("side was not told that its charge is durable")
	}
}

// persist repeats an action until it succeeds or the context ends, and reports whether it succeeded.
func (r *Router) persist(ctx context.Context, id, name string, action func() error) bool {
	for wait := persistMinWait; ; wait = min(2*wait, persistMaxWait) {
		err := action()
		if err == nil {
			return true
		}
		r.log.Warn().Str("id", id).Str("action", name).Err(err).Msg("repeating")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
}
