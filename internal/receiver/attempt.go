package receiver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/retrier"
	"daisylane/internal/waiter"
)

// result is what became of one attempt.
type result struct {
	outcome retrier.Outcome
	refused bool // by the target, which did not run the request
	moved   bool // another target has the address
	busy    bool // the target is full
	done    bool // the answer was delivered, or the exchange is over
	status  int  // of the target
	err     error
}

// run sends the request to targets until it is answered.
func (j *job) run() {
	ctx, cancel := context.WithDeadline(j.req.Context(), j.deadline)
	defer cancel()
	account := ""
	if j.account != nil {
		account = j.account.Name
	}
	j.r.dispatch.Begin(account)
	for {
		left := time.Until(j.deadline)
		if left < minLeft {
			j.expire()
			return
		}
		lane, err := j.r.dispatch.Choose(time.Now(), j.service, j.prompt(left), j.tried, j.sends == 0)
		var full overload
		switch {
		case errors.As(err, &full):
			j.last = lane
			j.refuse(http.StatusServiceUnavailable, Overloaded, jitter(min(max(full.after, comeBack), left/3)))
			return
		case err != nil:
			j.giveUp(NoTargets, j.out.detail)
			return
		}
		j.last = lane
		j.tried = append(j.tried, lane.Target.ID)
		res := j.attempt(ctx, lane)
		verdict := j.conclude(lane, res, account)
		if !res.done {
			j.recordFailure(res, verdict)
		}
		switch {
		case res.done:
			return
		case j.req.Context().Err() != nil:
			j.left(res.err)
			return
		case time.Until(j.deadline) <= 0:
			j.expire()
			return
		case res.outcome == retrier.NotRun && !res.refused && j.dials < maxDials, verdict.Retry && j.dials < maxDials:
			if verdict.Wait > 0 && !res.refused && res.outcome != retrier.NotRun {
				waiter.Pause(ctx, verdict.Wait)
			}
			continue
		}
		j.giveUp(cause(res), res.err)
		return
	}
}

// conclude tells the dispatch how an attempt ended.
func (j *job) conclude(lane Lane, res result, account string) retrier.Verdict {
	now := time.Now()
	if res.done && res.outcome == "" || j.req.Context().Err() != nil {
		return j.r.dispatch.Done(now, lane, nil)
	}
	if res.moved {
		j.r.pool.Forget(lane.Target.Addr)
		j.r.dispatch.Roster(func(r *follower.Roster) { r.Gone(lane.Target.ID) })
		j.r.log.Warn().Str("id", j.meta.ID).Str("target", lane.Target.ID).Str("addr", lane.Target.Addr).Msg("target replaced at its address")
	}
	return j.r.dispatch.Done(now, lane, &retrier.Attempt{
		Account: account, Outcome: res.outcome, Refused: res.refused, Idempotent: j.route.Repeatable(),
		Number: j.sends, Attempts: j.route.Attempts, Deadline: j.deadline,
	})
}

// attempt sends the request to one target and delivers the answer, if it is one.
func (j *job) attempt(ctx context.Context, lane Lane) result {
	if limit := j.silence(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(limit, cancel)
		j.stream.begun = func() { timer.Stop() }
		defer timer.Stop()
	} else {
		j.stream.begun = nil
	}
	answer, err := j.r.pool.Send(ctx, lane.Target.Addr, j.forward(lane))
	if errors.Is(err, forwarder.ErrNotSent) {
		j.dials++
		return result{outcome: retrier.NotRun, err: err}
	}
	if err != nil {
		j.sends++
		j.out.ran = true
		return result{outcome: retrier.Unknown, err: err}
	}
	defer answer.Close()
	reply := j.r.codec.Answer(answer.Status, answer.Header)
	j.r.dispatch.Reported(time.Now(), lane.Target.ID, reply.Load)
	if reply.Moved {
		j.dials++
	} else {
		j.sends++
	}
	if reply.NotRun {
		_ = answer.Drain() // without it the connection is closed and the next request dials
		return result{outcome: retrier.NotRun, refused: true, moved: reply.Moved, busy: !reply.Moved, status: answer.Status}
	}
	j.out.ran = true
	if answer.Status < http.StatusMultipleChoices && j.streams(answer) {
		return j.pipe(answer, lane, reply)
	}
	return j.deliver(answer, lane, reply)
}

// silence returns how long a repeatable request waits for the first byte of an
// answer before it goes elsewhere, or 0.
func (j *job) silence() time.Duration {
	if !j.route.Repeatable() || j.sends+1 >= j.route.Attempts {
		return 0
	}
	factor := silenceFactor
	if j.service.Engine != nil {
		factor = streamFactor
	}
	limit := max(minSilence, time.Duration(factor*float64(j.route.Target)))
	if 2*limit > time.Until(j.deadline) {
		return 0
	}
	return limit
}

// forward returns the request that the target gets.
func (j *job) forward(lane Lane) forwarder.Request {
	h := j.req.Header.Clone()
	removeHop(j.r.codec, h)
	f := Forward{
		Target: lane.Target.ID, Left: time.Until(j.deadline), Prompted: j.service.Engine != nil,
		Priority: j.priority(), LastEvent: j.stream.last,
	}
	if j.account != nil {
		f.Account = j.account.Name
	}
	j.r.codec.Forward(h, f)
	return forwarder.Request{
		ID: j.meta.ID, Method: j.req.Method, URI: j.req.RequestURI, Host: j.req.Host, Header: h, Body: j.body,
		Framed: j.req.ContentLength != 0,
	}
}

// giveUp ends a request whose last attempt failed and is not repeated.
func (j *job) giveUp(cause Cause, err error) {
	j.out.detail = err
	switch {
	case j.stream.started:
		j.breakOff(cause)
	case j.out.ran:
		j.refuse(http.StatusBadGateway, cause, 0)
	default:
		j.refuse(http.StatusServiceUnavailable, cause, jitter(comeBack))
	}
}

// expire ends a request whose time is over.
func (j *job) expire() {
	switch {
	case j.stream.started:
		j.breakOff(TimedOut)
	case j.out.ran:
		j.refuse(http.StatusGatewayTimeout, TimedOut, 0)
	default:
		j.refuse(http.StatusServiceUnavailable, TimedOut, jitter(comeBack))
	}
}

// breakOff lets the exchange end without a complete answer.
func (j *job) breakOff(cause Cause) {
	j.out.cause, j.broken = cause, true
}

func cause(res result) Cause {
	switch {
	case res.busy:
		return Busy
	case res.refused:
		return Refused
	case res.outcome == retrier.NotRun:
		return Unreachable
	case res.outcome == retrier.Interrupted:
		return Interrupted
	}
	return NoAnswer
}
