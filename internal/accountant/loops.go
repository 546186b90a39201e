package accountant

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/granter"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// recover reads the stored objects, writes the ledger and triggers the writes of the
// budgets, so that delayed writes of a previous process of this instance conflict.
// It retries until it succeeds or the context ends.
func (a *Accountant) recover(ctx context.Context) error {
	for {
		err := a.tryRecover(ctx)
		if err == nil {
			return nil
		}
		a.mu.Lock()
		a.recordContact(a.clock(), err)
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return fmt.Errorf("recover budgets: %w", ctx.Err())
		case <-time.After(retryDelay):
		}
	}
}

// tryRecover makes one attempt of the recovery.
func (a *Accountant) tryRecover(ctx context.Context) error {
	began := a.clock()
	ledgers, known, err := a.readOwnLedger(ctx)
	if err == nil && !known {
		ledgers, err = a.readLedgers(ctx)
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.syncEra()
	previous, recorded := ledgers.current[a.name]
	if recorded || !slices.Contains(ledgers.former, a.name) {
		a.state.Recover(a.started, previous)
	} else {
		a.state.RecoverLost(a.started)
	}
	l := a.state.PlanLedger(a.clock())
	a.state.LedgerSent(l)
	a.mu.Unlock()
	item, err := putObject(ctx, a.store, KindLedgers, eraKey(a.name, ledgers.era), l, ledgers.ownVersion)
	if err != nil {
		return err
	}
	all := ledgers
	if known {
		if all, err = a.readLedgers(ctx); err != nil {
			return err
		}
	}
	written := a.clock()
	if err := a.readBudgets(ctx, ledgers.era, false); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.store.Era() != ledgers.era || all.era != ledgers.era {
		return fmt.Errorf("recover budgets: %w", storer.ErrRestored)
	}
	a.state.LedgerWritten(l)
	a.state.SetReady()
	a.state.ObserveLedgers(a.clock(), all.current, all.former)
	a.ledgerVersion, a.ready, a.ledgersRead = item.Version, true, known
	sendSignal(a.pollSignal)
	a.recordContact(written, nil)
	a.notifyWaiters()
	sendSignal(a.budgetsSignal)
	a.log.Info().Str("former", previous.Incarnation).Uint64("version", ledgers.ownVersion).Dur("age", previous.Age(a.started)).Int64("era", ledgers.era).
		Bool("same_boot", previous.Boot == a.boot && previous.Age(a.started) > 0).Any("lost_tokens", a.state.LostTokens()).Dur("took", a.clock()-began).Int("ledgers", len(all.current)+len(all.former)).Bool("own", known).
		Any("calls", a.store.take()).Msg("budgets recovered")
	return nil
}

// poll reads all budgets and ledgers from the store.
func (a *Accountant) poll(ctx context.Context) error {
	era := a.store.Era()
	met := a.greet(ctx, era)
	a.mu.Lock()
	ended := a.state.Ended()
	stale := a.mayReadStale(ended)
	a.mu.Unlock()
	err := a.readBudgets(ctx, era, stale)
	if stale && errors.Is(err, storer.ErrRestored) {
		err = a.readBudgets(ctx, era, false) // the copy may be older than the era
	}
	if err != nil {
		return err
	}
	a.polls++
	a.mu.Lock()
	a.state.Met(era, met)
	a.state.BudgetsRead(era, ended)
	due := !a.state.Settled() || !a.state.KnowsElders() || a.ledgersWanted || a.polls == 2 || a.polls%pollsPerLedgers == 1 && !(a.polls == 1 && a.ledgersRead)
	a.ledgersWanted = false
	a.mu.Unlock()
	if !due {
		return nil
	}
	ledgers, err := a.readLedgers(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ledgers.era == a.state.Era() {
		before := a.state.WritesOff()
		a.state.ObserveLedgers(a.clock(), ledgers.current, ledgers.former)
		if a.state.WritesOff() && !before {
			a.log.Warn().Int64("era", ledgers.era).Int("ledgers", len(ledgers.current)).Int("missing", len(ledgers.former)).
				Msg("too many instances were lost with the state of the store; what nobody can account for counts as spent")
		}
	}
	return nil
}

// mayReadStale reports whether a poll may read budgets that are some seconds old. Every write is
// conditional on the version, and used tokens only increase, so an old budget never makes an
// instance spend more. At a start, after a restore of the store, and for what an ended process
// held, a poll has to show what was there when it began. The caller holds the lock.
func (a *Accountant) mayReadStale(ended []string) bool {
	return a.polls >= firstFullPolls && len(ended) == 0 && !a.ledgersWanted && !a.storeLost && a.state.Settled() && a.state.KnowsElders()
}

// readBudgets reads all budgets of an era from the store, or copies that may be stale.
func (a *Accountant) readBudgets(ctx context.Context, era int64, stale bool) error {
	list := a.store.List
	if stale {
		list = a.store.ListStale
	}
	items, at, err := list(ctx, KindBudgets)
	if err != nil {
		return fmt.Errorf("read budgets: %w", err)
	}
	if at.Era != era {
		return fmt.Errorf("read budgets of era %d: %w", era, storer.ErrRestored)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	for _, item := range items {
		if account, of := splitKey(item.Key); of == a.state.Era() {
			a.observe(account, item)
		}
	}
	return nil
}

// ledgerList holds the ledgers that were read from the store.
type ledgerList struct {
	era        int64
	current    map[string]granter.Ledger // of this era, by instance
	former     []string                  // instances that have ledgers of former eras only
	ownVersion uint64                    // of the own ledger, 0: none in this era
}

// readOwnLedger reads the ledger that the former process of this instance has written in this
// era. It returns false if there is none that can be used; what that means depends on the
// other ledgers. A list of all ledgers would grow with the number of instances.
func (a *Accountant) readOwnLedger(ctx context.Context) (list ledgerList, known bool, err error) {
	for range 2 { // the first response tells the era
		era := a.store.Era()
		item, err := a.store.Get(ctx, KindLedgers, eraKey(a.name, era))
		if err != nil && !errors.Is(err, storer.ErrAbsent) {
			return ledgerList{}, false, fmt.Errorf("read own ledger: %w", err)
		}
		if a.store.Era() != era {
			continue
		}
		l, decodeErr := decode[granter.Ledger](item)
		if err != nil || decodeErr != nil { // the list logs what is invalid
			return ledgerList{}, false, nil
		}
		return ledgerList{era: era, current: map[string]granter.Ledger{a.name: l}, ownVersion: item.Version}, true, nil
	}
	return ledgerList{}, false, nil
}

// readLedgers reads the ledgers of all instances from the store.
func (a *Accountant) readLedgers(ctx context.Context) (ledgerList, error) {
	items, at, err := a.store.List(ctx, KindLedgers)
	if err != nil {
		return ledgerList{}, fmt.Errorf("read ledgers: %w", err)
	}
	list := ledgerList{era: at.Era, current: make(map[string]granter.Ledger)}
	former := make(map[string]bool)
	for _, item := range items {
		name, era := splitKey(item.Key)
		if era != list.era {
			former[name] = true
			continue
		}
		if name == a.name {
			list.ownVersion = item.Version
		}
		l, err := decode[granter.Ledger](item)
		if err != nil {
			// The instance exists, but how much it has spent is not known.
			a.log.Error().Err(err).Msg("stored ledger is invalid; ignoring it")
			former[name] = true
			continue
		}
		list.current[name] = l
	}
	for name := range former {
		if _, ok := list.current[name]; !ok {
			list.former = append(list.former, name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	return list, nil
}

// ledgerLoop writes the ledger whenever it is due.
func (a *Accountant) ledgerLoop(ctx context.Context) error {
	tick := time.NewTicker(granter.LedgerInterval / 4)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-a.ledgerSignal:
		case <-tick.C:
		}
		a.mu.Lock()
		due := a.state.LedgerDue(a.clock())
		a.mu.Unlock()
		if !due {
			continue
		}
		retry, err := a.writeLedger(ctx)
		switch {
		case errors.Is(err, ErrReplaced):
			return err
		case err != nil:
			waiter.Sleep(ctx, retryDelay)
		case retry:
			sendSignal(a.ledgerSignal)
		default:
			waiter.Sleep(ctx, minLedgerInterval)
		}
	}
	return nil
}

// writeLedger writes the ledger once. It reports true if the write conflicted with
// an earlier write of this process and has to be retried.
func (a *Accountant) writeLedger(ctx context.Context) (retry bool, err error) {
	a.mu.Lock()
	began := a.clock()
	l := a.state.PlanLedger(began)
	a.state.LedgerSent(l)
	version, era := a.ledgerVersion, a.state.Era()
	a.mu.Unlock()
	item, err := putObject(ctx, a.store, KindLedgers, eraKey(a.name, era), l, version)

	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordContact(began, err)
	defer a.notifyWaiters()
	if a.syncEra(); a.state.Era() != era {
		return true, nil // another ledger is needed
	}
	switch {
	case err == nil:
		first := !a.state.Registered()
		a.state.LedgerWritten(l)
		a.ledgerVersion = item.Version
		if first {
			sendSignal(a.pollSignal) // who was there before is greeted
		}
	case errors.Is(err, storer.ErrConflict):
		a.state.LedgerNotWritten(l)
		return true, a.adoptLedger(item)
	case errors.Is(err, storer.ErrUnavailable):
		a.state.LedgerNotWritten(l)
	}
	return false, err
}

// adoptLedger records an earlier write of this process whose response was lost.
func (a *Accountant) adoptLedger(item storer.Item) error {
	current, err := decode[granter.Ledger](item)
	if err != nil {
		return err
	}
	if !a.state.Owns(current) {
		return fmt.Errorf("ledger version %d of incarnation %s: %w", item.Version, current.Incarnation, ErrReplaced)
	}
	a.state.LedgerWritten(current)
	a.ledgerVersion = item.Version
	return nil
}

// budgetsLoop writes the budgets that are due, each in its own goroutine.
func (a *Accountant) budgetsLoop(ctx context.Context) {
	tick := time.NewTicker(staleCheckInterval)
	defer tick.Stop()
	for {
		stale := false
		select {
		case <-ctx.Done():
			return
		case <-a.budgetsSignal:
		case <-tick.C:
			stale = true
		}
		a.mu.Lock()
		if a.configured && a.ready {
			now := a.clock()
			for _, account := range a.state.BudgetsDue(now, stale) {
				if a.mayWriteBudget(now, account) {
					a.budgetWrites[account] = budgetWrite{running: true}
					go a.writeDueBudget(ctx, account)
				}
			}
		}
		a.mu.Unlock()
	}
}

// mayWriteBudget reports whether a budget may be written again. Requests that wait for
// tokens shorten the pause. The caller holds the lock.
func (a *Accountant) mayWriteBudget(now time.Duration, account string) bool {
	w, written := a.budgetWrites[account]
	if !written {
		return true
	}
	pause := minBudgetInterval
	if w.failed {
		pause = retryDelay
	} else if a.state.WaitsForGrant(account) {
		pause = urgentBudgetInterval
	}
	return !w.running && now-w.ended >= pause
}

// writeDueBudget writes one budget, then signals other checks after the pauses.
func (a *Accountant) writeDueBudget(ctx context.Context, account string) {
	err := a.writeBudget(ctx, account)
	a.mu.Lock()
	a.budgetWrites[account] = budgetWrite{ended: a.clock(), failed: err != nil}
	a.notifyWaiters()
	a.mu.Unlock()
	pauses := []time.Duration{urgentBudgetInterval, minBudgetInterval}
	if err != nil {
		pauses = []time.Duration{retryDelay}
	}
	for _, pause := range pauses {
		time.AfterFunc(pause, func() { sendSignal(a.budgetsSignal) })
	}
}

// writeBudget writes a budget and retries after conflicts.
func (a *Accountant) writeBudget(ctx context.Context, account string) error {
	for {
		a.mu.Lock()
		if a.syncEra(); !a.state.CanWriteBudget(account) {
			a.mu.Unlock()
			return nil
		}
		began, era := a.clock(), a.state.Era()
		b, version := a.state.PlanBudget(began, account)
		a.state.BudgetSent(account, b)
		a.mu.Unlock()
		item, err := putObject(ctx, a.store, KindBudgets, eraKey(account, era), b, version)

		a.mu.Lock()
		a.recordContact(began, err)
		if a.syncEra(); a.state.Era() != era {
			a.mu.Unlock()
			return err
		}
		switch {
		case err == nil:
			a.state.ObserveBudget(began, account, b, item.Version)
			sendSignal(a.notesSignal)
		case errors.Is(err, storer.ErrConflict):
			a.state.BudgetNotWritten(account)
			valid := a.observe(account, item)
			a.mu.Unlock()
			if !valid {
				return err
			}
			continue
		case errors.Is(err, storer.ErrUnavailable):
			a.state.BudgetNotWritten(account)
		}
		a.mu.Unlock()
		return err
	}
}

// observe updates a budget from a stored object. It reports false if the object is
// invalid. The caller holds the lock.
func (a *Accountant) observe(account string, item storer.Item) bool {
	b, err := decode[granter.Budget](item)
	if err != nil {
		a.log.Error().Err(err).Msg("stored budget is invalid; ignoring it")
		return false
	}
	a.state.ObserveBudget(a.clock(), account, b, item.Version)
	return true
}

// pollLoop reads the budgets at random intervals and returns surplus borrowed tokens.
func (a *Accountant) pollLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
		case <-a.pollSignal:
		case <-a.store.EraChanged():
		case <-time.After(a.pollPause()):
		}
		if ctx.Err() != nil {
			return
		}
		began := a.clock()
		err := a.poll(ctx)
		a.mu.Lock()
		a.recordContact(began, err)
		a.notifyWaiters()
		a.mu.Unlock()
		sendSignal(a.budgetsSignal)
		a.returnSurplus(ctx)
		a.reportUnproven()
	}
}

// reportUnproven updates the metric of tokens of which it is not known whether they are spent.
func (a *Accountant) reportUnproven() {
	a.mu.Lock()
	now := a.state.UnprovenTokens()
	a.mu.Unlock()
	for u := range a.unproven {
		if _, still := now[u]; !still {
			now[u] = 0 // once, so that the gauge does not keep its last value
		}
	}
	for u, tokens := range now {
		a.scope.Tagged(map[string]string{"holder": u.Holder, "cause": string(u.Cause)}).Gauge(reporter.UnprovenTokens).Update(float64(tokens))
		if tokens == 0 {
			delete(now, u)
		}
	}
	a.unproven = now
}

// pollPause returns the time until the next poll.
func (a *Accountant) pollPause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.storeLost:
		return lostPollInterval/2 + rand.N(lostPollInterval)
	case !a.state.Introduced(a.clock()) && len(a.greetingsDue()) > 0:
		return greetingPollInterval
	case !a.state.Settled(), !a.state.KnowsElders():
		return composePollInterval
	}
	return pollInterval/2 + rand.N(pollInterval)
}

// returnSurplus returns borrowed tokens that are not needed to the homes of their
// accounts.
func (a *Accountant) returnSurplus(ctx context.Context) {
	type surplus struct {
		peer    granter.Lender
		account string
		tokens  int64
	}
	var surpluses []surplus
	a.mu.Lock()
	now := a.clock()
	for _, account := range a.state.BorrowingAccounts() {
		lenders := a.state.Lenders(account)
		if len(lenders) == 0 || now < a.peerBackoffUntil[lenders[0].Name] {
			continue
		}
		if n := a.state.TakeSurplus(now, account); n > 0 {
			surpluses = append(surpluses, surplus{lenders[0], account, n})
		}
	}
	a.mu.Unlock()
	for _, s := range surpluses {
		// If the call fails, the tokens may still have been received, so they are not
		// added back.
		if err := a.peers.Return(ctx, s.peer, s.account, s.tokens); err != nil {
			a.log.Warn().Str("peer", s.peer.Name).Str("account", s.account).Int64("tokens", s.tokens).Err(err).Msg("tokens not given back")
		}
	}
}

// putObject writes an object conditionally on its version.
func putObject[T checker.Checker](ctx context.Context, s Store, kind, name string, v T, version uint64) (storer.Item, error) {
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
