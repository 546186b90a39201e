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

// Choice is the side of a target that was chosen for an attempt.
type Choice struct {
	Name   string // instance name of the side
	Addr   string
	Sent   time.Time
	Reason string // why it was chosen
	Scope  string // how far it is
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
	// Begin counts a new request of an account, which pays into its retry budget.
	Begin(account string)
	// Choose returns an instance for the query, or false if there is none. The
	// caller must call Done for each choice.
	Choose(q Query) (Choice, bool)
	// Done reports the end of an attempt and decides whether another may follow.
	Done(c Choice, r Report) Verdict
}

// Report describes the end of an attempt.
type Report struct {
	Account    string
	Outcome    Outcome
	Number     int  // of the attempt, from 1
	Repeatable bool // whether the request may run more than once
	Deadline   time.Time
	After      time.Duration // time to come back that the side gave
	Load       *wirepb.Load  // nil if the side did not report it
}

// Verdict says how to go on after an attempt.
type Verdict struct {
	Retry bool
	Wait  time.Duration // before the retry
	After time.Duration // time to come back for the caller if there is no retry
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
	Add(id string, r explainer.Record)
}

type noRecords struct{}

func (noRecords) Add(string, explainer.Record) {}

// record keeps one decision about a request.
func (r *Router) record(id, step, decision, reason string, details ...explainer.Field) {
	r.records.Add(id, explainer.Record{Time: time.Now(), Step: step, Decision: decision, Reason: reason, Details: details})
}

// cause names the kind of an error. Its text can hold addresses and parts of
// the caller's input, which records must not have.
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
	case errors.Is(err, errSink):
		return "caller"
	case errors.Is(err, assembler.ErrGap):
		return "gap"
	case errors.Is(err, assembler.ErrChecksum), errors.Is(err, assembler.ErrCount):
		return "checksum"
	case errors.Is(err, connector.ErrProtocol):
		return "protocol"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silence"
	default:
		return "connection"
	}
}
