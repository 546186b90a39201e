package retrier

import "time"

// CountRequest counts a new request, which refills the retry budgets.
func (r *Retrier) CountRequest(account string) {
	r.fleet.refill()
	r.accountBucket(account).refill()
}

// SetFleetBurst sets the size of the fleet's token bucket.
func (r *Retrier) SetFleetBurst(n float64) {
	r.fleet.burst = n
	r.fleet.tokens = min(r.fleet.tokens, n)
}

// SetFleetRatio sets the fleet's number of retries per first attempt.
func (r *Retrier) SetFleetRatio(ratio float64) { r.fleet.ratio = ratio }

// Admit reports whether a target may receive an attempt. If its circuit breaker is
// half-open, this attempt becomes the trial. Call Admit only for the target that then
// receives the attempt; use [Retrier.Blocked] when choosing a target.
func (r *Retrier) Admit(now time.Time, target string) bool {
	if r.Blocked(now, target) {
		return false
	}
	if b, ok := r.breakers[target]; ok && b.state != Closed {
		b.state, b.trialStart = HalfOpen, now
	}
	return true
}

// Conclude records the result of an attempt and decides whether to retry.
func (r *Retrier) Conclude(now time.Time, a Attempt) Verdict {
	if a.Outcome == Complete || a.Refused {
		r.recordSuccess(a.Target)
	} else {
		r.recordFailure(now, a.Target)
	}
	return r.decide(now, a)
}

// RecordCancelled records that an attempt ended without a result for the circuit
// breaker, for example because the caller disconnected.
func (r *Retrier) RecordCancelled(target string) {
	if b, ok := r.breakers[target]; ok {
		b.trialStart = time.Time{}
	}
}

// RemoveTarget removes the circuit breaker of a target that no longer exists.
func (r *Retrier) RemoveTarget(target string) { delete(r.breakers, target) }

func (r *Retrier) decide(now time.Time, a Attempt) Verdict {
	v := Verdict{Outcome: a.Outcome, Reason: r.retryEligibility(a)}
	if v.Reason != ReasonAllowed {
		v.RetryAfter = r.newRetryAfter(a)
		return v
	}
	wait := r.backoff(a)
	if !a.Deadline.IsZero() && now.Add(wait).After(a.Deadline) {
		v.Reason, v.RetryAfter = ReasonDeadline, r.newRetryAfter(a)
		return v
	}
	if a.Outcome != NotRun || a.Refused && r.countRefusals {
		if reason := r.takeRetry(a.Account); reason != "" {
			v.Reason, v.RetryAfter = reason, r.newRetryAfter(a)
			return v
		}
	}
	v.Retry, v.Backoff = true, wait
	return v
}

// takeRetry takes one retry from both budgets, or returns the reason for the one that
// is empty.
func (r *Retrier) takeRetry(account string) string {
	accountBudget := r.accountBucket(account)
	switch {
	case accountBudget.tokens < 1:
		return ReasonAccount
	case r.fleet.tokens < 1:
		return ReasonFleet
	}
	accountBudget.tokens--
	r.fleet.tokens--
	return ""
}

// backoff returns an exponential backoff with full jitter. A refused attempt costs
// almost no work, so its retry at another target is immediate.
func (r *Retrier) backoff(a Attempt) time.Duration {
	if a.Refused {
		return 0
	}
	limit := min(maxBackoff, baseBackoff<<min(a.Number, 10))
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// newRetryAfter returns the retry-after time for the caller, 0 if the caller should not
// retry. It has jitter, so that callers that are refused at the same time do not retry
// at the same time.
func (r *Retrier) newRetryAfter(a Attempt) time.Duration {
	if a.Outcome != NotRun && !a.Idempotent || a.Outcome == Complete {
		return 0
	}
	after := min(max(a.RetryAfter, minRetryAfter), maxRetryAfter)
	return after + time.Duration(r.rng.Int64N(int64(after/2)))
}

func (r *Retrier) recordSuccess(target string) { delete(r.breakers, target) }

func (r *Retrier) recordFailure(now time.Time, target string) {
	b, ok := r.breakers[target]
	if !ok {
		b = &breaker{state: Closed, openDuration: minOpenTime}
		r.breakers[target] = b
	}
	b.failures++
	switch b.state {
	case HalfOpen:
		b.openDuration = min(2*b.openDuration, maxOpenTime)
	case Open:
		return // the attempt began before the breaker opened
	case Closed:
		if b.failures < failureThreshold {
			return
		}
	}
	b.state, b.openedAt, b.trialStart = Open, now, time.Time{}
}

func (r *Retrier) accountBucket(name string) *tokenBucket {
	b, ok := r.accounts[name]
	if !ok {
		if len(r.accounts) >= maxAccounts {
			clear(r.accounts)
		}
		b = &tokenBucket{r.accountBurst, r.accountRatio, r.accountBurst}
		r.accounts[name] = b
	}
	return b
}

func (b *tokenBucket) refill() { b.tokens = min(b.burst, b.tokens+b.ratio) }
