// Package claimer decides which non-idempotent calls may be sent, so that each runs at
// most once.
//
// The holder in the home region of an account keeps one claim per account, service
// and idempotency key. A call may be sent only after its claim is durable. A claim
// that has no outcome when its holder crashes becomes unknown, and its call is never
// retried.
//
// # Usage
//
//	c := claimer.New("entry-1.a")
//	for _, act := range c.Claim(now, request) {
//		switch act := act.(type) {
//		case claimer.Append: // write act.Entry to the journal, then c.AppendDurable(act.Token)
//		case claimer.Answer: // state of the claim; send the call only if it is StateNew
//		case claimer.Refused: // do not send the call
//		}
//	}
//
// A successor calls Load with the folded objects, Replay with the journal
// entries in order, and HolderCrashed with the name of the crashed holder. Call Tick
// about ten times a second.
package claimer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

// State is the state of a claim, as returned to a router.
type State string

// States of claims. StateNew and StateMismatch appear only in an Answer and are never
// stored.
const (
	StateNew      State = "new"      // the request owns a new claim and may send the call
	StateRunning  State = "running"  // the call of the request that owns the claim may be running
	StateDone     State = "done"     // the call ran and its outcome is known
	StateNotRun   State = "notrun"   // the call did not run, so the key may be claimed again
	StateUnknown  State = "unknown"  // the call may have run and is never retried
	StateMismatch State = "mismatch" // the key was used for a call with another digest
)

// Reasons of refusals.
const (
	ReasonPlatform = "platform" // the claim could not be made durable in time
	ReasonOwner    = "owner"    // the outcome comes from a request that does not own the claim
	ReasonOutdated = "outdated" // the claim already has another final outcome
	ReasonAbsent   = "absent"   // no such claim exists
	ReasonInvalid  = "body"     // the message is malformed
)

const (
	durableTimeout  = 2 * time.Second
	runTimeout      = 15 * time.Minute
	retentionPeriod = 24 * time.Hour
	maxPayloadBytes = 64 << 10
	maxObjectBytes  = 900 << 10
	maxNameBytes    = 512
)

// ErrFull means that the claims of a shard exceed the size limit of its object.
var ErrFull = errors.New("claims of the shard do not fit into its object")

// Request is a request for a claim.
type Request struct {
	ID      string // id of the request that will own the claim
	Shard   int    // shard of the account
	Account string
	Service string
	Key     string
	Digest  []byte // hash of method, path and payload
}

// Check validates the request.
func (r Request) Check() error {
	return Claim{
		Shard: r.Shard, Account: r.Account, Service: r.Service, Key: r.Key,
		Digest: r.Digest, State: StateRunning, Request: r.ID,
	}.Check()
}

// Outcome is the outcome of a claimed call.
type Outcome struct {
	ID      string // id of the request that owns the claim
	Account string
	Service string
	Key     string
	State   State // StateDone, StateNotRun or StateUnknown
	Status  int
	Header  map[string]string
	Payload []byte
}

// Claim is the right of one request to send a call, and the outcome of the call.
type Claim struct {
	Shard     int               `json:"shard"`
	Account   string            `json:"account"`
	Service   string            `json:"service"`
	Key       string            `json:"key"`
	Digest    []byte            `json:"digest"`
	State     State             `json:"state"`
	Request   string            `json:"request"`
	Holder    string            `json:"holder"`   // instance that wrote the last change
	Revision  uint64            `json:"revision"` // incremented with each change of the claim
	ChangedAt time.Time         `json:"time"`     // time of the last change
	Status    int               `json:"status,omitempty"`
	Header    map[string]string `json:"header,omitempty"`
	Payload   []byte            `json:"payload,omitempty"`
}

// Check validates the claim.
func (c Claim) Check() error {
	var f checker.Validator
	f.Require(c.Shard >= 0, "shard", "is %d, must not be negative", c.Shard)
	names := []struct{ key, value string }{
		{"account", c.Account}, {"service", c.Service}, {"key", c.Key}, {"request", c.Request},
	}
	for _, n := range names {
		checker.Range(&f, n.key+" length", len(n.value), 1, maxNameBytes)
	}
	checker.Range(&f, "digest length", len(c.Digest), 1, maxNameBytes)
	switch c.State {
	case StateRunning, StateDone, StateNotRun, StateUnknown:
	default:
		f.Add("state", "is %q, allowed is running, done, notrun or unknown", c.State)
	}
	return f.Err()
}

// Entry is a journal entry. Data is an encoded [Claim].
type Entry struct {
	Shard int
	Data  json.RawMessage
}

// Object is the value of a `claim/<shard>` object. Newer claims are in the journal of
// its holder, which a new holder must replay first. An empty Holder means that all
// claims are folded into the object.
type Object struct {
	Shard  int     `json:"shard"`
	Holder string  `json:"holder,omitempty"`
	Claims []Claim `json:"claims"` // ordered by account, service and key
}

// Check validates the object and its claims.
func (o Object) Check() error {
	var f checker.Validator
	f.Require(o.Shard >= 0, "shard", "is %d, must not be negative", o.Shard)
	for i, c := range o.Claims {
		f.AddNested(fmt.Sprintf("claims.%d", i), c.Check())
		f.Require(c.Shard == o.Shard, fmt.Sprintf("claims.%d.shard", i), "is %d, want %d", c.Shard, o.Shard)
	}
	return f.Err()
}

// ObjectKey returns the key of the claims object of a shard.
func ObjectKey(shard int) string { return fmt.Sprintf("claim/%d", shard) }

// Action is one of Append, Answer, Concluded and Refused.
type Action interface{ action() }

// Append requests that an entry is written to the journal. Call AppendDurable or
// AppendFailed with its token.
type Append struct {
	Token uint64
	Entry Entry
}

// Answer returns the state of a claim to a request. The claim includes the owner and
// the outcome.
type Answer struct {
	ID    string
	State State
	Claim Claim
}

// Concluded reports that an outcome is durable.
type Concluded struct{ ID string }

// Refused reports that a claim or an outcome was not accepted. RetryAfter is the delay
// before a retry, 0 if a retry would be refused as well.
type Refused struct {
	ID         string
	Reason     string
	Text       string
	RetryAfter time.Duration
}

func (Append) action()    {}
func (Answer) action()    {}
func (Concluded) action() {}
func (Refused) action()   {}

// claimID identifies a claim.
type claimID struct{ account, service, key string }

func (c Claim) claimID() claimID { return claimID{c.Account, c.Service, c.Key} }

// pendingChange is a change of a claim that is not durable yet.
type pendingChange struct {
	claim    Claim
	waiters  []waitingRequest
	deadline time.Time
	timedOut bool // a new claim whose request was refused after a timeout
}

// waitingRequest is a request that is answered when the change is durable.
type waitingRequest struct {
	id         string
	hasOutcome bool // it reported an outcome
}

// Claimer is the state of the claims of one holder. It is not safe for concurrent use.
type Claimer struct {
	holder        string
	lastToken     uint64
	claims        map[claimID]Claim // durable claims
	pending       map[uint64]*pendingChange
	pendingTokens map[claimID]uint64        // token of the pending change of a claim
	unfolded      map[int]map[claimID]Claim // changes since the last fold, by shard
}

// New returns a claimer without claims for a holder instance.
func New(holder string) *Claimer {
	return &Claimer{
		holder:        holder,
		claims:        make(map[claimID]Claim),
		pending:       make(map[uint64]*pendingChange),
		pendingTokens: make(map[claimID]uint64),
		unfolded:      make(map[int]map[claimID]Claim),
	}
}
