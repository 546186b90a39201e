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

// errReplaced means that another process answers at the address of a side. It
// does not know what the former one ran.
var errReplaced = errors.New("side was replaced")

// takeoverKey identifies the recovery of one shard from one dead holder.
type takeoverKey struct {
	instance string
	shard    int
}

// takeover carries out the recovery of one shard from one dead holder.
type takeover struct {
	k        *keeper
	key      takeoverKey
	recovery *recoverer.Recovery
	addrs    map[string]string // of the listed sides
	started  time.Time
	listed   time.Time // last check for sides that are gone
}

// takeoverResult reports the result of a call to the recovery.
type takeoverResult struct {
	key   takeoverKey
	apply func(now time.Time, t *takeover) []recoverer.Action
}

func (k *keeper) takeOver(now time.Time, shard int, instance string) {
	key := takeoverKey{instance, shard}
	if k.takeovers[key] != nil {
		return
	}
	t := &takeover{k: k, key: key, started: now, listed: now, addrs: make(map[string]string)}
	t.recovery = recoverer.New(recoverer.Config{
		Instance: instance, Successor: k.h.cfg.Instance, Shards: []int{shard}, Slots: k.h.cfg.Slots, Release: k.h.cfg.Release,
	})
	k.takeovers[key] = t
	t.carryOut(now, t.recovery.Start())
}

func (k *keeper) takeoverResult(now time.Time, m takeoverResult) {
	if t := k.takeovers[m.key]; t != nil {
		t.carryOut(now, m.apply(now, t))
	}
}

// forgetTakeovers drops the recoveries of a shard that is handed over.
func (k *keeper) forgetTakeovers(shard int) {
	for key := range k.takeovers {
		if key.shard == shard {
			delete(k.takeovers, key)
		}
	}
}

// checkGrants looks for instances that have grants of a held shard without holding
// it: former holders that died while they handed it over.
func (k *keeper) checkGrants() {
	suspects := make(map[takeoverKey]bool)
	for _, shard := range k.budgets.Shards() {
		for _, b := range k.budgets.Object(shard).Budgets {
			for name, g := range b.Grants {
				key := takeoverKey{name, shard}
				if name != k.h.cfg.Instance && g.Region == k.h.cfg.Region && k.takeovers[key] == nil {
					suspects[key] = true
				}
			}
		}
	}
	for key := range suspects {
		k.h.effect(func(ctx context.Context) any {
			if _, ok := k.h.alive(ctx, key.instance); ok {
				return nil
			}
			return holderLost{key}
		})
	}
}

func (k *keeper) closed(now time.Time, a budgeter.Closed) {
	if t := k.takeovers[takeoverKey{a.Instance, a.Shard}]; t != nil {
		t.carryOut(now, t.recovery.Closed(a.Shard))
	}
}

func (t *takeover) tick(now time.Time) {
	t.carryOut(now, t.recovery.Tick(now))
	if now.Sub(t.listed) < listingInterval {
		return
	}
	t.listed = now
	if t.k.h.cfg.Release == recoverer.ReleaseOperator && len(t.recovery.Waiting()) > 0 {
		t.readConfirmations()
	}
	t.carryOut(now, t.recovery.Listing(now, t.present()))
}

// present returns the listed sides that the instance list still has.
func (t *takeover) present() []string {
	var names []string
	for name := range t.addrs {
		if !t.k.h.members.Gone(name) {
			names = append(names, name)
		}
	}
	return names
}

// readConfirmations looks for the operator's word that sides are gone.
func (t *takeover) readConfirmations() {
	h := t.k.h
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		names := h.confirmedGone(ctx)
		return func(now time.Time, t *takeover) []recoverer.Action {
			for _, name := range names {
				t.recovery.Confirm(name)
			}
			return t.recovery.Listing(now, t.present())
		}
	})
}

// confirmedGone returns the sides that the operator confirmed to be gone.
func (h *Holder) confirmedGone(ctx context.Context) []string {
	items, err := h.platform.List(ctx, recoverer.GonePrefix)
	if err != nil {
		h.log.Warn().Err(err).Msg("confirmations of gone sides not read")
		return nil
	}
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, strings.TrimPrefix(item.Key, recoverer.GonePrefix))
	}
	return names
}

// carryOut performs the actions of the recovery.
func (t *takeover) carryOut(now time.Time, actions []recoverer.Action) {
	k := t.k
	for _, a := range actions {
		switch a := a.(type) {
		case recoverer.List:
			t.list(a)
		case recoverer.Seal:
			t.seal(a)
		case recoverer.Replay:
			t.replay(now, a)
		case recoverer.Closure:
			t.writeClosure(a)
		case recoverer.Sides:
			t.listSides(a)
		case recoverer.Close:
			t.closeSide(a)
		case recoverer.Report:
			k.carryOut(now, k.budgets.Reported(now, a.Shard, a.Instance, a.Open, a.Charges))
		case recoverer.Release:
			k.carryOut(now, k.budgets.Release(now, a.Reservation))
		case recoverer.Complete:
			k.carryOut(now, k.budgets.Complete(a.Shard, a.Instance))
		case recoverer.Done:
			k.h.log.Info().Str("instance", a.Instance).Int("shard", t.key.shard).
				Dur("took", now.Sub(t.started)).Msg("shard recovered")
			k.h.scope.Tagged(map[string]string{"result": "released"}).Counter(reporter.Recoveries).Inc(1)
			k.h.scope.Histogram(reporter.RecoverySeconds, reporter.SecondsBuckets).RecordDuration(now.Sub(t.started))
			delete(k.takeovers, t.key)
		}
	}
}

// effect runs a call of the recovery outside the actor.
func (t *takeover) effect(call func(ctx context.Context) func(now time.Time, t *takeover) []recoverer.Action) {
	t.k.h.effect(func(ctx context.Context) any { return takeoverResult{t.key, call(ctx)} })
}

// failed reports a call that is to be repeated.
func (t *takeover) failed(a recoverer.Action, err error) func(time.Time, *takeover) []recoverer.Action {
	t.k.h.log.Warn().Str("instance", t.key.instance).Int("shard", t.key.shard).Err(err).Msg("recovery step failed, repeating")
	return func(_ time.Time, t *takeover) []recoverer.Action {
		t.recovery.Failed(a)
		return nil
	}
}

func (t *takeover) list(a recoverer.List) {
	h := t.k.h
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		slots, err := h.listSlots(ctx, a.Prefix)
		if err != nil {
			return t.failed(a, err)
		}
		return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.Listed(slots) }
	})
}

func (h *Holder) listSlots(ctx context.Context, prefix string) ([]journaler.Slot, error) {
	items, err := h.platform.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list journal %s: %w", prefix, err)
	}
	slots := make([]journaler.Slot, 0, len(items))
	for _, item := range items {
		slot, err := slotOf(item)
		if err != nil {
			return nil, err
		}
		slots = append(slots, slot)
	}
	return slots, nil
}

func (t *takeover) seal(a recoverer.Seal) {
	h := t.k.h
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		_, err := h.platform.Put(ctx, a.Write.Key, a.Write.Body, a.Write.Version)
		switch {
		case err == nil:
			return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.Sealed() }
		case errors.Is(err, storer.ErrUnavailable):
			return t.failed(a, err)
		default:
			return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.Unsealed() }
		}
	})
}

// replay hands the sealed journal to the budgets and the claims.
func (t *takeover) replay(now time.Time, a recoverer.Replay) {
	actions, err := t.k.budgets.Replay(a.Shard, a.Log)
	if err != nil {
		t.k.h.log.Error().Err(err).Msg("journal not replayed")
		return
	}
	t.k.carryOut(now, actions)
}

func (t *takeover) writeClosure(a recoverer.Closure) {
	h := t.k.h
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		_, err := h.platform.Put(ctx, a.Key, []byte(`{}`), 0)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return t.failed(a, err)
		}
		return func(_ time.Time, t *takeover) []recoverer.Action { return t.recovery.ClosureWritten() }
	})
}

// listSides reads the registrations from the platform, since a side that
// registered before the closure must not be missed.
func (t *takeover) listSides(a recoverer.Sides) {
	h := t.k.h
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		addrs, names, err := h.registeredSides(ctx)
		if err != nil {
			return t.failed(a, err)
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
	return sidesOf(items)
}

func sidesOf(items []storer.Item) (map[string]string, []string, error) {
	addrs := make(map[string]string, len(items))
	names := make([]string, 0, len(items))
	for _, item := range items {
		m, err := watcher.ParseMember(item.Body)
		if err != nil {
			return nil, nil, fmt.Errorf("registration %s: %w", item.Key, err)
		}
		name := strings.TrimPrefix(item.Key, watcher.Key(watcher.Side, ""))
		addrs[name] = m.Addr
		names = append(names, name)
	}
	return addrs, names, nil
}

func (t *takeover) closeSide(a recoverer.Close) {
	h, addr := t.k.h, t.addrs[a.Side]
	t.effect(func(ctx context.Context) func(time.Time, *takeover) []recoverer.Action {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		m, err := connector.Call[*wirepb.Closed](ctx, h.pool, addr, "close", &wirepb.Close{Instance: a.Instance})
		if err == nil && m.GetInstance() != a.Side {
			err = fmt.Errorf("%w: %s", errReplaced, m.GetInstance())
		}
		if err != nil {
			// The recovery asks again by itself.
			h.log.Warn().Str("side", a.Side).Err(err).Msg("side did not close the holder, asking again")
			return func(time.Time, *takeover) []recoverer.Action { return nil }
		}
		return func(_ time.Time, t *takeover) []recoverer.Action {
			return t.recovery.Acknowledged(a.Side, openOf(m), chargesOf(m))
		}
	})
}

func openOf(m *wirepb.Closed) []budgeter.Reservation {
	list := make([]budgeter.Reservation, 0, len(m.GetOpen()))
	for _, o := range m.GetOpen() {
		list = append(list, reservationOf(o.GetReservation()))
	}
	return list
}

func chargesOf(m *wirepb.Closed) []budgeter.Charge {
	list := make([]budgeter.Charge, 0, len(m.GetCharges()))
	for _, c := range m.GetCharges() {
		list = append(list, budgeter.Charge{Reservation: reservationOf(c.GetReservation()), Key: c.GetKey(), Tokens: c.GetTokens()})
	}
	return list
}
