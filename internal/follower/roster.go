package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// missingGrace is how long after an outage of the store a target that is missing from
// the list stays in use. Live targets are back in the list two seconds after the store
// is available again.
const missingGrace = 2200 * time.Millisecond

// restoreGrace is how long after a restore of the store a target that had left before
// stays out of use although the older list names it. By then the store has removed the
// registrations of targets that no longer write, after three heartbeats of silence.
const restoreGrace = 6 * time.Second

// maxDeparted limits the incarnations that are remembered as leaving, or as removed,
// after they have left the list.
const maxDeparted = 4096

// Target is one incarnation of a process that serves the requests of a service.
type Target struct {
	ID          string // the ID that the target sends in its responses
	Service     string
	Addr        string
	Centre      string
	Version     string // of its software, empty if it does not say
	Slots       int
	Incarnation int64         // distinguishes incarnations that share an ID
	Warmup      time.Duration // warm-up time that was left when the registration was written
	Leaving     bool          // accepts no new requests
}

// SameIncarnation reports whether two registrations describe the same incarnation.
func (t Target) SameIncarnation(u Target) bool {
	return t.ID == u.ID && t.Addr == u.Addr && t.Service == u.Service && t.Incarnation == u.Incarnation
}

// sameProcess reports whether two registrations describe the same process. One that does not
// tell its start is another one if its version differs.
func (t Target) sameProcess(u Target) bool { return t.SameIncarnation(u) && t.Version == u.Version }

// Roster is the view of the targets. It reads no clock: the caller passes the time.
type Roster struct {
	targets       map[string]Target
	missing       map[string]time.Time // when use of a target that is missing from the list ends, by ID
	departed      map[string]Target    // the last incarnation of each ID that was leaving, also after its removal
	removed       map[string]Target    // the last incarnation of each ID that was removed from the list
	unproven      map[string]Target    // listed after a restore of the store, but removed before it
	restoredAt    time.Time            // when the store was last restored from an older copy
	ready         map[string][]Target  // by service, sorted by ID; derived from targets, nil if outdated
	gone          []Target             // removed since the last call of TakeGone
	ended         []Target             // that have started again since the last call of TakeEnded
	reconnectedAt time.Time            // when the last outage of the store ended
	version       int64                // incremented by each change of the targets
	doubts        map[string]*doubt    // observed ends of processes, by ID of the target
	contact       time.Time            // when the last call to the store was begun that has a response
	settledAt     time.Time            // when live targets have registered again after the last outage
}

// NewRoster returns an empty view.
func NewRoster() *Roster {
	return &Roster{targets: make(map[string]Target), missing: make(map[string]time.Time), departed: make(map[string]Target), removed: make(map[string]Target), unproven: make(map[string]Target), doubts: make(map[string]*doubt)}
}

// Version returns a number that increases with each change of the targets.
func (r *Roster) Version() int64 { return r.version }

func (r *Roster) changed() {
	r.ready = nil
	r.version++
}

// RecordReconnect records that the store responds again after an outage.
func (r *Roster) RecordReconnect(now time.Time) {
	r.reconnectedAt = now
	r.RecordSilence(now)
}

// RecordRestore records that the store was restored from an older copy, which may name
// targets that have left since and lack some that have registered since.
func (r *Roster) RecordRestore(now time.Time) {
	r.restoredAt = now
	r.RecordReconnect(now)
}

// SetList updates the view from a complete list of targets.
func (r *Roster) SetList(now time.Time, list []Target) {
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
	maps.DeleteFunc(r.unproven, func(id string, _ Target) bool { return !listed[id] })
}

// Put adds or replaces one target.
func (r *Roster) Put(t Target) {
	delete(r.missing, t.ID)
	if old, ok := r.removed[t.ID]; ok && !r.restoredAt.IsZero() && old.SameIncarnation(t) {
		r.unproven[t.ID] = t
		return
	}
	delete(r.removed, t.ID)
	if old, ok := r.departed[t.ID]; ok && old.SameIncarnation(t) {
		t.Leaving = true // an incarnation that is leaving cannot become active again
	}
	if old, ok := r.targets[t.ID]; ok && !old.SameIncarnation(t) {
		r.ended = append(r.ended, old)
		if !r.restoredAt.IsZero() && t.Incarnation < old.Incarnation {
			// The older copy of the store names a process that has ended.
			r.doubts[t.ID] = &doubt{open: true, since: r.restoredAt, at: r.restoredAt, listed: t}
		}
	}
	r.targets[t.ID] = t
	if t.Leaving {
		r.recordDeparture(t)
	}
	r.changed()
}

// MarkLeaving records that a target says itself that it is leaving, which may be long
// before its registration does. It reports whether this is news.
func (r *Roster) MarkLeaving(id string) bool {
	t, ok := r.targets[id]
	if !ok || t.Leaving {
		return false
	}
	t.Leaving = true
	r.Put(t)
	return true
}

// MarkAddrLeaving does the same for the targets at an address, except for one that no
// longer has it. It returns the IDs of those that were not known to leave.
func (r *Roster) MarkAddrLeaving(addr, except string) []string {
	var marked []string
	for id, t := range r.targets {
		if t.Addr == addr && id != except && r.MarkLeaving(id) {
			marked = append(marked, id)
		}
	}
	return marked
}

// recordDeparture remembers a leaving incarnation.
func (r *Roster) recordDeparture(t Target) {
	r.departed[t.ID] = t
	r.trim(r.departed)
}

// trim drops one entry of a target that is not listed if there are too many.
func (r *Roster) trim(m map[string]Target) {
	if len(m) <= maxDeparted {
		return
	}
	for id := range m {
		if _, listed := r.targets[id]; !listed {
			delete(m, id)
			return
		}
	}
}

// Remove drops a target that is no longer in the list. Within missingGrace after an
// outage it only marks the target as missing, because the registration of a live target
// may have expired during the outage.
func (r *Roster) Remove(now time.Time, id string) {
	delete(r.unproven, id)
	t, ok := r.targets[id]
	if !ok {
		return
	}
	if !t.Leaving && now.Before(r.reconnectedAt.Add(missingGrace)) {
		if _, ok := r.missing[id]; !ok {
			r.missing[id] = r.reconnectedAt.Add(missingGrace)
		}
		return
	}
	delete(r.targets, id)
	delete(r.missing, id)
	delete(r.doubts, id)
	r.gone = append(r.gone, t)
	r.removed[id] = t
	r.trim(r.removed)
	r.changed()
}

// Drop drops a target whose address now belongs to another target. Only a new registration
// adds it again.
func (r *Roster) Drop(id string) {
	if t, ok := r.targets[id]; ok {
		r.gone = append(r.gone, t)
	}
	delete(r.targets, id)
	delete(r.missing, id)
	delete(r.doubts, id)
	r.changed()
}

// Expire drops the missing targets whose grace period has ended.
// After a restore of the store it takes up targets that are still listed although they
// had been removed before.
func (r *Roster) Expire(now time.Time) {
	if !r.restoredAt.IsZero() && now.Sub(r.restoredAt) >= restoreGrace {
		r.restoredAt = time.Time{}
		for id, t := range r.unproven {
			delete(r.unproven, id)
			r.Put(t)
		}
	}
	for id, end := range r.missing {
		if !now.Before(end) {
			r.gone = append(r.gone, r.targets[id])
			delete(r.targets, id)
			delete(r.missing, id)
			delete(r.doubts, id)
			r.changed()
		}
	}
}

// TakeEnded returns the former incarnations of targets that have started again under their
// ID since the last call.
func (r *Roster) TakeEnded() []Target {
	ended := r.ended
	r.ended = nil
	return ended
}

// IsReplaced reports whether another incarnation has the ID of a target.
func (r *Roster) IsReplaced(t Target) bool {
	now, ok := r.targets[t.ID]
	return ok && !now.SameIncarnation(t)
}

// TakeGone returns the targets that were removed since the last call.
func (r *Roster) TakeGone() []Target {
	gone := r.gone
	r.gone = nil
	return gone
}

// In returns the IDs of the targets in some data centres, whatever their state.
func (r *Roster) In(centres []string) []string {
	var ids []string
	for id, t := range r.targets {
		if slices.Contains(centres, t.Centre) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Has reports whether a target is known, whatever its state.
func (r *Roster) Has(id string) bool {
	_, ok := r.targets[id]
	return ok
}

// Ready returns the targets of a service that accept requests, sorted by ID. It
// returns the same slice until the view changes; the caller must not modify it.
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
