package retrier

import "maps"

// CloneTargets returns a copy of what is known of targets, which shares no state with the
// retrier. It has no retry budgets.
func (r *Retrier) CloneTargets() *Retrier {
	c := *r
	c.accounts = make(map[string]*tokenBucket)
	c.breakers = make(map[string]*breaker, len(r.breakers))
	for id, b := range r.breakers {
		own := *b
		c.breakers[id] = &own
	}
	c.pauses = maps.Clone(r.pauses)
	return &c
}
