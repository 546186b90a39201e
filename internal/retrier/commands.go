package retrier

import "time"

// Begin counts a new request, which pays into the retry budgets.
func (r *Retrier) Begin(account string) {
	r.fleet.fill()
	r.account(account).fill()
}

// SetBurst changes the retries of the fleet that may come at once.
func (r *Retrier) SetBurst(n float64) {
	r.fleet.burst = n
	r.fleet.tokens = min(r.fleet.tokens, n)
}

// SetShare changes the retries of the fleet per first attempt.
func (r *Retrier) SetShare(share float64) { r.fleet.share = share }

// Admit reports whether a target may receive an attempt and, if its circuit
// breaker waits for a trial, makes this attempt the trial. Call it only for the
// target that then receives the attempt; [Retrier.Blocked] is for choosing.
func (r *Retrier) Admit(now time.Time, target string) bool {
	if r.Blocked(now, target) {
		return false
	}
	if b, ok := r.breakers[target]; ok && b.state != Closed {
		b.state, b.trial = HalfOpen, now
	}
	return true
}

// Conclude records the result of an attempt and decides about a retry.
func (r *Retrier) Conclude(now time.Time, a Attempt) Verdict {
	if a.Outcome == Whole || a.Refused {
		r.succeeded(a.Target)
	} else {
		r.failed(now, a.Target)
	}
	return r.decide(now, a)
}

// Cancelled records that an attempt ended without telling anything about the
// target, for example because the caller went away.
func (r *Retrier) Cancelled(target string) {
	if b, ok := r.breakers[target]; ok {
		b.trial = time.Time{}
	}
}

// Forget drops the circuit breaker of a target that is gone.
func (r *Retrier) Forget(target string) { delete(r.breakers, target) }

func (r *Retrier) decide(now time.Time, a Attempt) Verdict {
	v := Verdict{Outcome: a.Outcome, Reason: r.permission(a)}
	if v.Reason != ReasonAllowed {
		v.After = r.comeBack(a)
		return v
	}
	wait := r.backoff(a)
	if !a.Deadline.IsZero() && now.Add(wait).After(a.Deadline) {
		v.Reason, v.After = ReasonDeadline, r.comeBack(a)
		return v
	}
	if a.Outcome != NotRun || a.Refused && r.counted {
		if reason := r.spend(a.Account); reason != "" {
			v.Reason, v.After = reason, r.comeBack(a)
			return v
		}
	}
	v.Retry, v.Wait = true, wait
	return v
}

// spend takes one retry from both budgets, or returns which one is empty.
func (r *Retrier) spend(account string) string {
	own := r.account(account)
	switch {
	case own.tokens < 1:
		return ReasonAccount
	case r.fleet.tokens < 1:
		return ReasonFleet
	}
	own.tokens--
	r.fleet.tokens--
	return ""
}

// backoff returns the exponential backoff with full jitter. A refusal costs the
// fleet next to nothing, so its retry at another target does not wait.
func (r *Retrier) backoff(a Attempt) time.Duration {
	if a.Refused {
		return 0
	}
	limit := min(maxBackoff, baseBackoff<<min(a.Number, 10))
	return time.Duration(r.source.Int64N(int64(limit)))
}

// comeBack returns the time to come back for the caller, with jitter so that
// callers refused together do not return together.
func (r *Retrier) comeBack(a Attempt) time.Duration {
	if a.Outcome != NotRun && !a.Idempotent || a.Outcome == Whole {
		return 0
	}
	after := min(max(a.After, minComeBack), maxComeBack)
	return after + time.Duration(r.source.Int64N(int64(after/2)))
}

func (r *Retrier) succeeded(target string) { delete(r.breakers, target) }

func (r *Retrier) failed(now time.Time, target string) {
	b, ok := r.breakers[target]
	if !ok {
		b = &breaker{state: Closed, pause: openTime}
		r.breakers[target] = b
	}
	b.failures++
	switch b.state {
	case HalfOpen:
		b.pause = min(2*b.pause, maxOpenTime)
	case Open:
		return // an attempt from before the breaker opened
	case Closed:
		if b.failures < tripFailures {
			return
		}
	}
	b.state, b.opened, b.trial = Open, now, time.Time{}
}

func (r *Retrier) account(name string) *bucket {
	b, ok := r.accounts[name]
	if !ok {
		if len(r.accounts) >= maxAccounts {
			clear(r.accounts)
		}
		b = &bucket{r.accountBurst, r.accountShare, r.accountBurst}
		r.accounts[name] = b
	}
	return b
}

func (b *bucket) fill() { b.tokens = min(b.burst, b.tokens+b.share) }
