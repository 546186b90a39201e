package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/claimer"
)

// foldClaims writes the claims of a shard that are only in the journal to the claim
// object, with next as its holder. An empty next hands the claims over.
func (ha *holderActor) foldClaims(now time.Time, shard int, next string) {
	c := ha.claims
	if !c.held[shard] || c.folding[shard] {
		return
	}
	changes, err := c.state.Fold(now, claimer.Object{Shard: shard})
	if err != nil {
		ha.h.log.Error().Int("shard", shard).Err(err).Msg("preparing fold of claims failed")
		return
	}
	c.folding[shard] = true
	seq := ha.journal.Seq()
	ha.h.runAsync(func(ctx context.Context) any {
		object, err := ha.h.writeClaims(ctx, now, changes, next)
		return claimsFolded{shard, seq, object, err}
	})
}

// errNotHolder means that another instance has become the holder of a shard's claims.
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
		return object, fmt.Errorf("merge claims: %w", err)
	}
	object.Holder = next
	body, err := checker.Encode(object)
	if err != nil {
		return object, fmt.Errorf("encode claims: %w", err)
	}
	if _, err := h.platform.Put(ctx, claimer.ObjectKey(changes.Shard), body, version); err != nil {
		return object, fmt.Errorf("write claims of shard %d: %w", changes.Shard, err)
	}
	return object, nil
}

func (ha *holderActor) claimsFolded(now time.Time, m claimsFolded) {
	c := ha.claims
	delete(c.folding, m.shard)
	if errors.Is(m.err, errNotHolder) {
		ha.dropClaims(now, m.shard)
		return
	}
	if m.err != nil {
		ha.updatePlatformState(now, m.err)
		ha.h.log.Warn().Int("shard", m.shard).Err(m.err).Msg("folding claims failed; retrying")
		if ha.stopping != nil {
			ha.handOverClaims(now)
		}
		return
	}
	c.state.Folded(m.object)
	ha.performJournalActions(now, ha.journal.Folded(claimShardOffset+m.shard, m.seq))
	if m.object.Holder == "" {
		ha.dropClaims(now, m.shard)
	} else if ha.stopping != nil {
		ha.foldClaims(now, m.shard, "")
	}
}

func (ha *holderActor) dropClaims(now time.Time, shard int) {
	delete(ha.claims.held, shard)
	ha.performClaimActions(now, ha.claims.state.DropShard(shard))
	ha.finishStop(now)
}

// handOverClaims hands over the claims of all shards. It runs after the requests in
// flight have ended, so that no claim is in state running.
func (ha *holderActor) handOverClaims(now time.Time) {
	for shard := range ha.claims.held {
		ha.foldClaims(now, shard, "")
	}
}
