package journaler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var startTime = time.Unix(1_000_000, 0)

func markEntry(shard int) Entry {
	return Entry{Kind: KindMark, Shard: shard, Data: json.RawMessage(`{}`)}
}

func singleAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("actions %v, want one", actions)
	}
	a, ok := actions[0].(T)
	if !ok {
		t.Fatalf("action %T, want %T", actions[0], a)
	}
	return a
}

func slotAfterWrite(t *testing.T, w WriteSlot) Slot {
	t.Helper()
	s := Slot{Key: w.Key, Version: w.Version + 1}
	if err := json.Unmarshal(w.Body, &s.Record); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a second write while one is in flight, and against one write per
// entry: entries that arrive during a write must share the next record.
func TestGroupCommit(t *testing.T) {
	j := New(Config{Writer: "e1", Slots: 4})
	singleAction[WriteSlot](t, j.Append(1, markEntry(0)))
	if a := append(j.Append(2, markEntry(0)), j.Append(3, markEntry(1))...); len(a) != 0 {
		t.Fatalf("second write in flight: %v", a)
	}
	actions := j.WriteSucceeded(startTime, 1)
	if d := actions[0].(Durable); len(d.Tokens) != 1 {
		t.Fatalf("durable %v", d)
	}
	if r := slotAfterWrite(t, actions[1].(WriteSlot)).Record; r.Seq != 2 || len(r.Entries) != 2 {
		t.Fatalf("second record %+v", r)
	}
}

// Guards against misreading the outcome of a write whose response was lost: the slot
// may have the record, its previous content or a successor's seal.
func TestReadBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		slot func(Slot) Slot
		want Action
	}{
		{"own record", func(s Slot) Slot { return s }, Durable{}},
		{"previous version", func(Slot) Slot { return Slot{} }, nil},
		{"seal", func(s Slot) Slot {
			s.Record = Record{Writer: "e2", Seq: 1, Entries: []Entry{{Kind: KindSeal}}}
			return s
		}, Ended{}},
	} {
		j := New(Config{Writer: "e1", Slots: 4})
		w := singleAction[WriteSlot](t, j.Append(1, markEntry(0)))
		singleAction[ReadSlot](t, j.WriteUncertain())
		actions := j.SlotRead(startTime, tc.slot(slotAfterWrite(t, w)))
		switch tc.want.(type) {
		case nil:
			if again := singleAction[WriteSlot](t, j.Tick(startTime)); string(again.Body) != string(w.Body) {
				t.Errorf("%s: the retry wrote other bytes", tc.name)
			}
		case Durable:
			singleAction[Durable](t, actions)
		case Ended:
			singleAction[Ended](t, actions)
		}
	}
}

// Guards against overwriting a record that is not folded, by the next record or by a
// successor's seal in the slot after it.
func TestRingWaitsForFold(t *testing.T) {
	const slots = 4
	j := New(Config{Writer: "e1", Slots: slots})
	for i := range slots - 1 {
		singleAction[WriteSlot](t, j.Append(Token(i), markEntry(7)))
		j.WriteSucceeded(startTime, 1)
	}
	if a := j.Append(9, markEntry(7)); len(a) != 0 || !j.FoldDue() {
		t.Fatalf("wrote into the last free slot: %v", a)
	}
	singleAction[WriteSlot](t, j.Folded(7, 1))
}

// Guards against a paused writer that resumes and continues its journal after a
// successor has sealed it, and against a listing with a missing record that is not
// detected.
func TestSealAndReplay(t *testing.T) {
	j := New(Config{Writer: "e1", Slots: 4})
	var listed []Slot
	for i := range 2 {
		listed = append(listed, slotAfterWrite(t, singleAction[WriteSlot](t, j.Append(Token(i), markEntry(i)))))
		j.WriteSucceeded(startTime, 1)
	}
	if _, err := Replay("e1", 4, listed[1:]); !errors.Is(err, ErrGap) {
		t.Fatalf("gap: %v", err)
	}
	log, err := Replay("e1", 4, listed)
	if err != nil || log.Sealed || log.LastSeq != 2 {
		t.Fatalf("log %+v, %v", log, err)
	}
	seal := slotAfterWrite(t, log.SealWrite("e2"))
	if w := singleAction[WriteSlot](t, j.Append(9, markEntry(0))); w.Key != seal.Key || w.Version != seal.Version-1 {
		t.Fatalf("next write %+v does not meet the seal %+v", w, seal)
	}
	j.WriteConflicted()
	if s := singleAction[Ended](t, j.SlotRead(startTime, seal)); s.Sealer != "e2" || len(j.Append(10, markEntry(0))) != 0 {
		t.Fatalf("stop %+v", s)
	}
	if log, err = Replay("e1", 4, append(listed, seal)); err != nil || !log.Sealed || log.LastSeq != 2 {
		t.Fatalf("sealed log %+v, %v", log, err)
	}
}
