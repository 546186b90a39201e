package accountant

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"daisylane/internal/granter"
	"daisylane/internal/waiter"
)

// eraSeparator separates the name of an object from the era that it belongs to.
const eraSeparator = "@"

// eraKey returns the name of an object of an era. Without eras it is the plain name.
func eraKey(name string, era int64) string {
	if era == 0 {
		return name
	}
	return name + eraSeparator + strconv.FormatInt(era, 10)
}

// splitKey returns the name and the era of an object.
func splitKey(key string) (name string, era int64) {
	i := strings.LastIndex(key, eraSeparator)
	if i < 0 {
		return key, 0
	}
	era, err := strconv.ParseInt(key[i+len(eraSeparator):], 10, 64)
	if err != nil {
		return key, 0
	}
	return key[:i], era
}

// syncEra makes the state follow the era of the store. The caller holds the lock.
func (a *Accountant) syncEra() {
	if !a.state.SetEra(a.clock(), a.store.Era()) || !a.ready {
		return
	}
	a.ledgerVersion = 0
	a.log.Warn().Int64("era", a.state.Era()).Msg("store was restored from an older copy; composing the budgets again")
	sendSignal(a.ledgerSignal)
	sendSignal(a.pollSignal)
}

// RecordNote remembers the grant of a peer. It reports false if it is too late for that.
func (a *Accountant) RecordNote(n granter.Note) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	return a.state.RecordNote(a.clock(), n)
}

// notesLoop has peers confirm grants, each account in its own goroutine.
func (a *Accountant) notesLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.notesSignal:
		}
		a.mu.Lock()
		for _, n := range a.state.NotesDue() {
			if !a.confirming[n.Account] {
				a.confirming[n.Account] = true
				go a.confirmDue(ctx, n)
			}
		}
		a.mu.Unlock()
	}
}

// confirmDue has peers confirm a grant and then checks for more of the account.
func (a *Accountant) confirmDue(ctx context.Context, n granter.Note) {
	confirmed := a.confirm(ctx, n)
	if !confirmed {
		waiter.Sleep(ctx, retryDelay)
	}
	a.mu.Lock()
	delete(a.confirming, n.Account)
	if confirmed {
		a.state.Confirm(n)
		a.notifyWaiters()
	} else if now := a.clock(); now-a.ledgersWantedAt >= unconfirmedPollPause {
		// Witnesses that have left say so in their ledgers.
		a.ledgersWanted, a.ledgersWantedAt = true, now
		sendSignal(a.pollSignal)
	}
	a.mu.Unlock()
	sendSignal(a.notesSignal)
}

// confirm asks peers to remember a grant. It reports whether enough of them do.
func (a *Accountant) confirm(ctx context.Context, n granter.Note) bool {
	a.mu.Lock()
	now := a.clock()
	needed := a.state.WitnessesNeeded(now)
	peers := a.state.Witnesses(n.Account)
	slices.SortStableFunc(peers, func(p, q granter.Lender) int {
		return cmp.Compare(max(now, a.peerBackoffUntil[p.Name]), max(now, a.peerBackoffUntil[q.Name]))
	})
	peers = peers[:min(len(peers), needed+extraWitnesses)]
	calls := a.callsTo(peers)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	results := make(chan error, len(peers))
	for _, call := range calls {
		go func() {
			err := a.peers.Remember(ctx, call.peer, n)
			if err != nil && ctx.Err() == nil {
				a.recordPeerFailure(call, err, "peer does not confirm a grant")
			}
			results <- err
		}()
	}
	confirmed := 0
	for range peers {
		if confirmed >= needed {
			break
		}
		if err := <-results; err == nil {
			confirmed++
		}
	}
	return confirmed >= needed
}

// RecordGreeting counts a peer that this instance may not have read of yet.
func (a *Accountant) RecordGreeting(m granter.Greeting) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	return a.state.RecordGreeting(m)
}

// greetingsDue returns the peers to be greeted now. The caller holds the lock.
func (a *Accountant) greetingsDue() []granter.Lender {
	now := a.clock()
	return slices.DeleteFunc(a.state.GreetingsDue(), func(p granter.Lender) bool { return now < a.greetBackoff[p.Name] })
}

// greet tells peers in an era about this instance and returns the names of those that
// count it.
func (a *Accountant) greet(ctx context.Context, era int64) []string {
	a.mu.Lock()
	a.syncEra()
	m := a.state.Greeting()
	due := a.callsTo(a.greetingsDue())
	a.mu.Unlock()
	if m.Era != era {
		return nil
	}
	results := make(chan string, len(due))
	var calls errgroup.Group
	calls.SetLimit(maxGreetings)
	for _, call := range due {
		calls.Go(func() error {
			if err := a.peers.Greet(ctx, call.peer, m); err != nil {
				a.recordGreetingFailure(call, err)
				return nil // it is greeted again before the next poll
			}
			results <- call.peer.Name
			return nil
		})
	}
	_ = calls.Wait() // no call returns an error
	close(results)
	var met []string
	for name := range results {
		met = append(met, name)
	}
	return met
}

// handOver tells all peers what this process knows of grants, so that nothing is lost with it
// if the store does not take its last ledger or loses it.
func (a *Accountant) handOver(ctx context.Context) {
	a.mu.Lock()
	a.syncEra()
	h, ok := a.state.Handover()
	peers := a.state.Witnesses("")
	a.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var accepted atomic.Int64
	var calls errgroup.Group
	calls.SetLimit(maxGreetings)
	for _, p := range peers {
		calls.Go(func() error {
			if err := a.peers.HandOver(ctx, p, h); err != nil {
				a.log.Warn().Str("peer", p.Name).Err(err).Msg("peer does not take over what this process knows of grants")
				return nil // the others may
			}
			accepted.Add(1)
			return nil
		})
	}
	_ = calls.Wait() // no call returns an error
	a.log.Info().Int("peers", len(peers)).Int64("accepted", accepted.Load()).Int("grants", len(h.Notes)).Int64("era", h.Era).Msg("grants handed over")
}

// RecordHandover takes over what a peer knew at its end. It reports false if it is too late
// for that.
func (a *Accountant) RecordHandover(h granter.Handover) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncEra()
	accepted := a.state.RecordHandover(a.clock(), h)
	a.log.Info().Str("peer", h.Instance).Int("grants", len(h.Notes)).Bool("accepted", accepted).Msg("peer ends in order")
	return accepted
}
