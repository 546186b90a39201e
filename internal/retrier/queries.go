package retrier

import "time"

// Blocked reports whether a target's circuit breaker blocks attempts.
func (r *Retrier) Blocked(now time.Time, target string) bool {
	b, ok := r.breakers[target]
	if !ok {
		return false
	}
	switch b.state {
	case Open:
		return now.Sub(b.openedAt) < b.openDuration
	case HalfOpen:
		return !b.trialStart.IsZero() && now.Sub(b.trialStart) < trialTimeout
	}
	return false
}

// AppendBlocked appends the blocked targets to a list; see [Retrier.Blocked].
func (r *Retrier) AppendBlocked(list []string, now time.Time) []string {
	for name := range r.breakers {
		if r.Blocked(now, name) {
			list = append(list, name)
		}
	}
	return list
}

// State returns the state of a target's circuit breaker.
func (r *Retrier) State(now time.Time, target string) State {
	b, ok := r.breakers[target]
	switch {
	case !ok:
		return Closed
	case b.state == Open && !r.Blocked(now, target):
		return HalfOpen
	}
	return b.state
}

// retryEligibility returns [ReasonAllowed] if an attempt may be retried regardless of
// the budgets and the deadline, otherwise the reason against it.
func (r *Retrier) retryEligibility(a Attempt) string {
	switch {
	case a.Outcome == Complete:
		return ReasonComplete
	case a.Outcome != NotRun && !a.Idempotent:
		return ReasonMayHaveRun
	case a.Delivered:
		return ReasonDelivered
	case a.Number >= r.attemptLimit(a):
		return ReasonAttempts
	}
	return ReasonAllowed
}

// attemptLimit returns the maximum number of attempts of a request.
func (r *Retrier) attemptLimit(a Attempt) int {
	if a.MaxAttempts > 0 {
		return a.MaxAttempts
	}
	return r.defaultAttempts
}
