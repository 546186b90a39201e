package journaler

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
)

var start = time.Unix(1_000_000, 0)

func mark(shard int) Entry {
	return Entry{Kind: KindMark, Shard: shard, Data: json.RawMessage(`{}`)}
}

func only[T Action](t *testing.T, actions []Action) T {
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

func slotOf(t *testing.T, w Write) Slot {
	t.Helper()
	s := Slot{Key: w.Key, Version: w.Version + 1}
	if err := json.Unmarshal(w.Body, &s.Record); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a second write in flight and a commit per entry.
func TestGroupCommit(t *testing.T) {
	j := New(Config{Writer: "e1", Slots: 4})
	only[Write](t, j.Append(1, mark(0)))
	if a := append(j.Append(2, mark(0)), j.Append(3, mark(1))...); len(a) != 0 {
		t.Fatalf("second write in flight: %v", a)
	}
	actions := j.Written(start, 1)
	if d := actions[0].(Durable); len(d.Tokens) != 1 {
		t.Fatalf("durable %v", d)
	}
	if r := slotOf(t, actions[1].(Write)).Record; r.Seq != 2 || len(r.Entries) != 2 {
		t.Fatalf("second record %+v", r)
	}
}

// Guards against a lost response that is taken for a failure, a success or a seal.
func TestReadBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		slot func(Slot) Slot
		want Action
	}{
		{"own record", func(s Slot) Slot { return s }, Durable{}},
		{"former version", func(Slot) Slot { return Slot{} }, nil},
		{"seal", func(s Slot) Slot {
			s.Record = Record{Writer: "e2", Seq: 1, Entries: []Entry{{Kind: KindSeal}}}
			return s
		}, Stop{}},
	} {
		j := New(Config{Writer: "e1", Slots: 4})
		w := only[Write](t, j.Append(1, mark(0)))
		only[Read](t, j.Uncertain())
		actions := j.ReadBack(start, tc.slot(slotOf(t, w)))
		switch tc.want.(type) {
		case nil:
			if again := only[Write](t, j.Tick(start)); string(again.Body) != string(w.Body) {
				t.Errorf("%s: repeated other bytes", tc.name)
			}
		case Durable:
			only[Durable](t, actions)
		case Stop:
			only[Stop](t, actions)
		}
	}
}

// Guards against overwriting a record that is not folded, also by the seal.
func TestRingWaitsForFold(t *testing.T) {
	const slots = 4
	j := New(Config{Writer: "e1", Slots: slots})
	for i := range slots - 1 {
		only[Write](t, j.Append(Token(i), mark(7)))
		j.Written(start, 1)
	}
	if a := j.Append(9, mark(7)); len(a) != 0 || !j.Crowded() {
		t.Fatalf("wrote into the last free slot: %v", a)
	}
	only[Write](t, j.Folded(7, 1))
}

// Guards against a paused writer that continues after the seal, and a gap in a
// listing that goes unnoticed.
func TestSealAndReplay(t *testing.T) {
	j := New(Config{Writer: "e1", Slots: 4})
	var listed []Slot
	for i := range 2 {
		listed = append(listed, slotOf(t, only[Write](t, j.Append(Token(i), mark(i)))))
		j.Written(start, 1)
	}
	if _, err := Replay("e1", 4, listed[1:]); !errors.Is(err, ErrGap) {
		t.Fatalf("gap: %v", err)
	}
	log, err := Replay("e1", 4, listed)
	if err != nil || log.Sealed || log.Last != 2 {
		t.Fatalf("log %+v, %v", log, err)
	}
	seal := slotOf(t, log.Seal("e2"))
	if w := only[Write](t, j.Append(9, mark(0))); w.Key != seal.Key || w.Version != seal.Version-1 {
		t.Fatalf("next write %+v does not meet the seal %+v", w, seal)
	}
	j.Conflict()
	if s := only[Stop](t, j.ReadBack(start, seal)); s.Sealer != "e2" || len(j.Append(10, mark(0))) != 0 {
		t.Fatalf("stop %+v", s)
	}
	if log, err = Replay("e1", 4, append(listed, seal)); err != nil || !log.Sealed || log.Last != 2 {
		t.Fatalf("sealed log %+v, %v", log, err)
	}
}
