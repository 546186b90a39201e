// Package granter decides how much of the prepaid token budgets of client accounts
// one instance may spend.
//
// Two kinds of objects in the store limit the spending. A [Budget] is shared: it
// grants each instance a number of an account's prepaid tokens, and the sum of the
// grants never exceeds what is prepaid. A [Ledger] belongs to one instance and
// limits how much of its grants the instance may have used at a given time. The
// successor of a crashed process counts tokens up to that limit as spent and
// continues with the rest.
//
// Each account has a home instance, which holds most of the granted tokens and
// lends them to other instances. The lender counts lent tokens as spent, so a crash
// of either side can lose tokens but never spends them twice.
//
// # Usage
//
// The caller reads and writes the objects. It announces each write before sending
// it and reports the outcome afterwards:
//
//	g := granter.New(granter.Identity{Name: "entry-1", Incarnation: "7f3c", Boot: bootID})
//	g.Recover(now, ledger)
//	l := g.PlanLedger(now)
//	g.LedgerSent(l)
//	g.LedgerWritten(l)
//	g.SetReady()
//	b, version := g.PlanBudget(now, "rider-app")
//	g.BudgetSent("rider-app", b)
//	g.ObserveBudget(now, "rider-app", b, version+1)
//	d := g.Reserve(now, "rider-app", 20_000)
//	g.Settle("rider-app", d, 18_250)
//
// Times are readings of the boot clock, which includes time in suspend, is never
// stepped and restarts at each boot.
package granter

import (
	"maps"
	"time"

	"daisylane/internal/checker"
)

const (
	// demandWindow is the averaging time of an account's demand. It spans two store
	// outages of usual length.
	demandWindow = 15 * time.Second
	// minDemandWindow is the divisor for demand that has been observed for less time.
	minDemandWindow = 2 * time.Second
	// grantHorizonShare is the share of the time for which a budget lasts that the home's
	// grant covers, within the following limits.
	grantHorizonShare = 0.04
	// minGrantHorizon is a few store calls long.
	minGrantHorizon = 800 * time.Millisecond
	// maxGrantHorizon covers most outages of the store.
	maxGrantHorizon = 4 * time.Second
	// outageMemory is how long after an outage of the store another one is likely: a store that
	// restarts or is overloaded is often away several times in a row.
	outageMemory = 10 * time.Second
	// outageGrantShare and outageGrantHorizon apply to the home's grant during that time. It
	// covers most of an outage of 9 s.
	outageGrantShare   = 0.08
	outageGrantHorizon = 8 * time.Second
	// lowGrantShare is the share of the fair grant below which a home raises its grant.
	lowGrantShare = 0.5
	// grantStdDevs is how many standard deviations above the mean demand a grant covers.
	grantStdDevs = 0.5
	// limitHorizon is the demand that a ledger limit covers; see [LedgerInterval].
	limitHorizon = 700 * time.Millisecond
	// limitStdDevs is how many standard deviations above the mean demand a limit covers.
	limitStdDevs = 0.2
	// limitGrowthTime is how long the limit of an old ledger takes to grow to the whole grant.
	limitGrowthTime = 2 * time.Second
	// minGrowthTime is how long a budget has to last at the known demand for its limits to grow.
	// Below, the grant covers at most 1.6 s, so growing serves at most 3 in 100 requests more in
	// an outage of 9 s, but adds up to half to what is lost with power.
	minGrowthTime = 40 * time.Second
	// coldStartShare is the share of the remaining budget that the home holds
	// before it has observed any demand.
	coldStartShare = 0.015
	// coldStartDecayTime is the time constant at which that share decays once
	// there is demand.
	coldStartDecayTime = 10 * time.Second
	// loanHorizon is the demand of local callers that borrowed tokens cover in
	// addition to the current request.
	loanHorizon = 300 * time.Millisecond
	// extraLoanShare is the share of the remaining budget that a loan may have
	// beyond its need.
	extraLoanShare = 0.01
	// scarceLargeRequests is the remaining budget, in large requests, at which
	// unused loans are returned in full.
	scarceLargeRequests = 4.0
	// largeDecay is applied to the remembered size of a large request by each
	// smaller request.
	largeDecay = 0.9
	// ungrantedShare is the share of the remaining budget that is not granted, so
	// that it is available to the first instance that runs short.
	ungrantedShare = 0.1
	// demandPriorShare is the share of the mean demand per instance that is added
	// to an instance's own demand.
	demandPriorShare = 0.2
	// surplusShare is the share of the fair grant by which a grant may exceed it
	// before the surplus is returned.
	surplusShare = 0.2
	// staleThreshold is the share of the prepaid budget by which the published
	// figures may differ from the current ones.
	staleThreshold = 0.04
	// strayThreshold is the share of the prepaid budget above which an instance other than
	// the home returns tokens that it does not need.
	strayThreshold = 0.0025
	// strayAge is the time without demand after which such an instance needs none. While the
	// home is away, the demand comes to the next instance.
	strayAge = 4 * time.Second
	// finalWriteOffShare is the share of the prepaid budget up to which written-off tokens
	// count as spent towards callers. A loss of power costs up to a tenth.
	finalWriteOffShare = 0.25
	// minRetryAfter is the time of a store call and a round trip of the caller.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is a time after which a store outage is often over.
	maxRetryAfter = 5 * time.Second

	maxLoanIDBytes = 64
	// maxLedgerWritesPerSecond is the limit for the ledgers of all instances. It is
	// half of the 400 writes per second that the store is specified for.
	maxLedgerWritesPerSecond = 200
	// ledgerIntervalStep is by how much the interval grows with each instance, up to
	// maxLedgerInterval. That leaves a slow write some time before limits grow.
	ledgerIntervalStep = 60 * time.Millisecond
	maxLedgerInterval  = 1400 * time.Millisecond
	// idleLedgerInterval is the ledger interval of an instance without unused tokens.
	idleLedgerInterval = 10 * time.Second
	// LedgerInterval is the interval of routine ledger writes in a small fleet.
	LedgerInterval = 700 * time.Millisecond
	// LimitGrowthDelay is the age of a ledger at which its limits begin to grow. The
	// successor of a killed process starts sooner, so a kill loses no tokens beyond
	// the limit.
	LimitGrowthDelay = 2 * time.Second
)

// Grant is the entry of one instance in a budget. Granted and Spent only increase,
// unless the instance itself lowers them.
type Grant struct {
	Granted        int64  `json:"held"`           // tokens granted since the budget was created, including spent ones
	Spent          int64  `json:"spent"`          // tokens spent at the time of the write
	Lost           int64  `json:"lost,omitempty"` // part of Spent of which it is not known whether it is
	ReservedTokens int64  `json:"open,omitempty"` // tokens reserved at the time of the write
	Rate           int64  `json:"rate"`           // demand in tokens per second
	LargeRequest   int64  `json:"large"`          // size of a large request in tokens
	Wanted         int64  `json:"want,omitempty"` // tokens needed beyond the grant
	WrittenBy      string `json:"by"`             // incarnation that wrote the entry
}

// Check validates a grant.
func (g Grant) Check() error {
	var f checker.Validator
	f.Require(g.Granted >= 0, "held", "is %d, must not be negative", g.Granted)
	f.Require(g.Spent >= 0, "spent", "is %d, must not be negative", g.Spent)
	f.Require(g.Lost >= 0 && g.Lost <= g.Spent, "lost", "is %d, must be between 0 and the %d spent", g.Lost, g.Spent)
	f.Require(g.ReservedTokens >= 0, "open", "is %d, must not be negative", g.ReservedTokens)
	f.Require(g.Rate >= 0, "rate", "is %d, must not be negative", g.Rate)
	f.Require(g.LargeRequest >= 0, "large", "is %d, must not be negative", g.LargeRequest)
	f.Require(g.Wanted >= 0, "want", "is %d, must not be negative", g.Wanted)
	return f.Err()
}

// Budget is the stored object of one account: the grants of all instances.
type Budget struct {
	Grants map[string]Grant `json:"parts"` // by instance name
}

// Check validates the grants of all instances.
func (b Budget) Check() error {
	var f checker.Validator
	for instance, g := range b.Grants {
		f.AddNested("parts."+instance, g.Check())
	}
	return f.Err()
}

// WithGrant returns a copy of the budget with the grant of one instance replaced.
func (b Budget) WithGrant(instance string, g Grant) Budget {
	grants := maps.Clone(b.Grants)
	if grants == nil {
		grants = make(map[string]Grant)
	}
	grants[instance] = g
	return Budget{grants}
}

// granted returns the sum of all grants.
func (b Budget) granted() int64 {
	var sum int64
	for _, g := range b.Grants {
		sum += g.Granted
	}
	return sum
}

// wanted returns the tokens that all instances other than the given one need.
func (b Budget) wanted(instance string) int64 {
	var sum int64
	for name, g := range b.Grants {
		if name != instance {
			sum += g.Wanted
		}
	}
	return sum
}

// Loan asks another instance for tokens of an account, or returns them.
type Loan struct {
	ID        string `json:"id"` // chosen by the borrower to cancel the loan, unique
	Account   string `json:"account"`
	Minimum   int64  `json:"least"` // smallest useful loan in tokens
	Need      int64  `json:"need"`  // tokens that the request is short of
	Requested int64  `json:"ask"`   // tokens requested
}

// Check validates the account and that Minimum <= Need <= Requested.
func (l Loan) Check() error {
	var f checker.Validator
	f.Require(l.Account != "", "account", "is empty")
	checker.Range(&f, "id", len(l.ID), 0, maxLoanIDBytes)
	f.Require(l.Minimum >= 0 && l.Minimum <= l.Need && l.Need <= l.Requested, "ask", "is %d, need is %d, least is %d, must not grow", l.Requested, l.Need, l.Minimum)
	return f.Err()
}

// Limit is the upper bound of the tokens of one budget that an instance has used.
// It is Limit until the ledger is [LimitGrowthDelay] old, and then grows by Rate. Only with
// a rate of 0 does it also bound what was used before a loss of power, after which the age of
// the ledger is not known.
type Limit struct {
	Limit int64 `json:"limit"` // tokens
	Rate  int64 `json:"rate"`  // tokens per second
}

func (l Limit) Check() error {
	var f checker.Validator
	f.Require(l.Limit >= 0, "limit", "is %d, must not be negative", l.Limit)
	f.Require(l.Rate >= 0, "rate", "is %d, must not be negative", l.Rate)
	return f.Err()
}

func (l Limit) after(age time.Duration) int64 {
	return l.Limit + int64(float64(l.Rate)*max(0, age-LimitGrowthDelay).Seconds())
}

// Ledger limits the spending of one instance.
type Ledger struct {
	Incarnation string           `json:"incarnation"`
	Number      int64            `json:"number"` // number of the write, starting at 1 in each incarnation
	Boot        string           `json:"boot"`   // ID of the boot that Time belongs to, empty if unknown
	Time        int64            `json:"time"`   // boot clock in milliseconds, before the write was sent
	Addr        string           `json:"addr"`   // address at which the instance lends tokens
	Accounts    map[string]Limit `json:"accounts"`
	Config      int64            `json:"config,omitempty"` // version of the configuration in force
	Closed      bool             `json:"closed,omitempty"` // the process uses no more tokens and confirms no more grants

	// Written after the store was restored from an older copy:

	Memory Memory               `json:"memory,omitempty"` // of the process
	Former int64                `json:"former,omitempty"` // the era that it remembers
	Grants map[string]Grant     `json:"grants,omitempty"` // of the instance at the start of the era, by account
	Others map[string]Testimony `json:"others,omitempty"` // what the process remembers of other instances
	Told   bool                 `json:"told,omitempty"`   // Others has all that have not registered
}

func (l Ledger) Check() error {
	var f checker.Validator
	f.Require(l.Incarnation != "", "incarnation", "is empty")
	f.Require(l.Time >= 0, "time", "is %d, must not be negative", l.Time)
	f.AddNested("memory", l.Memory.Check())
	for account, limit := range l.Accounts {
		f.AddNested("accounts."+account, limit.Check())
	}
	for account, grant := range l.Grants {
		f.AddNested("grants."+account, grant.Check())
	}
	return f.Err()
}

// tells reports whether a process that has lived through the change of the era has written
// the ledger, or one whose predecessor did so and has recorded all that it remembered.
func (l Ledger) tells() bool { return l.Memory == FullMemory || l.Told }

// Age returns the time since the ledger was planned.
func (l Ledger) Age(now time.Duration) time.Duration {
	return max(0, now-time.Duration(l.Time)*time.Millisecond)
}

// Outcome is the result of a reservation or loan.
type Outcome string

// Outcomes of reservations and loans.
const (
	Reserved  Outcome = "reserved"
	Limited   Outcome = "limited"   // above the ledger limit, which the next ledger write raises
	Short     Outcome = "short"     // above the grant; the budget or other instances may have tokens
	Exhausted Outcome = "exhausted" // the whole budget cannot cover the request
	Unready   Outcome = "unready"   // the stored objects have not been read yet
	// Withheld means that the budget covers the request only with tokens that count as spent
	// because it is not known whether they are.
	Withheld Outcome = "withheld"
)

// Decision is the result of a reservation and the figures it is based on.
type Decision struct {
	Outcome    Outcome
	Own        int64         // tokens reserved from the own grant
	Borrowed   int64         // tokens reserved from loans of other instances
	Granted    int64         // tokens granted to this instance by the lowest pending write
	Used       int64         // tokens spent and reserved
	Limit      int64         // ledger limit at this time
	Remaining  int64         // known remainder of the whole budget, neither spent nor reserved
	Age        time.Duration // age of the ledger
	RetryAfter time.Duration // when to retry if nothing changes
}

// account is the state of one account at this instance.
type account struct {
	prepaid       int64 // negative if unlimited
	maxPrepaid    int64 // highest value so far
	budget        Budget
	version       uint64 // of budget
	pendingWrites []pendingWrite
	// fenced means that this incarnation has written its grant, so that delayed
	// writes of predecessors conflict.
	fenced bool
	// maxPriorSpend is the most that a predecessor can have spent, before it is
	// capped by the grant.
	maxPriorSpend int64
	// exactBy is the incarnation of a predecessor that has spent just that much of its own grant.
	exactBy         string
	granted         int64
	confirmed       int64           // part of granted that enough other instances know
	confirmVersion  uint64          // budget version from which confirmations count
	carried         bool            // granted is from a former era, and the budget of this one may say more
	notes           map[string]Note // newest notes of other instances, by name
	borrowed        int64           // tokens lent by other instances, neither spent nor reserved
	spent           int64
	lost            int64 // part of spent that a predecessor may not have spent
	reserved        int64
	waitingForLimit int64                    // tokens of reservations waiting for a higher ledger limit
	waitingForGrant int64                    // tokens of reservations waiting for a larger grant
	reported        map[string]reportedUsage // of other instances, by name
	grantDemand     demandAverage            // demand on the own grant
	localDemand     demandAverage            // demand of this instance's callers
	largeRequest    float64                  // size of a large request in tokens
}

// demandAverage is an exponentially decaying average of the demand.
type demandAverage struct {
	tokens  float64
	squares float64       // sum of the squared tokens per request
	last    time.Duration // time of the last request
	first   time.Duration // time of the first request
}

func (a *account) used() int64 { return a.spent + a.reserved }

// ungranted returns the prepaid tokens that no instance holds, negative if too many are
// granted.
func (a *account) ungranted() int64 { return a.prepaid - a.budget.granted() }

// pendingWrite is a budget write that may still take effect.
type pendingWrite struct {
	version uint64 // budget version that the write is conditional on
	granted int64
}

// Granter is the state of one instance.
type Granter struct {
	name           string
	addr           string
	incarnation    string
	bootID         string
	ready          bool
	accounts       map[string]*account
	peers          map[string]string   // addresses by instance name, including this instance
	peersVersion   int64               // increases with each name that is added to peers
	lenders        map[string][]Lender // by account; cache derived from peers
	ledger         Ledger              // newest ledger known to be written
	pendingLedgers []Ledger            // ledger writes that may still take effect
	ledgerNumber   int64
	stopping       bool
	ledgerEra      int64                 // of the newest ledger known to be written
	startedAt      time.Duration         // of this process
	outageEnded    time.Duration         // when the store last responded again, 0: it was not away
	predecessor    string                // incarnation of the process before, empty: not known
	priorUnknown   bool                  // what a predecessor has spent is not known
	peersKnown     bool                  // the ledgers were read again after the own one was written
	newcomer       bool                  // others may not count this process yet, see [Granter.Introduced]
	closed         bool                  // this process is about to end
	ends           map[string]ending     // processes of other instances that have ended
	greetings      map[string]int        // received in all eras, by instance
	configVersion  int64                 // in force
	loans          map[string]loanRecord // recent loans to others, by ID
	recentLoans    []recentLoan          // the same in the order in which they were made
	era            eraState
}

// Identity identifies the process that a [Granter] decides for.
type Identity struct {
	Name        string // instance name, which stays the same across restarts
	Addr        string // address at which it lends tokens
	Incarnation string // unique ID of this process
	Boot        string // ID of the current boot, empty if unknown
}

// New returns the state of an instance that has not read any objects yet.
func New(self Identity) *Granter {
	return &Granter{
		name: self.Name, addr: self.Addr, incarnation: self.Incarnation, bootID: self.Boot,
		accounts: make(map[string]*account), peers: map[string]string{self.Name: self.Addr}, peersVersion: 1, lenders: make(map[string][]Lender), loans: make(map[string]loanRecord), ends: make(map[string]ending), greetings: make(map[string]int),
		era: eraState{ledgers: make(map[string]Ledger), memories: make(map[string]Testimony), met: make(map[string]bool), greeted: make(map[string]string), sightings: make(map[string]sighting)},
	}
}
