package receiver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/quarantiner"
	"daisylane/internal/retrier"
	"daisylane/internal/waiter"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome   retrier.Outcome
	withdrawn bool // nothing was sent, because the target was not allowed any more
	refused   bool // the target refused and did not run the request
	replaced  bool // the address now belongs to another target
	full      bool // the target is full
	crashed   bool // the target has ended
	repeated  bool // the request, or a part of its prompt, was at an earlier crash too
	done      bool // the response was delivered, or the exchange has ended
	status    int  // of the response of the target, 0: none
	events    int  // of this attempt
	err       error
	answer    []byte // a whole plain answer that is not sent yet, nil: there is none
}

// run sends the request to targets until one responds, no retry is allowed or the
// deadline passes.
func (j *job) run() {
	ctx, cancel := context.WithDeadline(j.req.Context(), j.deadline)
	defer cancel()
	account := ""
	if j.account != nil {
		account = j.account.Name
	}
	j.r.dispatcher.RecordRequest(account, j.service.Name)
	for {
		chosen, again, ok := j.choose(ctx)
		if again {
			continue
		}
		if !ok {
			return
		}
		j.lastTarget = chosen
		if !j.admit(ctx) {
			j.r.dispatcher.FinishAttempt(time.Now(), chosen, nil)
			return
		}
		j.tried = append(j.tried, chosen.Target.ID)
		res := j.attempt(ctx, chosen)
		if res.withdrawn {
			j.r.dispatcher.FinishAttempt(time.Now(), chosen, nil)
			if j.dials++; j.dials < maxDials {
				continue
			}
			j.fail(Unreachable, errors.Join(j.summary.failure, forwarder.ErrWithdrawn))
			return
		}
		j.recordCrash(chosen, &res)
		if !res.done {
			j.learnOrigin(chosen)
		}
		verdict := j.finishAttempt(chosen, res, account)
		if !res.done {
			j.logFailedAttempt(res, verdict)
		}
		switch {
		case res.done:
			if res.answer != nil {
				j.writeAnswer(res)
			}
			return
		case j.req.Context().Err() != nil:
			j.callerDisconnected(res.err)
			return
		case time.Until(j.deadline) <= 0:
			j.timeOut()
			return
		case res.outcome == retrier.NotRun && !res.refused && j.dials < maxDials, verdict.Retry && j.dials < maxDials:
			if verdict.Backoff > 0 && !res.refused && res.outcome != retrier.NotRun {
				waiter.Sleep(ctx, verdict.Backoff)
			}
			continue
		}
		j.fail(causeOf(res), res.err)
		return
	}
}

// choose chooses the target of the next attempt. It returns false if it ended the request
// instead; again means that a permit was waited for and the choice is to be made anew.
func (j *job) choose(ctx context.Context) (chosen ChosenTarget, again, ok bool) {
	left := time.Until(j.deadline)
	if left < minRemainingTime {
		j.timeOut()
		return chosen, false, false
	}
	chosen, err := j.chooseTarget(left)
	var overloaded overloadError
	var paused pausedError
	var limited limitedError
	var misplaced placesError
	switch {
	case err == nil:
		return chosen, false, true
	case errors.As(err, &misplaced):
		j.refusePlaces(misplaced)
	case errors.As(err, &limited) && j.awaitPermit(ctx, limited.opensIn):
		return chosen, true, false
	case errors.As(err, &limited) && !j.summary.mayHaveRun:
		j.refuse(http.StatusServiceUnavailable, Limited, limited.opensIn+rand.N(meanRetryDelay))
	case errors.As(err, &overloaded):
		j.lastTarget, j.summary.exceeded = chosen, overloaded.exceeded
		j.refuse(http.StatusServiceUnavailable, Overloaded, jitter(min(max(overloaded.retryAfter, meanRetryDelay), left/3)))
	case errors.As(err, &paused) && !j.summary.mayHaveRun:
		// Also if this is later than the caller can wait: no earlier attempt helps.
		j.refuse(http.StatusServiceUnavailable, Paused, paused.resumesIn+rand.N(meanRetryDelay))
	case j.isBound() && !j.summary.mayHaveRun && j.r.dispatcher.MayBecomeCertain(j.service, j.allowedPlaces(), j.versions):
		j.summary.failure = err
		j.refuse(http.StatusServiceUnavailable, VersionUnknown, jitter(meanRetryDelay))
	default:
		j.fail(NoTargets, errors.Join(j.summary.failure, err))
	}
	return chosen, false, false
}

// chooseTarget chooses a target. A new stream that may be resumed prefers targets whose version is
// certain, unless it would come late or be refused there: if it breaks off elsewhere, it is lost.
func (j *job) chooseTarget(left time.Duration) (ChosenTarget, error) {
	d, places, p := j.r.dispatcher, j.allowedPlaces(), j.prefillRequest(left)
	if j.resumable() && !j.isBound() {
		maxWait := time.Duration(certainWaitShare * float64(j.route.LatencyTarget))
		return d.ChooseCertain(time.Now(), j.service, places, p, j.tried, j.versions, j.mayBeTurnedAway(), maxWait)
	}
	excluded := j.tried
	if j.resumable() {
		excluded = d.AppendUncertain(slices.Clip(excluded))
	}
	return d.Choose(time.Now(), j.service, places, p, excluded, j.versions, j.mayBeTurnedAway())
}

// finishAttempt reports the result of an attempt to the dispatcher and returns its
// decision about a retry.
func (j *job) finishAttempt(chosen ChosenTarget, res attemptResult, account string) retrier.Verdict {
	now := time.Now()
	if res.done && res.outcome == "" || j.req.Context().Err() != nil {
		return j.r.dispatcher.FinishAttempt(now, chosen, nil)
	}
	if res.replaced {
		j.r.pool.CloseIdle(chosen.Target.Addr)
		j.r.dispatcher.WithRoster(func(r *follower.Roster) { r.Drop(chosen.Target.ID) })
		j.r.log.Warn().Str("id", j.meta.ID).Str("target", chosen.Target.ID).Str("addr", chosen.Target.Addr).Msg("target replaced at its address")
	}
	return j.r.dispatcher.FinishAttempt(now, chosen, &retrier.Attempt{
		Account: account, Outcome: res.outcome, Refused: res.refused,
		Idempotent: j.mayRepeat(res), Number: j.sends, MaxAttempts: j.route.MaxAttempts, Deadline: j.deadline,
	})
}

// awaitPermit waits for a permit that is expected after the given time. It returns false
// if the request may not wait for so long.
func (j *job) awaitPermit(ctx context.Context, opensIn time.Duration) bool {
	if j.permitWaitEnd.IsZero() {
		j.permitWaitEnd = time.Now().Add(time.Duration(permitWaitShare * float64(j.route.LatencyTarget)))
	}
	if opensIn > time.Until(j.permitWaitEnd) || ctx.Err() != nil {
		return false
	}
	j.r.dispatcher.limits.Await(ctx, opensIn)
	return true
}

// admit asks whether the request may be sent to a target now. If not, it ends the request
// and returns false. A trial is claimed only for a request that has a target.
func (j *job) admit(ctx context.Context) bool {
	s := j.subject()
	s.Retry = len(j.tried) > 0
	v := j.r.guard.Admit(ctx, s)
	if v.Outcome != quarantiner.Quarantined {
		return true
	}
	if j.stream.started || j.summary.mayHaveRun {
		j.quarantined = v
		j.fail(Crashing, j.summary.failure)
		return false
	}
	return j.refuseCrashing(v)
}

// recordCrash records whether the target of a failed attempt has ended.
func (j *job) recordCrash(chosen ChosenTarget, res *attemptResult) {
	if res.replaced || forwarder.IsRefused(res.err) {
		j.r.guard.RecordEnd(chosen.process())
		if !res.replaced {
			j.recordRefused(chosen.Target)
		}
		return
	}
	broken := res.outcome == retrier.Unknown || res.outcome == retrier.Interrupted
	if !broken || res.done || res.status >= http.StatusMultipleChoices || j.req.Context().Err() != nil {
		return
	}
	report := quarantiner.Report{
		Service: j.service.Name, Target: chosen.Target.ID, Incarnation: chosen.Target.Incarnation,
		SentAt: chosen.ChosenAt, Begun: res.status != 0, Parts: j.sharedParts, Requests: j.identity(),
		Abandoned: errors.Is(res.err, os.ErrDeadlineExceeded), // set when the context ends, see forwarder.Pool.Send
	}
	about := res.events <= 1 && len(j.sharedParts) > 0
	// What is learned outlasts the caller.
	ctx := context.WithoutCancel(j.req.Context())
	if res.crashed = !j.r.dispatcher.Lives(chosen.Target) || j.r.pool.Refuses(ctx, chosen.Target.Addr); !res.crashed {
		j.r.guard.RecordFailure(report, about)
		return
	}
	j.recordRefused(chosen.Target)
	j.r.guard.RecordCrash(report, about)
	res.repeated = j.r.guard.Repeated(report)
}

// mayRepeat reports whether the request may be sent to another target after an attempt. What
// may have crashed one target is not sent to the next one.
func (j *job) mayRepeat(res attemptResult) bool {
	mayCrash := res.crashed && len(j.sharedParts) > 0 && (res.repeated || res.aboutToAnswer())
	return j.route.Retryable() && !mayCrash && j.mayGoOn()
}

// aboutToAnswer reports whether the target had begun to answer, but not gone on.
func (res attemptResult) aboutToAnswer() bool { return res.status != 0 && res.events <= 1 }

// attempt sends the request to one target and delivers its response. A response
// that allows a retry is not delivered.
func (j *job) attempt(ctx context.Context, chosen ChosenTarget) attemptResult {
	j.silence = nil
	if limit := j.firstByteTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		alive := func() bool {
			return j.service.Engine != nil && j.r.dispatcher.HeardWithin(time.Now(), chosen, time.Duration(heardShare*float64(limit)))
		}
		j.silence = newSilenceTimer(limit, alive, cancel)
		defer j.silence.stop()
	}
	if res, ok := j.restarted(chosen.Target); ok {
		j.dials++
		return res
	}
	response, err := j.r.pool.Send(ctx, chosen.Target.Addr, j.targetRequest(chosen))
	if errors.Is(err, forwarder.ErrWithdrawn) {
		return attemptResult{withdrawn: true}
	}
	if errors.Is(err, forwarder.ErrNotSent) {
		j.dials++
		return attemptResult{outcome: retrier.NotRun, err: err}
	}
	if err != nil {
		j.sends++
		j.summary.mayHaveRun = true
		return attemptResult{outcome: retrier.Unknown, err: err}
	}
	defer response.Close()
	meta := j.r.codec.DecodeResponse(response.Status, response.Header)
	j.recordResponse(chosen, meta)
	if meta.TargetReplaced {
		j.dials++
	} else {
		j.sends++
	}
	if meta.NotRun {
		_ = response.Drain() // otherwise the connection is closed and the next request has to dial
		return attemptResult{outcome: retrier.NotRun, refused: true, replaced: meta.TargetReplaced, full: !meta.TargetReplaced, status: response.Status}
	}
	j.summary.mayHaveRun = true
	if response.Status < http.StatusMultipleChoices && j.isStream(response) {
		return j.deliverStream(response, chosen, meta)
	}
	return j.deliverPlain(response, chosen, meta)
}

// recordResponse passes on what the head of a response says about its target.
func (j *job) recordResponse(chosen ChosenTarget, meta ResponseMeta) {
	t := chosen.Target
	for _, id := range j.r.dispatcher.RecordResponse(time.Now(), chosen.ChosenAt, t, meta) {
		j.r.log.Info().Str("id", j.meta.ID).Str("target", id).Str("addr", t.Addr).Msg("target says that it is leaving")
	}
	if meta.Pause > 0 {
		j.r.log.Info().Str("id", j.meta.ID).Str("target", t.ID).Dur("pause", meta.Pause).Msg("target asks for a pause")
	}
}

// firstByteTimeout returns the time after which a retryable request is retried at
// another target if the response has not started, or 0 for no timeout. A response that has
// started may pause for as long: a stream until its first event is delivered, a plain response
// to its end.
func (j *job) firstByteTimeout() time.Duration {
	if !j.route.Retryable() || j.sends+1 >= j.route.MaxAttempts {
		return 0
	}
	factor := firstByteTimeoutFactor
	if j.service.Engine != nil {
		factor = firstEventTimeoutFactor
	}
	limit := max(minFirstByteTimeout, time.Duration(factor*float64(j.route.LatencyTarget)))
	if 2*limit > time.Until(j.deadline) {
		return 0
	}
	return limit
}

// targetRequest returns the request to send to the target.
func (j *job) targetRequest(chosen ChosenTarget) forwarder.Request {
	h := j.req.Header.Clone()
	removeHopHeaders(j.r.codec, h)
	f := ForwardMeta{
		Target: chosen.Target.ID, Timeout: time.Until(j.deadline), ForEngine: j.service.Engine != nil,
		Priority: j.priority(), LastEventID: j.stream.lastID,
	}
	if j.account != nil {
		f.Account = j.account.Name
	}
	j.r.codec.EncodeForward(h, f)
	return forwarder.Request{
		ID: j.meta.ID, Method: j.req.Method, URI: j.req.RequestURI, Host: j.req.Host, Header: h, Body: j.body,
		HasBody: j.req.ContentLength != 0, OnProgress: j.silence.reset, Permitted: func() bool {
			return j.r.dispatcher.Permits(chosen.Target, j.allowedPlaces()) && j.fixOrigin(chosen)
		},
	}
}

// fail ends a request whose last attempt failed and is not retried.
func (j *job) fail(cause Cause, err error) {
	j.summary.failure = err
	switch {
	case j.stream.started:
		j.abortResponse(cause)
	case j.summary.mayHaveRun:
		j.refuse(http.StatusBadGateway, cause, 0)
	default:
		j.refuse(http.StatusServiceUnavailable, cause, jitter(meanRetryDelay))
	}
}

// timeOut ends a request whose deadline has passed.
func (j *job) timeOut() {
	switch {
	case j.stream.started:
		j.abortResponse(TimedOut)
	case j.summary.mayHaveRun:
		j.refuse(http.StatusGatewayTimeout, TimedOut, 0)
	default:
		j.refuse(http.StatusServiceUnavailable, TimedOut, jitter(meanRetryDelay))
	}
}

// abortResponse makes the exchange end without a complete response.
func (j *job) abortResponse(cause Cause) {
	j.summary.cause, j.aborted = cause, true
}

// causeOf returns the cause of a failed attempt.
func causeOf(res attemptResult) Cause {
	switch {
	case res.full:
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
