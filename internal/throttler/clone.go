package throttler

import (
	"maps"
	"slices"
)

// Clone returns a copy that shares no state with the throttle, for questions about targets. It
// is the home of none.
func (t *Throttle) Clone() *Throttle {
	c := New()
	for id, l := range t.targets {
		own := *l
		c.targets[id] = &own
	}
	c.demands = maps.Clone(t.demands)
	return c
}

// Clone returns a copy that shares no state with the original.
func (c *Cold) Clone() *Cold {
	out := *c
	out.services, out.active = maps.Clone(c.services), maps.Clone(c.active)
	out.targets = make(map[string]*coldTarget, len(c.targets))
	for id, t := range c.targets {
		own := *t
		own.sent = slices.Clone(t.sent)
		out.targets[id] = &own
	}
	return &out
}
