package admitter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Register enables admission. The list contains the holders closed before the
// registration.
func (a *Admitter) Register(closed []string) {
	for _, holder := range closed {
		a.closed[holder] = struct{}{}
	}
	a.registered = true
}

// Admit starts, queues or refuses a new request.
func (a *Admitter) Admit(now time.Time, r Request) []Action {
	if refusal, ok := a.checkAdmission(now, r); ok {
		return []Action{refusal}
	}
	a.lastSequence++
	a.waiting = append(a.waiting, &job{Request: r, sequence: a.lastSequence})
	if r.Reservation.Holder != "" {
		a.reservationOwners[r.Reservation.key()] = r.ID
	}
	return a.schedule(now)
}

// checkAdmission returns a refusal and true if a request must be refused regardless of
// the queue.
func (a *Admitter) checkAdmission(now time.Time, r Request) (Refuse, bool) {
	_, closed := a.closed[r.Reservation.Holder]
	_, recent := a.endedAt[r.ID]
	owner, reserved := a.reservationOwners[r.Reservation.key()]
	switch {
	case !a.registered:
		return Refuse{r.ID, Unregistered, "the side has not registered yet, use another target", time.Second}, true
	case a.draining:
		return Refuse{r.ID, Stopping, "the side is stopping, use another target", 0}, true
	case closed:
		return Refuse{r.ID, Closed, fmt.Sprintf("holder %s is closed, reserve again", r.Reservation.Holder), 0}, true
	case a.isRevoked(r.Reservation):
		return Refuse{r.ID, Revoked, "the reservation has expired, reserve again", 0}, true
	case recent, a.Known(r.ID):
		return Refuse{r.ID, Duplicate, "the request is known already, resume it", 0}, true
	case reserved:
		return Refuse{r.ID, Duplicate, fmt.Sprintf("the reservation belongs to request %s", owner), 0}, true
	case !now.Before(r.Deadline):
		return Refuse{r.ID, Deadline, "the deadline has passed", 0}, true
	}
	return Refuse{}, false
}

// RecordUsage records the tokens used so far and stops a request that exceeds its
// maximum output or its reservation. Tokens above the limit must not be delivered.
func (a *Admitter) RecordUsage(id string, used Usage) []Action {
	j, ok := a.running[id]
	if !ok || j.stopped {
		return nil
	}
	j.usage.Prompt = max(j.usage.Prompt, used.Prompt)
	j.usage.Output = max(j.usage.Output, used.Output)
	over := j.Output > 0 && j.usage.Output > j.Output
	if j.Reservation.Holder != "" {
		over = over || j.usage.Prompt+j.usage.Output > j.Reservation.Tokens
	}
	if !over {
		return nil
	}
	j.stopped = true
	return []Action{Stop{id}}
}

// End frees the slot of a running request and keeps its charge, which is capped at
// the reservation.
func (a *Admitter) End(now time.Time, id string, used Usage) []Action {
	j, ok := a.running[id]
	if !ok {
		return nil
	}
	delete(a.running, id)
	a.endedAt[id] = now
	serviceTime := now.Sub(j.started)
	a.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-a.meanServiceTime))
	if j.Reservation.Holder != "" {
		due := now.Add(a.limits.Settle)
		if _, closed := a.closed[j.Reservation.Holder]; closed {
			due = now // the successor of the holder needs the charge to release unused tokens
		}
		tokens := min(used.Prompt+used.Output, j.Reservation.Tokens)
		a.unbilled[id] = &unbilledCharge{
			Charge:        Charge{ID: id, Reservation: j.Reservation, Key: j.Key, Tokens: tokens},
			dueAt:         due,
			retryInterval: minSettleInterval,
		}
	}
	return a.schedule(now)
}

// ReleaseUnrun frees the slot of a started request that did not reach the target. There
// is no charge, and the request may be sent again.
func (a *Admitter) ReleaseUnrun(now time.Time, id string) []Action {
	j, ok := a.running[id]
	if !ok {
		return nil
	}
	delete(a.running, id)
	delete(a.reservationOwners, j.Reservation.key())
	return a.schedule(now)
}

// Withdraw removes a queued request. It reports false if the request is not queued.
func (a *Admitter) Withdraw(now time.Time, id string) ([]Action, bool) {
	i := slices.IndexFunc(a.waiting, func(j *job) bool { return j.ID == id })
	if i < 0 {
		return nil, false
	}
	delete(a.reservationOwners, a.waiting[i].Reservation.key())
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return a.schedule(now), true
}

// CloseHolder refuses new and queued requests of a holder.
func (a *Admitter) CloseHolder(holder string) []Action {
	a.closed[holder] = struct{}{}
	return a.refuseWaiting(Closed, fmt.Sprintf("holder %s is closed, reserve again", holder), func(j *job) bool {
		return j.Reservation.Holder == holder
	})
}

// Revoke refuses new and queued requests whose reservation a holder has ended: those
// with the given numbers and all with numbers lower than below. Running requests
// continue.
func (a *Admitter) Revoke(holder string, below uint64, numbers []uint64) []Action {
	r := a.revoked[holder]
	if r == nil {
		r = &revocation{numbers: make(map[uint64]struct{})}
		a.revoked[holder] = r
	}
	r.below = max(r.below, below)
	for _, n := range numbers {
		r.numbers[n] = struct{}{}
	}
	maps.DeleteFunc(r.numbers, func(n uint64, _ struct{}) bool { return n < r.below })
	return a.refuseWaiting(Revoked, "the reservation has expired, reserve again", func(j *job) bool {
		return a.isRevoked(j.Reservation)
	})
}

// Drain refuses new and queued requests. Running requests continue.
func (a *Admitter) Drain() []Action {
	a.draining = true
	return a.refuseWaiting(Stopping, "the side is stopping, use another target", func(*job) bool { return true })
}

// Undrain admits requests again after Drain.
func (a *Admitter) Undrain() { a.draining = false }

// SetLoad records the load that the target reports and starts queued requests if there
// are more slots.
func (a *Admitter) SetLoad(now time.Time, load Load) []Action {
	a.load = load
	return a.schedule(now)
}

// RemoveCharge removes the charge of a request, which is now durable at its holder.
func (a *Admitter) RemoveCharge(id string) { delete(a.unbilled, id) }

// SettleAtOnce makes the charge of a request due immediately, because its router is gone
// and cannot settle it.
func (a *Admitter) SettleAtOnce(now time.Time, id string) {
	if u, ok := a.unbilled[id]; ok && !u.settling && now.Before(u.dueAt) {
		u.dueAt = now
	}
}

// SettleFailed schedules a charge to be sent again, with exponential backoff.
func (a *Admitter) SettleFailed(now time.Time, id string) {
	u, ok := a.unbilled[id]
	if !ok {
		return
	}
	u.settling = false
	u.dueAt = now.Add(u.retryInterval)
	u.retryInterval = min(2*u.retryInterval, maxSettleInterval)
}

// Tick refuses queued requests that cannot start in time, settles charges that are due
// and removes records of ended requests.
func (a *Admitter) Tick(now time.Time) []Action {
	for id, ended := range a.endedAt {
		if _, charged := a.unbilled[id]; !charged && now.Sub(ended) > duplicateWindow {
			a.forgetRequest(id)
		}
	}
	actions := a.schedule(now)
	for _, id := range sortedKeys(a.unbilled) {
		u := a.unbilled[id]
		if u.settling || now.Before(u.dueAt) {
			continue
		}
		u.settling = true
		actions = append(actions, Settle{u.Charge})
	}
	return actions
}

// forgetRequest removes the record of an ended request, after which its ID and
// reservation are no longer detected as duplicates.
func (a *Admitter) forgetRequest(id string) {
	delete(a.endedAt, id)
	for key, owner := range a.reservationOwners {
		if owner == id {
			delete(a.reservationOwners, key)
		}
	}
}

// schedule starts queued requests while slots are free and refuses those that cannot
// start in time or exceed the queue limit. A queued request must start at least the
// mean service time before its deadline. Otherwise it would be cut off there and waste
// its slot.
func (a *Admitter) schedule(now time.Time) []Action {
	slices.SortStableFunc(a.waiting, func(x, y *job) int {
		return cmp.Or(cmp.Compare(y.Worth, x.Worth), x.Deadline.Compare(y.Deadline), cmp.Compare(x.sequence, y.sequence))
	})
	var actions []Action
	var kept []*job
	for _, j := range a.waiting {
		wait := a.waitAtPosition(len(kept))
		switch {
		case !now.Before(j.Deadline):
			actions = append(actions, a.refuseQueued(j, Deadline, "the deadline passed in the queue", 0))
		case len(a.running) < a.Slots():
			j.started = now
			a.running[j.ID] = j
			actions = append(actions, Start{j.ID})
		case now.Add(wait + a.meanServiceTime).After(j.Deadline):
			actions = append(actions, a.refuseQueued(j, Deadline, fmt.Sprintf("the request would start in %s, too late for its deadline", wait), wait))
		case len(kept) >= a.queueLimit():
			actions = append(actions, a.refuseQueued(j, Overload, "the queue is full", wait))
		default:
			kept = append(kept, j)
		}
	}
	a.waiting = kept
	return actions
}

// refuseWaiting refuses all queued requests that match.
func (a *Admitter) refuseWaiting(reason Reason, text string, match func(*job) bool) []Action {
	var actions []Action
	var kept []*job
	for _, j := range a.waiting {
		if !match(j) {
			kept = append(kept, j)
			continue
		}
		actions = append(actions, a.refuseQueued(j, reason, text, 0))
	}
	a.waiting = kept
	return actions
}

// refuseQueued releases the reservation of a queued request and returns its refusal.
func (a *Admitter) refuseQueued(j *job, reason Reason, text string, after time.Duration) Refuse {
	delete(a.reservationOwners, j.Reservation.key())
	return Refuse{j.ID, reason, text, after}
}
