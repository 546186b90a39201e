package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Known reports whether a request is running or queued.
func (a *Admitter) Known(id string) bool {
	_, running := a.running[id]
	return running || slices.ContainsFunc(a.waiting, func(j *job) bool { return j.ID == id })
}

// RunningRequests returns the running requests of a holder, ordered by ID.
func (a *Admitter) RunningRequests(holder string) []Request {
	var requests []Request
	for _, id := range sortedKeys(a.running) {
		if j := a.running[id]; j.Reservation.Holder == holder {
			requests = append(requests, j.Request)
		}
	}
	return requests
}

// UnbilledCharges returns the charges that are not durable yet, ordered by request ID. If
// holder is empty, it returns those of all holders.
func (a *Admitter) UnbilledCharges(holder string) []Charge {
	var charges []Charge
	for _, id := range sortedKeys(a.unbilled) {
		if u := a.unbilled[id]; holder == "" || u.Reservation.Holder == holder {
			charges = append(charges, u.Charge)
		}
	}
	return charges
}

// UnbilledCount returns the number of charges that are not durable yet.
func (a *Admitter) UnbilledCount() int { return len(a.unbilled) }

// UnsettledReservations returns those of a holder's reservations that are in use by a
// running request or have a charge that is not durable yet, in the given order.
func (a *Admitter) UnsettledReservations(holder string, numbers []uint64) []uint64 {
	inUse := make(map[uint64]struct{})
	for _, j := range a.running {
		if j.Reservation.Holder == holder {
			inUse[j.Reservation.Number] = struct{}{}
		}
	}
	for _, u := range a.unbilled {
		if u.Reservation.Holder == holder {
			inUse[u.Reservation.Number] = struct{}{}
		}
	}
	var unsettled []uint64
	for _, n := range numbers {
		if _, ok := inUse[n]; ok {
			unsettled = append(unsettled, n)
		}
	}
	return unsettled
}

// isRevoked reports whether the holder of a reservation has ended it.
func (a *Admitter) isRevoked(r Reservation) bool {
	v := a.revoked[r.Holder]
	if v == nil {
		return false
	}
	_, listed := v.numbers[r.Number]
	return listed || r.Number < v.below
}

// ClosedHolders returns the closed holders in sorted order.
func (a *Admitter) ClosedHolders() []string { return sortedKeys(a.closed) }

// Slots returns the number of requests that may run at once.
func (a *Admitter) Slots() int {
	if a.load.Slots > 0 {
		return a.load.Slots
	}
	return a.limits.Slots
}

// queueLimit returns how many requests may be queued. A side knows its load better
// than a router does, so it refuses requests that would wait longer than half a mean
// service time, and the router sends them to another target.
func (a *Admitter) queueLimit() int { return min(a.limits.Queue, max(minQueueLimit, a.Slots()/2)) }

// Load returns the load to publish to routers. Requests that this side has started
// count before the target reports them.
func (a *Admitter) Load() Load {
	return Load{
		Running: max(len(a.running), a.load.Running),
		Waiting: max(len(a.waiting), a.load.Waiting),
		Slots:   a.Slots(),
		Cache:   a.load.Cache,
	}
}

// Registered reports whether the side has registered and may admit requests.
func (a *Admitter) Registered() bool { return a.registered }

// Draining reports whether the side is draining.
func (a *Admitter) Draining() bool { return a.draining }

// OpenCount returns the number of running and queued requests.
func (a *Admitter) OpenCount() int { return len(a.running) + len(a.waiting) }

// EstimatedWait estimates how long a new request of the lowest worth would be queued.
func (a *Admitter) EstimatedWait() time.Duration {
	if len(a.running) < a.Slots() {
		return 0
	}
	return a.waitAtPosition(len(a.waiting))
}

// waitAtPosition estimates the time in the queue at a position from the mean service
// time.
func (a *Admitter) waitAtPosition(position int) time.Duration {
	return a.meanServiceTime * time.Duration(position+1) / time.Duration(max(a.Slots(), 1))
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
