package follower

import (
	"cmp"
	"maps"
	"slices"
)

// Clone returns a copy of the view that shares no state with it, and that no change reaches.
func (r *Roster) Clone() *Roster {
	c := *r
	c.targets, c.missing, c.departed, c.removed, c.unproven = maps.Clone(r.targets), maps.Clone(r.missing), maps.Clone(r.departed), maps.Clone(r.removed), maps.Clone(r.unproven)
	c.ready, c.gone, c.ended = nil, nil, nil
	c.doubts = make(map[string]*doubt, len(r.doubts))
	for id, d := range r.doubts {
		other := *d
		c.doubts[id] = &other
	}
	return &c
}

// All returns the targets of a service, also those that accept no requests, sorted by ID.
func (r *Roster) All(service string) []Target {
	var list []Target
	for _, t := range r.targets {
		if t.Service == service {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
