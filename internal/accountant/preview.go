package accountant

import "daisylane/internal/granter"

// Preview returns what Reserve would answer from the tokens at hand. It reserves nothing, asks
// nobody for tokens and counts no demand.
func (a *Accountant) Preview(account string, n int64) granter.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	d, _ := unprovenRefusal(a.state.Preview(now, account, n), a.storeReachable(now))
	return d
}

// unprovenRefusal makes a final refusal a temporary one while the store, which may know more
// tokens, does not respond. It reports whether it did.
func unprovenRefusal(d granter.Decision, storeReachable bool) (granter.Decision, bool) {
	if storeReachable || d.Outcome != granter.Exhausted && d.Outcome != granter.Withheld {
		return d, false
	}
	d.Outcome, d.RetryAfter = granter.Short, lostRetryAfter
	return d, true
}
