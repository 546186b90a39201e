package receiver

import (
	"slices"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/previewer"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/scheduler"
)

// clone returns a dispatcher with a copy of the state and the given limits. A choice of the
// copy changes nothing here. It has no retry budgets and no requests in flight.
func (d *Dispatcher) clone(limits Limits) *Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &Dispatcher{
		regions: d.regions, limits: limits, roster: d.roster.Clone(), policy: d.policy.Clone(), retries: d.retries.CloneTargets(),
		nodes: make(map[nodesKey]serviceNodes), schedulers: make(map[string]*scheduler.Scheduler, len(d.schedulers)),
	}
	if d.evacuations != nil {
		c.evacuations = d.evacuations.Clone()
	}
	for name, s := range d.schedulers {
		c.schedulers[name] = s.Clone()
	}
	return c
}

// candidates returns all targets of a service, with their estimates or the reasons why they
// are not eligible. It is for a dispatcher that [Dispatcher.clone] has returned, whose state it
// leaves as it is but for what expires.
func (d *Dispatcher) candidates(now time.Time, service *resolver.Service, places restrictor.Places, p chooser.PrefillRequest, versions []string) []previewer.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.readyNodes(service, places)
	estimates := d.estimates(now, p, n)
	unfit := n.appendUnfit(nil, versions)
	limits, _ := d.limits.(PreviewLimits)
	cold := limits.AppendCold(nil, now, service.Name)
	closed := d.limits.AppendClosed(nil, now, service.Name, len(n.targets))
	list := make([]previewer.Candidate, 0, len(n.targets))
	for _, t := range d.roster.All(service.Name) {
		c := previewer.Candidate{Target: t.ID, Addr: t.Addr, Centre: t.Centre, Version: t.Version, Estimate: estimates[t.ID]}
		permitted := len(d.permitted([]follower.Target{t}, places)) > 0
		switch {
		case t.Leaving:
			c.Reason = previewer.Leaving
		case !permitted && !places.Allows(d.regions[t.Centre]):
			c.Reason = previewer.OtherRegion
		case !permitted:
			c.Reason = previewer.Evacuated
		case slices.Contains(unfit, t.ID):
			c.Reason = previewer.OtherVersion
		case d.retries.PauseLeft(now, t.ID) > 0:
			c.Reason, c.Left = previewer.Paused, d.retries.PauseLeft(now, t.ID).Milliseconds()
		case slices.Contains(cold, t.ID):
			c.Reason, c.Left = previewer.Cold, d.limits.OpensIn(now, []string{t.ID}).Milliseconds()
		case slices.Contains(closed, t.ID):
			c.Reason, c.Left = previewer.Limited, d.limits.OpensIn(now, []string{t.ID}).Milliseconds()
		case d.retries.Blocked(now, t.ID):
			c.Reason = previewer.BreakerOpen
		case c.Estimate == nil:
			c.Reason = previewer.Full
		}
		list = append(list, c)
	}
	return list
}

// estimates returns what the policy expects at each of the targets that have room. The caller
// must hold the lock.
func (d *Dispatcher) estimates(now time.Time, p chooser.PrefillRequest, n serviceNodes) map[string]*previewer.Estimate {
	found := make(map[string]*previewer.Estimate, len(n.list))
	policy := d.policy.Clone()
	policy.Observe(func(c chooser.PrefillChoice, cost time.Duration) {
		node := n.list[c.Index]
		load := policy.LastReport(node.Name)
		found[node.Name] = &previewer.Estimate{
			Prefix: c.Reason == chooser.ReasonPrefix, Wait: millis(c.Wait), Backlog: millis(c.Backlog), Standing: c.BacklogAge.Milliseconds(),
			Cost: millis(cost), Cached: c.CachedTokens, Running: load.Running, Waiting: load.Waiting, Slots: node.Slots,
		}
	})
	policy.Choose(now, p, n.list)
	return found
}

// millis returns a duration in milliseconds, to a hundredth.
func millis(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}
