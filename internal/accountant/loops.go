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
	started := a.clock()
	old, oldVersion, err := read[granter.Ledger](ctx, a.store, KindLedgers, a.name)
	if err != nil {
		return err
	}
	grants, version, err := read[granter.Grants](ctx, a.store, KindGrants, shardName)
	if err != nil {
		return err
	}
	a.mu.Lock()
	lost := a.state.Recover(started, old, grants, version)
	joined := a.state.Join()
	a.state.GrantsSent(joined)
	a.mu.Unlock()
	item, err := put(ctx, a.store, KindGrants, shardName, joined, version)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.state.Observe(joined, item.Version)
	l := a.state.PlanLedger(a.clock())
	a.state.LedgerSent(l)
	a.mu.Unlock()
	if item, err = put(ctx, a.store, KindLedgers, a.name, l, oldVersion); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.LedgerWritten(l)
	a.state.Ready()
	a.version, a.ready = item.Version, true
	a.touched(started, nil)
	a.notify()
	a.log.Info().Str("former", old.Incarnation).Uint64("ledger_version", oldVersion).Uint64("grants_version", version).
		Dur("ledger_age", old.Age(started)).Bool("same_boot", old.Boot == a.boot).Any("lost_tokens", lost).Msg("budgets recovered")
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
			pause(ctx, retryPause)
		case again:
			wake(a.ledger)
		default:
			pause(ctx, ledgerGap)
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

// keepGrants writes the grants when tokens are missing or the parts are stale.
func (a *Accountant) keepGrants(ctx context.Context) {
	tick := time.NewTicker(refreshTime)
	defer tick.Stop()
	for ctx.Err() == nil {
		stale := false
		select {
		case <-ctx.Done():
			return
		case <-a.grants:
		case <-tick.C:
			stale = true
		}
		a.mu.Lock()
		now := a.clock()
		due := a.budgeted && (a.state.GrantsDue(now) || (stale || !a.state.Took()) && a.state.GrantsStale(now))
		a.mu.Unlock()
		if !due {
			continue
		}
		if err := a.writeGrants(ctx); err != nil {
			pause(ctx, retryPause)
			wake(a.grants)
			continue
		}
		pause(ctx, grantsGap)
	}
}

// writeGrants writes the grants once, and again after a conflict.
func (a *Accountant) writeGrants(ctx context.Context) error {
	for {
		a.mu.Lock()
		began := a.clock()
		g := a.state.PlanGrants(began)
		a.state.GrantsSent(g)
		version := a.state.Version()
		a.mu.Unlock()
		item, err := put(ctx, a.store, KindGrants, shardName, g, version)

		a.mu.Lock()
		a.touched(began, err)
		switch {
		case err == nil:
			a.state.Observe(g, item.Version)
		case errors.Is(err, storer.ErrConflict):
			a.state.GrantsVoid()
			err = a.observe(item)
			a.mu.Unlock()
			if err != nil {
				return err
			}
			continue
		case errors.Is(err, storer.ErrUnavailable):
			a.state.GrantsVoid()
		}
		a.notify()
		a.mu.Unlock()
		return err
	}
}

// observe takes over grants from the store. The caller holds the lock.
func (a *Accountant) observe(item storer.Item) error {
	g, err := decode[granter.Grants](item)
	if err != nil {
		a.log.Error().Err(err).Msg("grants cannot be read")
		return err
	}
	a.state.Observe(g, item.Version)
	return nil
}

// followGrants reads the grants from time to time and gives lent tokens back
// that are not needed.
func (a *Accountant) followGrants(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, pollTime/2+rand.N(pollTime))
		began := a.clock()
		item, err := a.store.Get(ctx, KindGrants, shardName)
		a.mu.Lock()
		a.touched(began, err)
		if err == nil && a.observe(item) == nil {
			a.notify()
			wake(a.grants)
		}
		a.mu.Unlock()
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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
