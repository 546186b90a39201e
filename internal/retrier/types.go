package retrier

import (
	"math/rand/v2"
	"time"
)

const (
	fleetShare   = 0.1 // retries per first attempt
	accountShare = 0.2
	fleetBurst   = 20
	accountBurst = 5
	maxAttempts  = 3
	baseBackoff  = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	tripFailures = 5
	openTime     = 2 * time.Second
	maxOpenTime  = 30 * time.Second
	trialTime    = 10 * time.Second // then a trial without a result is given up
	maxComeBack  = 30 * time.Second
	maxAccounts  = 50_000
	minComeBack  = time.Second
)

// Outcome is the typed result of an attempt.
type Outcome string

// Outcomes.
const (
	Whole       Outcome = "whole"       // complete, checked answer
	NotRun      Outcome = "notrun"      // nothing was sent, or the side confirmed its refusal
	Unknown     Outcome = "unknown"     // sent, and no answer
	Interrupted Outcome = "interrupted" // the answer broke off
)

// Attempt is one concluded attempt of a request.
type Attempt struct {
	Account    string
	Target     string
	Outcome    Outcome
	Refused    bool // NotRun by the side's refusal: the target works
	Idempotent bool
	Delivered  bool // part of the answer reached the caller
	Number     int  // from 1
	Attempts   int  // that this request may have, 0: as many as the others
	Deadline   time.Time
	After      time.Duration // time to come back that the side gave, 0 if none
}

// Reasons of a verdict.
const (
	ReasonWhole     = "whole"
	ReasonMayHave   = "mayhaverun"
	ReasonDelivered = "delivered"
	ReasonAttempts  = "attempts"
	ReasonAccount   = "accountbudget"
	ReasonFleet     = "fleetbudget"
	ReasonDeadline  = "deadline"
	ReasonAllowed   = "allowed"
)

// Verdict says what to do after an attempt. Outcome is the one to report to the
// caller if the request is not retried.
type Verdict struct {
	Retry   bool
	Outcome Outcome
	Reason  string
	Wait    time.Duration // before the retry
	After   time.Duration // time to come back for the caller, 0 if coming back does not help
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
	state    State
	failures int // in a row while closed
	opened   time.Time
	pause    time.Duration
	trial    time.Time // start of the trial in flight, zero if none
}

// bucket holds the retries that may be spent.
type bucket struct {
	tokens, share, burst float64
}

// Retrier keeps the retry budgets and circuit breakers of one process.
type Retrier struct {
	source       *rand.Rand
	fleet        bucket
	accounts     map[string]*bucket
	breakers     map[string]*breaker
	fleetShare   float64
	accountShare float64
	fleetBurst   float64
	accountBurst float64
	attempts     int
	counted      bool // refusals count as retries
}

// Option changes a setting of a [Retrier].
type Option func(*Retrier)

// WithShares sets the retries per first attempt, for the fleet and per account.
func WithShares(fleet, account float64) Option {
	return func(r *Retrier) { r.fleetShare, r.accountShare = fleet, account }
}

// WithBursts sets the retries that may come at once, for the fleet and per account.
func WithBursts(fleet, account float64) Option {
	return func(r *Retrier) { r.fleetBurst, r.accountBurst = fleet, account }
}

// WithRefusalsCounted makes retries after a refusal draw on the budgets too.
func WithRefusalsCounted() Option { return func(r *Retrier) { r.counted = true } }

// WithAttempts sets the most attempts of one request.
func WithAttempts(n int) Option { return func(r *Retrier) { r.attempts = n } }

// New returns a Retrier. The source gives the jitter.
func New(source *rand.Rand, opts ...Option) *Retrier {
	r := &Retrier{
		source: source, accounts: make(map[string]*bucket), breakers: make(map[string]*breaker),
		fleetShare: fleetShare, accountShare: accountShare, fleetBurst: fleetBurst, accountBurst: accountBurst,
		attempts: maxAttempts,
	}
	for _, o := range opts {
		o(r)
	}
	r.fleet = bucket{r.fleetBurst, r.fleetShare, r.fleetBurst}
	return r
}
