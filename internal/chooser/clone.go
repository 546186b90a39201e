package chooser

import (
	"maps"
	"slices"
	"time"
)

// Clone returns a copy that shares no state with the policy. A choice of the copy changes
// nothing here. Requests in flight belong to the original: they must not be passed to the
// methods of the copy.
func (p *PrefillPolicy) Clone() *PrefillPolicy {
	c := *p
	c.states, c.observe = nil, nil
	c.services = make(map[string]*serviceModel, len(p.services))
	copies := make(map[*serviceModel]*serviceModel, len(p.services))
	for name, s := range p.services {
		c.services[name] = s.clone()
		copies[s] = c.services[name]
	}
	c.engines = make(map[string]*engineState, len(p.engines))
	for name, e := range p.engines {
		own := *e
		own.cachedParts, own.pending, own.service = maps.Clone(e.cachedParts), slices.Clone(e.pending), copies[e.service]
		c.engines[name] = &own
	}
	return &c
}

func (s *serviceModel) clone() *serviceModel {
	c := *s
	for i, m := range s.models {
		if m != nil {
			own := *m
			c.models[i] = &own
		}
	}
	return &c
}

// Observe sets a function that [PrefillPolicy.Choose] calls with each node that has room, and
// with the cost by which it is compared.
func (p *PrefillPolicy) Observe(f func(c PrefillChoice, cost time.Duration)) { p.observe = f }

// LastReport returns the last load report of a target.
func (p *PrefillPolicy) LastReport(name string) Load {
	if e, ok := p.engines[name]; ok {
		return e.report
	}
	return Load{}
}
