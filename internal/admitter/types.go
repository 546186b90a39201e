// Package admitter decides which requests a side runs, in which order, and when
// they must stop.
//
// The holder of a reservation is the process that set its tokens aside. A
// side admits requests only after it has registered and loaded the list of closed
// holders. Requests that find no free slot are queued by worth and then by deadline. A
// request that would be queued and start less than the mean service time before its
// deadline is refused immediately. Charges are kept until their holder has made them
// durable.
//
// # Usage
//
//	a := admitter.New(admitter.Limits{Slots: 8, Queue: 64})
//	a.Register(closed)
//	for _, act := range a.Admit(now, request) {
//		switch act := act.(type) {
//		case admitter.Start:
//		case admitter.Refuse:
//		}
//	}
//
// Methods whose changes start, refuse, stop or settle requests return the actions to
// execute. Call Tick about ten times per second.
package admitter

import (
	"time"

	"daisylane/internal/checker"
)

// Reason is the reason for refusing a request.
type Reason string

// Reasons of refusals.
const (
	Closed       Reason = "closed"       // the holder of the reservation is closed
	Revoked      Reason = "revoked"      // the holder has ended the reservation
	Stopping     Reason = "stopping"     // the side is draining
	Overload     Reason = "overload"     // the queue is full of requests of the same or higher worth
	Deadline     Reason = "deadline"     // the request cannot start in time
	Duplicate    Reason = "duplicate"    // the request or its reservation is already known
	Unregistered Reason = "unregistered" // the side has not registered yet
)

// SettleDelay is how long a side waits before it delivers a charge itself. It is
// longer than the longest flush interval of a journal, after which the router reports
// that the charge is durable.
const SettleDelay = 12 * time.Second

const (
	minSettleInterval  = time.Second
	maxSettleInterval  = 30 * time.Second
	duplicateWindow    = 10 * time.Minute
	initialServiceTime = time.Second
	serviceTimeWeight  = 0.2
	minQueueLimit      = 2 // of a side with few slots
)

// Reservation identifies tokens that a holder has set aside. Requests without a budget
// have an empty holder.
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

// Request is a request for admission.
type Request struct {
	ID          string      `json:"id"`
	Reservation Reservation `json:"reservation"`
	Key         string      `json:"key"` // hash of the caller's key
	Deadline    time.Time   `json:"deadline"`
	Worth       float64     `json:"worth"`
	Output      int64       `json:"output"` // maximum output tokens, 0 if unlimited
}

// Charge is the number of tokens that a request used of its reservation.
type Charge struct {
	ID          string      `json:"id"`
	Reservation Reservation `json:"reservation"`
	Key         string      `json:"key"`
	Tokens      int64       `json:"tokens"`
}

// Usage is the number of tokens of a request.
type Usage struct {
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
}

// Load is the load of a target and its queue.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	Cache   float64 `json:"cache"` // usage of the prefix cache, in the unit of the engine
}

// Check validates that no count is negative.
func (l Load) Check() error {
	var f checker.Validator
	f.Require(l.Running >= 0, "running", "is %d, must not be negative", l.Running)
	f.Require(l.Waiting >= 0, "waiting", "is %d, must not be negative", l.Waiting)
	f.Require(l.Slots >= 0, "slots", "is %d, must not be negative", l.Slots)
	f.Require(l.Cache >= 0, "cache", "is %v, must not be negative", l.Cache)
	return f.Err()
}

// Limits configures an [Admitter].
type Limits struct {
	Slots int // requests that may run at once, until the target reports its own number
	Queue int // requests that may be queued, capped at half the slots
	// Settle is how long the side waits before it delivers a charge itself. 0
	// means [SettleDelay].
	Settle time.Duration
}

// Action is one of [Start], [Refuse], [Stop] and [Settle].
type Action interface{ action() }

// Start starts an admitted request at the target.
type Start struct{ ID string }

// Refuse refuses a request that was not run. RetryAfter is the delay before a retry.
type Refuse struct {
	ID         string
	Reason     Reason
	Text       string
	RetryAfter time.Duration
}

// Stop stops a running request that exceeds its maximum output or its reservation.
type Stop struct{ ID string }

// Settle delivers a charge to its holder. Report the result with
// [Admitter.RemoveCharge] or [Admitter.SettleFailed].
type Settle struct{ Charge Charge }

func (Start) action()  {}
func (Refuse) action() {}
func (Stop) action()   {}
func (Settle) action() {}

// job is a queued or running request.
type job struct {
	Request
	sequence uint64 // position in the order of arrival
	started  time.Time
	usage    Usage
	stopped  bool
}

// unbilledCharge is a charge that is not durable at its holder yet.
type unbilledCharge struct {
	Charge
	dueAt         time.Time
	retryInterval time.Duration
	settling      bool
}

// revocation identifies the reservations that a holder has ended.
type revocation struct {
	below   uint64 // all lower numbers are revoked
	numbers map[uint64]struct{}
}

// Admitter holds the admission state of one side. It is not safe for concurrent
// use.
type Admitter struct {
	limits            Limits
	registered        bool
	draining          bool
	closed            map[string]struct{}
	revoked           map[string]*revocation // by holder
	running           map[string]*job
	waiting           []*job // in start order
	unbilled          map[string]*unbilledCharge
	endedAt           map[string]time.Time // end times of recent requests, by ID
	reservationOwners map[reservationKey]string
	load              Load
	meanServiceTime   time.Duration // moving average of the time in a slot
	lastSequence      uint64
}

// New returns an Admitter that refuses all requests until [Admitter.Register].
func New(limits Limits) *Admitter {
	if limits.Settle == 0 {
		limits.Settle = SettleDelay
	}
	return &Admitter{
		limits:            limits,
		closed:            make(map[string]struct{}),
		revoked:           make(map[string]*revocation),
		running:           make(map[string]*job),
		unbilled:          make(map[string]*unbilledCharge),
		endedAt:           make(map[string]time.Time),
		reservationOwners: make(map[reservationKey]string),
		meanServiceTime:   initialServiceTime,
	}
}
