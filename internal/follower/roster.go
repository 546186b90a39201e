package follower

import (
	"cmp"
	"slices"
	"time"
)

// lapseTime is how long a target that left the list in an outage of the store is
// still used: live targets are back in the list two seconds after the store.
const lapseTime = 2200 * time.Millisecond

// Target is one incarnation of a process that answers requests of a service.
type Target struct {
	ID      string // that it gives in its answers
	Service string
	Addr    string
	Centre  string
	Slots   int
	Born    int64         // tells incarnations with one ID apart
	Warmup  time.Duration // remaining, when the entry was written
	Leaving bool          // takes no new requests
}

// Same reports whether two entries are of the same incarnation.
func (t Target) Same(u Target) bool {
	return t.ID == u.ID && t.Addr == u.Addr && t.Service == u.Service && t.Born == u.Born
}

// Roster is the view of the targets. It is a decision type: times go in.
type Roster struct {
	targets map[string]Target
	lapsed  map[string]time.Time // end of use of targets that are missing from the list
	ready   map[string][]Target  // by service, in order of ID; derived
	back    time.Time            // when the store answered again
	version int64                // grows with each change of the targets
}

// NewRoster returns an empty view.
func NewRoster() *Roster {
	return &Roster{targets: make(map[string]Target), lapsed: make(map[string]time.Time)}
}

// Version returns a number that grows with each change of the targets.
func (r *Roster) Version() int64 { return r.version }

func (r *Roster) changed() {
	r.ready = nil
	r.version++
}

// Regained says that the store answers again after an outage.
func (r *Roster) Regained(now time.Time) { r.back = now }

// List takes over the complete list.
func (r *Roster) List(now time.Time, list []Target) {
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		r.Put(t)
	}
	for id := range r.targets {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Put takes over the entry of one target.
func (r *Roster) Put(t Target) {
	delete(r.lapsed, t.ID)
	if old, ok := r.targets[t.ID]; ok && old.Same(t) && old.Leaving {
		t.Leaving = true // a target does not come back from leaving
	}
	r.targets[t.ID] = t
	r.changed()
}

// Remove takes over that a target is not in the list. Right after an outage it
// may only have lapsed.
func (r *Roster) Remove(now time.Time, id string) {
	t, ok := r.targets[id]
	if !ok {
		return
	}
	if !t.Leaving && now.Before(r.back.Add(lapseTime)) {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.back.Add(lapseTime)
		}
		return
	}
	delete(r.targets, id)
	delete(r.lapsed, id)
	r.changed()
}

// Gone drops a target whose address answers as another one. Only a new entry
// brings it back.
func (r *Roster) Gone(id string) {
	delete(r.targets, id)
	delete(r.lapsed, id)
	r.changed()
}

// Expire drops lapsed targets whose time is over and returns them.
func (r *Roster) Expire(now time.Time) []Target {
	var gone []Target
	for id, end := range r.lapsed {
		if !now.Before(end) {
			gone = append(gone, r.targets[id])
			delete(r.targets, id)
			delete(r.lapsed, id)
			r.changed()
		}
	}
	return gone
}

// Ready returns the targets of a service that take requests. The result is the
// same slice until the view changes, and must not be changed.
func (r *Roster) Ready(service string) []Target {
	if r.ready == nil {
		r.ready = make(map[string][]Target)
		for _, t := range r.targets {
			if !t.Leaving {
				r.ready[t.Service] = append(r.ready[t.Service], t)
			}
		}
		for _, list := range r.ready {
			slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
	return r.ready[service]
}
