// Package claimer decides which non-idempotent calls may run.
//
// The holder in the home region of an account keeps one claim per account,
// service and key. A call may be sent only after its claim is durable. A claim
// without an outcome after a crash is unknown and its call is never repeated.
//
// # Usage
//
//	c := claimer.New("entry-1.a")
//	for _, act := range c.Claim(now, request) {
//		switch act := act.(type) {
//		case claimer.Append: // journal act.Entry, then c.Durable(act.Token)
//		case claimer.Answer: // state of the claim, the call runs only if it is Granted
//		case claimer.Refuse: // the call must not be sent
//		}
//	}
//
// A successor calls Load with the folded objects, Replay with the journal
// entries in order, and Lost with the name of the former holder. Call Tick
// about ten times a second.
package claimer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
)

// State of a claim, as answered to a router.
type State string

// States of claims. New and Mismatch are answers only and are never stored.
const (
	Granted  State = "new"      // the caller owns the claim and may send the call
	Running  State = "running"  // another request owns the claim
	Done     State = "done"     // the call ran, with a known outcome
	NotRun   State = "notrun"   // the call did not run, the key may be claimed again
	Unknown  State = "unknown"  // the call may have run and is never repeated
	Mismatch State = "mismatch" // the key belongs to a call with another digest
)

// Reasons of refusals.
const (
	Platform = "platform" // the claim could not be made durable in time
	Owner    = "owner"    // the outcome comes from a request that does not own the claim
	Outdated = "outdated" // the claim has another final outcome
	Absent   = "absent"   // there is no such claim
	Invalid  = "body"     // the message is malformed
)

const (
	durableTimeout  = 2 * time.Second
	runLimit        = 15 * time.Minute
	keepPeriod      = 24 * time.Hour
	maxPayloadBytes = 64 << 10
	maxObjectBytes  = 900 << 10
	maxNameBytes    = 512
)

// ErrFull means that a shard has more claims than its object can keep.
var ErrFull = errors.New("claims of the shard do not fit into its object")

// Request asks for a claim.
type Request struct {
	ID      string // request that will own the claim
	Shard   int    // shard of the account name
	Account string
	Service string
	Key     string
	Digest  []byte // hash of method, path and payload
}

// Check validates the request.
func (r Request) Check() error {
	return Claim{
		Shard: r.Shard, Account: r.Account, Service: r.Service, Key: r.Key,
		Digest: r.Digest, State: Running, Request: r.ID,
	}.Check()
}

// Outcome ends a claim.
type Outcome struct {
	ID      string // request that owns the claim
	Account string
	Service string
	Key     string
	State   State // Done, NotRun or Unknown
	Status  int
	Header  map[string]string
	Payload []byte
}

// Claim is the right of one request to send a call, and the outcome of the call.
type Claim struct {
	Shard   int               `json:"shard"`
	Account string            `json:"account"`
	Service string            `json:"service"`
	Key     string            `json:"key"`
	Digest  []byte            `json:"digest"`
	State   State             `json:"state"`
	Request string            `json:"request"`
	Holder  string            `json:"holder"`   // instance that made the claim durable
	Rev     uint64            `json:"revision"` // grows with each change of the claim
	Time    time.Time         `json:"time"`     // time of the last change
	Status  int               `json:"status,omitempty"`
	Header  map[string]string `json:"header,omitempty"`
	Payload []byte            `json:"payload,omitempty"`
}

// Check validates the claim.
func (c Claim) Check() error {
	var f checker.Faults
	f.Require(c.Shard >= 0, "shard", "is %d, must not be negative", c.Shard)
	names := []struct{ key, value string }{
		{"account", c.Account}, {"service", c.Service}, {"key", c.Key}, {"request", c.Request},
	}
	for _, n := range names {
		checker.Range(&f, n.key+" length", len(n.value), 1, maxNameBytes)
	}
	checker.Range(&f, "digest length", len(c.Digest), 1, maxNameBytes)
	switch c.State {
	case Running, Done, NotRun, Unknown:
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

// Object is the value of a `claim/<shard>` object. Its holder keeps the newer
// claims in its journal, and whoever replaces the holder replays that journal
// first. An empty holder has folded everything.
type Object struct {
	Shard  int     `json:"shard"`
	Holder string  `json:"holder,omitempty"`
	Claims []Claim `json:"claims"` // ordered by name
}

// Check validates the claims.
func (o Object) Check() error {
	var f checker.Faults
	f.Require(o.Shard >= 0, "shard", "is %d, must not be negative", o.Shard)
	for i, c := range o.Claims {
		f.Within(fmt.Sprintf("claims.%d", i), c.Check())
		f.Require(c.Shard == o.Shard, fmt.Sprintf("claims.%d.shard", i), "is %d, want %d", c.Shard, o.Shard)
	}
	return f.Err()
}

// ObjectKey returns the key of the claims of a shard.
func ObjectKey(shard int) string { return fmt.Sprintf("claim/%d", shard) }

// Action is one of Append, Answer, Concluded and Refuse.
type Action interface{ action() }

// Append stores an entry in the journal. Report it with Durable or Failed.
type Append struct {
	Token uint64
	Entry Entry
}

// Answer gives the state of a claim to a request. The claim carries the outcome
// and the owner.
type Answer struct {
	ID    string
	State State
	Claim Claim
}

// Concluded says that an outcome is durable.
type Concluded struct{ ID string }

// Refuse says that nothing was claimed or concluded.
type Refuse struct {
	ID     string
	Reason string
	Text   string
	After  time.Duration
}

func (Append) action()    {}
func (Answer) action()    {}
func (Concluded) action() {}
func (Refuse) action()    {}

type name struct{ account, service, key string }

func (c Claim) name() name { return name{c.Account, c.Service, c.Key} }

// pending is a change that is not durable yet.
type pending struct {
	claim     Claim
	waiters   []waiter
	due       time.Time
	abandoned bool // a new claim whose request was refused meanwhile
}

// waiter is a request to answer when the change is durable.
type waiter struct {
	id       string
	conclude bool
}

// Claimer holds the claims of the shards of one holder. It is not safe for
// concurrent use.
type Claimer struct {
	holder  string
	token   uint64
	claims  map[name]Claim // durable state
	pending map[uint64]*pending
	busy    map[name]uint64        // token of the pending change of a claim
	dirty   map[int]map[name]Claim // changed since the last fold, by shard
}

// New returns a claimer without claims for a holder instance.
func New(holder string) *Claimer {
	return &Claimer{
		holder:  holder,
		claims:  make(map[name]Claim),
		pending: make(map[uint64]*pending),
		busy:    make(map[name]uint64),
		dirty:   make(map[int]map[name]Claim),
	}
}
