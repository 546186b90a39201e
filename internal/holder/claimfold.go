package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/claimer"
)

// foldClaims writes the claims of a shard that only the journal has. The next
// holder is empty at a hand-over.
func (k *keeper) foldClaims(now time.Time, shard int, next string) {
	c := k.claims
	if !c.held[shard] || c.folding[shard] {
		return
	}
	changes, err := c.state.Fold(now, claimer.Object{Shard: shard})
	if err != nil {
		k.h.log.Error().Int("shard", shard).Err(err).Msg("claims not folded")
		return
	}
	c.folding[shard] = true
	seq := k.journal.Seq()
	k.h.effect(func(ctx context.Context) any {
		object, err := k.h.writeClaims(ctx, now, changes, next)
		return claimsFolded{shard, seq, object, err}
	})
}

// errNotHolder means that another instance took the claims of a shard.
var errNotHolder = errors.New("another instance holds the claims")

func (h *Holder) writeClaims(ctx context.Context, now time.Time, changes claimer.Object, next string) (claimer.Object, error) {
	object, version, err := h.readClaims(ctx, changes.Shard)
	if err != nil {
		return object, err
	}
	if object.Holder != h.cfg.Instance {
		return object, errNotHolder
	}
	if object, err = object.With(now, changes.Claims...); err != nil {
		return object, fmt.Errorf("fold claims: %w", err)
	}
	object.Holder = next
	body, err := checker.Encode(object)
	if err != nil {
		return object, fmt.Errorf("fold claims: %w", err)
	}
	if _, err := h.platform.Put(ctx, claimer.ObjectKey(changes.Shard), body, version); err != nil {
		return object, fmt.Errorf("write claims of shard %d: %w", changes.Shard, err)
	}
	return object, nil
}

func (k *keeper) claimsFolded(now time.Time, m claimsFolded) {
	c := k.claims
	delete(c.folding, m.shard)
	if errors.Is(m.err, errNotHolder) {
		k.dropClaims(now, m.shard)
		return
	}
	if m.err != nil {
		k.platform(now, m.err)
		k.h.log.Warn().Int("shard", m.shard).Err(m.err).Msg("claims not folded, repeating")
		if k.stopping != nil {
			k.handOverClaims(now)
		}
		return
	}
	c.state.Folded(m.object)
	k.journalActions(now, k.journal.Folded(claimOffset+m.shard, m.seq))
	if m.object.Holder == "" {
		k.dropClaims(now, m.shard)
	} else if k.stopping != nil {
		k.foldClaims(now, m.shard, "")
	}
}

func (k *keeper) dropClaims(now time.Time, shard int) {
	delete(k.claims.held, shard)
	k.claimActions(now, k.claims.state.Release(shard))
	k.finishStop(now)
}

// handOverClaims gives up the claims of all shards. Requests in flight have ended
// by then, so that no claim is running.
func (k *keeper) handOverClaims(now time.Time) {
	for shard := range k.claims.held {
		k.foldClaims(now, shard, "")
	}
}
