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

// confirmInterval limits how often confirmations of gone sides are read from the
// platform.
const confirmInterval = 10 * time.Second

// reclaimRunner releases reservations whose router died, as decided by the reclaimer.
type reclaimRunner struct {
	state                *reclaimer.Reclaimer
	addrs                map[string]string // by name of a side that has not answered
	lastListing          time.Time         // last check for sides that are gone
	lastConfirmationRead time.Time         // last read of the operator's confirmations
}

func newReclaimRunner(cfg Config) *reclaimRunner {
	return &reclaimRunner{
		state: reclaimer.New(reclaimer.Config{ReleasePolicy: cfg.ReleasePolicy, ExpiryMargin: cfg.ExpiryMargin, RoundInterval: cfg.RevocationInterval}),
		addrs: make(map[string]string),
	}
}

func (ha *holderActor) reclaimTick(now time.Time) {
	r := ha.reclaim
	ha.performReclaimActions(now, r.state.Tick(now))
	if now.Sub(r.lastListing) < listingInterval {
		return
	}
	r.lastListing = now
	waiting := r.state.PendingSides()
	maps.DeleteFunc(r.addrs, func(name, _ string) bool { return !slices.Contains(waiting, name) })
	ha.performReclaimActions(now, r.state.InstancesListed(now, ha.presentSides(waiting)))
	if !r.state.NeedsConfirmation(now) || now.Sub(r.lastConfirmationRead) < confirmInterval {
		return
	}
	r.lastConfirmationRead = now
	ha.runReclaimAsync(func(ctx context.Context) reclaimUpdate {
		names := ha.h.goneOrDeregistered(ctx, waiting)
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			for _, name := range names {
				r.ConfirmGone(name)
			}
			return nil // the next check for gone sides uses the confirmations
		}
	})
}

// goneOrDeregistered returns the sides that the operator confirmed to be gone, and
// those of the given sides that are not registered. A side deregisters after it has
// finished its requests and delivered its charges; from then on the operator can no
// longer confirm it.
func (h *Holder) goneOrDeregistered(ctx context.Context, sides []string) []string {
	names := h.confirmedGone(ctx)
	registered, _, err := h.registeredSides(ctx)
	if err != nil {
		h.log.Warn().Err(err).Msg("listing sides failed")
		return names
	}
	for _, name := range sides {
		if _, ok := registered[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// presentSides returns the given sides that are still in the instance list.
func (ha *holderActor) presentSides(sides []string) []string {
	return slices.DeleteFunc(slices.Clone(sides), ha.h.members.IsGone)
}

type reclaimUpdate func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action

// runReclaimAsync runs a call for the reclaimer outside the actor and applies its
// result in the actor.
func (ha *holderActor) runReclaimAsync(call func(ctx context.Context) reclaimUpdate) {
	ha.h.runAsync(func(ctx context.Context) any { return reclaimResult{call(ctx)} })
}

// performReclaimActions performs the actions that the reclaimer requests.
func (ha *holderActor) performReclaimActions(now time.Time, actions []reclaimer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case reclaimer.Publish:
			ha.dropRevoked()
			ha.publishRevocations(a)
		case reclaimer.ListSides:
			ha.listReclaimSides()
		case reclaimer.Revoke:
			ha.revoke(a)
		case reclaimer.Release:
			ha.h.log.Info().Int("shard", a.Reservation.Shard).Uint64("number", a.Reservation.Number).
				Int64("tokens", a.Reservation.Tokens).Msg("expired reservation released")
			ha.h.scope.Tagged(map[string]string{"result": "expired"}).Counter(reporter.Reservations).Inc(1)
			ha.performBudgetActions(now, ha.budgets.Release(now, a.Reservation))
		}
	}
}

// dropRevoked forgets the request ids of revoked reservations, so that a retried call
// gets a new reservation instead of one that the sides refuse.
func (ha *holderActor) dropRevoked() {
	for id, r := range ha.openByRequest {
		if ha.reclaim.state.Revoked(r.Number) {
			delete(ha.requestIDs, keyOf(r))
			delete(ha.openByRequest, id)
		}
	}
}

func reclaimFailed(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
	r.CallFailed()
	return nil
}

// publishRevocations writes the table of revoked reservations. Only this instance
// writes the table, so that the version it reads is that of its own last write.
func (ha *holderActor) publishRevocations(a reclaimer.Publish) {
	h := ha.h
	ha.runReclaimAsync(func(ctx context.Context) reclaimUpdate {
		if err := h.writeRevocationTable(ctx, a.Table); err != nil {
			h.log.Warn().Err(err).Msg("writing revoked reservations failed; retrying")
			return reclaimFailed
		}
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action { return r.TablePublished() }
	})
}

func (h *Holder) writeRevocationTable(ctx context.Context, t reclaimer.Table) error {
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

func (ha *holderActor) listReclaimSides() {
	h := ha.h
	ha.runReclaimAsync(func(ctx context.Context) reclaimUpdate {
		addrs, names, err := h.registeredSides(ctx)
		if err != nil {
			h.log.Warn().Err(err).Msg("listing sides failed; retrying")
			return reclaimFailed
		}
		return func(now time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			maps.Copy(ha.reclaim.addrs, addrs)
			return r.SidesListed(now, names)
		}
	})
}

// revoke asks a side to refuse reservations. The reclaimer retries a call that fails.
func (ha *holderActor) revoke(a reclaimer.Revoke) {
	h, addr := ha.h, ha.reclaim.addrs[a.Side]
	ha.runReclaimAsync(func(ctx context.Context) reclaimUpdate {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		m, err := connector.Call[*wirepb.Revoked](ctx, h.pool, addr, "revoke",
			&wirepb.Revoke{Instance: h.cfg.Instance, Below: a.Below, Numbers: a.Numbers})
		if err == nil && m.GetInstance() != a.Side {
			err = fmt.Errorf("%w: %s", errSideReplaced, m.GetInstance())
		}
		if err != nil {
			h.log.Warn().Str("side", a.Side).Err(err).Msg("side did not confirm revoked reservations; retrying")
			return func(time.Time, *reclaimer.Reclaimer) []reclaimer.Action { return nil }
		}
		return func(_ time.Time, r *reclaimer.Reclaimer) []reclaimer.Action {
			return r.RevokeAnswered(a.Side, a.Numbers, m.GetNumbers())
		}
	})
}
