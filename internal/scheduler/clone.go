package scheduler

import "maps"

// Clone returns a copy that shares no state with the scheduler. A decision of the copy changes
// nothing here.
func (s *Scheduler) Clone() *Scheduler {
	c := *s
	for i := range c.shares {
		c.shares[i].uses = maps.Clone(c.shares[i].uses)
	}
	return &c
}
