package scheduler

// Clone returns a copy that shares no state with the scheduler. A decision of the copy changes
// nothing here.
func (s *Scheduler) Clone() *Scheduler {
	c := *s
	return &c
}
