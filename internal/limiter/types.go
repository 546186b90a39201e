package limiter

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/checker"
)

const (
	maxRate      = 1_000_000
	maxWait      = 10 * time.Second // for requests without a deadline
	maxQueue     = 4096
	meanWeight   = 0.05 // of one run time
	lengthMargin = 1.5  // of the expected length
	minComeBack  = time.Second
	maxComeBack  = time.Minute
)

// Limit restricts one account.
type Limit struct {
	Rate       float64 `json:"rate"`       // requests per second
	Burst      int     `json:"burst"`      // requests at once
	Concurrent int     `json:"concurrent"` // requests waiting or running
}

// Check validates a limit.
func (l Limit) Check() error {
	var f checker.Faults
	f.Require(l.Rate > 0 && l.Rate <= maxRate, "rate", "is %v, allowed is above 0 to %d", l.Rate, maxRate)
	checker.Range(&f, "burst", l.Burst, 1, maxRate)
	checker.Range(&f, "concurrent", l.Concurrent, 1, maxRate)
	return f.Err()
}

// Request is what the order of service depends on.
type Request struct {
	ID       string // unique among the requests that wait or run
	Account  string
	Worth    float64
	Deadline time.Time     // of the complete answer, zero: none
	Length   time.Duration // expected run time, 0: the mean of recent ones while it waits
}

// Kind is the kind of an [Action].
type Kind string

// Kinds of actions.
const (
	Start  Kind = "start"
	Queue  Kind = "queue"
	Refuse Kind = "refuse"
)

// Reasons of a refusal.
const (
	ReasonOverload = "overload"
	ReasonDeadline = "deadline"
)

// Causes of a refusal, more precise than the reason that callers get.
const (
	CauseRate       = "rate"
	CauseConcurrent = "concurrent"
	CauseQueue      = "queue"    // the queue is full
	CauseWorth      = "worth"    // requests of higher worth take the time left
	CauseDeadline   = "deadline" // too short even for an idle fleet
	CauseDuplicate  = "duplicate"
)

// Action is what to do with a request.
type Action struct {
	Kind   Kind
	ID     string
	Reason string
	Cause  string
	After  time.Duration // time to come back, of a refusal
}

// Limiter is the admission state of one process.
type Limiter struct {
	source   *rand.Rand
	capacity int
	fallback Limit
	limits   map[string]Limit
	accounts map[string]*account
	running  map[string]run
	mean     time.Duration // run time of recent requests
	queue    []Request     // in order of service
}

type run struct {
	Request
	since time.Time
}

type account struct {
	limit  Limit
	bucket *rate.Limiter
	open   int // requests waiting or running
}

// Option changes a setting of a [Limiter].
type Option func(*Limiter)

// WithLimits sets the limits per account.
func WithLimits(m map[string]Limit) Option { return func(l *Limiter) { l.limits = m } }

// WithDefault sets the limit of accounts without one of their own.
func WithDefault(d Limit) Option { return func(l *Limiter) { l.fallback = d } }

// New returns a Limiter that runs up to capacity requests at once. The source
// gives the jitter of the times to come back.
func New(source *rand.Rand, capacity int, opts ...Option) *Limiter {
	l := &Limiter{
		source: source, capacity: max(1, capacity),
		fallback: Limit{Rate: maxRate, Burst: maxRate, Concurrent: maxRate},
		accounts: make(map[string]*account), running: make(map[string]run),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}
