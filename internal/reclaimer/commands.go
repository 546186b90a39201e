package reclaimer

import (
	"maps"
	"slices"
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/recoverer"
)

// New returns a reclaimer without open reservations.
func New(cfg Config) *Reclaimer {
	if cfg.ExpiryMargin == 0 {
		cfg.ExpiryMargin = DefaultMargin
	}
	if cfg.RoundInterval == 0 {
		cfg.RoundInterval = DefaultRoundInterval
	}
	return &Reclaimer{
		cfg:           cfg,
		open:          make(map[uint64]*openReservation),
		revoked:       make(map[uint64]struct{}),
		sides:         make(map[string]*side),
		confirmedGone: make(map[string]bool),
	}
}

// ReservationOpened records a reservation that was granted. Numbers are unique within the
// holder and increase. lifetime is the time until the deadline of the request, 0 if
// unknown.
func (r *Reclaimer) ReservationOpened(now time.Time, o budgeter.Reservation, lifetime time.Duration) {
	if lifetime <= 0 || lifetime > maxLifetime {
		lifetime = maxLifetime
	}
	r.open[o.Number] = &openReservation{Reservation: o, expiresAt: now.Add(lifetime + r.cfg.ExpiryMargin)}
	r.nextNumber = max(r.nextNumber, o.Number+1)
}

// ReservationConcluded removes a reservation that was settled or released without the
// reclaimer.
func (r *Reclaimer) ReservationConcluded(number uint64) {
	o := r.open[number]
	delete(r.open, number)
	if o != nil && o.sidesListed {
		r.removeIdleSides()
	}
}

// Stop removes all reservations, because the holder has lost its shards.
func (r *Reclaimer) Stop() {
	clear(r.open)
	clear(r.sides)
}

// Tick starts a round for the expired reservations and retries the Revokes that are due.
func (r *Reclaimer) Tick(now time.Time) []Action {
	actions := r.revokeOutstanding(now)
	if r.step != stepIdle || !r.roundStarted.IsZero() && now.Sub(r.roundStarted) < r.cfg.RoundInterval {
		return actions
	}
	r.roundNumbers = r.expired(now)
	if len(r.roundNumbers) == 0 {
		return actions
	}
	r.step, r.roundStarted = stepPublish, now
	for _, number := range r.roundNumbers {
		r.revoked[number] = struct{}{}
	}
	r.raiseBelow()
	return append(actions, Publish{Table: r.Table()})
}

// TablePublished reports that the table was written to the platform.
func (r *Reclaimer) TablePublished() []Action {
	if r.step != stepPublish {
		return nil
	}
	r.step = stepList
	return []Action{ListSides{}}
}

// SidesListed reports the sides that were registered after the table was written.
func (r *Reclaimer) SidesListed(now time.Time, sides []string) []Action {
	if r.step != stepList {
		return nil
	}
	r.step = stepIdle
	for _, number := range r.roundNumbers {
		o := r.open[number]
		if o == nil {
			continue
		}
		o.sidesListed, o.pending = true, make(map[string]struct{}, len(sides))
		for _, name := range sides {
			o.pending[name] = struct{}{}
			if r.sides[name] == nil {
				r.sides[name] = &side{}
			}
			r.sides[name].askedAt = time.Time{}
		}
	}
	actions := r.releaseRevoked()
	return append(actions, r.revokeOutstanding(now)...)
}

// CallFailed reports that a Publish or ListSides has no result. The next round retries
// both.
func (r *Reclaimer) CallFailed() { r.step = stepIdle }

// RevokeAnswered reports the response of a side to a Revoke: it refuses the asked
// reservations, and the requests of the open ones still run there or have unbilled charges.
func (r *Reclaimer) RevokeAnswered(name string, asked, open []uint64) []Action {
	for _, number := range asked {
		if o := r.open[number]; o != nil && !slices.Contains(open, number) {
			delete(o.pending, name)
		}
	}
	if !r.hasOutstanding(name) {
		delete(r.sides, name)
	}
	return r.releaseRevoked()
}

// InstancesListed reports the instance list. A side that has been absent from it for
// [recoverer.AbsenceTimeout] is gone; if the release policy requires it, only after a
// confirmation by the operator.
func (r *Reclaimer) InstancesListed(now time.Time, instances []string) []Action {
	for name, s := range r.sides {
		switch {
		case slices.Contains(instances, name):
			s.absentSince = time.Time{}
			continue
		case s.absentSince.IsZero():
			s.absentSince = now
		}
		if now.Sub(s.absentSince) < recoverer.AbsenceTimeout || r.cfg.ReleasePolicy != recoverer.ReleaseGone && !r.confirmedGone[name] {
			continue
		}
		for _, o := range r.open {
			delete(o.pending, name)
		}
	}
	return r.releaseRevoked()
}

// ConfirmGone records the operator's confirmation that a side is gone. It takes effect
// when the side has been absent from the instance list for
// [recoverer.AbsenceTimeout].
func (r *Reclaimer) ConfirmGone(name string) { r.confirmedGone[name] = true }

// raiseBelow raises the lowest number that sides have to look up in the table. It never
// falls, because the numbers under it are removed from the table.
func (r *Reclaimer) raiseBelow() {
	below := r.nextNumber
	for number := range r.open {
		if !r.Revoked(number) {
			below = min(below, number)
		}
	}
	r.below = below
	maps.DeleteFunc(r.revoked, func(number uint64, _ struct{}) bool { return number < below })
}

// revokeOutstanding returns a Revoke for each side with outstanding reservations that
// was not asked within the retry interval.
func (r *Reclaimer) revokeOutstanding(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(r.sides)) {
		s := r.sides[name]
		if !s.askedAt.IsZero() && now.Sub(s.askedAt) < revokeRetryInterval {
			continue
		}
		if numbers := r.outstanding(name); len(numbers) > 0 {
			s.askedAt = now
			actions = append(actions, Revoke{Side: name, Below: r.below, Numbers: numbers})
		}
	}
	return actions
}

// releaseRevoked releases the reservations that no side can still run or bill.
func (r *Reclaimer) releaseRevoked() []Action {
	var actions []Action
	for _, number := range slices.Sorted(maps.Keys(r.open)) {
		if o := r.open[number]; o.sidesListed && len(o.pending) == 0 {
			delete(r.open, number)
			actions = append(actions, Release{Reservation: o.Reservation})
		}
	}
	if len(actions) > 0 {
		r.removeIdleSides()
	}
	return actions
}

func (r *Reclaimer) removeIdleSides() {
	maps.DeleteFunc(r.sides, func(name string, _ *side) bool { return !r.hasOutstanding(name) })
}
