package receiver

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
)

// Guards against a target outside the allowed regions or in an evacuated data centre that is chosen, also if the breakers of
// all allowed ones are open or they were tried, or that makes a software version count as
// served, and against a refusal whose cause or time to come back is not what is known.
func TestChoiceInPlaces(t *testing.T) {
	const evacuatedFor = 5 * time.Second
	north, unknown := []string{"north"}, []string{"east"}
	tests := []struct {
		name    string
		regions []string
		targets string // data centres of the ready targets, also their IDs and versions
		tried   []string
		broken  string   // target whose breaker is open
		closed  []string // evacuated data centres
		want    string   // chosen target
		after   time.Duration
		none    bool // no target is left to try
	}{
		{name: "any", targets: "b", want: "b"},
		{name: "allowed", regions: north, targets: "abc", want: "a"},
		{name: "breaker open", regions: north, targets: "abc", broken: "a", want: "a"},
		{name: "tried", regions: north, targets: "abc", tried: []string{"a"}, none: true},
		{name: "none up in the region", regions: north, targets: "bc", after: regionDelay},
		{name: "data centre that the settings don't know", regions: north, targets: "x", after: regionDelay},
		{name: "unknown region", regions: unknown, targets: "abc", after: unknownRegionDelay},
		{name: "unknown region, nothing up", regions: unknown, after: unknownRegionDelay},
		{name: "nothing up anywhere", regions: north, none: true},
		{name: "some evacuated", targets: "abc", closed: []string{"a", "c"}, want: "b"},
		{name: "evacuated, breaker open", targets: "ab", closed: []string{"a"}, broken: "b", want: "b"},
		{name: "all evacuated", targets: "abc", closed: []string{"a", "b", "c"}, after: evacuatedFor},
		{name: "allowed region evacuated", regions: north, targets: "abc", closed: []string{"a"}, after: evacuatedFor},
		{name: "other region evacuated", regions: north, targets: "bc", closed: []string{"b", "c"}, after: regionDelay},
		{name: "evacuated, nothing up", closed: []string{"a", "b", "c"}, none: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDispatcher(chooser.Place{Region: "south"}, map[string]string{"a": "north", "b": "south", "c": "south"}, retrier.New(rand.New(rand.NewPCG(1, 1))), WithEvacuations())
			d.WithRoster(func(r *follower.Roster) {
				for _, c := range tt.targets {
					r.Put(follower.Target{ID: string(c), Service: "s", Addr: "10.0.0.1:80", Centre: string(c), Version: string(c)})
				}
			})
			now, service, places := time.Unix(1000, 0), &resolver.Service{Name: "s"}, restrictor.Places{}.WithRegions(tt.regions)
			if d.Ready() {
				t.Error("ready before the evacuations are listed")
			}
			d.ChangeEvacuations(func(e *restrictor.Evacuations) { e.SetList(now.Add(-evacuatedFor), tt.closed) })
			for range 20 * len(tt.broken) {
				d.retries.Conclude(now, retrier.Attempt{Target: tt.broken, Outcome: retrier.Unknown, Deadline: now})
			}
			if tt.broken != "" && len(d.retries.AppendBlocked(nil, now)) == 0 {
				t.Fatal("the breaker is closed")
			}
			for range 10 {
				chosen, err := d.Choose(now, service, places, chooser.PrefillRequest{ResponseTimeout: time.Second}, tt.tried, nil, true)
				var misplaced placesError
				if errors.As(err, &misplaced); misplaced.opensIn != tt.after || chosen.Target.ID != tt.want || errors.Is(err, errNoTargets) != tt.none {
					t.Fatalf("got target %q, error %v; want %q, back in %v", chosen.Target.ID, err, tt.want, tt.after)
				}
				if early := d.CheckPlaces(now, service, places); (early != nil) != (tt.after > 0) {
					t.Errorf("early check: %v", early)
				}
			}
			if serves := d.Serves(service, places, "b"); serves != (tt.want == "b") {
				t.Errorf("version of a target outside counts as served: %v", serves)
			}
		})
	}
}
