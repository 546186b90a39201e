package holder

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/allotter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/journaler"
	"daisylane/internal/placer"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	// maxUpdateAttempts limits the attempts of an update that conflicts with writes of
	// the other regions' holders or of operators.
	maxUpdateAttempts = 10
	probeTimeout      = time.Second
)

// ShardObjectKey returns the key of a shard object.
func ShardObjectKey(shard int) string { return "shard/" + strconv.Itoa(shard) }

func (ha *holderActor) writeSlot(w journaler.WriteSlot) {
	ha.h.runAsync(func(ctx context.Context) any {
		began := time.Now()
		version, err := ha.h.platform.Put(ctx, w.Key, w.Body, w.Version)
		return slotWritten{w, time.Since(began), version, err}
	})
}

func (ha *holderActor) slotWritten(now time.Time, m slotWritten) {
	ha.updatePlatformState(now, m.err)
	switch {
	case m.err == nil:
		ha.h.scope.Counter(reporter.JournalRecords).Inc(1)
		ha.h.scope.Histogram(reporter.JournalCommitSeconds, reporter.SecondsBuckets).RecordDuration(m.took)
		ha.performJournalActions(now, ha.journal.WriteSucceeded(now, m.version))
	case errors.Is(m.err, storer.ErrConflict):
		ha.performJournalActions(now, ha.journal.WriteConflicted())
	case errors.Is(m.err, storer.ErrUnavailable):
		ha.performJournalActions(now, ha.journal.ActionFailed(m.write))
	default:
		ha.performJournalActions(now, ha.journal.WriteUncertain())
	}
}

func (ha *holderActor) readSlot(r journaler.ReadSlot) {
	ha.h.runAsync(func(ctx context.Context) any {
		slot, err := ha.h.getSlot(ctx, r.Key)
		return slotRead{r, slot, err}
	})
}

func (h *Holder) getSlot(ctx context.Context, key string) (journaler.Slot, error) {
	item, err := h.platform.Get(ctx, key)
	if errors.Is(err, storer.ErrAbsent) {
		return journaler.Slot{Key: key}, nil
	}
	if err != nil {
		return journaler.Slot{}, fmt.Errorf("read journal slot %s: %w", key, err)
	}
	return decodeSlot(item)
}

func decodeSlot(item storer.Item) (journaler.Slot, error) {
	record, err := checker.Decode[journaler.Record](item.Body)
	if err != nil {
		return journaler.Slot{}, fmt.Errorf("decode journal slot %s: %w", item.Key, err)
	}
	return journaler.Slot{Key: item.Key, Version: item.Version, Record: record}, nil
}

func (ha *holderActor) slotRead(now time.Time, m slotRead) {
	ha.updatePlatformState(now, m.err)
	if m.err != nil {
		ha.performJournalActions(now, ha.journal.ActionFailed(m.read))
		return
	}
	ha.performJournalActions(now, ha.journal.SlotRead(now, m.slot))
}

func (ha *holderActor) readObject(shard int) {
	ha.h.runAsync(func(ctx context.Context) any {
		item, err := ha.h.platform.Get(ctx, ShardObjectKey(shard))
		if errors.Is(err, storer.ErrAbsent) {
			item, err = storer.Item{}, nil
		}
		return objectRead{shard, item, err}
	})
}

func decodeObject(shard int, item storer.Item) (allotter.Shard, error) {
	if item.Version == 0 {
		return allotter.New(shard), nil
	}
	object, err := checker.Decode[allotter.Shard](item.Body)
	if err != nil {
		return object, fmt.Errorf("decode shard object %d: %w", shard, err)
	}
	return object, nil
}

// objectRead proposes the next value of a shard object and writes it.
func (ha *holderActor) objectRead(now time.Time, m objectRead) {
	ha.updatePlatformState(now, m.err)
	object, err := decodeObject(m.shard, m.item)
	if m.err != nil || err != nil {
		ha.updateFailed(now, m.shard, fmt.Errorf("read shard object: %w", firstError(m.err, err)))
		return
	}
	if !ha.budgets.Holds(m.shard) && ha.stopping == nil && ha.heldByOther(object) {
		ha.performBudgetActions(now, ha.budgets.CancelAcquire(m.shard))
		holder, _ := ha.h.members.Get(object.Holders[ha.h.cfg.Region].Instance)
		ha.waiting.failCalls(m.shard, redirectError(holder.Name, holder.Addr))
		return
	}
	next, changed := ha.budgets.Propose(now, m.shard, object)
	if !changed {
		ha.performBudgetActions(now, ha.budgets.UpdateStored(now, m.shard))
		return
	}
	body, err := checker.Encode(next)
	if err != nil {
		ha.updateFailed(now, m.shard, err)
		return
	}
	ha.h.runAsync(func(ctx context.Context) any {
		_, err := ha.h.platform.Put(ctx, ShardObjectKey(m.shard), body, m.item.Version)
		return objectWritten{m.shard, err}
	})
}

// heldByOther reports whether another instance has become the region's holder since
// the lookup. A takeover would seal that instance's journal.
func (ha *holderActor) heldByOther(object allotter.Shard) bool {
	name := object.Holders[ha.h.cfg.Region].Instance
	return name != ha.h.cfg.Instance && name != ha.expectedFormer[object.Number]
}

func (ha *holderActor) objectWritten(now time.Time, m objectWritten) {
	ha.updatePlatformState(now, m.err)
	switch {
	case m.err == nil:
		ha.performBudgetActions(now, ha.budgets.UpdateStored(now, m.shard))
	case errors.Is(m.err, storer.ErrUnavailable):
		ha.updateFailed(now, m.shard, m.err)
	default:
		// After a conflict or a lost response, reading the object again shows whether
		// the write took effect: the amounts of a grant are cumulative, and only its
		// own instance changes them.
		ha.updateAttempts[m.shard]++
		if ha.updateAttempts[m.shard] >= maxUpdateAttempts {
			ha.updateFailed(now, m.shard, m.err)
			return
		}
		ha.readObject(m.shard)
	}
}

func (ha *holderActor) updateFailed(now time.Time, shard int, err error) {
	ha.h.log.Warn().Int("shard", shard).Err(err).Msg("updating shard object failed")
	ha.performBudgetActions(now, ha.budgets.UpdateFailed(now, shard))
	if !ha.budgets.Holds(shard) && ha.stopping == nil {
		ha.performBudgetActions(now, ha.budgets.CancelAcquire(shard))
		ha.waiting.failCalls(shard, &connector.RefusedError{
			Reason: "platform", Text: "the budget's shard cannot be taken, the platform is not reachable", RetryAfter: 5 * time.Second,
		})
	}
}

// lookUpHolder finds the live instance to call for a shard: the holder that the shard
// object names, or else the first entry of the region by rank. It returns none if
// this instance should acquire the shard.
func (h *Holder) lookUpHolder(ctx context.Context, shard int) holderLookedUp {
	item, err := h.platform.Get(ctx, ShardObjectKey(shard))
	if err != nil && !errors.Is(err, storer.ErrAbsent) {
		return holderLookedUp{shard: shard, err: err}
	}
	object, err := decodeObject(shard, item)
	if err != nil {
		return holderLookedUp{shard: shard, err: err}
	}
	name := object.Holders[h.cfg.Region].Instance
	if m, ok := h.probe(ctx, name); ok {
		return holderLookedUp{shard: shard, holder: m}
	}
	first := placer.Owner(placer.ShardKey(shard), h.entryNames())
	if m, ok := h.probe(ctx, first); ok {
		return holderLookedUp{shard: shard, holder: m}
	}
	return holderLookedUp{shard: shard, former: name}
}

// probe reports whether another instance is alive. Only a response counts, because a
// paused process still accepts connections.
func (h *Holder) probe(ctx context.Context, name string) (watcher.Member, bool) {
	if name == "" || name == h.cfg.Instance || h.members.IsGone(name) {
		return watcher.Member{}, false
	}
	m, ok := h.members.Get(name)
	if !ok {
		return watcher.Member{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := connector.Call[*wirepb.Report](ctx, h.pool, m.Addr, "probe", &wirepb.Status{})
	var refused *connector.RefusedError
	return m, err == nil || errors.As(err, &refused)
}

func (h *Holder) entryNames() []string {
	var names []string
	for _, m := range h.members.Entries(h.cfg.Region, "") {
		names = append(names, m.Name)
	}
	return names
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
