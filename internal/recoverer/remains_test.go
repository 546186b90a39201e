package recoverer_test

import (
	"slices"
	"testing"

	"daisylane/internal/journaler"
	"daisylane/internal/recoverer"
)

func endedInstance(sealer string) recoverer.RemainingReferences {
	r := recoverer.RemainingReferences{Instance: "e1", Gone: true, JournalSlots: 4}
	for seq := uint64(2); seq <= 5; seq++ { // record 5 has overwritten record 1
		s := journaler.Slot{Key: journaler.SlotKey("e1", seq, 4), Version: seq, Record: journaler.Record{Writer: "e1", Seq: seq}}
		if seq == 5 {
			s.Record = journaler.Record{Writer: sealer, Seq: seq, Entries: []journaler.Entry{{Kind: journaler.KindSeal}}}
		}
		r.Slots = append(r.Slots, s)
	}
	return r
}

// Guards against removing a journal while objects need its records or a paused writer
// could continue it, and against removing a closure while a reservation of the
// instance can still be used.
func TestRemovable(t *testing.T) {
	for _, tc := range []struct {
		name          string
		sealer        string
		change        func(r *recoverer.RemainingReferences)
		slots, closed bool
	}{
		{"nothing left", "e2", func(*recoverer.RemainingReferences) {}, true, true},
		{"not gone", "e2", func(r *recoverer.RemainingReferences) { r.Gone = false }, false, false},
		{"own seal", "e1", func(r *recoverer.RemainingReferences) { r.Gone = false }, true, false},
		{"shard", "e2", func(r *recoverer.RemainingReferences) { r.Shards = []int{1} }, false, false},
		{"claims", "e2", func(r *recoverer.RemainingReferences) { r.Claims = []int{1} }, false, false},
		{"entry", "e2", func(r *recoverer.RemainingReferences) { r.Entries = []string{"e3"} }, true, false},
		{"side", "e2", func(r *recoverer.RemainingReferences) { r.Sides = []string{"s1"} }, true, false},
		{"no seal", "e2", func(r *recoverer.RemainingReferences) { r.Slots = r.Slots[:3]; r.JournalSlots = 3 }, false, true},
		{"removal begun", "e2", func(r *recoverer.RemainingReferences) { r.Slots = r.Slots[1:]; r.Shards = []int{1} }, true, false},
		{"removal begun, not gone", "e2", func(r *recoverer.RemainingReferences) {
			r.Slots, r.Shards, r.Gone = r.Slots[1:], []int{1}, false
		}, false, false},
	} {
		r := endedInstance(tc.sealer)
		tc.change(&r)
		m := r.Removable()
		if len(m.Slots) > 0 != tc.slots || m.Closure != tc.closed {
			t.Errorf("%s: %+v", tc.name, m)
		}
	}
}

// Guards against removing the seal before the other records: if the removal is then
// interrupted, the remaining records look like a journal that can be continued.
func TestRemovalEndsWithSeal(t *testing.T) {
	r := endedInstance("e2")
	slices.Reverse(r.Slots)
	m := r.Removable()
	if last := m.Slots[len(m.Slots)-1]; last != journaler.SlotKey("e1", 5, 4) {
		t.Fatalf("removes %v", m.Slots)
	}
	for n := range m.Slots { // interrupted after n removals
		remaining := endedInstance("e2")
		remaining.Slots = remaining.Slots[n:]
		if got := remaining.Removable().Slots; !slices.Equal(got, m.Slots[n:]) {
			t.Fatalf("after %d removals continues with %v", n, got)
		}
	}
}
