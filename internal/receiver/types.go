// Package receiver serves requests of callers: it finds route and account,
// reserves tokens, chooses a target, forwards the request, delivers the answer
// and settles what was used.
//
// A refusal with status 503 promises that the request has not run and never
// will. After anything else that ends without the answer of a target, the status
// is 502 or 504, or the connection breaks off.
//
// # Usage
//
//	r := receiver.New(codec, dispatch, accountant, pool, receiver.WithLog(log))
//	r.Adopt(table)
//	http.Serve(l, r)
package receiver

import (
	"context"
	"net/http"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/granter"
)

const (
	maxBodyBytes    = 4 << 20                // of a request, while no configuration is known
	maxAnswerBytes  = 1 << 20                // of a plain answer that is checked whole before it is delivered
	maxDials        = 4                      // targets that one request tries in vain to connect to
	staleTime       = 4 * time.Second        // without contact, after which an unknown route or key may be one that was added
	defaultPatience = 30 * time.Second       // of a caller that states none
	tokenShare      = 0.6                    // of the latency objective that a request may wait for tokens
	minLeft         = 20 * time.Millisecond  // a shorter rest serves no request
	silenceFactor   = 1.5                    // of the latency objective, after which a repeatable request goes elsewhere
	streamFactor    = 2.5                    // of the objective of the first event
	minSilence      = 250 * time.Millisecond // longest work of a plain service, from the users' sheet: 110 ms
	outputShare     = 0.25                   // of the most output that an answer has on average, from the users' sheet
	comeBack        = 400 * time.Millisecond // mean time to come back after a refusal for lack of targets
)

// Part is a piece of a prompt.
type Part = chooser.Part

// Meta is what the headers of a request say.
type Meta struct {
	ID        string
	Key       string
	Model     string
	Patience  time.Duration // how long the caller waits, 0: not said
	Prompt    int64         // tokens
	Output    int64         // tokens, at most
	Expected  int64         // tokens of output by the caller's estimate, 0: none
	Parts     []Part
	LastEvent string // the stream goes on after this event
}

// Forward is what a target gets beside the headers of the caller.
type Forward struct {
	Target    string // any other target must refuse
	Account   string
	Left      time.Duration
	Prompted  bool // the request is for a model engine
	Priority  int  // 0 is the most urgent
	LastEvent string
}

// Load is the load of a target as its answer says.
type Load struct{ Running, Waiting, Slots int }

// Reply is what the headers of an answer say.
type Reply struct {
	ID     string
	Sealed bool // the target vouches for the answer
	NotRun bool // the target did not run the request
	Moved  bool // another target has the address
	Load   *Load
}

// Codec decodes and encodes headers.
type Codec interface {
	Request(h http.Header) (Meta, error)
	Forward(h http.Header, f Forward)
	Answer(status int, h http.Header) Reply
	Refuse(h http.Header, id string, after time.Duration)
	EndToEnd(name string) bool // the header belongs to the request, not to a connection
}

// Budgets reserves prepaid tokens.
type Budgets interface {
	Ready() bool
	Reserve(ctx context.Context, account string, n int64, wait time.Duration) granter.Decision
	Settle(account string, d granter.Decision, used int64)
}
