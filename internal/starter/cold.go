package starter

import (
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/throttler"
	"daisylane/platform"
)

// bootstrapTime is how long after the first start of the whole system targets that were not
// known count as warm. They all start then.
const bootstrapTime = 10 * time.Second

// setColdBounds sets the bounds of requests to cold targets.
func (e *entry) setColdBounds(cfg platform.Settings) {
	e.permits.UpdateCold(func(_ time.Time, c *throttler.Cold) {
		c.SetBounds(throttler.ColdBounds{Ratio: cfg.Bounds.ColdRatio, Reserve: cfg.Bounds.ColdReserve})
	})
}

// setColdServices sets how the targets of the services start.
func (e *entry) setColdServices(cfg resolver.Config) {
	services := make(map[string]throttler.ColdService, len(cfg.Services))
	for _, s := range cfg.Services {
		services[s.Name] = throttler.ColdService{Start: s.ColdStart, PerSecond: s.ColdPerSecond}
	}
	e.permits.UpdateCold(func(_ time.Time, c *throttler.Cold) { c.SetServices(services) })
}

// observeTargets passes registrations on. changed says that the store reported a change.
func (e *entry) observeTargets(list []follower.Target, changed bool) {
	first, bootstrap := !e.targetsListed.Load(), e.cfg.Bootstrap && time.Since(e.startedAt) < bootstrapTime
	e.permits.UpdateCold(func(now time.Time, c *throttler.Cold) {
		for _, t := range list {
			r := throttler.Registration{Target: coldTarget(t), Left: t.Warmup}
			switch {
			case bootstrap && !c.Has(t.ID), first && t.Incarnation == 0:
				r.Age = throttler.Settled
			case first:
				r.Age = max(0, now.Sub(time.UnixMilli(t.Incarnation)))
			}
			c.ObserveTarget(now, r, changed)
		}
	})
}

// forgetCold removes what is known of the start of a target.
func (e *entry) forgetCold(t follower.Target) {
	e.permits.UpdateCold(func(_ time.Time, c *throttler.Cold) { c.Forget(coldTarget(t)) })
}

func coldTarget(t follower.Target) throttler.Target {
	return throttler.Target{Service: t.Service, ID: t.ID, Incarnation: t.Incarnation}
}
