package watcher

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisylane/internal/checker"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func side(name string) Member {
	return Member{Name: name, Role: Side, Centre: "c1", Region: "r1", Addr: "127.0.0.1:1", Target: "t-" + name, Model: "m", Adapters: []string{"a"}}
}

func rows(names ...string) []ListRow {
	list := make([]ListRow, len(names))
	for i, n := range names {
		list[i] = ListRow{Name: n, Role: Side, State: "live"}
	}
	return list
}

// Guards against requests to sides that are leaving, gone or unreachable, or that do
// not serve the requested model.
func TestCandidates(t *testing.T) {
	tests := []struct {
		name  string
		query Query
		apply func(v *View)
		want  int
	}{
		{"registered before listed", Query{Model: "m"}, func(*View) {}, 2},
		{"by target", Query{Target: "t-a"}, func(*View) {}, 1},
		{"by adapter", Query{Model: "m", Adapter: "other"}, func(*View) {}, 0},
		{"leaving overrides a live list", Query{}, func(v *View) { v.MarkLeaving("a"); v.SetList(at(1), rows("a", "b")) }, 1},
		{"list says leaving", Query{}, func(v *View) { v.SetList(at(1), []ListRow{{Name: "a", State: StateLeaving}}) }, 1},
		{"same registration again", Query{}, func(v *View) { v.MarkLeaving("a"); v.Register(at(1), side("a"), 1) }, 1},
		{"drain undone", Query{}, func(v *View) { v.MarkLeaving("a"); v.Remove("a", 2); v.Register(at(1), side("a"), 3) }, 2},
		{"leaving before registered", Query{Target: "t-c"}, func(v *View) { v.MarkLeaving("c"); v.Register(at(1), side("c"), 1) }, 0},
		{"gone", Query{}, func(v *View) {
			for s := 0; s <= 90; s += 30 {
				v.SetList(at(s), rows("b"))
			}
		}, 1},
		{"old removal", Query{}, func(v *View) { v.Register(at(1), side("a"), 5); v.Remove("a", 4) }, 2},
		{"replacing registrations drops the missing", Query{}, func(v *View) { v.ReplaceRegistrations(at(1), []Registration{{side("b"), 1}}) }, 1},
		{"replacing registrations adds", Query{}, func(v *View) {
			v.ReplaceRegistrations(at(1), []Registration{{side("a"), 1}, {side("b"), 1}, {side("c"), 1}})
		}, 3},
		{"failed dial", Query{}, func(v *View) { v.RecordDial(at(1), "a", false) }, 1},
		{"suspicion expired", Query{}, func(v *View) { v.RecordDial(at(-20), "a", false) }, 2},
		{"only suspected left", Query{}, func(v *View) { v.RecordDial(at(1), "a", false); v.RecordDial(at(1), "b", false) }, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := New()
			v.Register(start, side("a"), 1)
			v.Register(start, side("b"), 1)
			tt.apply(v)
			if got := v.Candidates(at(2), tt.query); len(got) != tt.want {
				t.Errorf("candidates = %v, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an instance that counts as gone because a platform outage left no
// lists. The tokens that it holds would then be released while it still uses them.
func TestGone(t *testing.T) {
	tests := []struct {
		name  string
		lists []int // seconds at which a list without "a" arrives
		want  bool
	}{
		{"absent for 90 s", []int{10, 40, 70, 100}, true},
		{"absent for less", []int{10, 40, 70, 99}, false},
		{"outage between lists", []int{10, 200}, false},
		{"no list", nil, false},
	}
	for _, tt := range tests {
		known, unknown := New(), New()
		known.SetList(start, rows("a"))
		for _, s := range tt.lists {
			known.SetList(at(s), nil)
			unknown.SetList(at(s), nil)
		}
		if got := known.IsGone("a"); got != tt.want {
			t.Errorf("%s: listed before: gone = %v, want %v", tt.name, got, tt.want)
		}
		if got := unknown.IsGone("a"); got != tt.want {
			t.Errorf("%s: never listed: gone = %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against requests to a side that has announced that it is leaving (rule R6):
// without a removal, no sequence of lists, dials or registrations may make it a
// candidate again.
func TestLeavingIsFinal(t *testing.T) {
	_ = flag.Set("rapid.seed", "7")
	rapid.Check(t, func(t *rapid.T) {
		v := New()
		v.Register(start, side("a"), 1)
		v.MarkLeaving("a")
		for i, op := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "ops") {
			switch op {
			case 0:
				v.SetList(at(i), rows("a"))
			case 1:
				v.SetList(at(i), nil)
			case 2:
				v.RecordDial(at(i), "a", true)
			case 3:
				v.Register(at(i), side("a"), uint64(i+2))
			}
			if got := v.Candidates(at(i), Query{}); len(got) > 0 {
				t.Fatalf("leaving side is a candidate: %v", got)
			}
		}
	})
}

// Guards against registrations without the fields that routing needs.
func TestMemberCheck(t *testing.T) {
	if _, err := checker.Decode[Member]([]byte(`{"name":"x","role":"side"}`)); err == nil {
		t.Error("incomplete registration was accepted")
	}
}

// Measures the cost of a cached query at the planned number of targets.
func BenchmarkCandidates(b *testing.B) {
	v := New()
	for i := range 1400 {
		v.Register(start, side(fmt.Sprintf("s%d", i)), 1)
	}
	for b.Loop() {
		v.Candidates(start, Query{Model: "m"})
	}
}

// Guards against a stale cached result of Candidates after a change of the view: it
// would cause requests to a side that is leaving, or none to one that is back.
func TestCandidatesInvalidation(t *testing.T) {
	v := New()
	v.Register(at(0), side("a"), 1)
	v.Register(at(0), side("b"), 1)
	steps := []struct {
		name  string
		apply func()
		now   int
		want  int
	}{
		{"failed dial", func() { v.RecordDial(at(1), "a", false) }, 1, 1},
		{"still suspected", func() {}, 10, 1},
		{"suspicion expired", func() {}, 11, 2},
		{"dialled again", func() { v.RecordDial(at(12), "a", false); v.RecordDial(at(13), "a", true) }, 13, 2},
		{"announced leaving", func() { v.MarkLeaving("a") }, 14, 1},
		{"registered", func() { v.Register(at(15), side("c"), 1) }, 15, 2},
		{"removed", func() { v.Remove("c", 2) }, 16, 1},
		{"list says leaving", func() { v.SetList(at(17), []ListRow{{Name: "b", State: StateLeaving}}) }, 17, 0},
		{"list says live", func() { v.SetList(at(18), rows("b")) }, 18, 1},
		{"registrations replaced", func() { v.ReplaceRegistrations(at(19), nil) }, 19, 0},
	}
	for _, s := range steps {
		s.apply()
		for range 2 {
			if got := len(v.Candidates(at(s.now), Query{Model: "m"})); got != s.want {
				t.Errorf("%s: %d candidates, want %d", s.name, got, s.want)
			}
		}
	}
}
