package granter

import "time"

// Preview returns what Reserve would, without a reservation.
func (g *Granter) Preview(now time.Duration, name string, n int64) Decision {
	a, ok := g.accounts[name]
	if !ok {
		a = &account{prepaid: -1} // as Reserve takes an unknown account
	}
	return g.decide(now, name, a, n)
}
