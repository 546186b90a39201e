package recoverer

import (
	"fmt"
	"slices"
)

// PendingSides returns the sorted names of the sides that have not answered and are not
// known to be gone.
func (r *Recovery) PendingSides() []string {
	var list []string
	for name, s := range r.sides {
		if !s.answered && !s.gone {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Done reports whether all shards are released.
func (r *Recovery) Done() bool { return r.step == stepDone }

// Instance returns the dead holder.
func (r *Recovery) Instance() string { return r.cfg.Instance }

// String returns the state of the recovery as text.
func (r *Recovery) String() string {
	return fmt.Sprintf("recovery of %s by %s, step %d, %d sides outstanding", r.cfg.Instance, r.cfg.Successor, r.step, len(r.PendingSides()))
}
