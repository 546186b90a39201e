package holder

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/recoverer"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	closeTimeout    = 2 * time.Second
	listingInterval = 5 * time.Second
)

// errSideReplaced means that another process answers at the address of a side. It has
// no record of the requests that the side ran.
var errSideReplaced = errors.New("address of the side belongs to another instance")

// takeoverKey identifies the recovery of one shard from one dead holder.
type takeoverKey struct {
	instance string
	shard    int
}

// takeover runs the recovery of one shard from one dead holder.
type takeover struct {
	ha          *holderActor
	key         takeoverKey
	recovery    *recoverer.Recovery
	addrs       map[string]string // by name of a listed side
	started     time.Time
	lastListing time.Time // last check for sides that are gone
}

// takeoverResult is the result of a call for the recovery. The actor applies it.
type takeoverResult struct {
	key   takeoverKey
	apply func(now time.Time, t *takeover) []recoverer.Action
}

func (ha *holderActor) startTakeover(now time.Time, shard int, instance string) {
	key := takeoverKey{instance, shard}
	if ha.takeovers[key] != nil {
		return
	}
	t := &takeover{ha: ha, key: key, started: now, lastListing: now, addrs: make(map[string]string)}
	t.recovery = recoverer.New(recoverer.Config{
		Instance: instance, Successor: ha.h.cfg.Instance, Shards: []int{shard}, JournalSlots: ha.h.cfg.JournalSlots, ReleasePolicy: ha.h.cfg.ReleasePolicy,
	})
	ha.takeovers[key] = t
	t.performActions(now, t.recovery.Start())
}

func (ha *holderActor) takeoverResult(now time.Time, m takeoverResult) {
	if t := ha.takeovers[m.key]; t != nil {
		t.performActions(now, m.apply(now, t))
	}
}

// dropTakeovers discards the recoveries of a shard that was handed over.
func (ha *holderActor) dropTakeovers(shard int) {
	for key := range ha.takeovers {
		if key.shard == shard {
			delete(ha.takeovers, key)
		}
	}
}

// checkOrphanedGrants looks for dead instances that have grants of a held shard but do
// not hold it, which are former holders that died during the hand-over.
func (ha *holderActor) checkOrphanedGrants() {
	suspects := make(map[takeoverKey]bool)
	for _, shard := range ha.budgets.Shards() {
		for _, b := range ha.budgets.Object(shard).Budgets {
			for name, g := range b.Grants {
				key := takeoverKey{name, shard}
				if name != ha.h.cfg.Instance && g.Region == ha.h.cfg.Region && ha.takeovers[key] == nil {
					suspects[key] = true
				}
			}
		}
	}
	for key := range suspects {
		ha.h.runAsync(func(ctx context.Context) any {
			if _, ok := ha.h.probe(ctx, key.instance); ok {
				return nil
			}
			return formerHolderDead{key}
		})
	}
}

func (ha *holderActor) formerHolderClosed(now time.Time, a budgeter.FormerClosed) {
	if t := ha.takeovers[takeoverKey{a.Instance, a.Shard}]; t != nil {
		t.performActions(now, t.recovery.ShardReleased(a.Shard))
	}
}

func (t *takeover) tick(now time.Time) {
	t.performActions(now, t.recovery.Tick(now))
	if now.Sub(t.lastListing) < listingInterval {
		return
	}
	t.lastListing = now
	if t.ha.h.cfg.ReleasePolicy == recoverer.ReleaseOperator && len(t.recovery.PendingSides()) > 0 {
		t.readConfirmations()
	}
	t.performActions(now, t.recovery.InstancesListed(now, t.stillListed()))
}

// stillListed returns the registered sides that are still in the instance list.
func (t *takeover) stillListed() []string {
	var names []string
	for name := range t.addrs {
		if !t.ha.h.members.IsGone(name) {
			names = append(names, name)
		}
	}
	return names
}

// readConfirmations reads which sides the operator confirmed to be gone and passes
// them to the recovery.
func (t *takeover) readConfirmations() {
	h := t.ha.h
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		names := h.confirmedGone(ctx)
		return func(now time.Time, t *takeover) []recoverer.Action {
			for _, name := range names {
				t.recovery.GoneConfirmed(name)
			}
			return t.recovery.InstancesListed(now, t.stillListed())
		}
	})
}

// confirmedGone returns the sides that the operator confirmed to be gone.
func (h *Holder) confirmedGone(ctx context.Context) []string {
	items, err := h.platform.List(ctx, recoverer.GonePrefix)
	if err != nil {
		h.log.Warn().Err(err).Msg("reading confirmations of gone sides failed")
		return nil
	}
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, strings.TrimPrefix(item.Key, recoverer.GonePrefix))
	}
	return names
}

// performActions performs the actions that the recovery requests.
func (t *takeover) performActions(now time.Time, actions []recoverer.Action) {
	ha := t.ha
	for _, a := range actions {
		switch a := a.(type) {
		case recoverer.ListJournal:
			t.listJournal(a)
		case recoverer.WriteSeal:
			t.writeSeal(a)
		case recoverer.ReplayJournal:
			t.replayJournal(now, a)
		case recoverer.WriteClosure:
			t.writeClosure(a)
		case recoverer.ListSides:
			t.listSides(a)
		case recoverer.CloseSide:
			t.closeSide(a)
		case recoverer.ReportSide:
			ha.performBudgetActions(now, ha.budgets.SideReported(now, a.Shard, a.Instance, a.Open, a.Charges))
		case recoverer.ReleaseReservation:
			ha.performBudgetActions(now, ha.budgets.Release(now, a.Reservation))
		case recoverer.CompleteShard:
			ha.performBudgetActions(now, ha.budgets.AllSidesReported(a.Shard, a.Instance))
		case recoverer.Done:
			ha.h.log.Info().Str("instance", a.Instance).Int("shard", t.key.shard).
				Dur("took", now.Sub(t.started)).Msg("shard recovered")
			ha.h.scope.Tagged(map[string]string{"result": "released"}).Counter(reporter.Recoveries).Inc(1)
			ha.h.scope.Histogram(reporter.RecoverySeconds, reporter.SecondsBuckets).RecordDuration(now.Sub(t.started))
			delete(ha.takeovers, t.key)
		}
	}
}

// runAsync runs a call for the recovery outside the actor and applies its result in
// the actor.
func (t *takeover) runAsync(call func(ctx context.Context) func(now time.Time, t *takeover) []recoverer.Action) {
	t.ha.h.runAsync(func(ctx context.Context) any { return takeoverResult{t.key, call(ctx)} })
}

// retryLater logs a failed call and makes the recovery retry it.
func (t *takeover) retryLater(a recoverer.Action, err error) func(time.Time, *takeover) []recoverer.Action {
	t.ha.h.log.Warn().Str("instance", t.key.instance).Int("shard", t.key.shard).Err(err).Msg("recovery step failed; retrying")
	return func(_ time.Time, t *takeover) []recoverer.Action {
		t.recovery.ActionFailed(a)
		return nil
	}
}

func (t *takeover) listJournal(a recoverer.ListJournal) {
	h := t.ha.h
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		slots, err := h.listSlots(ctx, a.Prefix)
		if err != nil {
			return t.retryLater(a, err)
		}
		return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.JournalListed(slots) }
	})
}

func (h *Holder) listSlots(ctx context.Context, prefix string) ([]journaler.Slot, error) {
	items, err := h.platform.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list journal %s: %w", prefix, err)
	}
	slots := make([]journaler.Slot, 0, len(items))
	for _, item := range items {
		slot, err := decodeSlot(item)
		if err != nil {
			return nil, err
		}
		slots = append(slots, slot)
	}
	return slots, nil
}

func (t *takeover) writeSeal(a recoverer.WriteSeal) {
	h := t.ha.h
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		_, err := h.platform.Put(ctx, a.Write.Key, a.Write.Body, a.Write.Version)
		switch {
		case err == nil:
			return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.Sealed() }
		case errors.Is(err, storer.ErrUnavailable):
			return t.retryLater(a, err)
		default:
			return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.SealFailed() }
		}
	})
}

// replayJournal passes the sealed journal to the budgeter.
func (t *takeover) replayJournal(now time.Time, a recoverer.ReplayJournal) {
	actions, err := t.ha.budgets.ReplayFormer(a.Shard, a.Log)
	if err != nil {
		// An invalid entry stays invalid, so there is no retry. The former holder keeps its
		// grants, and what it may have charged is not spent again.
		t.ha.h.log.Error().Err(err).Msg("replaying journal failed")
		return
	}
	t.ha.performBudgetActions(now, actions)
}

func (t *takeover) writeClosure(a recoverer.WriteClosure) {
	h := t.ha.h
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		_, err := h.platform.Put(ctx, a.Key, []byte(`{}`), 0)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return t.retryLater(a, err)
		}
		return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.ClosureWritten() }
	})
}

// listSides reads the registrations from the platform instead of the membership view,
// which may lack a side that registered shortly before the closure was written.
func (t *takeover) listSides(a recoverer.ListSides) {
	h := t.ha.h
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		addrs, names, err := h.registeredSides(ctx)
		if err != nil {
			return t.retryLater(a, err)
		}
		return func(now time.Time, t *takeover) []recoverer.Action {
			t.addrs = addrs
			return t.recovery.SidesListed(now, names)
		}
	})
}

func (h *Holder) registeredSides(ctx context.Context) (map[string]string, []string, error) {
	items, err := h.platform.List(ctx, watcher.Key(watcher.Side, ""))
	if err != nil {
		return nil, nil, fmt.Errorf("list sides: %w", err)
	}
	return decodeSides(items)
}

func decodeSides(items []storer.Item) (map[string]string, []string, error) {
	addrs := make(map[string]string, len(items))
	names := make([]string, 0, len(items))
	for _, item := range items {
		m, err := watcher.ParseMember(item.Body)
		if err != nil {
			return nil, nil, fmt.Errorf("decode registration %s: %w", item.Key, err)
		}
		name := strings.TrimPrefix(item.Key, watcher.Key(watcher.Side, ""))
		addrs[name] = m.Addr
		names = append(names, name)
	}
	return addrs, names, nil
}

func (t *takeover) closeSide(a recoverer.CloseSide) {
	h, addr := t.ha.h, t.addrs[a.Side]
	t.runAsync(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		m, err := connector.Call[*wirepb.Closed](ctx, h.pool, addr, "close", &wirepb.Close{Instance: a.Instance})
		if err == nil && m.GetInstance() != a.Side {
			err = fmt.Errorf("%w: %s", errSideReplaced, m.GetInstance())
		}
		if err != nil {
			// The recovery retries the call at a later tick.
			h.log.Warn().Str("side", a.Side).Err(err).Msg("side did not confirm closing the former holder; retrying")
			return func(time.Time, *takeover) []recoverer.Action { return nil }
		}
		return func(_ time.Time, t *takeover) []recoverer.Action {
			return t.recovery.SideClosed(a.Side, decodeOpen(m), decodeCharges(m))
		}
	})
}

func decodeOpen(m *wirepb.Closed) []budgeter.Reservation {
	list := make([]budgeter.Reservation, 0, len(m.GetOpen()))
	for _, o := range m.GetOpen() {
		list = append(list, decodeReservation(o.GetReservation()))
	}
	return list
}

func decodeCharges(m *wirepb.Closed) []budgeter.Charge {
	list := make([]budgeter.Charge, 0, len(m.GetCharges()))
	for _, c := range m.GetCharges() {
		list = append(list, budgeter.Charge{Reservation: decodeReservation(c.GetReservation()), Key: c.GetKey(), Tokens: c.GetTokens()})
	}
	return list
}
