// Package granter decides what one instance may spend of the prepaid budgets of
// client accounts.
//
// Two kinds of objects in the store bound the spending. A [Budget] is shared: it
// gives each instance a part of what is prepaid for an account, and the parts
// never sum to more. A [Ledger] belongs to one instance and bounds how much of
// its parts it may have used up by a given time. A successor of a crashed process
// counts that bound as spent and goes on with the rest.
//
// Each account has a home among the instances, which holds most of what is
// granted of it and lends tokens to the others. What is lent counts as spent at
// the lender, so a crash of either loses tokens but never spends them twice.
//
// # Usage
//
// The caller keeps the objects. Before it sends one, it announces it; afterwards
// it tells the outcome:
//
//	g := granter.New(granter.Self{Name: "entry-1", Incarnation: "7f3c", Boot: bootID})
//	g.Recover(now, ledger)
//	l := g.PlanLedger(now)
//	g.LedgerSent(l)
//	g.LedgerWritten(l)
//	g.Ready()
//	b, version := g.PlanBudget(now, "rider-app")
//	g.BudgetSent("rider-app", b)
//	g.Observe(now, "rider-app", b, version+1)
//	d := g.Reserve(now, "rider-app", 20_000)
//	g.Settle("rider-app", d, 18_250)
//
// Times are readings of a clock that counts suspension, is never stepped and
// starts anew with each boot.
package granter

import (
	"maps"
	"time"

	"daisylane/internal/checker"
)

const (
	demandTime   = 15 * time.Second        // over which the demand of an account is averaged, two usual cuts
	minDemandAge = 2 * time.Second         // demand seen for a shorter time is averaged over this one
	grantAhead   = 1500 * time.Millisecond // demand that the part of a home covers, some store calls long: more is lost with the power than is gained in outages
	grantSpread  = 0.5                     // standard deviations of that demand that it covers beside the mean
	limitAhead   = 700 * time.Millisecond  // demand that the limit covers, see LedgerInterval
	limitSpread  = 0.2                     // standard deviations of that demand
	limitRamp    = 2 * time.Second         // in which the limit of an old ledger grows to the whole grant
	youngShare   = 0.015                   // of what is left that an instance holds of a budget whose demand it has not seen
	youngTime    = 10 * time.Second        // over which this part shrinks while demand is seen
	lentAhead    = time.Second             // demand of the own callers that lent tokens cover beside the request
	extraShare   = 0.01                    // of what is left of a budget that a loan may have beyond its need
	scarceLarge  = 4.0                     // large requests that are left of a budget when unused loans go back whole
	largeDecay   = 0.9                     // of the remembered size of large requests, per smaller request
	poolShare    = 0.1                     // of what is left that stays ungranted, for whoever runs short first
	priorShare   = 0.2                     // of the mean demand of all instances that counts beside the own
	surplusShare = 0.2                     // of the fair part by which a grant may exceed it before it is returned
	staleShare   = 0.04                    // of a budget by which published figures may differ from the current ones
	minComeBack  = 300 * time.Millisecond  // a store call and a round trip of the caller
	maxComeBack  = 5 * time.Second         // a cut is often over by then

	ledgerWrites = 200              // ledgers of all instances a second: half of the store's 400 writes on the users' sheet
	idleInterval = 10 * time.Second // between two ledgers of an instance without tokens to lose
	// LedgerInterval is the time between two writes of the ledger without need, in a
	// small fleet.
	LedgerInterval = 700 * time.Millisecond
	// LimitHold is how old a ledger becomes before its limits grow. A killed
	// process has its successor sooner, so nothing beyond the limit is lost.
	LimitHold = 2 * time.Second
)

// Holding is the part of one instance in a budget. Held and Spent only count up
// or are set by the instance itself.
type Holding struct {
	Held  int64  `json:"held"`           // tokens granted since the budget began, spent ones included
	Spent int64  `json:"spent"`          // tokens used when the object was written
	Open  int64  `json:"open,omitempty"` // tokens reserved then
	Rate  int64  `json:"rate"`           // tokens per second asked for
	Large int64  `json:"large"`          // tokens of a large request
	Want  int64  `json:"want,omitempty"` // tokens that are missing
	By    string `json:"by"`             // incarnation that wrote it
}

// Check validates a holding.
func (h Holding) Check() error {
	var f checker.Faults
	f.Require(h.Held >= 0, "held", "is %d, must not be negative", h.Held)
	f.Require(h.Spent >= 0, "spent", "is %d, must not be negative", h.Spent)
	f.Require(h.Open >= 0, "open", "is %d, must not be negative", h.Open)
	f.Require(h.Rate >= 0, "rate", "is %d, must not be negative", h.Rate)
	f.Require(h.Want >= 0, "want", "is %d, must not be negative", h.Want)
	return f.Err()
}

// Budget is the object of one account: the parts of all instances.
type Budget struct {
	Parts map[string]Holding `json:"parts"` // by instance
}

// Check validates the budget.
func (b Budget) Check() error {
	var f checker.Faults
	for instance, h := range b.Parts {
		f.Within("parts."+instance, h.Check())
	}
	return f.Err()
}

// WithPart returns the budget with one part replaced.
func (b Budget) WithPart(instance string, h Holding) Budget {
	parts := maps.Clone(b.Parts)
	if parts == nil {
		parts = make(map[string]Holding)
	}
	parts[instance] = h
	return Budget{parts}
}

// held returns the sum of all parts.
func (b Budget) held() int64 {
	var sum int64
	for _, h := range b.Parts {
		sum += h.Held
	}
	return sum
}

// wanted returns the tokens that other instances than the given one ask for.
func (b Budget) wanted(instance string) int64 {
	var sum int64
	for name, h := range b.Parts {
		if name != instance {
			sum += h.Want
		}
	}
	return sum
}

// Loan asks another instance for tokens of an account, or gives them back.
type Loan struct {
	Account string `json:"account"`
	Least   int64  `json:"least"` // tokens without which the loan is of no use
	Need    int64  `json:"need"`  // tokens that the request lacks
	Ask     int64  `json:"ask"`   // tokens wanted
}

// Check validates a loan.
func (l Loan) Check() error {
	var f checker.Faults
	f.Require(l.Account != "", "account", "is empty")
	f.Require(l.Least >= 0 && l.Least <= l.Need && l.Need <= l.Ask, "ask", "is %d, need is %d, least is %d, must not grow", l.Ask, l.Need, l.Least)
	return f.Err()
}

// Limit bounds the tokens that an instance has used of one budget: Limit, and
// Rate for each second after the ledger is [LimitHold] old.
type Limit struct {
	Limit int64 `json:"limit"` // tokens
	Rate  int64 `json:"rate"`  // tokens per second
}

// Check validates a limit.
func (l Limit) Check() error {
	var f checker.Faults
	f.Require(l.Limit >= 0, "limit", "is %d, must not be negative", l.Limit)
	f.Require(l.Rate >= 0, "rate", "is %d, must not be negative", l.Rate)
	return f.Err()
}

func (l Limit) after(age time.Duration) int64 {
	return l.Limit + int64(float64(l.Rate)*max(0, age-LimitHold).Seconds())
}

// Ledger bounds the spending of one instance.
type Ledger struct {
	Incarnation string           `json:"incarnation"`
	Number      int64            `json:"number"` // of the write, from 1 in each incarnation
	Boot        string           `json:"boot"`   // id of the boot that Time belongs to, empty if unknown
	Time        int64            `json:"time"`   // boot clock in milliseconds, read before the write was sent
	Addr        string           `json:"addr"`   // where the instance lends tokens to others
	Accounts    map[string]Limit `json:"accounts"`
}

// Check validates the ledger.
func (l Ledger) Check() error {
	var f checker.Faults
	f.Require(l.Incarnation != "", "incarnation", "is empty")
	f.Require(l.Time >= 0, "time", "is %d, must not be negative", l.Time)
	for account, limit := range l.Accounts {
		f.Within("accounts."+account, limit.Check())
	}
	return f.Err()
}

// Age returns the time since the ledger was written.
func (l Ledger) Age(now time.Duration) time.Duration {
	return max(0, now-time.Duration(l.Time)*time.Millisecond)
}

// Outcome of a reservation.
type Outcome string

// Outcomes.
const (
	Reserved  Outcome = "reserved"
	Limited   Outcome = "limited"   // a write of the ledger raises the limit
	Short     Outcome = "short"     // the grant is too small, the budget or other instances may have more
	Exhausted Outcome = "exhausted" // the budget cannot cover the request
	Unready   Outcome = "unready"   // the objects have not been read yet
)

// Decision is the answer to a reservation, with what decided it.
type Decision struct {
	Outcome Outcome
	Own     int64         // tokens reserved from the own grant
	Lent    int64         // tokens reserved from what others lent
	Held    int64         // tokens granted to this instance
	Used    int64         // spent and reserved
	Limit   int64         // what may be used now
	Left    int64         // of the whole budget, neither spent nor reserved as far as known
	Age     time.Duration // of the ledger
	After   time.Duration // time to come back if nothing changes
}

// account is the state of one budget at this instance.
type account struct {
	prepaid  int64 // negative: not limited
	budget   Budget
	version  uint64  // of the budget
	pending  []write // of the budget
	fenced   bool    // this incarnation has written its part, so late writes of a former one are void
	bound    int64   // most that a former process can have spent of a grant of any size
	held     int64
	lent     int64 // tokens that others gave from their grants, neither spent nor reserved
	spent    int64
	reserved int64
	waiting  int64   // tokens of reservations that wait for the limit
	want     int64   // tokens of reservations that wait for a grant
	asked    average // of the own grant
	local    average // of the callers of this instance
	large    float64 // size of a large request
}

// average is the demand of late, decaying exponentially.
type average struct {
	tokens  float64
	squares float64       // of the tokens of each request
	at      time.Duration // of the last request
	since   time.Duration // of the first one
}

func (a *account) used() int64 { return a.spent + a.reserved }

// write is a write of a budget that may still be carried out.
type write struct {
	version uint64 // condition
	held    int64
}

// Granter is the state of one instance.
type Granter struct {
	name        string
	addr        string
	incarnation string
	boot        string
	ready       bool
	accounts    map[string]*account
	peers       map[string]string   // addresses of the instances, this one included, by name
	lenders     map[string][]Lender // by account; derived from the peers
	ledger      Ledger              // newest that is known to be written
	sent        []Ledger            // may still be carried out
	number      int64
	stopping    bool
}

// Self is the process that a [Granter] decides for.
type Self struct {
	Name        string // of the instance, the same for its former processes
	Addr        string // where it lends tokens to others
	Incarnation string // of this process
	Boot        string // id of this boot, empty if unknown
}

// New returns the state of an instance that has read nothing yet.
func New(self Self) *Granter {
	return &Granter{
		name: self.Name, addr: self.Addr, incarnation: self.Incarnation, boot: self.Boot,
		accounts: make(map[string]*account), peers: map[string]string{self.Name: self.Addr}, lenders: make(map[string][]Lender),
	}
}
