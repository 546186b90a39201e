package recoverer

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"daisylane/internal/journaler"
)

// Remains is what the platform and the processes still know of an instance that
// has ended. A list that could not be read completely names what is missing, so
// that nothing is removed.
type Remains struct {
	Instance string
	Gone     bool     // known gone: the process cannot run again
	Shards   []int    // shard objects that list the instance's journal, and unread ones
	Claims   []int    // claim objects that refer to the instance's journal, and unread ones
	Entries  []string // entries that have not confirmed to use no reservation of the instance
	Sides    []string // sides that have not closed the instance
	Ring     int      // number of slots of a journal
	Slots    []journaler.Slot
}

// Removal lists the objects that may be removed, in the order of removal.
type Removal struct {
	Slots   []string
	Closure bool
}

// Removable decides which objects of an ended instance may be removed.
//
// The journal may go when it is sealed, the instance writes nothing more, and no
// object needs its records: a paused instance that finds its next slot absent
// would write it and go on. The oldest record goes first and the seal last, so
// that a removal that has begun shows as a gap. It is completed even if an object
// lists the instance again, which takes a hold that took effect late and has no
// records, because the journal was sealed before.
//
// The closure may go when no reservation of the instance can reach a side: the
// instance grants none, all of them are released, no entry uses one, and each
// present side has closed the instance itself.
func (r Remains) Removable() Removal {
	var m Removal
	settled := len(r.Shards) == 0 && len(r.Claims) == 0
	m.Closure = r.Gone && settled && len(r.Entries) == 0 && len(r.Sides) == 0
	log, err := journaler.Replay(r.Instance, r.Ring, r.Slots)
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
