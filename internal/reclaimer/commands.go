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
	if cfg.Margin == 0 {
		cfg.Margin = DefaultMargin
	}
	if cfg.Round == 0 {
		cfg.Round = DefaultRound
	}
	return &Reclaimer{
		cfg:       cfg,
		open:      make(map[uint64]*entry),
		revoked:   make(map[uint64]struct{}),
		sides:     make(map[string]*side),
		confirmed: make(map[string]bool),
	}
}

// Opened records a reservation that was granted. Numbers are unique within the
// holder and grow. Left is the time to the deadline of the request, 0 if unknown.
func (r *Reclaimer) Opened(now time.Time, o budgeter.Reservation, left time.Duration) {
	if left <= 0 || left > maxLifetime {
		left = maxLifetime
	}
	r.open[o.Number] = &entry{Reservation: o, expires: now.Add(left + r.cfg.Margin)}
	r.next = max(r.next, o.Number+1)
}

// Concluded forgets a reservation that was settled or released otherwise.
func (r *Reclaimer) Concluded(number uint64) {
	o := r.open[number]
	delete(r.open, number)
	if o != nil && o.listed {
		r.forgetSides()
	}
}

// Stop forgets all reservations of a holder that lost its shards.
func (r *Reclaimer) Stop() {
	clear(r.open)
	clear(r.sides)
}

// Tick starts a round for the expired reservations and asks sides again.
func (r *Reclaimer) Tick(now time.Time) []Action {
	actions := r.ask(now)
	if r.step != stepIdle || !r.started.IsZero() && now.Sub(r.started) < r.cfg.Round {
		return actions
	}
	r.round = r.expired(now)
	if len(r.round) == 0 {
		return actions
	}
	r.step, r.started = stepPublish, now
	for _, number := range r.round {
		r.revoked[number] = struct{}{}
	}
	r.advance()
	return append(actions, Publish{Table: r.Table()})
}

// Published reports that the table is in the platform.
func (r *Reclaimer) Published() []Action {
	if r.step != stepPublish {
		return nil
	}
	r.step = stepList
	return []Action{List{}}
}

// Listed reports the sides that were registered after the table was written.
func (r *Reclaimer) Listed(now time.Time, sides []string) []Action {
	if r.step != stepList {
		return nil
	}
	r.step = stepIdle
	for _, number := range r.round {
		o := r.open[number]
		if o == nil {
			continue
		}
		o.listed, o.pending = true, make(map[string]struct{}, len(sides))
		for _, name := range sides {
			o.pending[name] = struct{}{}
			if r.sides[name] == nil {
				r.sides[name] = &side{}
			}
			r.sides[name].asked = time.Time{}
		}
	}
	actions := r.release()
	return append(actions, r.ask(now)...)
}

// Failed reports a Publish or List without a result. The next round repeats both.
func (r *Reclaimer) Failed() { r.step = stepIdle }

// Answered reports that a side refuses the reservations it was asked to, with
// those of them that it still runs or has not billed.
func (r *Reclaimer) Answered(name string, asked, open []uint64) []Action {
	for _, number := range asked {
		if o := r.open[number]; o != nil && !slices.Contains(open, number) {
			delete(o.pending, name)
		}
	}
	if !r.awaits(name) {
		delete(r.sides, name)
	}
	return r.release()
}

// Listing reports the instance list. A side that is absent from it for
// [recoverer.AbsentInterval] is gone, with the operator's confirmation if the
// settings require it.
func (r *Reclaimer) Listing(now time.Time, instances []string) []Action {
	for name, s := range r.sides {
		switch {
		case slices.Contains(instances, name):
			s.absent = time.Time{}
			continue
		case s.absent.IsZero():
			s.absent = now
		}
		if now.Sub(s.absent) < recoverer.AbsentInterval || r.cfg.Release != recoverer.ReleaseGone && !r.confirmed[name] {
			continue
		}
		for _, o := range r.open {
			delete(o.pending, name)
		}
	}
	return r.release()
}

// Confirm is the operator's word that a side is gone. It counts once the side is
// absent from the instance list for [recoverer.AbsentInterval].
func (r *Reclaimer) Confirm(name string) { r.confirmed[name] = true }

// advance raises the lowest number that sides have to look up. It never falls,
// because the numbers under it are no longer listed.
func (r *Reclaimer) advance() {
	below := r.next
	for number := range r.open {
		if !r.Revoked(number) {
			below = min(below, number)
		}
	}
	r.below = below
	maps.DeleteFunc(r.revoked, func(number uint64, _ struct{}) bool { return number < below })
}

// ask revokes the outstanding reservations of each side that is due.
func (r *Reclaimer) ask(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(r.sides)) {
		s := r.sides[name]
		if !s.asked.IsZero() && now.Sub(s.asked) < askInterval {
			continue
		}
		if numbers := r.outstanding(name); len(numbers) > 0 {
			s.asked = now
			actions = append(actions, Revoke{Side: name, Below: r.below, Numbers: numbers})
		}
	}
	return actions
}

// release gives back what no side can run or bill any more.
func (r *Reclaimer) release() []Action {
	var actions []Action
	for _, number := range slices.Sorted(maps.Keys(r.open)) {
		if o := r.open[number]; o.listed && len(o.pending) == 0 {
			delete(r.open, number)
			actions = append(actions, Release{Reservation: o.Reservation})
		}
	}
	if len(actions) > 0 {
		r.forgetSides()
	}
	return actions
}

func (r *Reclaimer) forgetSides() {
	maps.DeleteFunc(r.sides, func(name string, _ *side) bool { return !r.awaits(name) })
}
