package chooser

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisylane/internal/wirepb"
)

func testSource() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func newCandidates(n int, place Place) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{fmt.Sprintf("%s-%s-%d", place.Region, place.Centre, i), place}
	}
	return list
}

// Guards against unnecessary traffic to other data centres and regions, when a
// nearer target can serve the request in time.
func TestLocality(t *testing.T) {
	near := newCandidates(3, Place{"c1", "r1"})
	region := newCandidates(3, Place{"c2", "r1"})
	far := newCandidates(3, Place{"c3", "r2"})
	all := append(append(append([]Candidate{}, near...), region...), far...)
	tests := []struct {
		name     string
		loaded   []Candidate
		load     int
		deadline time.Duration
		list     []Candidate
		scope    Scope
	}{
		{"idle", nil, 0, 0, all, SameCentre},
		{"data centre overloaded", near, 14, 0, all, SameRegion},
		{"region busy without deadline", all[:6], 12, 0, all, SameCentre},
		{"region full without deadline", all[:6], 17, 0, all, OtherRegion},
		{"all full without deadline", all, 17, 0, all, SameCentre},
		{"region misses the deadline", all[:6], 12, 6 * time.Second, all, OtherRegion},
		{"region meets the deadline", all[:6], 12, 9 * time.Second, all, SameCentre},
		{"one target of the region meets the deadline", all[:5], 12, 6 * time.Second, all, SameRegion},
		{"all miss the deadline", all, 12, 6 * time.Second, all, SameCentre},
		{"no candidate in the region", nil, 0, 0, far, OtherRegion},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAffinity(Place{"c1", "r1"}, testSource())
			for _, c := range all {
				a.RecordLoad(c.Name, Load{Slots: 8, At: start})
			}
			for _, c := range tt.loaded {
				a.RecordLoad(c.Name, Load{Running: 8, Waiting: tt.load - 8, Slots: 8, At: start.Add(time.Second)})
			}
			now := start.Add(2 * time.Second)
			r := Request{Prefix: 1, Length: 5 * time.Second}
			if tt.deadline > 0 {
				r.Deadline = now.Add(tt.deadline)
			}
			got, ok := a.Choose(now, r, NewList(tt.list))
			if !ok || got.Scope != tt.scope {
				t.Errorf("choice = %+v, want scope %s", got, tt.scope)
			}
			if (got.AddedLatency > 0) != (got.Scope == OtherRegion) {
				t.Errorf("added latency %s for scope %s", got.AddedLatency, got.Scope)
			}
		})
	}
}

// Guards against a wrong load estimate: a load report that lags may omit the
// router's own requests or include them a second time.
func TestLoad(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l := NewLoads()
	l.RecordSent(at(1), "a")
	l.RecordSent(at(3), "a")
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"own only", func() {}, 2},
		{"report counts the first", func() { l.RecordLoad("a", Load{Running: 5, Slots: 8, At: at(2)}) }, 6},
		{"first ends", func() { l.RecordDone(at(4), "a", at(1)) }, 5},
		{"older report", func() { l.RecordLoad("a", Load{Running: 9, Slots: 8, At: at(1)}) }, 5},
		{"newer report", func() { l.RecordLoad("a", Load{Running: 7, Slots: 8, At: at(5)}) }, 7},
	}
	for _, s := range steps {
		s.do()
		if got, _, _ := l.Load(at(6), "a"); got != s.want {
			t.Errorf("%s: load = %d, want %d", s.name, got, s.want)
		}
	}
	l.RecordLoad("a", LoadFromMessage(at(8), &wirepb.Load{Running: 1, Waiting: 2, Slots: 4, Age: 1500}))
	if got, slots, _ := l.Load(at(8), "a"); got != 3 || slots != 4 {
		t.Errorf("load of a message = %d of %d, want 3 of 4", got, slots)
	}
	if got, _, known := l.Load(at(60), "a"); got != 1 || known {
		t.Errorf("after the report expired: load = %d, known = %v, want 1, false", got, known)
	}
}

// Guards against a policy that chooses an excluded target.
func TestExclude(t *testing.T) {
	list := newCandidates(3, Place{"c1", "r1"})
	r := Request{Exclude: []string{list[0].Name, list[1].Name}}
	for _, p := range policies {
		policy := p.make(Place{"c", "r"}, testSource(), 1)
		for range 20 {
			if c, ok := policy.Choose(start, r, NewList(list)); !ok || c.Name != list[2].Name {
				t.Errorf("%s chose %+v", p.name, c)
			}
		}
		if c, ok := policy.Choose(start, Request{Exclude: r.Exclude}, NewList(list[:2])); ok {
			t.Errorf("%s chose %+v although all are excluded", p.name, c)
		}
	}
}

// Guards against two kinds of hot spots: a target that never reported and looks idle
// gets all requests, or two popular prefixes are spread over the same targets.
func TestSpread(t *testing.T) {
	list := newCandidates(200, Place{"c1", "r1"})
	used := make(map[uint64]map[string]int)
	for prefix := range uint64(2) {
		used[prefix] = make(map[string]int)
		a := NewAffinity(Place{"c1", "r1"}, testSource(), WithPeers(10))
		for i := range 30 {
			now := start.Add(time.Duration(i) * time.Second)
			c, _ := a.Choose(now, Request{Prefix: prefix, Length: time.Second}, NewList(list))
			used[prefix][c.Name]++
			a.RecordSent(now, c.Name)
		}
	}
	shared := 0
	for name := range used[0] {
		if used[1][name] > 0 {
			shared++
		}
	}
	if n := len(used[0]); n < 4 || n > 30 || shared > n/3 {
		t.Errorf("targets used: %v, shared %d", used, shared)
	}
	for busy := range 2 {
		a := NewAffinity(Place{"c1", "r1"}, testSource())
		for range defaultSlots {
			a.RecordSent(start, list[busy].Name)
		}
		if c, _ := a.Choose(start, Request{}, NewList(list[:2])); c.Name != list[1-busy].Name {
			t.Errorf("choice = %+v, want the idle target", c)
		}
	}
}

// Measures the cost of one choice at the planned number of targets.
func BenchmarkDecision(b *testing.B) {
	list := newCandidates(1400, Place{"c", "r"})
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			policy, n := p.make(Place{"c", "r"}, testSource(), 320), uint64(0)
			for _, c := range list {
				policy.RecordLoad(c.Name, Load{Running: 4, Slots: 8, At: start})
			}
			candidates := NewList(list)
			b.ReportAllocs()
			for b.Loop() {
				n++
				policy.Choose(start.Add(time.Second), Request{Prefix: n % 5000}, candidates)
			}
		})
	}
}
