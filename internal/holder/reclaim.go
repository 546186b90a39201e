package holder

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/reclaimer"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

// confirmInterval bounds the platform calls for confirmations of gone sides.
const confirmInterval = 10 * time.Second

// reclaim carries out the release of reservations whose router died.
type reclaim struct {
	state     *reclaimer.Reclaimer
	addrs     map[string]string // of the sides that have not answered
	checked   time.Time         // last check for sides that are gone
	confirmed time.Time         // last read of the operator's confirmations
}

func newReclaim(cfg Config) *reclaim {
	return &reclaim{
		state: reclaimer.New(reclaimer.Config{Release: cfg.Release, Margin: cfg.Margin, Round: cfg.Round}),
		addrs: make(map[string]string),
	}
}

func (k *keeper) reclaimTick(now time.Time) {
	r := k.reclaim
	k.reclaimActions(now, r.state.Tick(now))
	if now.Sub(r.checked) < listingInterval {
		return
	}
	r.checked = now
	waiting := r.state.Waiting()
	maps.DeleteFunc(r.addrs, func(name, _ string) bool { return !slices.Contains(waiting, name) })
	k.reclaimActions(now, r.state.Listing(now, k.presentSides(waiting)))
	if !r.state.Unconfirmed(now) || now.Sub(r.confirmed) < confirmInterval {
		return
	}
	r.confirmed = now
	k.reclaimEffect(func(ctx context.Context) reclaimApply {
		names := k.h.departed(ctx, waiting)
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			for _, name := range names {
				r.Confirm(name)
			}
			return nil // the next check for gone sides uses the confirmation
		}
	})
}

// departed returns the sides that the operator confirmed to be gone, and those of
// the given sides that deregistered. A side deregisters after it has finished its
// work and delivered its charges, and the operator can't confirm it any more.
func (h *Holder) departed(ctx context.Context, sides []string) []string {
	names := h.confirmedGone(ctx)
	registered, _, err := h.registeredSides(ctx)
	if err != nil {
		h.log.Warn().Err(err).Msg("sides not listed")
		return names
	}
	for _, name := range sides {
		if _, ok := registered[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// presentSides returns those of the sides that the instance list still has.
func (k *keeper) presentSides(sides []string) []string {
	return slices.DeleteFunc(slices.Clone(sides), k.h.members.Gone)
}

type reclaimApply func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action

// reclaimEffect runs a call of the reclaimer outside the actor.
func (k *keeper) reclaimEffect(call func(ctx context.Context) reclaimApply) {
	k.h.effect(func(ctx context.Context) any { return reclaimResult{call(ctx)} })
}

// reclaimActions performs the actions of the reclaimer.
func (k *keeper) reclaimActions(now time.Time, actions []reclaimer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case reclaimer.Publish:
			k.forgetRevoked()
			k.publish(a)
		case reclaimer.List:
			k.listReclaimSides()
		case reclaimer.Revoke:
			k.revoke(a)
		case reclaimer.Release:
			k.h.log.Info().Int("shard", a.Reservation.Shard).Uint64("number", a.Reservation.Number).
				Int64("tokens", a.Reservation.Tokens).Msg("expired reservation released")
			k.h.scope.Tagged(map[string]string{"result": "expired"}).Counter(reporter.Reservations).Inc(1)
			k.carryOut(now, k.budgets.Release(now, a.Reservation))
		}
	}
}

// forgetRevoked lets a repeated call get a new reservation instead of one that
// the sides refuse.
func (k *keeper) forgetRevoked() {
	for id, r := range k.granted {
		if k.reclaim.state.Revoked(r.Number) {
			delete(k.owners, keyOf(r))
			delete(k.granted, id)
		}
	}
}

func reclaimFailed(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
	r.Failed()
	return nil
}

// publish writes the table of revoked reservations. Only this instance writes it,
// so that the version read is the one of its own last write.
func (k *keeper) publish(a reclaimer.Publish) {
	h := k.h
	k.reclaimEffect(func(ctx context.Context) reclaimApply {
		if err := h.writeTable(ctx, a.Table); err != nil {
			h.log.Warn().Err(err).Msg("revoked reservations not written, repeating")
			return reclaimFailed
		}
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action { return r.Published() }
	})
}

func (h *Holder) writeTable(ctx context.Context, t reclaimer.Table) error {
	body, err := checker.Encode(t)
	if err != nil {
		return fmt.Errorf("encode revoked reservations: %w", err)
	}
	key := reclaimer.TablePrefix + h.cfg.Instance
	item, err := h.platform.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrAbsent) {
		return fmt.Errorf("read revoked reservations: %w", err)
	}
	if _, err := h.platform.Put(ctx, key, body, item.Version); err != nil {
		return fmt.Errorf("write revoked reservations: %w", err)
	}
	return nil
}

func (k *keeper) listReclaimSides() {
	h := k.h
	k.reclaimEffect(func(ctx context.Context) reclaimApply {
		addrs, names, err := h.registeredSides(ctx)
		if err != nil {
			h.log.Warn().Err(err).Msg("sides not listed, repeating")
			return reclaimFailed
		}
		return func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			maps.Copy(k.reclaim.addrs, addrs)
			return r.Listed(now, names)
		}
	})
}

// revoke asks a side. A call without an answer is repeated by the reclaimer.
func (k *keeper) revoke(a reclaimer.Revoke) {
	h, addr := k.h, k.reclaim.addrs[a.Side]
	k.reclaimEffect(func(ctx context.Context) reclaimApply {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		m, err := connector.Call[*wirepb.Revoked](ctx, h.pool, addr, "revoke",
			&wirepb.Revoke{Instance: h.cfg.Instance, Below: a.Below, Numbers: a.Numbers})
		if err == nil && m.GetInstance() != a.Side {
			err = fmt.Errorf("%w: %s", errReplaced, m.GetInstance())
		}
		if err != nil {
			h.log.Warn().Str("side", a.Side).Err(err).Msg("side did not revoke reservations, asking again")
			return func(time.Time, *reclaimer.Reclaimer) []reclaimer.Action { return nil }
		}
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			return r.Answered(a.Side, a.Numbers, m.GetNumbers())
		}
	})
}
