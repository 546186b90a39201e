package restrictor

import (
	"maps"
	"slices"
	"time"
)

// restoreGrace is how long after a restore of the store an evacuation stays in force that the
// older copy lacks. The operator's writes come back after a restore; targets that had left
// are kept out for as long.
const restoreGrace = 6 * time.Second

// Evacuations is the view of the data centres that get no requests at the moment. It reads no
// clock: the caller passes the time. It is designed for some ten data centres.
type Evacuations struct {
	listed     bool
	since      map[string]time.Time // when this instance learned of each evacuation, by data centre
	unproven   map[string]bool      // in force although the list after a restore lacks them
	restoredAt time.Time            // zero: not lately
}

// NewEvacuations returns a view that has not been listed yet.
func NewEvacuations() *Evacuations {
	return &Evacuations{since: make(map[string]time.Time), unproven: make(map[string]bool)}
}

// Listed reports whether the evacuations are known.
func (e *Evacuations) Listed() bool { return e.listed }

// Since returns when this instance learned that a data centre is evacuated, and whether it is.
func (e *Evacuations) Since(centre string) (time.Time, bool) {
	at, ok := e.since[centre]
	return at, ok
}

// Any reports whether a data centre is evacuated.
func (e *Evacuations) Any() bool { return len(e.since) > 0 }

// Centres returns the evacuated data centres, sorted.
func (e *Evacuations) Centres() []string { return slices.Sorted(maps.Keys(e.since)) }

// SetList updates the view from a complete list.
func (e *Evacuations) SetList(now time.Time, centres []string) {
	e.listed = true
	for _, c := range centres {
		e.Add(now, c)
	}
	for c := range e.since {
		switch {
		case slices.Contains(centres, c):
		case !e.restoredAt.IsZero() && now.Sub(e.restoredAt) < restoreGrace:
			e.unproven[c] = true
		default:
			e.Remove(c)
		}
	}
}

// Add begins the evacuation of a data centre.
func (e *Evacuations) Add(now time.Time, centre string) {
	delete(e.unproven, centre)
	if _, ok := e.since[centre]; !ok {
		e.since[centre] = now
	}
}

// Remove ends the evacuation of a data centre.
func (e *Evacuations) Remove(centre string) {
	delete(e.unproven, centre)
	delete(e.since, centre)
}

// RecordRestore records that the store was restored from an older copy.
func (e *Evacuations) RecordRestore(now time.Time) { e.restoredAt = now }

// Expire ends the evacuations that a restored store has not named for restoreGrace.
func (e *Evacuations) Expire(now time.Time) {
	if e.restoredAt.IsZero() || now.Sub(e.restoredAt) < restoreGrace {
		return
	}
	e.restoredAt = time.Time{}
	for c := range e.unproven {
		e.Remove(c)
	}
}
