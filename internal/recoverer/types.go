// Package recoverer is the state machine by which a successor recovers the shards of
// a dead holder. It seals and replays the holder's journal, writes a closure object,
// lists the registered sides, asks each to close the holder, and releases the tokens
// that remain.
//
// The closure object tells sides to refuse the requests of the dead holder. It is
// written before the sides are listed, and a side that registers later loads it before
// it admits requests. So each side refuses the dead holder's requests, either by itself
// or because it is asked to. Several successors can run a recovery of the same instance
// for different shards: the first one writes the seal and the closure, the others find
// both.
//
// # Usage
//
//	r := recoverer.New(recoverer.Config{
//		Instance: "entry-1.a", Successor: "entry-2.b", Shards: shards, JournalSlots: 64,
//		ReleasePolicy: recoverer.ReleaseOperator,
//	})
//	actions := r.Start()
//
// The caller performs the actions and reports each result with the method that the
// action's comment names. It passes ReplayJournal, ReportSide, ReleaseReservation and
// CompleteShard to the budgeter, and the budgeter's FormerClosed back to the recovery
// with ShardReleased. ActionFailed reports a call that is retried at the next Tick.
package recoverer

import (
	"fmt"
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/checker"
	"daisylane/internal/journaler"
)

// Policies for the release of tokens when a side is absent from the instance list.
const (
	ReleaseOperator = "operator" // withhold tokens until the operator confirms that the side is gone
	ReleaseGone     = "gone"     // release tokens without confirmation
)

// AbsenceTimeout is how long a side must be absent from the instance list to be gone.
const AbsenceTimeout = 90 * time.Second

const retryInterval = time.Second

// Config configures a recovery.
type Config struct {
	Instance      string // dead holder
	Successor     string
	Shards        []int
	JournalSlots  int
	ReleasePolicy string // ReleaseOperator or ReleaseGone
}

// Check validates the settings.
func (c Config) Check() error {
	var f checker.Validator
	f.Require(c.Instance != "" && c.Instance != c.Successor, "instance", "must name another instance")
	f.Require(c.ReleasePolicy == ReleaseOperator || c.ReleasePolicy == ReleaseGone, "release",
		"is %q, allowed is %q or %q", c.ReleasePolicy, ReleaseOperator, ReleaseGone)
	checker.Range(&f, "slots", c.JournalSlots, 2, 1<<16)
	return f.Err()
}

// GonePrefix is the key prefix of the objects with which an operator confirms that
// sides are gone.
const GonePrefix = "gone/"

// ClosureKey returns the key of an instance's closure object.
func ClosureKey(instance string) string { return fmt.Sprintf("closed/%s", instance) }

// Action is a step for the caller to perform. It is one of the types below.
type Action interface{ action() }

// ListJournal requests the slots of the journal. The caller reports them with
// JournalListed.
type ListJournal struct{ Prefix string }

// WriteSeal requests the write that seals the journal. The caller reports Sealed or, after
// a conflict or a lost response, SealFailed.
type WriteSeal struct{ Write journaler.WriteSlot }

// ReplayJournal passes the sealed journal to the budgeter.
type ReplayJournal struct {
	Shard int
	Log   journaler.Log
}

// WriteClosure requests the creation of the closure object. The caller reports
// ClosureWritten, also if the object exists already.
type WriteClosure struct{ Key string }

// ListSides requests the registered sides. The caller reports them with SidesListed.
type ListSides struct{}

// CloseSide requests that a side close the instance. The caller reports the side's
// response with SideClosed.
type CloseSide struct {
	Side     string
	Instance string
}

// ReportSide passes a side's response for a shard to the budgeter.
type ReportSide struct {
	Shard    int
	Instance string
	Open     []budgeter.Reservation
	Charges  []budgeter.Charge
}

// ReleaseReservation tells the budgeter that the side of a reservation is gone.
type ReleaseReservation struct{ Reservation budgeter.Reservation }

// CompleteShard tells the budgeter that each side has answered or is gone.
type CompleteShard struct {
	Shard    int
	Instance string
}

// Done reports that all shards are released and the recovery has ended.
type Done struct{ Instance string }

func (ListJournal) action()        {}
func (WriteSeal) action()          {}
func (ReplayJournal) action()      {}
func (WriteClosure) action()       {}
func (ListSides) action()          {}
func (CloseSide) action()          {}
func (ReportSide) action()         {}
func (ReleaseReservation) action() {}
func (CompleteShard) action()      {}
func (Done) action()               {}

// Recovery is the state of a successor's recovery of shards from one dead holder.
type Recovery struct {
	cfg               Config
	step              step
	log               journaler.Log
	sides             map[string]*side
	releasedShards    map[int]bool
	failedCall        Action // retried at the next tick, nil if there is none
	operatorConfirmed map[string]bool
}

type side struct {
	answered    bool
	gone        bool
	absentSince time.Time // from the instance list; zero if listed
	askedAt     time.Time
	open        []budgeter.Reservation // reservations of its running requests
}

type step int

const (
	stepSeal step = iota
	stepClosure
	stepSides
	stepClose
	stepRelease
	stepDone
)
