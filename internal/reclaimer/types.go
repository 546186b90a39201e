// Package reclaimer decides how a holder releases the tokens of open reservations
// whose router crashed before it settled or released them.
//
// A reservation expires when a margin has passed after the deadline of its request.
// Expired reservations are revoked: first in a table on the platform, then at each
// registered side. A side that registers later loads the table before it admits
// requests. A side that was asked to revoke a reservation refuses it from then on,
// and answers whether its request still runs there or has an unbilled charge. The
// tokens are released when each side has answered that neither is the case or is
// gone. Therefore an early expiry is safe: it ends the reservation, but releases no
// tokens while a side can run the request.
//
// # Usage
//
//	r := reclaimer.New(reclaimer.Config{ReleasePolicy: recoverer.ReleaseGone})
//	r.ReservationOpened(now, reservation, lifetime)
//	for _, a := range r.Tick(now) {
//		switch a := a.(type) {
//		case reclaimer.Publish:
//		case reclaimer.ListSides:
//		case reclaimer.Revoke:
//		case reclaimer.Release:
//		}
//	}
//
// The caller performs the actions and reports each result with the method that the
// action's comment names. CallFailed reports a Publish or ListSides that failed.
package reclaimer

import (
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/checker"
)

const (
	// DefaultMargin is longer than a side keeps a charge before it delivers it
	// itself, so a router crash after the end of a request causes no revocation.
	DefaultMargin = 15 * time.Second
	// DefaultRoundInterval limits the platform calls: each round needs a read, a write and a
	// listing.
	DefaultRoundInterval = 10 * time.Second
	// maxLifetime is the longest deadline that a side accepts. It also applies to
	// a reservation without a deadline.
	maxLifetime         = time.Hour
	revokeRetryInterval = 5 * time.Second
	// maxNumbersPerRound keeps the table and each message below 256 KB.
	maxNumbersPerRound = 10_000
)

// TablePrefix is the key prefix of the tables. Each holder that has revoked reservations
// has an object under it.
const TablePrefix = "revoked/"

// Config sets up a reclaimer.
type Config struct {
	ReleasePolicy string        // policy for sides that are gone, see package recoverer
	ExpiryMargin  time.Duration // from the deadline to the expiry, 0 means [DefaultMargin]
	RoundInterval time.Duration // minimum time between two rounds, 0 means [DefaultRoundInterval]
}

// Table lists the reservations of a holder that sides refuse.
type Table struct {
	Below   uint64   `json:"below"`   // all reservations with a lower number have ended
	Numbers []uint64 `json:"numbers"` // other revoked reservations, in order
}

// Check reports listed numbers that Below already covers.
func (t Table) Check() error {
	var f checker.Validator
	for _, n := range t.Numbers {
		f.Require(n >= t.Below, "numbers", "has %d, must not be below %d", n, t.Below)
	}
	return f.Err()
}

// Action is one of the types below.
type Action interface{ action() }

// Publish requests a write of the table to the platform. The caller reports it with
// TablePublished.
type Publish struct{ Table Table }

// ListSides requests the registered sides. The caller reports them with SidesListed.
type ListSides struct{}

// Revoke asks a side to refuse reservations. The caller reports the response with
// RevokeAnswered.
type Revoke struct {
	Side    string
	Below   uint64
	Numbers []uint64
}

// Release releases the tokens of a reservation.
type Release struct{ Reservation budgeter.Reservation }

func (Publish) action()   {}
func (ListSides) action() {}
func (Revoke) action()    {}
func (Release) action()   {}

// Reclaimer is the state of the open reservations of one holder.
type Reclaimer struct {
	cfg           Config
	open          map[uint64]*openReservation
	revoked       map[uint64]struct{} // revoked numbers that are not lower than below
	below         uint64
	nextNumber    uint64 // higher than each number so far
	step          roundStep
	roundNumbers  []uint64 // reservations of the current round
	roundStarted  time.Time
	sides         map[string]*side
	confirmedGone map[string]bool // sides that the operator confirmed to be gone
}

type openReservation struct {
	budgeter.Reservation
	expiresAt   time.Time
	sidesListed bool                // pending is set
	pending     map[string]struct{} // sides that can still run or bill its request
}

type side struct {
	askedAt     time.Time // zero if a Revoke is due
	absentSince time.Time // start of its absence from the instance list, zero if present
}

// roundStep is the platform call that the current round waits for.
type roundStep int

const (
	stepIdle roundStep = iota
	stepPublish
	stepList
)
