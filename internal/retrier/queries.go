package retrier

import "time"

// Blocked reports whether a target's circuit breaker keeps attempts away.
func (r *Retrier) Blocked(now time.Time, target string) bool {
	b, ok := r.breakers[target]
	if !ok {
		return false
	}
	switch b.state {
	case Open:
		return now.Sub(b.opened) < b.pause
	case HalfOpen:
		return !b.trial.IsZero() && now.Sub(b.trial) < trialTime
	}
	return false
}

// AppendBlocked appends the targets that [Retrier.Blocked] reports to a list.
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

// permission says whether an attempt may be repeated, budgets aside.
func (r *Retrier) permission(a Attempt) string {
	switch {
	case a.Outcome == Whole:
		return ReasonWhole
	case a.Outcome != NotRun && !a.Idempotent:
		return ReasonMayHave
	case a.Delivered:
		return ReasonDelivered
	case a.Number >= r.limit(a):
		return ReasonAttempts
	}
	return ReasonAllowed
}

// limit returns how many attempts a request may have.
func (r *Retrier) limit(a Attempt) int {
	if a.Attempts > 0 {
		return a.Attempts
	}
	return r.attempts
}
