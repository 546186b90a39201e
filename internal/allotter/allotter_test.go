package allotter

import (
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"daisylane/internal/checker"
)

const now = 1_000_000

func newSample(t *testing.T) Shard {
	t.Helper()
	s, err := New(1).WithTopUp("b", "t1", 100, now, now)
	if err != nil {
		t.Fatal(err)
	}
	s = s.WithHolder("eu", "e1")
	s, err = s.WithGrant("b", "e1", "eu", 60)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a retried top-up that is added twice: a known id must change nothing, and
// a top-up older than the id window must be refused.
func TestRetriedTopUp(t *testing.T) {
	s := newSample(t)
	again, err := s.WithTopUp("b", "t1", 100, now, now)
	if err != nil || again.Budgets["b"].ToppedUp != 100 {
		t.Fatalf("topped %d, %v", again.Budgets["b"].ToppedUp, err)
	}
	if _, err := s.WithTopUp("b", "t0", 1, now-topUpWindowSeconds-1, now); !errors.Is(err, ErrTopUpExpired) {
		t.Fatalf("old top-up: %v", err)
	}
}

// Guards against a request that is charged twice: by a repeated record, by a second charge
// of the same reservation in the same or another journal, or under the same key.
func TestDuplicateCharge(t *testing.T) {
	fold := func(seq uint64, c ...Charge) Fold { return Fold{Instance: "e1", Seq: seq, Charges: c} }
	one := Charge{Budget: "b", Holder: "e1", Number: 1, Tokens: 10, Key: "k"}
	other := Charge{Budget: "b", Holder: "e1", Number: 2, Tokens: 10, Key: "k"}
	for _, tc := range []struct {
		name    string
		folds   []Fold
		settled int64
	}{
		{"same record", []Fold{fold(1, one), fold(1, one)}, 10},
		{"same number", []Fold{fold(1, one), fold(2, one)}, 10},
		{"same key", []Fold{fold(1, one), fold(2, other)}, 10},
		{"other journal", []Fold{fold(1, one), {Instance: "e2", Seq: 9, Charges: []Charge{one}}}, 10},
		{"below next", []Fold{{Instance: "e1", Seq: 1, Next: 3, Open: []uint64{2}}, fold(2, one), fold(3, other)}, 10},
	} {
		s := newSample(t)
		s = s.WithHolder("us", "e2")
		for _, f := range tc.folds {
			s, _ = s.WithFold(f, now)
		}
		if got := s.Budgets["b"].Settled; got != tc.settled {
			t.Errorf("%s: settled %d, want %d", tc.name, got, tc.settled)
		}
	}
}

// Guards against a grant to an instance that is no longer the holder, and against a
// transition that changes its receiver through a shared map.
func TestHolderAndImmutability(t *testing.T) {
	s := newSample(t)
	next := s.WithHolder("eu", "e2")
	if next.Holders["eu"].Term != 2 || s.Holders["eu"].Term != 1 {
		t.Fatalf("terms %d and %d", next.Holders["eu"].Term, s.Holders["eu"].Term)
	}
	if _, err := next.WithGrant("b", "e1", "eu", 1); !errors.Is(err, ErrNotHolder) {
		t.Fatalf("grant to former holder: %v", err)
	}
	if got := next.FormerHolders("eu"); len(got) != 1 || next.Withheld("b") != 60 {
		t.Fatalf("former %v, withheld %d", got, next.Withheld("b"))
	}
	if closed := next.WithClose("e1"); closed.Withheld("b") != 0 || next.Withheld("b") != 60 {
		t.Fatal("close changed the receiver or released no tokens")
	}
}

// Guards against a sequence of transitions after which settled and granted tokens exceed
// the topped-up ones.
func TestTransitionsKeepInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := New(1).WithTopUp("b", "t", 100, now, now)
		names := []string{"e1", "e2"}
		for i, n := range names {
			s = s.WithHolder([]string{"eu", "us"}[i], n)
		}
		for seq := range uint64(40) {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			tokens := rapid.Int64Range(0, 60).Draw(t, "tokens")
			next, err := s, error(nil)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next, err = s.WithGrant("b", names[i], []string{"eu", "us"}[i], tokens)
			case 1:
				next = s.WithTrim("b", names[i], s.Budgets["b"].Grants[names[i]].Allotted-tokens)
			case 2:
				next = s.WithTrim("b", names[i], tokens)
			case 3:
				next, _ = s.WithFold(Fold{
					Instance: names[i], Seq: seq + 1,
					Charges: []Charge{{Budget: "b", Holder: names[i], Number: seq, Tokens: tokens}},
				}, now)
			}
			if err == nil {
				s = next
			}
			if _, err := checker.Encode(s); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a key that leaves the window too early or too late, or that is lost when
// the object is encoded and decoded.
func TestKeyWindow(t *testing.T) {
	s := newSample(t)
	s, _ = s.WithFold(Fold{Instance: "e1", Seq: 1, Charges: []Charge{
		{Budget: "b", Holder: "e1", Number: 1, Tokens: 1, Key: "k"},
		{Budget: "b", Holder: "e1", Number: 2, Tokens: 1, Key: "l"},
	}}, now)
	body, err := checker.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if s, err = checker.Decode[Shard](body); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		budget, key string
		at          int64
		want        bool
	}{
		{"b", "k", now, true},
		{"b", "l", now + keyWindowSeconds, true},
		{"b", "k", now + keyWindowSeconds + 60, false},
		{"b", "m", now, false},
		{"c", "k", now, false},
		{"b", "", now, false},
	} {
		if got := s.Keys.Charged(tc.budget, tc.key, tc.at); got != tc.want {
			t.Errorf("%+v: charged %v", tc, got)
		}
	}
	next := s.Keys.withKey("b", "n", now+keyWindowSeconds+60)
	if len(next) != 1 || len(s.Keys) != 1 || len(s.Keys[now/60]) != 2 {
		t.Errorf("window %v after %v", next, s.Keys)
	}
	var h KeyHashes
	for _, text := range []string{`"AAAA"`, `"AAAAAAAAAAIAAAAAAAAAAQ"`, `"?"`, `1`} {
		if err := h.UnmarshalJSON([]byte(text)); err == nil {
			t.Errorf("decoded the invalid hashes %s", text)
		}
	}
}
