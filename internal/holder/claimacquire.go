package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/claimer"
	"daisylane/internal/journaler"
	"daisylane/internal/storer"
)

// acquireClaims makes this instance the holder of a shard's claims, unless their
// holder is alive. It first seals the journal of a dead holder and replays it into
// the claim object, so that no claim is lost and the journal accepts no new ones.
func (h *Holder) acquireClaims(ctx context.Context, shard int) claimsAcquired {
	var err error
	for range maxClaimAttempts {
		var res claimsAcquired
		res, err = h.tryAcquireClaims(ctx, shard)
		if err == nil {
			return res
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
			break
		}
	}
	return claimsAcquired{shard: shard, err: err}
}

func (h *Holder) tryAcquireClaims(ctx context.Context, shard int) (claimsAcquired, error) {
	object, version, err := h.readClaims(ctx, shard)
	if err != nil {
		return claimsAcquired{}, err
	}
	if object.Holder == h.cfg.Instance {
		// An earlier write took effect but its response was lost. No claim has been
		// made here since.
		return claimsAcquired{shard: shard, object: object}, nil
	}
	if m, ok := h.probe(ctx, object.Holder); ok {
		return claimsAcquired{shard: shard, holder: m}, nil
	}
	if object.Holder != "" {
		if object, err = h.replayClaims(ctx, object); err != nil {
			return claimsAcquired{}, err
		}
	}
	object.Holder = h.cfg.Instance
	body, err := checker.Encode(object)
	if err != nil {
		return claimsAcquired{}, fmt.Errorf("encode claims of shard %d: %w", shard, err)
	}
	if _, err := h.platform.Put(ctx, claimer.ObjectKey(shard), body, version); err != nil {
		return claimsAcquired{}, fmt.Errorf("write claims of shard %d: %w", shard, err)
	}
	return claimsAcquired{shard: shard, object: object}, nil
}

func (h *Holder) readClaims(ctx context.Context, shard int) (claimer.Object, uint64, error) {
	item, err := h.platform.Get(ctx, claimer.ObjectKey(shard))
	if errors.Is(err, storer.ErrAbsent) {
		return claimer.Object{Shard: shard}, 0, nil
	}
	if err != nil {
		return claimer.Object{}, 0, fmt.Errorf("read claims of shard %d: %w", shard, err)
	}
	object, err := checker.Decode[claimer.Object](item.Body)
	if err != nil {
		return claimer.Object{}, 0, fmt.Errorf("decode claims of shard %d: %w", shard, err)
	}
	return object, item.Version, nil
}

// replayClaims merges the claims from the dead holder's journal into the object.
// Claims that were running at the dead holder become unknown.
func (h *Holder) replayClaims(ctx context.Context, object claimer.Object) (claimer.Object, error) {
	log, err := h.sealJournal(ctx, object.Holder)
	if err != nil {
		return object, err
	}
	state := claimer.New(h.cfg.Instance)
	state.Load(object)
	err = log.VisitAfter(claimShardOffset+object.Shard, 0, func(_ uint64, e journaler.Entry) error {
		return state.Replay(claimer.Entry{Shard: object.Shard, Data: e.Data})
	})
	if err != nil {
		return object, fmt.Errorf("replay claims of %s: %w", object.Holder, err)
	}
	now := time.Now()
	object, err = state.Fold(now, object)
	if err != nil {
		return object, fmt.Errorf("fold claims of %s: %w", object.Holder, err)
	}
	return object.WithHolderCrashed(now, object.Holder), nil
}

// sealJournal seals an instance's journal and returns its records.
func (h *Holder) sealJournal(ctx context.Context, instance string) (journaler.Log, error) {
	for range maxClaimAttempts {
		slots, err := h.listSlots(ctx, journaler.SlotPrefix(instance))
		if err != nil {
			return journaler.Log{}, err
		}
		log, err := journaler.Replay(instance, h.cfg.JournalSlots, slots)
		if err != nil {
			continue // a record was written during the listing, list again
		}
		if log.Sealed {
			return log, nil
		}
		w := log.SealWrite(h.cfg.Instance)
		_, err = h.platform.Put(ctx, w.Key, w.Body, w.Version)
		if err == nil {
			return log, nil
		}
		if errors.Is(err, storer.ErrUnavailable) {
			return journaler.Log{}, fmt.Errorf("seal journal of %s: %w", instance, err)
		}
	}
	return journaler.Log{}, fmt.Errorf("seal journal of %s: %w", instance, storer.ErrUncertain)
}
