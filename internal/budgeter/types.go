// Package budgeter makes the decisions of an instance that holds budget shards. It
// reserves, settles and releases tokens, raises the mark before tokens are used,
// allots free tokens from the shard objects and asks other regions for unused
// ones. A request that none of these steps can satisfy is refused at once.
//
// A charge is first written to the instance's journal and later folded into the shard
// object, see package allotter. The mark of a budget is a high-water mark: the
// cumulative number of tokens that the holder may have charged or reserved, written to
// its journal in advance.
//
// A reservation is granted only if charged + reserved + requested tokens stay
// within both the durable mark and the allotment. A request that does not fit
// waits only while a step that can satisfy it is pending: a write of a higher mark,
// an update of the shard object, or the responses of the other regions. During a
// platform outage the holder grants only tokens that are already marked.
//
// # Usage
//
//	h := budgeter.New(budgeter.Config{Instance: "entry-1.a", Region: "eu", Regions: 3, MarkAhead: 1})
//	actions := h.Acquire(7)
//	actions = h.Reserve(now, token, budgeter.Request{Shard: 7, Budget: "acme", Tokens: 100})
//
// The caller performs the actions in order and reports their results:
//
//   - Append: write the entries to the instance's journal, then call AppendsDurable.
//   - Update: read the shard object, call Propose, write the proposal with a
//     conditional write, then call UpdateStored or UpdateFailed. After a conflict,
//     read and propose again. At most one update per shard is pending.
//   - AskRegions: ask the holders of the other regions, then call RegionsAnswered.
//
// Call SetPlatformReachable at the start and the end of an outage, JournalLost when
// the journal is lost, and Tick at least once a second. After Fenced or JournalLost the
// instance continues under a new incarnation.
package budgeter

import (
	"fmt"
	"math"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

const (
	// maxWait is the maximum time that a request waits for a pending step.
	maxWait = 2 * time.Second
	// outageRetryAfter is the retry delay sent with refusals during an outage.
	outageRetryAfter = 5 * time.Second
	demandHalfLife   = 5 * time.Minute
	noCeiling        = math.MaxInt64
	// A higher mark is written when the tokens still marked fall to raiseMarkPercent
	// of the number that should be marked ahead. A lower threshold would leave a
	// region that loses the platform with a mark far below its allotment.
	raiseMarkPercent = 90
	// When no request needs more tokens, a holder allots itself more only below
	// allotPercent of its target allotment, and returns the excess only above
	// returnPercent of it. The gap between the two keeps the regions from passing the
	// same tokens back and forth.
	allotPercent  = 90
	returnPercent = 110
)

// Token identifies a call; the action that answers the call carries it.
type Token uint64

// Config sets up a holder.
type Config struct {
	Instance  string
	Region    string
	Regions   int     // number of regions
	MarkAhead float64 // fraction of the unspent allotment to keep marked
}

// Request asks for a reservation.
type Request struct {
	Shard  int
	Budget string
	Tokens int64
}

// Reservation is the maximum number of tokens that a request may use, set aside from
// its budget.
type Reservation struct {
	Holder string
	Region string
	Shard  int
	Number uint64
	Budget string
	Tokens int64
}

// Charge is the number of tokens that a request actually used of its reservation.
type Charge struct {
	Reservation Reservation
	Key         string
	Tokens      int64
}

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal.
const (
	ReasonBudget   Reason = "budget"   // the budget does not have enough tokens
	ReasonPlatform Reason = "platform" // the budget may have tokens, but the platform is unreachable
	ReasonStopping Reason = "stopping" // the instance does not hold the shard
	ReasonInvalid  Reason = "body"     // the request is invalid
)

// RefusedError is a refusal with its reason. RetryAfter is the delay before a retry, 0 if
// unknown.
type RefusedError struct {
	Reason     Reason
	Text       string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%s): %s", e.Reason, e.Text) }

// Mark is the data of a journal entry that sets the mark of a budget.
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

// Append requests that entries are written to the journal.
type Append struct {
	Token      journaler.Token
	Entries    []journaler.Entry
	Deferrable bool // only the senders of a charge wait, so the write may be deferred
}

// Update requests a conditional write of a shard object, see [Holder.Propose].
type Update struct{ Shard int }

// AskRegions requests unused tokens from the holders of the other regions. Call
// RegionsAnswered when each of them has responded or failed.
type AskRegions struct {
	Shard  int
	Budget string
	Tokens int64
}

// Returned answers Return with the number of tokens that were returned to the shard
// object.
type Returned struct {
	Token  Token
	Tokens int64
}

// Folded reports that the shard object includes the journal up to record Seq.
type Folded struct {
	Shard int
	Seq   uint64
}

// Acquired reports that the instance holds the shard. FormerHolders lists the former
// holders that need recovery.
type Acquired struct {
	Shard         int
	Holder        allotter.RegionHolder
	FormerHolders []string
}

// FormerClosed reports that a former holder's grants of the shard are closed.
type FormerClosed struct {
	Shard    int
	Instance string
}

// Fenced reports that another instance has taken over a shard. That instance seals
// the journal of this one, so this instance has given up all its shards and must
// continue under a new incarnation. Without Fenced, an instance whose journal ring is
// full would not notice the seal, because it can no longer fold or write.
type Fenced struct{}

// HandedOver reports that the hand-over of the shard is complete: this instance no longer
// holds it and has no open reservations in it.
type HandedOver struct{ Shard int }

func (Granted) action()      {}
func (Refused) action()      {}
func (Settled) action()      {}
func (Append) action()       {}
func (Update) action()       {}
func (AskRegions) action()   {}
func (Returned) action()     {}
func (Folded) action()       {}
func (Acquired) action()     {}
func (FormerClosed) action() {}
func (Fenced) action()       {}
func (HandedOver) action()   {}

// Holder is the state of all shards of one instance.
type Holder struct {
	cfg            Config
	shards         map[int]*shard
	pendingAppends map[journaler.Token]func(now time.Time, seq uint64)
	lastToken      journaler.Token
	nextNumber     uint64 // number of the next reservation
	durableSeq     uint64 // last durable journal record
	platformDown   bool
	stopped        bool // the journal is lost, so no shard can be held
	emitted        []Action
}

type shard struct {
	number        int
	object        allotter.Shard // last stored value
	held          bool
	handingOver   bool
	handedOver    bool // the hand-over is stored, open reservations may remain
	accounts      map[string]*account
	open          map[uint64]Reservation
	charges       map[chargeID]*charge // not folded yet
	unfoldedKeys  map[budgetKey]int    // number of unfolded charges
	formerHolders map[string]*formerHolder
	updating      bool
	updateAgain   bool // request another update after the pending one
	proposal      *proposal
}

type chargeID struct {
	holder string
	number uint64
}

type budgetKey struct{ budget, key string }

// account is the state of one budget at this holder. All token counts but reserved are
// cumulative over the life of the instance.
type account struct {
	budget         string
	allotted       int64
	ceiling        int64 // lowered allotment that is not known to be stored yet, or noCeiling
	durableMark    int64
	pendingMark    int64 // mark in flight, -1 if none
	charged        int64
	reserved       int64
	waiting        []waitingRequest
	stage          stage
	freeWhenAsked  int64 // free tokens in the shard object when the other regions were asked
	pendingReturns []pendingReturn
	trimDue        bool    // the durable mark is within the ceiling, so the grant may be trimmed
	demand         float64 // requested tokens, decaying with demandHalfLife
	demandAt       time.Time
}

// stage is the step, other than a write of the mark, that waiting requests depend on.
type stage int

const (
	stageNone       stage = iota
	stageAllot            // an update allots free tokens from the shard object
	stageAskRegions       // the other regions are asked for unused tokens
	stageAllotAgain       // an update allots what the other regions returned
)

type waitingRequest struct {
	token        Token
	req          Request
	waitingSince time.Time
	regionsAsked bool // the other regions were asked while it waited
}

// pendingReturn is a Return to answer when the trimmed grant is stored.
type pendingReturn struct {
	token  Token
	tokens int64
}

type charge struct {
	allotter.Charge
	seq       uint64 // 0 until durable
	duplicate bool
	waiting   []Token // calls of Settle to answer
}

// formerHolder is a former holder that crashed and whose grants are being released.
type formerHolder struct {
	fold        allotter.Fold
	foldStored  bool // the fold is in the shard object
	allReported bool // all sides have reported
	open        map[uint64]Reservation
	ended       map[uint64]bool // settled or released by this holder
	lateCharges []Charge        // reported before the fold was stored
}

// proposal is the content of the pending update.
type proposal struct {
	next          allotter.Shard
	seq           uint64           // last journal record that it includes
	stages        map[string]stage // by budget; an account at a later stage needs another update
	freeBefore    map[string]int64 // free tokens by budget, before the allotments
	trims         map[string]int64 // ceilings by budget
	foldedHolders []string         // former holders whose journals it folds
	closedHolders []string         // former holders whose grants it closes
	handOverDone  bool             // it closes the grants of this instance
	handedOver    bool             // it hands over the shard
}
