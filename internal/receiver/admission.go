package receiver

import (
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/scheduler"
)

// admit decides whether a request is sent to the target chosen for it, or else to the one that
// would answer soonest, if that is idle: a cached prefix is no reason to refuse a request
// while another target has nothing to do. It returns the target and the decision. The caller
// must hold the lock. decided says that another target has refused the request before.
func (d *Dispatcher) admit(now time.Time, service string, p chooser.PrefillRequest, c chooser.PrefillChoice, list []chooser.Node, decided bool) (chooser.PrefillChoice, scheduler.Decision) {
	v := d.decide(now, service, p, c, scheduler.Request{Counted: decided})
	if v.Admit {
		return c, v
	}
	p.Soonest = true
	soonest, ok := d.policy.Choose(now, p, list)
	if !ok {
		return c, v
	}
	if w := d.decide(now, service, p, soonest, scheduler.Request{Elsewhere: true}); !w.Admit {
		v.After = min(v.After, w.After)
		return c, v
	}
	return soonest, scheduler.Decision{Admit: true}
}

// decide decides whether a request is sent to the target chosen for it, or elsewhere. r says
// which decision it is. The caller must hold the lock.
func (d *Dispatcher) decide(now time.Time, service string, p chooser.PrefillRequest, c chooser.PrefillChoice, r scheduler.Request) scheduler.Decision {
	s, ok := d.schedulers[service]
	if !ok {
		s = scheduler.New()
		d.schedulers[service] = s
	}
	r.Priority, r.Account, r.Objective, r.Left = p.Priority, p.Account, p.FirstTokenTarget, p.ResponseTimeout
	return s.Decide(now, r, scheduler.Estimate{Wait: c.Wait, Backlog: c.Backlog, BacklogAge: c.BacklogAge, Rest: time.Duration(p.ExpectedEvents) * c.EventInterval})
}

// HeardWithin reports whether a target has sent an event of any request within a time.
func (d *Dispatcher) HeardWithin(now time.Time, t ChosenTarget, within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.policy.LastEvent(t.Target.ID)) < within
}
