// Package accountant reserves and settles prepaid tokens for one instance. It owns a
// [granter.Granter], writes its budgets and ledger to the store and makes requests
// wait briefly while tokens are obtained from other instances or the store.
//
// # Usage
//
//	a := accountant.New(store, "entry-1", "10.0.0.4:7340", peers, log)
//	go a.Run(ctx)
//	a.SetPrepaid(map[string]int64{"rider-app": 2_000_000})
//	d := a.Reserve(ctx, "rider-app", 20_000, time.Second)
//	if d.Outcome == granter.Reserved {
//		defer func() { a.Settle("rider-app", d, used) }()
//	}
package accountant

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/lender"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// Kinds of the stored objects.
const (
	KindBudgets = "budgets" // one object per account
	KindLedgers = "ledgers" // one object per instance
)

const (
	// minLedgerInterval is the minimum time between two ledger writes, so that one
	// write serves many requests.
	minLedgerInterval = 60 * time.Millisecond
	// minBudgetInterval is the minimum time between two writes of one budget by one
	// instance.
	minBudgetInterval = 250 * time.Millisecond
	// urgentBudgetInterval is the same while requests wait for a larger grant.
	urgentBudgetInterval = 50 * time.Millisecond
	// staleCheckInterval is how often budgets with outdated figures are written.
	staleCheckInterval = 4 * time.Second
	retryDelay         = 150 * time.Millisecond
	// contactTimeout is the time since the last response of the store after which
	// the store counts as unreachable. An idle instance makes its next call within it.
	contactTimeout = 6 * time.Second
	// minOutage is how long calls have to fail for an outage. A single lost response is followed
	// by another call sooner. Requests that need the store wait for as long, within the part of
	// their latency objective that a reservation may take.
	minOutage = 500 * time.Millisecond
	// lostRetryAfter is when to come back while the store is unreachable.
	lostRetryAfter = 3 * time.Second
	// pollInterval is the mean time between reads of the budgets, which change little
	// while instances borrow from homes.
	pollInterval = 3 * time.Second
	// pollsPerLedgers is how many polls there are for each that reads the ledgers too. They
	// tell which instances there are, and so change little.
	pollsPerLedgers = 3
	// firstFullPolls is how many polls of a new process read the current budgets.
	firstFullPolls = 2
	// composePollInterval applies until the budgets can be composed after the store was
	// restored from an older copy, and until a new process knows whom to greet.
	composePollInterval = 300 * time.Millisecond
	// greetingPollInterval applies while a new process has others to greet.
	greetingPollInterval = 50 * time.Millisecond
	// lostPollInterval is the mean time between reads while the store does not respond. It
	// bounds how late an instance learns that the store is back.
	lostPollInterval = 600 * time.Millisecond
	// extraWitnesses is how many more peers are asked to confirm a grant than have to,
	// so that a slow one does not delay it.
	extraWitnesses = 1
	// unconfirmedPollPause is the least time between polls because grants are not confirmed.
	unconfirmedPollPause = pollInterval
	// maxGreetings is how many peers are greeted at once.
	maxGreetings = 32
	// confirmTimeout leaves a slow peer several round trips between regions.
	confirmTimeout = 400 * time.Millisecond
	// lendTimeout is how long a lender may wait for more tokens. It covers a ledger
	// write and a budget write.
	lendTimeout = 220 * time.Millisecond
	// maxBorrowRounds is how often one request asks other instances with unused tokens,
	// each time according to the newest known grants.
	maxBorrowRounds = 3
	// cancelDelay is the time before a loan without a response is cancelled. It doubles
	// with each attempt up to maxCancelDelay.
	cancelDelay    = 150 * time.Millisecond
	maxCancelDelay = 5 * time.Second
	// peerFailureBackoff is how long a peer is not asked after a failed call.
	peerFailureBackoff = 2 * time.Second
	// handoverTimeout bounds how long silent peers delay the end of a process. It is the time
	// of two calls.
	handoverTimeout = 800 * time.Millisecond
	// maxFinalLedgers is how often the last ledger of a process is tried.
	maxFinalLedgers = 3
	// greetingRefusalBackoff is how long a peer that has not accepted a greeting is not
	// greeted. It may as soon as it has learned of the era.
	greetingRefusalBackoff = 300 * time.Millisecond
)

// errNotWritten means that all attempts to write an object failed.
var errNotWritten = errors.New("all attempts failed")

// ErrReplaced means that a newer process of this instance has written the ledger.
var ErrReplaced = errors.New("a newer process of this instance has taken over")

// Store holds the budgets and ledgers. Put is a conditional write on the version.
type Store interface {
	// Era increases each time that the store is restored from an older copy.
	Era() int64
	// EraChanged receives a value when any response, also to a call of another package,
	// shows a new era.
	EraChanged() <-chan struct{}
	Get(ctx context.Context, kind, name string) (storer.Item, error)
	List(ctx context.Context, kind string) ([]storer.Item, follower.Position, error)
	// ListStale is a cheaper List of objects that may be some seconds old.
	ListStale(ctx context.Context, kind string) ([]storer.Item, follower.Position, error)
	Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error)
}

// Peers borrows tokens from other instances and returns them.
type Peers interface {
	// Borrow asks a peer for tokens. It returns an error if the peer does not lend any.
	Borrow(ctx context.Context, peer granter.Lender, l granter.Loan) (lender.Reply, error)
	// Cancel makes a peer take back or never make a loan whose response was lost.
	Cancel(ctx context.Context, peer granter.Lender, l granter.Loan) (int64, error)
	Return(ctx context.Context, peer granter.Lender, account string, tokens int64) error
	// Remember tells a peer about a grant. It returns an error if the peer does not
	// confirm that it remembers the grant.
	Remember(ctx context.Context, peer granter.Lender, n granter.Note) error
	// Greet makes a peer count this instance, or returns an error.
	Greet(ctx context.Context, peer granter.Lender, m granter.Greeting) error
	// HandOver tells a peer what this process knew at its end, or returns an error.
	HandOver(ctx context.Context, peer granter.Lender, h granter.Handover) error
}

// Accountant reserves and settles tokens for one instance. It is safe for
// concurrent use.
type Accountant struct {
	store *countedStore
	name  string
	peers Peers
	log   zerolog.Logger
	clock func() time.Duration
	boot  string
	// started is when this process started, which is after its predecessor ended.
	// However late the predecessor's ledger is read, it spent nothing after this time.
	started time.Duration

	mu               sync.Mutex
	state            *granter.Granter
	ledgerVersion    uint64
	lastContact      time.Duration
	storeLost        bool          // the last store call got no response
	lostSince        time.Duration // when the first such call ended
	ready            bool
	configured       bool // prepaid budgets have been set
	configVersion    int64
	configCurrent    bool                     // no other instance had a newer configuration when this one started
	stopped          bool                     // stopped lending
	peerBackoffUntil map[string]time.Duration // by peer name
	greetBackoff     map[string]time.Duration // the same for greetings, on which what peers confirm depends
	changed          chan struct{}
	ledgerSignal     chan struct{}
	budgetsSignal    chan struct{}
	budgetWrites     map[string]budgetWrite // last write of each budget, by account
	notesSignal      chan struct{}
	pollSignal       chan struct{}
	polls            int             // used by pollLoop only
	ledgersRead      bool            // the ledgers were read at the start after the own one was written
	ledgersWanted    bool            // the next poll reads the ledgers
	ledgersWantedAt  time.Duration   // when that was last asked for
	confirming       map[string]bool // accounts whose grants are being confirmed
	scope            tally.Scope
	unproven         map[granter.Unproven]int64 // reported last, used by pollLoop only
}

// Option sets an option of an [Accountant].
type Option func(*Accountant)

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(a *Accountant) { a.scope = s } }

// WithClock sets the clock, whose readings are those of the boot clock otherwise.
func WithClock(clock func() time.Duration) Option {
	return func(a *Accountant) { a.clock, a.started = clock, clock() }
}

// budgetWrite is the last write of a budget.
type budgetWrite struct {
	running bool
	failed  bool
	ended   time.Duration
}

// New returns the accountant of an instance. The name must identify one machine and
// address, so that no two processes use it at the same time. The instance lends
// tokens to its peers at addr.
func New(store Store, name, addr string, peers Peers, log zerolog.Logger, opts ...Option) *Accountant {
	boot, err := bootID()
	if err != nil {
		log.Warn().Err(err).Msg("boot id is unknown; after a crash all granted tokens will count as spent")
	}
	self := granter.Identity{Name: name, Addr: addr, Incarnation: strconv.FormatUint(rand.Uint64(), 36), Boot: boot}
	a := &Accountant{
		store: &countedStore{Store: store, counts: make(map[string]int)}, name: name, peers: peers, log: log, clock: bootClock, boot: boot, started: bootClock(),
		state:            granter.New(self),
		peerBackoffUntil: make(map[string]time.Duration), greetBackoff: make(map[string]time.Duration), changed: make(chan struct{}), ledgerSignal: make(chan struct{}, 1), budgetsSignal: make(chan struct{}, 1), budgetWrites: make(map[string]budgetWrite),
		notesSignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1), confirming: make(map[string]bool), scope: tally.NoopScope,
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Run recovers the state of the previous process, then writes and polls the stored
// objects until the context ends.
func (a *Accountant) Run(ctx context.Context) error {
	if err := a.recover(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wg.Go(func() {
		if err := a.ledgerLoop(ctx); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { a.budgetsLoop(ctx) })
	wg.Go(func() { a.pollLoop(ctx) })
	wg.Go(func() { a.notesLoop(ctx) })
	wg.Wait()
	if err := context.Cause(ctx); errors.Is(err, ErrReplaced) {
		return err
	}
	return nil
}

// SetPrepaid sets the prepaid tokens by account of a version of the configuration;
// negative means unlimited.
func (a *Accountant) SetPrepaid(version int64, prepaid map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configVersion = version
	a.state.SetConfigVersion(version)
	for name, tokens := range prepaid {
		a.state.SetPrepaid(name, tokens)
	}
	a.configured = true
	a.notifyWaiters()
	sendSignal(a.budgetsSignal)
}

// Ready reports whether recovery is complete and the prepaid budgets are known. After a
// start, the configuration must be as new as those of the other instances: a store that
// was restored from an older copy may still offer an older one.
func (a *Accountant) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ready || !a.configured {
		return false
	}
	a.configCurrent = a.configCurrent || a.configVersion >= a.state.RequiredConfig()
	return a.configCurrent
}

// InstanceCount returns the number of instances that have ever written a ledger.
func (a *Accountant) InstanceCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.InstanceCount()
}

// Rank returns the other instances in the order in which they are the home of a key, and
// how many of them come before this instance.
func (a *Accountant) Rank(key string) (peers []granter.Lender, before int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Rank(key)
}

// RankVersion returns a number from 1 that increases each time that the order of instances changes.
func (a *Accountant) RankVersion() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.RankVersion()
}

// Reserve reserves the maximum number of tokens of a request. Missing tokens are
// requested from the account's home, then from the store, for up to the given time.
// It does not wait if waiting is known not to help.
func (a *Accountant) Reserve(ctx context.Context, account string, n int64, wait time.Duration) granter.Decision {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	a.state.AddLocalDemand(a.clock(), account, n)
	end := a.clock() + wait
	homeIsShort := false
	if a.ready && !a.state.CanReserve(a.clock(), account, n) {
		homeIsShort = a.borrow(ctx, account, n, n, true, a.state.Lenders(account))
	}
	if !a.state.NeedsNoGrant(account, n) {
		a.state.AddGrantDemand(a.clock(), account, n)
	}
	rounds := 0
	return a.takeOrWait(ctx, account, n, end, a.state.Reserve, func() bool {
		// Borrowing is faster than the store. A home that is short of tokens raises its
		// grant meanwhile, if there is something left for that and the store responds.
		outage := !a.storeReachable(a.clock())
		switch rounds++; {
		case rounds == 1 && homeIsShort && a.state.HasUngranted(account) && !outage:
			a.borrow(ctx, account, n, n, true, a.state.Lenders(account))
		case rounds <= maxBorrowRounds:
			a.borrow(ctx, account, n, 1, false, a.state.Holders(account, outage))
		}
		return true
	})
}

// Lend takes tokens for another instance. It waits for a larger grant only if there may be
// one and the borrower needs all of the tokens from here.
func (a *Accountant) Lend(ctx context.Context, l granter.Loan) lender.Reply {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return lender.Reply{Outcome: granter.Unready}
	}
	a.syncEra()
	now := a.clock()
	a.state.AddGrantDemand(now, l.Account, l.Need)
	defer func() {
		if a.state.RunsLow(a.clock(), l.Account) {
			sendSignal(a.budgetsSignal)
		}
	}()
	n := min(l.Requested, a.state.LendableTokens(l.Account, l.Need))
	if !a.storeReachable(now) {
		n = min(n, a.state.LendableNow(now, l.Account)) // the limit is not raised meanwhile
	}
	n = max(l.Minimum, n)
	d := a.takeOrWait(ctx, l.Account, n, now+lendTimeout, a.state.Lend, func() bool {
		return l.Minimum == l.Need && a.state.HasUngranted(l.Account) && a.storeReachable(a.clock())
	})
	if d.Outcome != granter.Reserved {
		return lender.Reply{Outcome: d.Outcome, Usage: a.state.Usage(l.Account)}
	}
	if !a.state.RecordLoan(a.clock(), l, n) {
		a.state.AddReturned(l.Account, n)
		return lender.Reply{Outcome: granter.Unready}
	}
	return lender.Reply{Tokens: n, Outcome: d.Outcome, Usage: a.state.Usage(l.Account)}
}

// CancelLoan takes back a loan that the borrower does not use, and returns its tokens.
func (a *Accountant) CancelLoan(id string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.notifyWaiters()
	return a.state.CancelLoan(a.clock(), id)
}

// AddReturned adds lent tokens that a borrower returns unused.
func (a *Accountant) AddReturned(account string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.AddReturned(account, tokens)
}

// borrow asks lenders in turn for the tokens that a request of n is short of. Loans
// smaller than minimum are not useful. With firstAnswer, further lenders are asked only
// if one does not answer, and it reports whether the one that did was short of tokens.
// The caller holds the lock, which is released during calls to peers.
func (a *Accountant) borrow(ctx context.Context, account string, n, minimum int64, firstAnswer bool, lenders []granter.Lender) (short bool) {
	for _, p := range lenders {
		now := a.clock()
		if now < a.peerBackoffUntil[p.Name] {
			continue
		}
		need, requested := a.state.BorrowAmounts(now, account, n)
		call := a.callsTo([]granter.Lender{p})[0]
		a.mu.Unlock()
		loan := granter.Loan{ID: strconv.FormatUint(rand.Uint64(), 36), Account: account, Minimum: min(need, minimum), Need: need, Requested: requested}
		reply, err := a.peers.Borrow(ctx, p, loan)
		if err != nil {
			a.recordPeerFailure(call, err, "peer lends nothing")
			if lender.MayHaveRun(err) {
				go a.cancelLoan(context.WithoutCancel(ctx), p, loan)
			}
		}
		a.mu.Lock()
		if err != nil {
			continue
		}
		a.state.AddBorrowed(account, reply.Tokens)
		a.state.ObserveUsage(a.clock(), account, p.Name, reply.Usage)
		if reply.Tokens >= need || firstAnswer {
			return reply.Tokens < need
		}
	}
	return false
}

// cancelLoan cancels a loan without a response. If the lender does not confirm that, the
// tokens may be lost.
func (a *Accountant) cancelLoan(ctx context.Context, p granter.Lender, l granter.Loan) {
	var err error
	for delay := cancelDelay; delay <= maxCancelDelay; delay *= 2 {
		waiter.Sleep(ctx, delay)
		var tokens int64
		if tokens, err = a.peers.Cancel(ctx, p, l); err == nil {
			a.log.Info().Str("peer", p.Name).Str("account", l.Account).Int64("tokens", tokens).Msg("loan cancelled")
			return
		}
	}
	a.log.Warn().Str("peer", p.Name).Str("account", l.Account).Int64("tokens", l.Requested).Err(err).Msg("loan not cancelled")
}

// peerCall is a call to a peer.
type peerCall struct {
	peer      granter.Lender
	greetings int // from the peer before the call, see [granter.Granter.RecordEnd]
}

// callsTo returns calls that begin now. The caller holds the lock.
func (a *Accountant) callsTo(peers []granter.Lender) []peerCall {
	calls := make([]peerCall, len(peers))
	for i, p := range peers {
		calls[i] = peerCall{p, a.state.Greetings(p.Name)}
	}
	return calls
}

// recordPeerFailure keeps calls away from a peer for a while. One that refuses connections
// has ended.
func (a *Accountant) recordPeerFailure(c peerCall, err error, msg string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerBackoffUntil[c.peer.Name] = a.clock() + peerFailureBackoff
	a.recordIfEnded(c, err)
	a.log.Warn().Str("peer", c.peer.Name).Err(err).Msg(msg)
}

// recordGreetingFailure keeps greetings away from a peer for a while.
func (a *Accountant) recordGreetingFailure(c peerCall, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pause := peerFailureBackoff
	if errors.Is(err, lender.ErrRefused) {
		pause = greetingRefusalBackoff
	}
	a.greetBackoff[c.peer.Name] = a.clock() + pause
	a.recordIfEnded(c, err)
	a.log.Warn().Str("peer", c.peer.Name).Err(err).Msg("peer does not accept a greeting")
}

// recordIfEnded records the end of a peer that refuses connections. The caller holds the
// lock.
func (a *Accountant) recordIfEnded(c peerCall, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.state.RecordEnd(c.peer.Name, c.greetings)
	}
}

// takeOrWait tries to take tokens until it succeeds, cannot succeed or the context
// ends. While the grant is too small, or the ledger limit in an outage of the store, it calls
// getMore, which reports whether the grant may still grow, before waiting. The caller holds
// the lock.
func (a *Accountant) takeOrWait(ctx context.Context, account string, n int64, end time.Duration, take func(time.Duration, string, int64) granter.Decision, getMore func() bool) granter.Decision {
	for {
		d := take(a.clock(), account, n)
		mayGrow := true
		if d.Outcome == granter.Short || d.Outcome == granter.Limited && !a.storeReachable(a.clock()) {
			mayGrow = getMore()
			d = take(a.clock(), account, n)
		}
		now := a.clock()
		storeReachable := a.storeReachable(now)
		d, temporary := unprovenRefusal(d, storeReachable)
		switch {
		case d.Outcome == granter.Reserved, d.Outcome == granter.Unready:
			return d
		case temporary, d.Outcome == granter.Exhausted, d.Outcome == granter.Withheld:
			return d
		case d.Outcome == granter.Short && !mayGrow:
			return d
		case !storeReachable && !a.storeJustLost(now) && (d.Outcome == granter.Short || now+d.RetryAfter > end):
			return d
		}
		if !a.waitForChange(ctx, account, d) {
			return d
		}
	}
}

// storeReachable reports whether the store is thought to respond.
func (a *Accountant) storeReachable(now time.Duration) bool {
	return !a.storeLost && now-a.lastContact < contactTimeout
}

// storeJustLost reports whether calls to the store fail for so short a time that the next one
// may well succeed, so that requests wait for it.
func (a *Accountant) storeJustLost(now time.Duration) bool {
	return a.storeLost && now-a.lostSince < minOutage && now-a.lastContact < contactTimeout
}

// waitForChange waits until the state changes or the ledger limit has grown enough.
// It reports false if the context ends first. The caller holds the lock, which is
// released during the wait.
func (a *Accountant) waitForChange(ctx context.Context, account string, d granter.Decision) bool {
	done := a.state.AddWaiting(account, d.Own, d.Outcome == granter.Short)
	defer done()
	changed := a.changed
	var limitGrown <-chan time.Time
	if d.Outcome == granter.Short {
		sendSignal(a.budgetsSignal)
	} else {
		sendSignal(a.ledgerSignal)
		t := time.NewTimer(d.RetryAfter + time.Millisecond)
		defer t.Stop()
		limitGrown = t.C
	}
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-changed:
		return true
	case <-limitGrown:
		return true
	case <-ctx.Done():
	}
	return false
}

// Settle ends a reservation of which the given tokens were used.
func (a *Accountant) Settle(account string, d granter.Decision, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Settle(account, d, used)
}

// Stop stops lending and returns tokens that are not in use.
func (a *Accountant) Stop() {
	a.mu.Lock()
	a.state.Stop()
	a.stopped = true
	a.mu.Unlock()
	sendSignal(a.budgetsSignal)
}

// Close returns unused tokens and writes the final ledger of an instance that no
// longer serves requests.
func (a *Accountant) Close(ctx context.Context) error {
	a.Stop()
	a.mu.Lock()
	a.state.Close()
	a.mu.Unlock()
	var handover sync.WaitGroup
	handover.Go(func() { a.handOver(ctx) })
	defer handover.Wait()
	if err := a.writeFinalLedger(ctx); err != nil {
		return fmt.Errorf("write final ledger: %w", err)
	}
	a.mu.Lock()
	due := a.state.BudgetsDue(a.clock(), false)
	a.mu.Unlock()
	var failed error
	for _, account := range due {
		if err := a.writeBudget(ctx, account); err != nil {
			failed = fmt.Errorf("return tokens of %s: %w", account, err)
		}
	}
	return failed
}

// writeFinalLedger tries to write the last ledger several times: without it the tokens up to
// the limits of the one before count as spent.
func (a *Accountant) writeFinalLedger(ctx context.Context) error {
	for try := 1; ; try++ {
		retry, err := a.writeLedger(ctx)
		switch {
		case err == nil && !retry, errors.Is(err, ErrReplaced):
			return err
		case try == maxFinalLedgers:
			return errors.Join(err, errNotWritten)
		case ctx.Err() != nil:
			return err
		case err != nil:
			waiter.Sleep(ctx, retryDelay)
		}
	}
}

// notifyWaiters wakes all requests that wait for a change. The caller holds the lock.
func (a *Accountant) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// sendSignal signals a channel of capacity 1 without blocking.
func sendSignal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// recordContact records whether a store call that began at the given time got a
// response. The caller holds the lock.
func (a *Accountant) recordContact(began time.Duration, err error) {
	if err == nil || errors.Is(err, storer.ErrConflict) {
		a.lastContact = max(a.lastContact, began)
		if a.storeLost {
			a.storeLost = false
			if now := a.clock(); now-a.lostSince >= minOutage {
				a.state.RecordOutage(now)
				sendSignal(a.budgetsSignal)
			}
			a.log.Info().Msg("budget store regained")
		}
		return
	}
	if !a.storeLost {
		a.storeLost, a.lostSince = true, a.clock()
		time.AfterFunc(lostPollInterval/2, func() { sendSignal(a.pollSignal) }) // the next poll may be far
		time.AfterFunc(minOutage, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.notifyWaiters() // they wait no longer if the store is still away
		})
		a.log.Warn().Err(err).Dur("since_contact", a.clock()-a.lastContact).Msg("budget store lost")
	}
}

func decode[T checker.Checker](item storer.Item) (T, error) {
	v, err := checker.Decode[T](item.Body)
	if err != nil {
		return v, fmt.Errorf("object %s version %d: %w", item.Key, item.Version, err)
	}
	return v, nil
}
