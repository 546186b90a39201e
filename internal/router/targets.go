package router

import (
	"context"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/wirepb"
)

// Choice is the side of a target that was chosen for an attempt.
type Choice struct {
	Name   string // instance name of the side
	Addr   string
	Reason string // why it was chosen, for the explain command
}

// Query describes the targets that can run a job.
type Query struct {
	Account  string
	Target   string
	Prefix   []byte // start of the prompt, for prefix affinity
	Deadline time.Time
	Tried    []string // instances to leave out
}

// Targets chooses targets and learns from the results.
type Targets interface {
	// Choose returns an instance for the query, or false if there is none. The
	// caller must call Done for each choice.
	Choose(q Query) (Choice, bool)
	// Done reports the end of an attempt. The load is nil if the side did not report it.
	Done(c Choice, load *wirepb.Load, outcome Outcome)
	// Retry tells whether an attempt of the account may be followed by another,
	// and how long to wait before it.
	Retry(account string, attempt int) (time.Duration, bool)
}

// Outcome of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Whole       Outcome = iota // the whole answer arrived
	Refused                    // the side confirmed that it did not run the request
	Unreachable                // no connection could be made, so nothing was sent
	Unknown                    // the request may have run, nothing was delivered
	Interrupted                // a part of the answer was delivered
	Canceled                   // the caller went away
)

// Limits admits requests of an account. Release must be called once.
type Limits interface {
	Acquire(ctx context.Context, account bundler.Account, worth float64, deadline time.Time) (release func(), failure *Error)
}

type noLimits struct{}

func (noLimits) Acquire(context.Context, bundler.Account, float64, time.Time) (func(), *Error) {
	return func() {}, nil
}

// Records keeps the decisions about requests for the explain command.
type Records interface {
	Record(id, step, decision, reason string)
}

type noRecords struct{}

func (noRecords) Record(string, string, string, string) {}
