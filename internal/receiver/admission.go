package receiver

import (
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/scheduler"
)

// decide decides whether a request is sent to the target chosen for it. The caller must
// hold the lock.
func (d *Dispatcher) decide(now time.Time, service string, p chooser.PrefillRequest, c chooser.PrefillChoice) scheduler.Decision {
	s, ok := d.schedulers[service]
	if !ok {
		s = scheduler.New()
		d.schedulers[service] = s
	}
	return s.Decide(now,
		scheduler.Request{Priority: p.Priority, Objective: p.FirstTokenTarget, Left: p.ResponseTimeout},
		scheduler.Estimate{Wait: c.Wait, Backlog: c.Backlog, BacklogAge: c.BacklogAge, Rest: time.Duration(p.ExpectedEvents) * c.EventInterval})
}

// HeardWithin reports whether a target has sent an event of any request within a time.
func (d *Dispatcher) HeardWithin(now time.Time, t ChosenTarget, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.policy.LastEvent(t.Target.ID)) < within
}
