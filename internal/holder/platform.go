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
	// maxUpdateTries bounds the repetitions of an update after conflicts with
	// the other regions' holders and operators.
	maxUpdateTries = 10
	probeTimeout   = time.Second
)

// ObjectKey returns the key of a shard object.
func ObjectKey(shard int) string { return "shard/" + strconv.Itoa(shard) }

func (k *keeper) writeSlot(w journaler.Write) {
	k.h.effect(func(ctx context.Context) any {
		began := time.Now()
		version, err := k.h.platform.Put(ctx, w.Key, w.Body, w.Version)
		return slotWritten{w, time.Since(began), version, err}
	})
}

func (k *keeper) slotWritten(now time.Time, m slotWritten) {
	k.platform(now, m.err)
	switch {
	case m.err == nil:
		k.h.scope.Counter(reporter.JournalRecords).Inc(1)
		k.h.scope.Histogram(reporter.JournalSeconds, reporter.SecondsBuckets).RecordDuration(m.took)
		k.journalActions(now, k.journal.Written(now, m.version))
	case errors.Is(m.err, storer.ErrConflict):
		k.journalActions(now, k.journal.Conflict())
	case errors.Is(m.err, storer.ErrUnavailable):
		k.journalActions(now, k.journal.Failed(m.write))
	default:
		k.journalActions(now, k.journal.Uncertain())
	}
}

func (k *keeper) readSlot(r journaler.Read) {
	k.h.effect(func(ctx context.Context) any {
		slot, err := k.h.getSlot(ctx, r.Key)
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
	return slotOf(item)
}

func slotOf(item storer.Item) (journaler.Slot, error) {
	record, err := checker.Decode[journaler.Record](item.Body)
	if err != nil {
		return journaler.Slot{}, fmt.Errorf("journal slot %s: %w", item.Key, err)
	}
	return journaler.Slot{Key: item.Key, Version: item.Version, Record: record}, nil
}

func (k *keeper) slotRead(now time.Time, m slotRead) {
	k.platform(now, m.err)
	if m.err != nil {
		k.journalActions(now, k.journal.Failed(m.read))
		return
	}
	k.journalActions(now, k.journal.ReadBack(now, m.slot))
}

func (k *keeper) readObject(shard int) {
	k.h.effect(func(ctx context.Context) any {
		item, err := k.h.platform.Get(ctx, ObjectKey(shard))
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
		return object, fmt.Errorf("shard object %d: %w", shard, err)
	}
	return object, nil
}

// objectRead proposes the next value of a shard object and writes it.
func (k *keeper) objectRead(now time.Time, m objectRead) {
	k.platform(now, m.err)
	object, err := decodeObject(m.shard, m.item)
	if m.err != nil || err != nil {
		k.updateFailed(now, m.shard, fmt.Errorf("read shard object: %w", firstError(m.err, err)))
		return
	}
	if !k.budgets.Holds(m.shard) && k.stopping == nil && k.taken(object) {
		k.carryOut(now, k.budgets.Abandon(m.shard))
		holder, _ := k.h.members.Get(object.Holders[k.h.cfg.Region].Instance)
		k.waiting.refuse(m.shard, notHolder(holder.Name, holder.Addr))
		return
	}
	next, changed := k.budgets.Propose(now, m.shard, object)
	if !changed {
		k.carryOut(now, k.budgets.Stored(now, m.shard))
		return
	}
	body, err := checker.Encode(next)
	if err != nil {
		k.updateFailed(now, m.shard, err)
		return
	}
	k.h.effect(func(ctx context.Context) any {
		_, err := k.h.platform.Put(ctx, ObjectKey(m.shard), body, m.item.Version)
		return objectWritten{m.shard, err}
	})
}

// taken reports whether another instance took the hold of the region since the
// lookup. Taking it over would end that instance's journal.
func (k *keeper) taken(object allotter.Shard) bool {
	name := object.Holders[k.h.cfg.Region].Instance
	return name != k.h.cfg.Instance && name != k.expected[object.Number]
}

func (k *keeper) objectWritten(now time.Time, m objectWritten) {
	k.platform(now, m.err)
	switch {
	case m.err == nil:
		k.carryOut(now, k.budgets.Stored(now, m.shard))
	case errors.Is(m.err, storer.ErrUnavailable):
		k.updateFailed(now, m.shard, m.err)
	default:
		// After a conflict or a lost response the fresh object shows what took
		// effect, since the amounts of a grant are cumulative and its own.
		k.conflicts[m.shard]++
		if k.conflicts[m.shard] >= maxUpdateTries {
			k.updateFailed(now, m.shard, m.err)
			return
		}
		k.readObject(m.shard)
	}
}

func (k *keeper) updateFailed(now time.Time, shard int, err error) {
	k.h.log.Warn().Int("shard", shard).Err(err).Msg("shard object not updated")
	k.carryOut(now, k.budgets.Failed(now, shard))
	if !k.budgets.Holds(shard) && k.stopping == nil {
		k.carryOut(now, k.budgets.Abandon(shard))
		k.waiting.refuse(shard, &connector.RefusedError{
			Reason: "platform", Text: "the budget's shard cannot be taken, the platform is not reachable", After: 5 * time.Second,
		})
	}
}

// readTenure finds the instance that should answer for a shard: the holder that
// the object names, if it is alive, or the first live entry of the region.
func (h *Holder) readTenure(ctx context.Context, shard int) tenureRead {
	item, err := h.platform.Get(ctx, ObjectKey(shard))
	if err != nil && !errors.Is(err, storer.ErrAbsent) {
		return tenureRead{shard: shard, err: err}
	}
	object, err := decodeObject(shard, item)
	if err != nil {
		return tenureRead{shard: shard, err: err}
	}
	name := object.Holders[h.cfg.Region].Instance
	if m, ok := h.alive(ctx, name); ok {
		return tenureRead{shard: shard, holder: m}
	}
	first := placer.First(placer.ShardKey(shard), h.entryNames())
	if m, ok := h.alive(ctx, first); ok {
		return tenureRead{shard: shard, holder: m}
	}
	return tenureRead{shard: shard, former: name}
}

// alive probes another instance. A paused process accepts connections but does
// not answer, so that only an answer counts.
func (h *Holder) alive(ctx context.Context, name string) (watcher.Member, bool) {
	if name == "" || name == h.cfg.Instance || h.members.Gone(name) {
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
