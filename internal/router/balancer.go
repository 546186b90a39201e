package router

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/assembler"
	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/wirepb"
)

// Choice is the side instance chosen for an attempt.
type Choice struct {
	Name   string // instance name of the side
	Addr   string
	Sent   time.Time
	Reason string // why it was chosen
	Scope  string // same data centre, same region or other
}

// Query selects the instances that can run a job.
type Query struct {
	Account  string
	Target   string
	Prefix   []byte // start of the prompt, for prefix-cache affinity
	Deadline time.Time
	Tried    []string // instances to exclude
}

// Balancer chooses the instance for each attempt and decides about retries.
type Balancer interface {
	// RequestStarted registers a new request, which adds to the account's retry budget.
	RequestStarted(account string)
	// Choose returns an instance for the query, or false if there is none. The
	// caller must call Done for each choice.
	Choose(q Query) (Choice, bool)
	// Done records the result of an attempt and decides whether to retry.
	Done(c Choice, r AttemptResult) RetryDecision
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Account       string
	Outcome       Outcome
	AttemptNumber int  // from 1
	Idempotent    bool // whether the request may run more than once
	Deadline      time.Time
	RetryAfter    time.Duration // from the side's refusal
	Load          *wirepb.Load  // nil if the side did not report it
}

// RetryDecision tells whether and when to retry after an attempt.
type RetryDecision struct {
	Retry      bool
	Backoff    time.Duration // before the retry
	RetryAfter time.Duration // for the caller, if there is no retry
}

// Outcome of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Complete    Outcome = iota // the complete response was received
	Refused                    // the side confirmed that it did not run the request
	Unreachable                // connecting failed, so nothing was sent
	Unknown                    // the request may have run, nothing was delivered
	Interrupted                // a part of the response was delivered
	Canceled                   // the caller disconnected
)

// AdmissionController admits requests of an account. The returned release function
// must be called exactly once.
type AdmissionController interface {
	Acquire(ctx context.Context, account bundler.Account, worth float64, deadline time.Time) (release func(), failure *Error)
}

type unlimitedAdmission struct{}

func (unlimitedAdmission) Acquire(context.Context, bundler.Account, float64, time.Time) (func(), *Error) {
	return func() {}, nil
}

// DecisionLog stores the decisions about requests for the explain command.
type DecisionLog interface {
	Add(id string, r explainer.Record)
}

type nopDecisionLog struct{}

func (nopDecisionLog) Add(string, explainer.Record) {}

// recordDecision adds one decision about a request to the log.
func (r *Router) recordDecision(id, step, decision, reason string, details ...explainer.Field) {
	r.decisions.Add(id, explainer.Record{Time: time.Now(), Step: step, Decision: decision, Reason: reason, Details: details})
}

// cause returns a category of the error. The error text is not recorded because
// it may contain addresses and parts of the caller's input.
func cause(err error) string {
	var refused *connector.RefusedError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refused):
		return refused.Reason
	case errors.Is(err, connector.ErrDial):
		return "dial"
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, errCallerGone):
		return "caller"
	case errors.Is(err, assembler.ErrGap):
		return "gap"
	case errors.Is(err, assembler.ErrChecksum), errors.Is(err, assembler.ErrFrameCount):
		return "checksum"
	case errors.Is(err, connector.ErrProtocol):
		return "protocol"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silence"
	default:
		return "connection"
	}
}
