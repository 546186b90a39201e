package receiver

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/previewer"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
)

// closedLimits has a cold target, one without a permit, and one that is both cold and paused.
type closedLimits struct{ noLimits }

func (closedLimits) AppendClosed(list []string, _ time.Time, _ string, _ int) []string {
	return append(list, "cold", "limited", "paused")
}

func (closedLimits) AppendCold(list []string, _ time.Time, _ string) []string {
	return append(list, "cold", "paused")
}

func (closedLimits) OpensIn(_ time.Time, ids []string) time.Duration {
	return map[string]time.Duration{"cold": 3 * time.Second, "limited": 40 * time.Millisecond}[ids[0]]
}

// Guards against an operator who is told a wrong reason why a target gets no request, or a wrong
// time until it does, if several reasons hold; against targets that are left out; and against a
// report that changes what is decided next.
func TestCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	retries := retrier.New(rand.New(rand.NewPCG(1, 1)))
	d := NewDispatcher(chooser.Place{Centre: "a", Region: "north"}, map[string]string{"a": "north", "b": "south", "c": "north"}, retries, WithLimits(closedLimits{}), WithEvacuations())
	target := func(id string) follower.Target {
		return follower.Target{ID: id, Service: "pool", Addr: "10.0.0.1:80", Centre: "a", Version: "v1", Slots: 4}
	}
	d.WithRoster(func(r *follower.Roster) {
		for _, id := range []string{"breaker", "cold", "full", "leaving", "limited", "paused", "ready"} {
			r.Put(target(id))
		}
		elsewhere, evacuated, old, other := target("elsewhere"), target("evacuated"), target("old"), target("other")
		elsewhere.Centre, evacuated.Centre, old.Version, other.Service = "b", "c", "v0", "other"
		for _, t := range []follower.Target{elsewhere, evacuated, old, other} {
			r.Put(t)
		}
		r.MarkLeaving("leaving")
	})
	d.ChangeEvacuations(func(e *restrictor.Evacuations) { e.Add(now, "c") })
	for _, id := range []string{"paused", "leaving", "elsewhere", "evacuated", "old"} {
		d.RecordResponse(now, now, target(id), ResponseMeta{Pause: 5 * time.Second})
	}
	d.RecordResponse(now, now, target("full"), ResponseMeta{Load: &Load{Running: 64, Slots: 4}})
	for range 20 {
		retries.Conclude(now, retrier.Attempt{Target: "breaker", Outcome: retrier.NotRun, Number: 1})
	}
	service := &resolver.Service{Name: "pool", Engine: &resolver.Engine{Slots: 4, KVCapacity: 1 << 20, MaxTokensPerEvent: 4}}
	p := chooser.PrefillRequest{Tokens: 1000, MaxOutput: 10, Service: "pool"}
	places := restrictor.Places{}.WithRegions([]string{"north"})
	tests := []struct {
		target, reason string
		left           int64
		estimate       bool
	}{
		{"breaker", previewer.BreakerOpen, 0, true},
		{"cold", previewer.Cold, 3000, true},
		{"elsewhere", previewer.OtherRegion, 0, false},
		{"evacuated", previewer.Evacuated, 0, false},
		{"full", previewer.Full, 0, false},
		{"leaving", previewer.Leaving, 0, false},
		{"limited", previewer.Limited, 40, true},
		{"old", previewer.OtherVersion, 0, true},
		{"paused", previewer.Paused, 4000, true},
		{"ready", "", 0, true},
	}
	c := d.clone(closedLimits{})
	later := now.Add(time.Second)
	list := c.candidates(later, service, places, p, []string{"v1"})
	if again := c.candidates(later, service, places, p, []string{"v1"}); !reflect.DeepEqual(list, again) {
		t.Errorf("a second report differs: %+v, before %+v", again, list)
	}
	if len(list) != len(tests) {
		t.Fatalf("got %d targets, want %d: %+v", len(list), len(tests), list)
	}
	for i, tt := range tests {
		got := list[i]
		if got.Target != tt.target || got.Reason != tt.reason || got.Left != tt.left || (got.Estimate != nil) != tt.estimate {
			t.Errorf("got %+v, want %+v", got, tt)
		}
	}
	chosen, err := d.Choose(later, service, places, p, nil, []string{"v1"}, true)
	if err != nil || chosen.Target.ID != "ready" || list[9].Addr != chosen.Target.Addr || list[9].Centre != "a" || list[9].Version != "v1" {
		t.Errorf("chosen %q, %v, want the only candidate without a reason: %+v", chosen.Target.ID, err, list[9])
	}
}
