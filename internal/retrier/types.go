package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	fleetRetryRatio   = 0.1 // retries per first attempt
	accountRetryRatio = 0.2 // retries per first attempt
	fleetRetryBurst   = 20
	accountRetryBurst = 5
	maxAttempts       = 3
	baseBackoff       = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	failureThreshold  = 5 // consecutive failures that open a circuit breaker
	minOpenTime       = 2 * time.Second
	maxOpenTime       = 30 * time.Second
	trialTimeout      = 10 * time.Second // after which another trial is admitted
	maxRetryAfter     = 30 * time.Second
	maxAccounts       = 50_000
	minRetryAfter     = time.Second
)

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	Complete    Outcome = "whole"       // complete and verified response
	NotRun      Outcome = "notrun"      // not sent, or confirmed as refused by the target
	Unknown     Outcome = "unknown"     // sent, but no response received
	Interrupted Outcome = "interrupted" // the response ended early
)

// Attempt describes one finished attempt of a request.
type Attempt struct {
	Account     string
	Target      string
	Outcome     Outcome
	Refused     bool // NotRun because the target refused, so it is healthy
	Idempotent  bool
	Delivered   bool // part of the response reached the caller
	Number      int  // of this attempt, starting at 1
	MaxAttempts int  // maximum for this request, 0 for the default
	Deadline    time.Time
	RetryAfter  time.Duration // retry-after time given by the target, 0 if none
}

// Reasons of a [Verdict].
const (
	ReasonComplete   = "whole"
	ReasonMayHaveRun = "mayhaverun"
	ReasonDelivered  = "delivered"
	ReasonAttempts   = "attempts"
	ReasonAccount    = "accountbudget"
	ReasonFleet      = "fleetbudget"
	ReasonDeadline   = "deadline"
	ReasonAllowed    = "allowed"
)

// Verdict says whether to retry after an attempt. Outcome is reported to the caller if
// the request is not retried.
type Verdict struct {
	Retry      bool
	Outcome    Outcome
	Reason     string
	Backoff    time.Duration // time to wait before the retry
	RetryAfter time.Duration // retry-after time for the caller, 0 if the caller should not retry
}

// State is the state of a circuit breaker.
type State string

// States of a circuit breaker.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "halfopen"
)

type breaker struct {
	state        State
	failures     int // consecutive; compared with the threshold while closed
	openedAt     time.Time
	openDuration time.Duration
	trialStart   time.Time // of the trial in flight, zero if none
}

// tokenBucket holds the retries that may be made. Each first attempt adds ratio
// tokens, up to burst.
type tokenBucket struct {
	tokens, ratio, burst float64
}

// Retrier holds the retry budgets and circuit breakers of one process.
type Retrier struct {
	rng             *rand.Rand
	fleet           tokenBucket
	accounts        map[string]*tokenBucket
	breakers        map[string]*breaker
	pauses          map[string]pause // by target
	fleetRatio      float64
	accountRatio    float64
	fleetBurst      float64
	accountBurst    float64
	defaultAttempts int
	countRefusals   bool // retries after refusals count against the budgets
}

// Option configures a [Retrier].
type Option func(*Retrier)

// WithRatios sets the number of retries per first attempt, for the fleet and for each
// account.
func WithRatios(fleet, account float64) Option {
	return func(r *Retrier) { r.fleetRatio, r.accountRatio = fleet, account }
}

// WithBursts sets the sizes of the token buckets, for the fleet and for each account.
func WithBursts(fleet, account float64) Option {
	return func(r *Retrier) { r.fleetBurst, r.accountBurst = fleet, account }
}

// WithRefusalsCounted makes retries after refusals count against the retry budgets.
func WithRefusalsCounted() Option { return func(r *Retrier) { r.countRefusals = true } }

// WithAttempts sets the maximum number of attempts per request.
func WithAttempts(n int) Option { return func(r *Retrier) { r.defaultAttempts = n } }

// New returns a Retrier. The random numbers are used for jitter.
func New(rng *rand.Rand, opts ...Option) *Retrier {
	r := &Retrier{
		rng: rng, accounts: make(map[string]*tokenBucket), breakers: make(map[string]*breaker), pauses: make(map[string]pause),
		fleetRatio: fleetRetryRatio, accountRatio: accountRetryRatio, fleetBurst: fleetRetryBurst, accountBurst: accountRetryBurst,
		defaultAttempts: maxAttempts,
	}
	for _, o := range opts {
		o(r)
	}
	r.fleet = tokenBucket{r.fleetBurst, r.fleetRatio, r.fleetBurst}
	return r
}
