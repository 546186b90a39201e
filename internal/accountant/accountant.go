// Package accountant spends prepaid tokens for one instance. It owns a
// [granter.Granter], keeps its objects in the store current and lets requests
// wait for a short time while tokens are fetched.
//
// # Usage
//
//	a := accountant.New(store, "entry-1", log)
//	go a.Run(ctx)
//	a.Budgets(version, map[string]int64{"rider-app": 2_000_000})
//	d := a.Reserve(ctx, "rider-app", 20_000)
//	if d.Outcome == granter.Reserved {
//		defer func() { a.Settle("rider-app", 20_000, used) }()
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
	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/storer"
)

// Places of the objects.
const (
	KindGrants  = "grants"
	KindLedgers = "ledgers"
	shardName   = "0"
)

const (
	ledgerGap      = 60 * time.Millisecond  // between two ledger writes, so that one serves many requests
	grantsGap      = 250 * time.Millisecond // between two writes of the grants by one instance
	refreshTime    = 4 * time.Second        // after which stale grants are written again
	retryPause     = 150 * time.Millisecond
	contactTime    = 3 * time.Second // after which the last contact with the store proves nothing
	watchInstances = 8               // up to so many, the grants are watched: each change wakes all instances
	pollTime       = 2 * time.Second // reads of the grants in larger fleets
)

// ErrReplaced means that a newer process of this instance writes the ledger.
var ErrReplaced = errors.New("a newer process of this instance has taken over")

// Store keeps the objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Item, error)
	Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error)
	follower.Source
}

// Accountant is safe for concurrent use.
type Accountant struct {
	store Store
	name  string
	log   zerolog.Logger
	clock func() time.Duration
	boot  string

	mu       sync.Mutex
	state    *granter.Granter
	version  uint64 // of the ledger
	contact  time.Duration
	lost     bool // the store did not answer the last write
	ready    bool
	budgeted bool // the configuration is known
	changed  chan struct{}
	ledger   chan struct{}
	grants   chan struct{}
	writes   int64
}

// New returns the accountant of an instance. Its name must be that of one
// machine at one address, so that two processes never use it at once.
func New(store Store, name string, log zerolog.Logger) *Accountant {
	boot := bootID()
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	return &Accountant{
		store: store, name: name, log: log, clock: bootClock, boot: boot,
		state:   granter.New(name, incarnation, boot),
		changed: make(chan struct{}), ledger: make(chan struct{}, 1), grants: make(chan struct{}, 1),
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
	wg.Go(func() { a.keepGrants(ctx) })
	wg.Go(func() { a.followGrants(ctx) })
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
	wake(a.grants)
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

// Reserve takes tokens for a request at its most. If the tokens are not here it
// waits up to the given time while they are fetched, but not if that is known to
// be in vain.
func (a *Accountant) Reserve(ctx context.Context, account string, n int64, wait time.Duration) granter.Decision {
	deadline := time.NewTimer(wait)
	end := a.clock() + wait
	defer deadline.Stop()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Ask(a.clock(), account, n)
	for {
		now := a.clock()
		d := a.state.Reserve(now, account, n)
		inTouch := !a.lost && now-a.contact < contactTime
		switch {
		case d.Outcome == granter.Reserved:
			return d
		case d.Outcome == granter.Exhausted && inTouch:
			return d
		case d.Outcome == granter.Exhausted:
			d.Outcome, d.After = granter.Short, contactTime
			return d
		case d.Outcome == granter.Unready:
			return d
		case !inTouch && (d.Outcome == granter.Short || now+d.After > end):
			return d
		}
		if !a.await(ctx, deadline.C, account, n, d) {
			return d
		}
	}
}

// await waits for a change. It reports false when the wait is over.
func (a *Accountant) await(ctx context.Context, deadline <-chan time.Time, account string, n int64, d granter.Decision) bool {
	done := a.state.Wait(account, n, d.Outcome == granter.Short)
	defer func() { done() }()
	changed := a.changed
	var grown <-chan time.Time
	if d.Outcome == granter.Short {
		wake(a.grants)
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
	case <-deadline:
	case <-ctx.Done():
	}
	return false
}

// Settle ends a reservation with what was used of it.
func (a *Accountant) Settle(account string, reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Settle(account, reserved, used)
}

// Stop returns what is not needed any more.
func (a *Accountant) Stop() {
	a.mu.Lock()
	a.state.Stop()
	a.mu.Unlock()
	wake(a.grants)
}

// Close writes the last figures of an instance that serves no more.
func (a *Accountant) Close(ctx context.Context) error {
	a.Stop()
	if _, err := a.writeLedger(ctx); err != nil {
		return fmt.Errorf("write the last ledger: %w", err)
	}
	if err := a.writeGrants(ctx); err != nil {
		return fmt.Errorf("return grants: %w", err)
	}
	return nil
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
