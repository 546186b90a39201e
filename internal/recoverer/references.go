package recoverer

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"daisylane/internal/journaler"
)

// RemainingReferences lists the objects and processes that still refer to an instance
// that has ended. A list also contains the items that could not be read, so that nothing
// is removed that they may need.
type RemainingReferences struct {
	Instance     string
	Gone         bool     // the process is known to have ended and cannot resume
	Shards       []int    // shard objects that list the instance's journal or could not be read
	Claims       []int    // claim objects that refer to the instance's journal or could not be read
	Entries      []string // entries that have not confirmed that they use no reservation of the instance
	Sides        []string // sides that have not closed the instance
	JournalSlots int      // number of journal slots
	Slots        []journaler.Slot
}

// Removal lists the objects that may be removed, in the order of removal.
type Removal struct {
	Slots   []string
	Closure bool
}

// Removable decides which objects of an ended instance may be removed.
//
// The journal may be removed when it is sealed, the instance has ended, and no object
// needs its records. If the instance were only paused, it would find its next slot
// absent after the removal, write it and continue. The oldest record is removed first
// and the seal last, so that an interrupted removal leaves a gap. Such a removal is
// completed even if an object lists the instance again: that happens only if the
// instance became a holder by a delayed write, and then its journal has no records for
// it, because it was sealed before.
//
// The closure may be removed when no reservation of the instance can reach a side: the
// instance makes none, all of them are released, no entry uses one, and each
// present side has closed the instance itself.
func (r RemainingReferences) Removable() Removal {
	var m Removal
	settled := len(r.Shards) == 0 && len(r.Claims) == 0
	m.Closure = r.Gone && settled && len(r.Entries) == 0 && len(r.Sides) == 0
	log, err := journaler.Replay(r.Instance, r.JournalSlots, r.Slots)
	begun := errors.Is(err, journaler.ErrGap) && r.Gone
	ended := r.Gone || log.Sealer == r.Instance
	if !begun && (err != nil || !log.Sealed || !ended || !settled) {
		return m
	}
	list := slices.DeleteFunc(slices.Clone(r.Slots), func(s journaler.Slot) bool { return s.Version == 0 })
	slices.SortFunc(list, func(a, b journaler.Slot) int { return cmp.Compare(a.Record.Seq, b.Record.Seq) })
	for _, s := range list {
		m.Slots = append(m.Slots, s.Key)
	}
	return m
}
