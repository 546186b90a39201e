// Package admitter decides which requests a side runs, in which order, and when
// they must stop.
//
// A side admits work only after it has registered and loaded the table of
// closed holders. Requests that find no free slot wait in order of worth and
// then deadline. A request that would wait and start less than the mean time in
// a slot before its deadline is refused at once. Charges are kept until the
// holder has made them durable.
//
// # Usage
//
//	a := admitter.New(admitter.Limits{Slots: 8, Queue: 64})
//	a.Register(closed)
//	for _, act := range a.Run(now, request) {
//		switch act := act.(type) {
//		case admitter.Start:
//		case admitter.Refuse:
//		}
//	}
//
// Every method that changes state returns the actions to carry out. Call Tick
// about ten times a second.
package admitter

import (
	"time"

	"daisylane/internal/checker"
)

// Reason says why a request was refused.
type Reason string

// Reasons of refusals.
const (
	Closed       Reason = "closed"       // the holder of the reservation is closed
	Revoked      Reason = "revoked"      // the holder ended the reservation
	Stopping     Reason = "stopping"     // the side is draining
	Overload     Reason = "overload"     // the queue is full of requests of at least the same worth
	Deadline     Reason = "deadline"     // the request cannot start in time
	Duplicate    Reason = "duplicate"    // the request or its reservation is known already
	Unregistered Reason = "unregistered" // the side has not registered yet
)

// SettleDelay is longer than the longest flush interval of a journal, after which
// the router reports that the charge is durable.
const SettleDelay = 12 * time.Second

const (
	settleInterval = time.Second
	maxInterval    = 30 * time.Second
	recallPeriod   = 10 * time.Minute
	initialService = time.Second
	meanWeight     = 0.2
	minQueue       = 2 // of a side with few slots
)

// Reservation names tokens set aside by a holder. A request without a budget
// has an empty holder.
type Reservation struct {
	Holder string `json:"holder"`
	Shard  uint32 `json:"shard"`
	Number uint64 `json:"number"`
	Budget string `json:"budget"`
	Tokens int64  `json:"tokens"`
	Addr   string `json:"addr"`
	Region string `json:"region"`
}

type reservationKey struct {
	holder string
	shard  uint32
	number uint64
}

func (r Reservation) key() reservationKey { return reservationKey{r.Holder, r.Shard, r.Number} }

// Request asks for admission.
type Request struct {
	ID          string      `json:"id"`
	Reservation Reservation `json:"reservation"`
	Key         string      `json:"key"` // hash of the caller's key
	Deadline    time.Time   `json:"deadline"`
	Worth       float64     `json:"worth"`
	Output      int64       `json:"output"` // maximum output tokens, 0 without a limit
}

// Charge is the use of a reservation.
type Charge struct {
	ID          string      `json:"id"`
	Reservation Reservation `json:"reservation"`
	Key         string      `json:"key"`
	Tokens      int64       `json:"tokens"`
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
}

// Load is the state of the target and the queue.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	Cache   float64 `json:"cache"` // use of the prefix cache, in the unit of the engine
}

// Check reports counts that no engine can have.
func (l Load) Check() error {
	var f checker.Faults
	f.Require(l.Running >= 0, "running", "is %d, must not be negative", l.Running)
	f.Require(l.Waiting >= 0, "waiting", "is %d, must not be negative", l.Waiting)
	f.Require(l.Slots >= 0, "slots", "is %d, must not be negative", l.Slots)
	f.Require(l.Cache >= 0, "cache", "is %v, must not be negative", l.Cache)
	return f.Err()
}

// Limits are the bounds of a side.
type Limits struct {
	Slots int // requests that run at the same time, until the target reports its own number
	Queue int // requests that may wait, at most half the slots
	// Settle is the time after which the side delivers a charge by itself, 0 takes
	// [SettleDelay].
	Settle time.Duration
}

// Action is one of Start, Refuse, Stop and Settle.
type Action interface{ action() }

// Start runs an admitted request at the target.
type Start struct{ ID string }

// Refuse answers a request that was not run.
type Refuse struct {
	ID     string
	Reason Reason
	Text   string
	After  time.Duration
}

// Stop ends a running request that would exceed its reservation.
type Stop struct{ ID string }

// Settle delivers a charge to the holder. Answer it with Billed or SettleFailed.
type Settle struct{ Charge Charge }

func (Start) action()  {}
func (Refuse) action() {}
func (Stop) action()   {}
func (Settle) action() {}

type job struct {
	Request
	arrived uint64 // order of arrival
	started time.Time
	used    Usage
	stopped bool
}

type unbilled struct {
	Charge
	due      time.Time
	interval time.Duration
	sending  bool
}

// revocation lists the reservations that a holder ended.
type revocation struct {
	below   uint64 // all lower numbers
	numbers map[uint64]struct{}
}

// Admitter holds the admission state of one side. It is not safe for concurrent use.
type Admitter struct {
	limits     Limits
	registered bool
	draining   bool
	closed     map[string]struct{}
	revoked    map[string]*revocation // by holder
	running    map[string]*job
	waiting    []*job // in the order in which they will start
	unbilled   map[string]*unbilled
	recent     map[string]time.Time // ids of ended requests, by time of the end
	reserved   map[reservationKey]string
	load       Load
	service    time.Duration // mean time in a slot
	arrivals   uint64
}

// New returns an admitter that refuses all work until Register.
func New(limits Limits) *Admitter {
	if limits.Settle == 0 {
		limits.Settle = SettleDelay
	}
	return &Admitter{
		limits:   limits,
		closed:   make(map[string]struct{}),
		revoked:  make(map[string]*revocation),
		running:  make(map[string]*job),
		unbilled: make(map[string]*unbilled),
		recent:   make(map[string]time.Time),
		reserved: make(map[reservationKey]string),
		service:  initialService,
	}
}
