// Package budgeter decides what the holder of budget shards does: it reserves,
// settles and releases tokens, writes marks ahead of their use, takes tokens from
// the shard objects and asks other regions for unused ones, and refuses at once
// when none of this can help.
//
// A reservation is admitted only if charged + reserved + new stays within the
// durable mark and the allotment. A request that does not fit waits only while a
// step that can help it is pending: a raise of the mark, an update of the shard
// object, or an answer of the other regions. During a platform outage the holder
// lives on what is marked.
//
// # Usage
//
//	h := budgeter.New(budgeter.Config{Instance: "entry-1.a", Region: "eu", Regions: 3, Ahead: 1})
//	actions := h.Hold(7)
//	actions = h.Reserve(now, token, budgeter.Request{Shard: 7, Budget: "acme", Tokens: 100})
//
// The owner carries out the actions and reports the results. Append goes to the
// instance's journal and returns as Durable. For Update it reads the shard object
// and calls Propose, writes the proposal by conditional update and reports Stored
// or Failed; on a conflict it reads and proposes again. At most one update per
// shard is pending. Platform reports an outage and its end, Stop the loss of the
// journal, and Tick is called at least once a second. Actions are carried out in
// order. After Fenced or Stop the instance continues under a new incarnation.
package budgeter

import (
	"fmt"
	"math"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// Defaults of [Config] and limits.
const (
	defaultWait    = 2 * time.Second
	defaultBack    = 5 * time.Second
	demandHalfLife = 5 * time.Minute
	noCeiling      = math.MaxInt64
	// markPercent of the part that should be marked ahead is the level at which the
	// holder marks more. Less would leave a region that is cut off with a mark far
	// below its allotment.
	markPercent = 90
	// Without a need, a holder takes more if it has less than takePercent of its
	// target and returns what exceeds keepPercent of it. The distance keeps the
	// regions from passing the same tokens back and forth.
	takePercent = 90
	keepPercent = 110
)

// Token identifies a call of the owner in the answering action.
type Token uint64

// Config sets up a holder. Zero durations take defaults.
type Config struct {
	Instance string
	Region   string
	Regions  int
	Ahead    float64       // part of the unspent allotment that is marked ahead of use
	Wait     time.Duration // longest wait for a pending step
	Back     time.Duration // time to come back after an outage refusal
}

// Request asks for a reservation.
type Request struct {
	Shard  int
	Budget string
	Tokens int64
	Key    string // hash of the caller's key, may be empty
}

// Reservation is an upper bound of tokens set aside for a request.
type Reservation struct {
	Holder string
	Region string
	Shard  int
	Number uint64
	Budget string
	Tokens int64
}

// Charge is the actual use of a reservation.
type Charge struct {
	Reservation Reservation
	Key         string
	Tokens      int64
}

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal.
const (
	ReasonBudget   Reason = "budget"   // the budget has not enough tokens
	ReasonPlatform Reason = "platform" // tokens may exist but cannot be reached
	ReasonStopping Reason = "stopping" // the instance does not hold the shard
	ReasonBody     Reason = "body"     // the request is invalid
)

// RefusedError says why a request was refused. After is the time to come back, 0
// if unknown.
type RefusedError struct {
	Reason Reason
	Text   string
	After  time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%s): %s", e.Reason, e.Text) }

// Mark is the data of a mark entry.
type Mark struct {
	Budget string `json:"budget"`
	Mark   int64  `json:"mark"`
}

// Action is one of the types below.
type Action interface{ action() }

// Granted answers Reserve.
type Granted struct {
	Token       Token
	Reservation Reservation
}

// Refused answers Reserve or Settle.
type Refused struct {
	Token Token
	Err   *RefusedError
}

// Settled answers Settle once the charge is durable.
type Settled struct {
	Token     Token
	Duplicate bool
}

// Append asks the journal for a durable entry.
type Append struct {
	Token   journaler.Token
	Entries []journaler.Entry
	Lazy    bool // nothing waits for the entry but the senders of a charge
}

// Update asks for a conditional update of a shard object, see [Holder.Propose].
type Update struct{ Shard int }

// Ask requests unused tokens from the holders of the other regions, to be
// answered with Asked when all have answered or failed.
type Ask struct {
	Shard  int
	Budget string
	Tokens int64
}

// Returned answers Return with the tokens that are back in the shard object.
type Returned struct {
	Token  Token
	Tokens int64
}

// Folded tells the journal how far it is folded for a shard.
type Folded struct {
	Shard int
	Seq   uint64
}

// Held says that the instance holds the shard. Former lists the instances whose
// journals a recoverer has to take over.
type Held struct {
	Shard  int
	Tenure allotter.Tenure
	Former []string
}

// Replayed says that a former holder's journal is folded into the shard object.
type Replayed struct {
	Shard    int
	Instance string
}

// Closed says that a former holder's grants of the shard are released.
type Closed struct {
	Shard    int
	Instance string
}

// Fenced says that another instance has taken over a shard. It seals this
// instance's journal, so the instance gives up all shards and its journal and
// continues under a new incarnation. A full ring would otherwise hide the seal,
// because nothing more can be folded or written.
type Fenced struct{ Shard int }

// Left says that the shard is no longer held and nothing of it is open.
type Left struct{ Shard int }

func (Granted) action()  {}
func (Refused) action()  {}
func (Settled) action()  {}
func (Append) action()   {}
func (Update) action()   {}
func (Ask) action()      {}
func (Returned) action() {}
func (Folded) action()   {}
func (Held) action()     {}
func (Replayed) action() {}
func (Closed) action()   {}
func (Fenced) action()   {}
func (Left) action()     {}

// Holder is the state of one instance over all its shards.
type Holder struct {
	cfg     Config
	shards  map[int]*shard
	appends map[journaler.Token]func(now time.Time, seq uint64)
	token   journaler.Token
	next    uint64 // number of the next reservation
	seq     uint64 // last durable record
	down    bool
	stopped bool // the journal is lost, so that no shard can be held any more
	out     []Action
}

type shard struct {
	number   int
	object   allotter.Shard // as last stored
	held     bool
	leaving  bool
	handed   bool
	accounts map[string]*account
	open     map[uint64]Reservation
	charges  map[chargeID]*charge // not folded
	keys     map[budgetKey]int    // number of unfolded charges by key
	former   map[string]*former
	updating bool
	again    bool // another update is due after the pending one
	proposal *proposal
}

type chargeID struct {
	holder string
	number uint64
}

type budgetKey struct{ budget, key string }

type account struct {
	budget   string
	allotted int64
	ceiling  int64 // lowered allotment that is not yet known to be stored
	durable  int64 // mark
	marking  int64 // mark being written, 0 if none
	charged  int64
	reserved int64
	waiting  []waiter
	stage    stage
	left     int64 // free in the shard object when the other regions were asked
	gives    []give
	trim     bool // the mark is at most the ceiling, the object may be trimmed
	demand   float64
	at       time.Time // of demand
}

// stage is the step that waiting requests depend on beyond the mark.
type stage int

const (
	stageNone stage = iota
	stageTake
	stageAsk
	stageTakeAgain
)

type waiter struct {
	token Token
	req   Request
	since time.Time
	asked bool // the other regions were asked on its behalf
}

type give struct {
	token  Token
	tokens int64
}

type charge struct {
	allotter.Charge
	seq       uint64 // 0 until durable
	duplicate bool
	waiting   []Token
}

// former is a dead holder whose grants are being released.
type former struct {
	fold     allotter.Fold
	stored   bool // the fold is in the shard object
	complete bool // all sides have answered
	open     map[uint64]Reservation
	done     map[uint64]bool // concluded here
	late     []Charge        // reported before the fold was stored
}

// proposal is what the pending update contains.
type proposal struct {
	next   allotter.Shard
	seq    uint64
	takes  map[string]stage // at the proposal; a later stage waits for another update
	free   map[string]int64 // before the takes
	trims  map[string]int64
	folds  []string // former holders
	closes []string
	left   bool
	handed bool
}
