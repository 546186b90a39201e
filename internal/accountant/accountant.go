// Package accountant spends prepaid tokens for one instance. It owns a
// [granter.Granter], keeps its objects in the store current and lets requests
// wait for a short time while tokens are fetched.
//
// # Usage
//
//	a := accountant.New(store, "entry-1", "10.0.0.4:7340", peers, log)
//	go a.Run(ctx)
//	a.Budgets(map[string]int64{"rider-app": 2_000_000})
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
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/checker"
	"daisylane/internal/granter"
	"daisylane/internal/storer"
)

// Places of the objects.
const (
	KindBudgets = "budgets" // one of each account
	KindLedgers = "ledgers" // one of each instance
)

const (
	ledgerGap   = 60 * time.Millisecond  // between two ledger writes, so that one serves many requests
	budgetGap   = 250 * time.Millisecond // between two writes of one budget by one instance
	refreshTime = 4 * time.Second        // after which stale figures are written again
	retryPause  = 150 * time.Millisecond
	contactTime = 3 * time.Second        // after which the last contact with the store proves nothing
	pollTime    = 3 * time.Second        // between reads of the budgets, which change little while homes lend
	lendTime    = 150 * time.Millisecond // in which a lender gets more tokens: a ledger and a grants write
	maxRounds   = 3                      // in which one request asks other holders, with what is known by then
	avoidTime   = 2 * time.Second        // in which a peer that failed is not asked again
)

// ErrReplaced means that a newer process of this instance writes the ledger.
var ErrReplaced = errors.New("a newer process of this instance has taken over")

// Store keeps the objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Item, error)
	List(ctx context.Context, kind string) ([]storer.Item, int64, error)
	Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error)
}

// Peers asks other instances for tokens.
type Peers interface {
	// Borrow asks for tokens. It returns 0 if the peer has too few.
	Borrow(ctx context.Context, peer granter.Lender, l granter.Loan) (int64, error)
	Return(ctx context.Context, peer granter.Lender, account string, tokens int64) error
}

// Accountant is safe for concurrent use.
type Accountant struct {
	store Store
	name  string
	peers Peers
	log   zerolog.Logger
	clock func() time.Duration
	boot  string
	// started is when this process began, after the end of the former one. However
	// late the ledger of that one is read, it spent nothing after this time.
	started time.Duration

	mu       sync.Mutex
	state    *granter.Granter
	version  uint64 // of the ledger
	contact  time.Duration
	lost     bool // the store did not answer the last write
	ready    bool
	budgeted bool                     // the configuration is known
	stopped  bool                     // lends no more
	avoid    map[string]time.Duration // end of the time in which a peer is not asked, by name
	changed  chan struct{}
	ledger   chan struct{}
	budgets  chan struct{}
	busy     map[string]bool // accounts whose budget is being written
}

// New returns the accountant of an instance. Its name must be that of one
// machine at one address, so that two processes never use it at once. The
// address is where it lends tokens to its peers.
func New(store Store, name, addr string, peers Peers, log zerolog.Logger) *Accountant {
	boot, err := bootID()
	if err != nil {
		log.Warn().Err(err).Msg("after a crash all granted tokens will count as spent")
	}
	self := granter.Self{Name: name, Addr: addr, Incarnation: strconv.FormatUint(rand.Uint64(), 36), Boot: boot}
	return &Accountant{
		store: store, name: name, peers: peers, log: log, clock: bootClock, boot: boot, started: bootClock(),
		state: granter.New(self),
		avoid: make(map[string]time.Duration), changed: make(chan struct{}), ledger: make(chan struct{}, 1), budgets: make(chan struct{}, 1), busy: make(map[string]bool),
	}
}

// Run recovers what a former process left, then keeps the objects current until
// the context ends.
func (a *Accountant) Run(ctx context.Context) error {
	if err := a.recover(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wg.Go(func() {
		if err := a.keepLedger(ctx); err != nil {
			cancel(err)
		}
	})
	wg.Go(func() { a.keepBudgets(ctx) })
	wg.Go(func() { a.follow(ctx) })
	wg.Wait()
	if err := context.Cause(ctx); errors.Is(err, ErrReplaced) {
		return err
	}
	return nil
}

// Budgets takes over what is prepaid, by account; negative means not limited.
func (a *Accountant) Budgets(budgets map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, tokens := range budgets {
		a.state.Prepaid(name, tokens)
	}
	a.budgeted = true
	a.notify()
	wake(a.budgets)
}

// Ready reports whether tokens can be reserved.
func (a *Accountant) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && a.budgeted
}

// Instances returns the number of instances that take part.
func (a *Accountant) Instances() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Instances()
}

// Reserve takes tokens for a request at its most. Those that are not here are
// asked of the account's home, then of the store, for up to the given time, but
// not if that is known to be in vain.
func (a *Accountant) Reserve(ctx context.Context, account string, n int64, wait time.Duration) granter.Decision {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Arrived(a.clock(), account, n)
	end := a.clock() + wait
	if a.ready && !a.state.Covered(account, n) {
		a.borrow(ctx, account, n, n, a.state.Lenders(account))
	}
	if !a.state.Covered(account, n) {
		a.state.Ask(a.clock(), account, n)
	}
	asked := 0
	return a.obtain(ctx, account, n, end, a.state.Reserve, func() {
		// Tokens that others hold come faster from them than by the store.
		if asked++; asked <= maxRounds {
			a.borrow(ctx, account, n, 1, a.state.Holders(account))
		}
	})
}

// Lend takes tokens for another instance.
func (a *Accountant) Lend(ctx context.Context, l granter.Loan) granter.Decision {
	ctx, cancel := context.WithTimeout(ctx, lendTime)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return granter.Decision{Outcome: granter.Unready}
	}
	now := a.clock()
	a.state.Ask(now, l.Account, l.Need)
	n := max(l.Least, min(l.Ask, a.state.Spare(l.Account, l.Need)))
	return a.obtain(ctx, l.Account, n, now+lendTime, a.state.Lend, func() {})
}

// Returned takes back tokens that were lent and not used.
func (a *Accountant) Returned(account string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Returned(account, tokens)
}

// borrow asks lenders in turn for the tokens that a request of n lacks; a loan
// below the least is of no use. The caller holds the lock, which is free while a
// peer is asked.
func (a *Accountant) borrow(ctx context.Context, account string, n, least int64, lenders []granter.Lender) {
	for _, lender := range lenders {
		now := a.clock()
		if now < a.avoid[lender.Name] {
			continue
		}
		need, ask := a.state.Borrow(now, account, n)
		a.mu.Unlock()
		got, err := a.peers.Borrow(ctx, lender, granter.Loan{Account: account, Least: min(need, least), Need: need, Ask: ask})
		a.mu.Lock()
		if err != nil {
			a.avoid[lender.Name] = a.clock() + avoidTime
			a.log.Warn().Str("peer", lender.Name).Err(err).Msg("peer lends nothing")
			continue
		}
		a.state.Lent(account, got)
		if got >= need {
			return
		}
	}
}

// obtain tries to take tokens until it succeeds, fails for good or the time is
// over. It asks for help while the grant is too small. The caller holds the lock.
func (a *Accountant) obtain(ctx context.Context, account string, n int64, end time.Duration, take func(time.Duration, string, int64) granter.Decision, help func()) granter.Decision {
	for {
		d := take(a.clock(), account, n)
		if d.Outcome == granter.Short {
			help()
			d = take(a.clock(), account, n)
		}
		now := a.clock()
		inTouch := !a.lost && now-a.contact < contactTime
		switch {
		case d.Outcome == granter.Reserved, d.Outcome == granter.Unready:
			return d
		case d.Outcome == granter.Exhausted && inTouch:
			return d
		case d.Outcome == granter.Exhausted:
			d.Outcome, d.After = granter.Short, contactTime
			return d
		case !inTouch && (d.Outcome == granter.Short || now+d.After > end):
			return d
		}
		if !a.await(ctx, account, d) {
			return d
		}
	}
}

// await waits for a change. It reports false when the wait is over.
func (a *Accountant) await(ctx context.Context, account string, d granter.Decision) bool {
	done := a.state.Wait(account, d.Own, d.Outcome == granter.Short)
	defer done()
	changed := a.changed
	var grown <-chan time.Time
	if d.Outcome == granter.Short {
		wake(a.budgets)
	} else {
		wake(a.ledger)
		t := time.NewTimer(d.After + time.Millisecond)
		defer t.Stop()
		grown = t.C
	}
	a.mu.Unlock()
	defer a.mu.Lock()
	select {
	case <-changed:
		return true
	case <-grown:
		return true
	case <-ctx.Done():
	}
	return false
}

// Settle ends a reservation with what was used of it.
func (a *Accountant) Settle(account string, d granter.Decision, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Settle(account, d, used)
}

// Stop returns what is not needed any more.
func (a *Accountant) Stop() {
	a.mu.Lock()
	a.state.Stop()
	a.stopped = true
	a.mu.Unlock()
	wake(a.budgets)
}

// Close writes the last figures of an instance that serves no more.
func (a *Accountant) Close(ctx context.Context) error {
	a.Stop()
	if _, err := a.writeLedger(ctx); err != nil {
		return fmt.Errorf("write the last ledger: %w", err)
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

func (a *Accountant) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// touched notes that the store answered, or did not. The caller holds the lock.
func (a *Accountant) touched(began time.Duration, err error) {
	if err == nil || errors.Is(err, storer.ErrConflict) {
		a.contact = max(a.contact, began)
		if a.lost {
			a.lost = false
			a.log.Info().Msg("budget store regained")
		}
		return
	}
	if !a.lost {
		a.lost = true
		a.log.Warn().Err(err).Dur("since_contact", a.clock()-a.contact).Msg("budget store lost")
	}
}

func decode[T checker.Checker](item storer.Item) (T, error) {
	v, err := checker.Decode[T](item.Body)
	if err != nil {
		return v, fmt.Errorf("object %s version %d: %w", item.Key, item.Version, err)
	}
	return v, nil
}
