// Package reclaimer decides how a holder gets back the tokens of open
// reservations whose router died before it settled or released them.
//
// A reservation expires when the deadline of its request and a margin have
// passed. Expired reservations are revoked: first in a table in the platform,
// then at each registered side. A side that registers later loads the table before
// it admits work. A side that was asked refuses the reservation from then on and
// answers whether the request still runs or is not billed there. The tokens are
// released when each side has answered that it has neither or is gone. An
// expiry that comes too early is safe therefore: it ends the reservation, but
// releases nothing while a side can run the request.
//
// # Usage
//
//	r := reclaimer.New(reclaimer.Config{Release: recoverer.ReleaseGone})
//	r.Opened(now, reservation, left)
//	for _, a := range r.Tick(now) {
//		switch a := a.(type) {
//		case reclaimer.Publish:
//		case reclaimer.List:
//		case reclaimer.Revoke:
//		case reclaimer.Release:
//		}
//	}
//
// The owner carries out the actions and reports each result with the method that
// the action names. Failed reports a Publish or List that is to be repeated.
package reclaimer

import (
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/checker"
)

const (
	// DefaultMargin is longer than a side keeps a charge before it sends it by
	// itself, so that a router's death after the end of a request costs no revocation.
	DefaultMargin = 15 * time.Second
	// DefaultRound bounds the platform calls: each round costs a read, a write and a listing.
	DefaultRound = 10 * time.Second
	// maxLifetime is the longest deadline that a side accepts. It also applies to
	// a reservation without a deadline.
	maxLifetime = time.Hour
	askInterval = 5 * time.Second
	maxNumbers  = 10_000 // in one round, which keeps the table and a message below 256 KB
)

// TablePrefix has an object for each holder that has revoked reservations.
const TablePrefix = "revoked/"

// Config sets up a reclaimer.
type Config struct {
	Release string        // policy for sides that are gone, see package recoverer
	Margin  time.Duration // from the deadline to the revocation, 0 takes [DefaultMargin]
	Round   time.Duration // shortest time between two rounds, 0 takes [DefaultRound]
}

// Table lists the reservations of a holder that sides refuse.
type Table struct {
	Below   uint64   `json:"below"`   // all reservations with a lower number have ended
	Numbers []uint64 `json:"numbers"` // revoked reservations from below on, in order
}

// Check reports numbers that the table need not list.
func (t Table) Check() error {
	var f checker.Faults
	for _, n := range t.Numbers {
		f.Require(n >= t.Below, "numbers", "has %d, must not be below %d", n, t.Below)
	}
	return f.Err()
}

// Action is one of the types below.
type Action interface{ action() }

// Publish asks for a write of the table, to be reported with Published.
type Publish struct{ Table Table }

// List asks for the registered sides, to be reported with Listed.
type List struct{}

// Revoke asks a side to refuse reservations, to be reported with Answered.
type Revoke struct {
	Side    string
	Below   uint64
	Numbers []uint64
}

// Release gives the tokens of a reservation back.
type Release struct{ Reservation budgeter.Reservation }

func (Publish) action() {}
func (List) action()    {}
func (Revoke) action()  {}
func (Release) action() {}

// Reclaimer is the state of the open reservations of one holder.
type Reclaimer struct {
	cfg       Config
	open      map[uint64]*entry
	revoked   map[uint64]struct{} // numbers from below on that sides refuse
	below     uint64
	next      uint64 // above each number so far
	step      step
	round     []uint64 // reservations of the running round
	started   time.Time
	sides     map[string]*side
	confirmed map[string]bool
}

type entry struct {
	budgeter.Reservation
	expires time.Time
	listed  bool
	pending map[string]struct{} // sides that can still run or bill it, once listed
}

type side struct {
	asked  time.Time
	absent time.Time // since when the instance list lacks it, zero if listed
}

type step int

const (
	stepIdle step = iota
	stepPublish
	stepList
)
