package admitter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Register allows admission, with the closed holders known at registration.
func (a *Admitter) Register(closed []string) {
	for _, holder := range closed {
		a.closed[holder] = struct{}{}
	}
	a.registered = true
}

// Run decides on a new request.
func (a *Admitter) Run(now time.Time, r Request) []Action {
	if refusal, ok := a.refusal(now, r); ok {
		return []Action{refusal}
	}
	a.arrivals++
	a.waiting = append(a.waiting, &job{Request: r, arrived: a.arrivals})
	if r.Reservation.Holder != "" {
		a.reserved[r.Reservation.key()] = r.ID
	}
	return a.schedule(now)
}

func (a *Admitter) refusal(now time.Time, r Request) (Refuse, bool) {
	_, closed := a.closed[r.Reservation.Holder]
	_, recent := a.recent[r.ID]
	owner, reserved := a.reserved[r.Reservation.key()]
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

// Meter records the tokens used so far and stops a request that exceeds its
// maximum output or its reservation. Tokens over the limit must not be delivered.
func (a *Admitter) Meter(id string, used Usage) []Action {
	j, ok := a.running[id]
	if !ok || j.stopped {
		return nil
	}
	j.used.Prompt = max(j.used.Prompt, used.Prompt)
	j.used.Output = max(j.used.Output, used.Output)
	over := j.Output > 0 && j.used.Output > j.Output
	if j.Reservation.Holder != "" {
		over = over || j.used.Prompt+j.used.Output > j.Reservation.Tokens
	}
	if !over {
		return nil
	}
	j.stopped = true
	return []Action{Stop{id}}
}

// Ended frees the slot of a running request and keeps its charge, which is at
// most the reservation.
func (a *Admitter) Ended(now time.Time, id string, used Usage) []Action {
	j, ok := a.running[id]
	if !ok {
		return nil
	}
	delete(a.running, id)
	a.recent[id] = now
	took := now.Sub(j.started)
	a.service += time.Duration(meanWeight * float64(took-a.service))
	if j.Reservation.Holder != "" {
		due := now.Add(a.limits.Settle)
		if _, closed := a.closed[j.Reservation.Holder]; closed {
			due = now // its successor waits for the charge to release the rest
		}
		tokens := min(used.Prompt+used.Output, j.Reservation.Tokens)
		a.unbilled[id] = &unbilled{
			Charge:   Charge{ID: id, Reservation: j.Reservation, Key: j.Key, Tokens: tokens},
			due:      due,
			interval: settleInterval,
		}
	}
	return a.schedule(now)
}

// NotRun frees the slot of a started request that never reached the target. It
// leaves no charge, and the request may be sent again.
func (a *Admitter) NotRun(now time.Time, id string) []Action {
	j, ok := a.running[id]
	if !ok {
		return nil
	}
	delete(a.running, id)
	delete(a.reserved, j.Reservation.key())
	return a.schedule(now)
}

// Withdraw removes a waiting request. It reports false if the request is not waiting.
func (a *Admitter) Withdraw(now time.Time, id string) ([]Action, bool) {
	i := slices.IndexFunc(a.waiting, func(j *job) bool { return j.ID == id })
	if i < 0 {
		return nil, false
	}
	delete(a.reserved, a.waiting[i].Reservation.key())
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return a.schedule(now), true
}

// Close refuses work of a holder from now on, including work that waits.
func (a *Admitter) Close(holder string) []Action {
	a.closed[holder] = struct{}{}
	return a.refuseWaiting(Closed, fmt.Sprintf("holder %s is closed, reserve again", holder), func(j *job) bool {
		return j.Reservation.Holder == holder
	})
}

// Revoke refuses reservations of a holder from now on, including work that waits:
// the given numbers and all that are lower than below. Running work continues.
func (a *Admitter) Revoke(holder string, below uint64, numbers []uint64) []Action {
	v := a.revoked[holder]
	if v == nil {
		v = &revocation{numbers: make(map[uint64]struct{})}
		a.revoked[holder] = v
	}
	v.below = max(v.below, below)
	for _, n := range numbers {
		v.numbers[n] = struct{}{}
	}
	maps.DeleteFunc(v.numbers, func(n uint64, _ struct{}) bool { return n < v.below })
	return a.refuseWaiting(Revoked, "the reservation has expired, reserve again", func(j *job) bool {
		return a.isRevoked(j.Reservation)
	})
}

// Drain refuses new and waiting work; running work continues.
func (a *Admitter) Drain() []Action {
	a.draining = true
	return a.refuseWaiting(Stopping, "the side is stopping, use another target", func(*job) bool { return true })
}

// Undrain admits work again.
func (a *Admitter) Undrain() { a.draining = false }

// Report records the load of the target.
func (a *Admitter) Report(now time.Time, load Load) []Action {
	a.load = load
	return a.schedule(now)
}

// Billed forgets the charge of a request, which is durable at its holder.
func (a *Admitter) Billed(id string) { delete(a.unbilled, id) }

// Orphan makes the charge of a request due at once, because its router is gone and
// cannot settle it.
func (a *Admitter) Orphan(now time.Time, id string) {
	if u, ok := a.unbilled[id]; ok && !u.sending && now.Before(u.due) {
		u.due = now
	}
}

// SettleFailed sends a charge again after a growing interval.
func (a *Admitter) SettleFailed(now time.Time, id string) {
	u, ok := a.unbilled[id]
	if !ok {
		return
	}
	u.sending = false
	u.due = now.Add(u.interval)
	u.interval = min(2*u.interval, maxInterval)
}

// Tick refuses waiting requests that are too late and sends charges that are due.
func (a *Admitter) Tick(now time.Time) []Action {
	for id, ended := range a.recent {
		if _, open := a.unbilled[id]; !open && now.Sub(ended) > recallPeriod {
			a.forget(id)
		}
	}
	actions := a.schedule(now)
	for _, id := range sortedKeys(a.unbilled) {
		u := a.unbilled[id]
		if u.sending || now.Before(u.due) {
			continue
		}
		u.sending = true
		actions = append(actions, Settle{u.Charge})
	}
	return actions
}

func (a *Admitter) forget(id string) {
	delete(a.recent, id)
	for key, owner := range a.reserved {
		if owner == id {
			delete(a.reserved, key)
		}
	}
}

// schedule starts waiting requests while slots are free and refuses those that
// cannot start in time or do not fit into the queue. A request that waits needs
// the mean time in a slot before its deadline, or it would be cut off there and
// use its slot for nothing.
func (a *Admitter) schedule(now time.Time) []Action {
	slices.SortStableFunc(a.waiting, func(x, y *job) int {
		return cmp.Or(cmp.Compare(y.Worth, x.Worth), x.Deadline.Compare(y.Deadline), cmp.Compare(x.arrived, y.arrived))
	})
	var actions []Action
	var kept []*job
	for _, j := range a.waiting {
		wait := a.waitAt(len(kept))
		switch {
		case !now.Before(j.Deadline):
			actions = append(actions, a.drop(j, Deadline, "the deadline passed in the queue", 0))
		case len(a.running) < a.Slots():
			j.started = now
			a.running[j.ID] = j
			actions = append(actions, Start{j.ID})
		case now.Add(wait + a.service).After(j.Deadline):
			actions = append(actions, a.drop(j, Deadline, fmt.Sprintf("the request would start in %s, too late for its deadline", wait), wait))
		case len(kept) >= a.queue():
			actions = append(actions, a.drop(j, Overload, "the queue is full", wait))
		default:
			kept = append(kept, j)
		}
	}
	a.waiting = kept
	return actions
}

func (a *Admitter) refuseWaiting(reason Reason, text string, match func(*job) bool) []Action {
	var actions []Action
	var kept []*job
	for _, j := range a.waiting {
		if !match(j) {
			kept = append(kept, j)
			continue
		}
		actions = append(actions, a.drop(j, reason, text, 0))
	}
	a.waiting = kept
	return actions
}

func (a *Admitter) drop(j *job, reason Reason, text string, after time.Duration) Refuse {
	delete(a.reserved, j.Reservation.key())
	return Refuse{j.ID, reason, text, after}
}
