package holder

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"daisylane/internal/journaler"
	"daisylane/internal/recoverer"
	"daisylane/internal/storer"
)

// removeJournal deletes this instance's journal after it was sealed. All shards and
// claims are handed over by then, so that no object needs its records. The journals
// of dead instances are kept.
func (h *Holder) removeJournal(ctx context.Context) error {
	slots, err := h.listSlots(ctx, journaler.SlotPrefix(h.cfg.Instance))
	if err != nil {
		return fmt.Errorf("remove journal: %w", err)
	}
	versions := make(map[string]uint64, len(slots))
	for _, s := range slots {
		versions[s.Key] = s.Version
	}
	references := recoverer.RemainingReferences{Instance: h.cfg.Instance, JournalSlots: h.cfg.JournalSlots, Slots: slots}
	for _, key := range references.Removable().Slots {
		err := h.platform.Delete(ctx, key, versions[key])
		if err != nil && !errors.Is(err, storer.ErrAbsent) {
			return fmt.Errorf("remove journal: %w", err)
		}
	}
	return nil
}
