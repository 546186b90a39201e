package restrictor

import "maps"

// Clone returns a copy that shares no state with the view.
func (e *Evacuations) Clone() *Evacuations {
	c := *e
	c.since, c.unproven = maps.Clone(e.since), maps.Clone(e.unproven)
	return &c
}
