package accountant

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/granter"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// recover reads the objects and writes both, which voids late writes of a
// former process of this instance.
func (a *Accountant) recover(ctx context.Context) error {
	for {
		err := a.join(ctx)
		if err == nil {
			return nil
		}
		a.mu.Lock()
		a.touched(a.clock(), err)
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return fmt.Errorf("recover budgets: %w", ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

func (a *Accountant) join(ctx context.Context) error {
	old, version, err := read[granter.Ledger](ctx, a.store, KindLedgers, a.name)
	if err != nil {
		return err
	}
	if err := a.poll(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	a.state.Recover(a.started, old)
	l := a.state.PlanLedger(a.clock())
	a.state.LedgerSent(l)
	a.mu.Unlock()
	item, err := put(ctx, a.store, KindLedgers, a.name, l, version)
	if err != nil {
		return err
	}
	// The budgets are read again, with the bounds of what was spent.
	began := a.clock()
	if err := a.poll(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.LedgerWritten(l)
	a.state.Ready()
	a.version, a.ready = item.Version, true
	a.touched(began, nil)
	a.notify()
	wake(a.budgets)
	a.log.Info().Str("former", old.Incarnation).Uint64("version", version).Dur("age", old.Age(a.started)).
		Bool("same_boot", old.Boot == a.boot && old.Age(a.started) > 0).Any("lost_tokens", a.state.Lost()).Msg("budgets recovered")
	return nil
}

// poll reads the budgets and the addresses of the instances.
func (a *Accountant) poll(ctx context.Context) error {
	budgets, _, err := a.store.List(ctx, KindBudgets)
	if err != nil {
		return fmt.Errorf("read budgets: %w", err)
	}
	ledgers, _, err := a.store.List(ctx, KindLedgers)
	if err != nil {
		return fmt.Errorf("read ledgers: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range budgets {
		a.observe(item.Key, item)
	}
	for _, item := range ledgers {
		l, err := decode[granter.Ledger](item)
		if err != nil {
			a.log.Error().Err(err).Msg("ledger cannot be read")
			continue
		}
		a.state.Peer(item.Key, l.Addr)
	}
	return nil
}

// keepLedger writes the ledger when it is due.
func (a *Accountant) keepLedger(ctx context.Context) error {
	tick := time.NewTicker(granter.LedgerInterval / 4)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-a.ledger:
		case <-tick.C:
		}
		a.mu.Lock()
		due := a.state.LedgerDue(a.clock())
		a.mu.Unlock()
		if !due {
			continue
		}
		again, err := a.writeLedger(ctx)
		switch {
		case errors.Is(err, ErrReplaced):
			return err
		case err != nil:
			waiter.Pause(ctx, retryPause)
		case again:
			wake(a.ledger)
		default:
			waiter.Pause(ctx, ledgerGap)
		}
	}
	return nil
}

// writeLedger writes the ledger once. It reports true if another write of this
// process came first and the write has to be tried again.
func (a *Accountant) writeLedger(ctx context.Context) (again bool, err error) {
	a.mu.Lock()
	began := a.clock()
	l := a.state.PlanLedger(began)
	a.state.LedgerSent(l)
	version := a.version
	a.mu.Unlock()
	item, err := put(ctx, a.store, KindLedgers, a.name, l, version)

	a.mu.Lock()
	defer a.mu.Unlock()
	a.touched(began, err)
	defer a.notify()
	switch {
	case err == nil:
		a.state.LedgerWritten(l)
		a.version = item.Version
	case errors.Is(err, storer.ErrConflict):
		a.state.LedgerVoid(l)
		return true, a.adoptLedger(item)
	case errors.Is(err, storer.ErrUnavailable):
		a.state.LedgerVoid(l)
	}
	return false, err
}

// adoptLedger takes over a write of this process whose answer was lost.
func (a *Accountant) adoptLedger(item storer.Item) error {
	current, err := decode[granter.Ledger](item)
	if err != nil {
		return err
	}
	if !a.state.Owns(current) {
		return fmt.Errorf("ledger version %d of incarnation %s: %w", item.Version, current.Incarnation, ErrReplaced)
	}
	a.state.LedgerWritten(current)
	a.version = item.Version
	return nil
}

// keepBudgets writes the budgets that are due, each by itself.
func (a *Accountant) keepBudgets(ctx context.Context) {
	tick := time.NewTicker(refreshTime)
	defer tick.Stop()
	for {
		stale := false
		select {
		case <-ctx.Done():
			return
		case <-a.budgets:
		case <-tick.C:
			stale = true
		}
		a.mu.Lock()
		if a.budgeted && a.ready {
			for _, account := range a.state.BudgetsDue(a.clock(), stale) {
				if !a.busy[account] {
					a.busy[account] = true
					go a.keepBudget(ctx, account)
				}
			}
		}
		a.mu.Unlock()
	}
}

// keepBudget writes one budget and looks again a little later.
func (a *Accountant) keepBudget(ctx context.Context, account string) {
	gap := budgetGap
	if err := a.writeBudget(ctx, account); err != nil {
		gap = retryPause
	}
	a.mu.Lock()
	a.notify()
	a.mu.Unlock()
	waiter.Pause(ctx, gap)
	a.mu.Lock()
	delete(a.busy, account)
	a.mu.Unlock()
	wake(a.budgets)
}

// writeBudget writes a budget once, and again after a conflict.
func (a *Accountant) writeBudget(ctx context.Context, account string) error {
	for {
		a.mu.Lock()
		began := a.clock()
		b, version := a.state.PlanBudget(began, account)
		a.state.BudgetSent(account, b)
		a.mu.Unlock()
		item, err := put(ctx, a.store, KindBudgets, account, b, version)

		a.mu.Lock()
		a.touched(began, err)
		switch {
		case err == nil:
			a.state.Observe(began, account, b, item.Version)
		case errors.Is(err, storer.ErrConflict):
			a.state.BudgetVoid(account)
			seen := a.observe(account, item)
			a.mu.Unlock()
			if !seen {
				return err
			}
			continue
		case errors.Is(err, storer.ErrUnavailable):
			a.state.BudgetVoid(account)
		}
		a.mu.Unlock()
		return err
	}
}

// observe takes over a budget from the store. The caller holds the lock.
func (a *Accountant) observe(account string, item storer.Item) bool {
	b, err := decode[granter.Budget](item)
	if err != nil {
		a.log.Error().Err(err).Msg("budget cannot be read")
		return false
	}
	a.state.Observe(a.clock(), account, b, item.Version)
	return true
}

// follow reads the budgets from time to time and gives lent tokens back that are
// not needed.
func (a *Accountant) follow(ctx context.Context) {
	for {
		waiter.Pause(ctx, pollTime/2+rand.N(pollTime))
		if ctx.Err() != nil {
			return
		}
		began := a.clock()
		err := a.poll(ctx)
		a.mu.Lock()
		a.touched(began, err)
		a.notify()
		a.mu.Unlock()
		wake(a.budgets)
		a.giveBack(ctx)
	}
}

// giveBack returns lent tokens that are not needed to the homes of the accounts.
func (a *Accountant) giveBack(ctx context.Context) {
	type gift struct {
		peer    granter.Lender
		account string
		tokens  int64
	}
	var gifts []gift
	a.mu.Lock()
	now := a.clock()
	for _, account := range a.state.Borrowed() {
		lenders := a.state.Lenders(account)
		if len(lenders) == 0 || now < a.avoid[lenders[0].Name] {
			continue
		}
		if n := a.state.TakeSurplus(now, account); n > 0 {
			gifts = append(gifts, gift{lenders[0], account, n})
		}
	}
	a.mu.Unlock()
	for _, g := range gifts {
		// Without an answer the tokens may have arrived, so they are not kept.
		if err := a.peers.Return(ctx, g.peer, g.account, g.tokens); err != nil {
			a.log.Warn().Str("peer", g.peer.Name).Str("account", g.account).Int64("tokens", g.tokens).Err(err).Msg("tokens not given back")
		}
	}
}

// read returns an object, or the zero value with version 0 if there is none.
func read[T checker.Checker](ctx context.Context, s Store, kind, name string) (v T, version uint64, err error) {
	item, err := s.Get(ctx, kind, name)
	if errors.Is(err, storer.ErrAbsent) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, fmt.Errorf("read %s: %w", kind, err)
	}
	v, err = decode[T](item)
	return v, item.Version, err
}

func put[T checker.Checker](ctx context.Context, s Store, kind, name string, v T, version uint64) (storer.Item, error) {
	body, err := checker.Encode(v)
	if err != nil {
		return storer.Item{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	item, err := s.Put(ctx, kind, name, body, version)
	if err != nil {
		return item, fmt.Errorf("write %s: %w", kind, err)
	}
	return item, nil
}
