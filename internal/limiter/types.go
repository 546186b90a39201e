package limiter

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/checker"
)

const (
	maxRate       = 1_000_000
	maxWait       = 10 * time.Second // queue time of a request without a deadline
	maxQueue      = 4096
	runTimeWeight = 0.05 // of one run time in the moving average
	runTimeMargin = 1.5  // factor on the expected run time
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Limit is the rate and concurrency limit of one account.
type Limit struct {
	Rate       float64 `json:"rate"`       // requests per second
	Burst      int     `json:"burst"`      // requests that may arrive at once
	Concurrent int     `json:"concurrent"` // queued and running requests
}

// Check validates that all values are positive and in range.
func (l Limit) Check() error {
	var f checker.Validator
	f.Require(l.Rate > 0 && l.Rate <= maxRate, "rate", "is %v, allowed is above 0 to %d", l.Rate, maxRate)
	checker.Range(&f, "burst", l.Burst, 1, maxRate)
	checker.Range(&f, "concurrent", l.Concurrent, 1, maxRate)
	return f.Err()
}

// Request is the part of a request that decides when it starts.
type Request struct {
	ID       string // unique among queued and running requests
	Account  string
	Worth    float64
	Deadline time.Time     // for the complete response, zero if none
	RunTime  time.Duration // expected run time; if 0, the mean run time is assumed in the queue
}

// Kind says what an [Action] does.
type Kind string

// Kinds of actions.
const (
	Start  Kind = "start"
	Queue  Kind = "queue"
	Refuse Kind = "refuse"
)

// Reasons of a refusal, as reported to callers.
const (
	ReasonOverload = "overload"
	ReasonDeadline = "deadline"
)

// Causes of a refusal, which are more precise than the reasons.
const (
	CauseRate       = "rate"
	CauseConcurrent = "concurrent"
	CauseQueue      = "queue"    // the queue is full
	CauseWorth      = "worth"    // requests of higher worth use the remaining time
	CauseDeadline   = "deadline" // cannot be met even if the request starts at once
	CauseDuplicate  = "duplicate"
)

// Action tells the caller what to do with a request.
type Action struct {
	Kind       Kind
	ID         string
	Reason     string
	Cause      string
	RetryAfter time.Duration // set for a refusal only
}

// Limiter is the admission state of one process.
type Limiter struct {
	rng          *rand.Rand
	capacity     int
	defaultLimit Limit
	limits       map[string]Limit
	accounts     map[string]*accountState
	running      map[string]runningRequest
	meanRunTime  time.Duration // moving average of the run times
	queue        []Request     // in the order in which they will start
}

type runningRequest struct {
	Request
	started time.Time
}

type accountState struct {
	limit       Limit
	bucket      *rate.Limiter
	outstanding int // queued and running requests
}

// Option configures a [Limiter].
type Option func(*Limiter)

// WithLimits sets the limits per account.
func WithLimits(m map[string]Limit) Option { return func(l *Limiter) { l.limits = m } }

// WithDefault sets the limit of accounts that have no limit of their own.
func WithDefault(d Limit) Option { return func(l *Limiter) { l.defaultLimit = d } }

// New returns a Limiter that runs up to capacity requests at once. The random numbers
// are used for the jitter of retry-after times.
func New(rng *rand.Rand, capacity int, opts ...Option) *Limiter {
	l := &Limiter{
		rng: rng, capacity: max(1, capacity),
		defaultLimit: Limit{Rate: maxRate, Burst: maxRate, Concurrent: maxRate},
		accounts:     make(map[string]*accountState), running: make(map[string]runningRequest),
	}
	for _, o := range opts {
		o(l)
	}
	return l
}
