package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Known reports whether a request runs or waits.
func (a *Admitter) Known(id string) bool {
	_, running := a.running[id]
	return running || slices.ContainsFunc(a.waiting, func(j *job) bool { return j.ID == id })
}

// Open returns the running requests of a holder, ordered by id.
func (a *Admitter) Open(holder string) []Request {
	var open []Request
	for _, id := range sortedKeys(a.running) {
		if j := a.running[id]; j.Reservation.Holder == holder {
			open = append(open, j.Request)
		}
	}
	return open
}

// Unbilled returns the charges that are not durable yet, of one holder or of
// all holders if holder is empty, ordered by request id.
func (a *Admitter) Unbilled(holder string) []Charge {
	var charges []Charge
	for _, id := range sortedKeys(a.unbilled) {
		if u := a.unbilled[id]; holder == "" || u.Reservation.Holder == holder {
			charges = append(charges, u.Charge)
		}
	}
	return charges
}

// UnbilledCount returns how many charges are not durable yet.
func (a *Admitter) UnbilledCount() int { return len(a.unbilled) }

// Unsettled returns those of a holder's reservations that run here or have a
// charge that is not durable yet, in the given order.
func (a *Admitter) Unsettled(holder string, numbers []uint64) []uint64 {
	held := make(map[uint64]struct{})
	for _, j := range a.running {
		if j.Reservation.Holder == holder {
			held[j.Reservation.Number] = struct{}{}
		}
	}
	for _, u := range a.unbilled {
		if u.Reservation.Holder == holder {
			held[u.Reservation.Number] = struct{}{}
		}
	}
	var list []uint64
	for _, n := range numbers {
		if _, ok := held[n]; ok {
			list = append(list, n)
		}
	}
	return list
}

// isRevoked reports whether the holder has ended a reservation.
func (a *Admitter) isRevoked(r Reservation) bool {
	v := a.revoked[r.Holder]
	if v == nil {
		return false
	}
	_, listed := v.numbers[r.Number]
	return listed || r.Number < v.below
}

// ClosedHolders returns the closed holders in order.
func (a *Admitter) ClosedHolders() []string { return sortedKeys(a.closed) }

// Slots returns how many requests may run at the same time.
func (a *Admitter) Slots() int {
	if a.load.Slots > 0 {
		return a.load.Slots
	}
	return a.limits.Slots
}

// queue returns how many requests may wait. A side knows its load better than a
// router does, so it refuses what would wait longer than half a mean run and
// leaves the request to another target.
func (a *Admitter) queue() int { return min(a.limits.Queue, max(minQueue, a.Slots()/2)) }

// Load returns the load that routers see. Requests of this side count as soon
// as they start, before the target reports them.
func (a *Admitter) Load() Load {
	return Load{
		Running: max(len(a.running), a.load.Running),
		Waiting: max(len(a.waiting), a.load.Waiting),
		Slots:   a.Slots(),
		Cache:   a.load.Cache,
	}
}

// Registered reports whether the side may admit work.
func (a *Admitter) Registered() bool { return a.registered }

// Draining reports whether the side refuses new work.
func (a *Admitter) Draining() bool { return a.draining }

// OpenCount returns how many requests run or wait.
func (a *Admitter) OpenCount() int { return len(a.running) + len(a.waiting) }

// Wait estimates how long a new request of the lowest worth would wait.
func (a *Admitter) Wait() time.Duration {
	if len(a.running) < a.Slots() {
		return 0
	}
	return a.waitAt(len(a.waiting))
}

// waitAt estimates the wait at a position of the queue from the mean time in a slot.
func (a *Admitter) waitAt(position int) time.Duration {
	return a.service * time.Duration(position+1) / time.Duration(max(a.Slots(), 1))
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
