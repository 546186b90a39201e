package reclaimer

import (
	"maps"
	"slices"
	"time"

	"daisylane/internal/recoverer"
)

// Table returns the reservations that sides refuse.
func (r *Reclaimer) Table() Table {
	return Table{Below: r.below, Numbers: slices.Sorted(maps.Keys(r.revoked))}
}

// Revoked reports whether sides refuse a reservation.
func (r *Reclaimer) Revoked(number uint64) bool {
	_, listed := r.revoked[number]
	return listed || number < r.below
}

// OpenCount returns the number of open reservations.
func (r *Reclaimer) OpenCount() int { return len(r.open) }

// PendingSides returns the sides that can still run or bill a revoked reservation, in order.
func (r *Reclaimer) PendingSides() []string { return slices.Sorted(maps.Keys(r.sides)) }

// NeedsConfirmation reports whether the operator has to confirm that an absent side is gone.
func (r *Reclaimer) NeedsConfirmation(now time.Time) bool {
	if r.cfg.ReleasePolicy != recoverer.ReleaseOperator {
		return false
	}
	for name, s := range r.sides {
		if !s.absentSince.IsZero() && now.Sub(s.absentSince) >= recoverer.AbsenceTimeout && !r.confirmedGone[name] {
			return true
		}
	}
	return false
}

// expired returns the reservations to revoke, in order.
func (r *Reclaimer) expired(now time.Time) []uint64 {
	var numbers []uint64
	for number, o := range r.open {
		if !o.sidesListed && !now.Before(o.expiresAt) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers[:min(len(numbers), maxNumbersPerRound)]
}

// outstanding returns the revoked reservations that a side can still run or bill, in
// order.
func (r *Reclaimer) outstanding(name string) []uint64 {
	var numbers []uint64
	for number, o := range r.open {
		if _, ok := o.pending[name]; ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers[:min(len(numbers), maxNumbersPerRound)]
}

// hasOutstanding reports whether a side can still run or bill a revoked reservation.
func (r *Reclaimer) hasOutstanding(name string) bool {
	for _, o := range r.open {
		if _, ok := o.pending[name]; ok {
			return true
		}
	}
	return false
}
