// Package recoverer decides how a successor takes over the shards of a dead
// holder: seal its journal, replay it, write the closure, list the registered
// sides, ask each to close, and release what is left.
//
// The closure is written before the sides are listed. A side that registers in
// between loads the closure before it admits work, so each side either refuses
// the dead holder's work by itself or is asked to. Several successors can run a
// recovery of the same instance for different shards; the first seals and writes
// the closure, the others find both.
//
// # Usage
//
//	r := recoverer.New(recoverer.Config{Instance: "entry-1.a", Successor: "entry-2.b", Shards: shards, Slots: 64})
//	actions := r.Start()
//
// The owner carries out the actions and reports each result with the method that
// the action names. Replay, Report, Release and Complete go to the budgeter,
// whose Closed comes back. Failed reports a call that is to be repeated at a
// later Tick.
package recoverer

import (
	"fmt"
	"time"

	"daisylane/internal/budgeter"
	"daisylane/internal/checker"
	"daisylane/internal/journaler"
)

// Policies for sides that are absent from the instance list.
const (
	ReleaseOperator = "operator" // tokens stay withheld until the operator confirms
	ReleaseGone     = "gone"     // tokens are released without confirmation
)

// AbsentInterval is how long the instance list must lack a side that is gone.
const AbsentInterval = 90 * time.Second

const retryInterval = time.Second

// Config sets up a recovery.
type Config struct {
	Instance  string // dead holder
	Successor string
	Shards    []int
	Slots     int
	Release   string // ReleaseOperator or ReleaseGone
}

// Check validates the settings.
func (c Config) Check() error {
	var f checker.Faults
	f.Require(c.Instance != "" && c.Instance != c.Successor, "instance", "must name another instance")
	f.Require(c.Release == ReleaseOperator || c.Release == ReleaseGone, "release",
		"is %q, allowed is %q or %q", c.Release, ReleaseOperator, ReleaseGone)
	checker.Range(&f, "slots", c.Slots, 2, 1<<16)
	return f.Err()
}

// GonePrefix is the key prefix of the objects by which an operator confirms that a
// side is gone.
const GonePrefix = "gone/"

// ClosureKey returns the key of an instance's closure object.
func ClosureKey(instance string) string { return fmt.Sprintf("closed/%s", instance) }

// Action is one of the types below.
type Action interface{ action() }

// List asks for the slots of the journal, to be reported with Listed.
type List struct{ Prefix string }

// Seal asks for the write that seals the journal, to be reported with Sealed or,
// after a conflict or a lost response, with Unsealed.
type Seal struct{ Write journaler.Write }

// Replay hands the sealed journal to the budgeter.
type Replay struct {
	Shard int
	Log   journaler.Log
}

// Closure asks to create the closure object if it is absent, to be reported with
// ClosureWritten in both cases.
type Closure struct{ Key string }

// Sides asks for the registered sides, to be reported with SidesListed.
type Sides struct{}

// Close asks a side to close the instance, to be reported with Acknowledged.
type Close struct {
	Side     string
	Instance string
}

// Report hands a side's answer for a shard to the budgeter.
type Report struct {
	Shard    int
	Instance string
	Open     []budgeter.Reservation
	Charges  []budgeter.Charge
}

// Release tells the budgeter that a reservation's side is gone.
type Release struct{ Reservation budgeter.Reservation }

// Complete tells the budgeter that all sides have answered or are gone.
type Complete struct {
	Shard    int
	Instance string
}

// Done says that all shards are released.
type Done struct{ Instance string }

func (List) action()     {}
func (Seal) action()     {}
func (Replay) action()   {}
func (Closure) action()  {}
func (Sides) action()    {}
func (Close) action()    {}
func (Report) action()   {}
func (Release) action()  {}
func (Complete) action() {}
func (Done) action()     {}

// Recovery is the state of one successor's takeover from one dead holder.
type Recovery struct {
	cfg       Config
	step      step
	log       journaler.Log
	sides     map[string]*side
	closed    map[int]bool // released shards
	retry     Action       // repeated at the next tick
	confirmed map[string]bool
}

type side struct {
	answered bool
	gone     bool
	absent   time.Time // since when the instance list lacks it, zero if listed
	asked    time.Time
	open     []budgeter.Reservation
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
