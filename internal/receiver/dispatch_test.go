package receiver

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/retrier"
)

// Guards against a backlog that is only added to, against a refusal of what was
// sent already, and against refused requests that count as load.
func TestOverload(t *testing.T) {
	d := NewDispatch(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))))
	d.Roster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "i-1", Service: "engine", Addr: "10.0.0.1:80", Slots: 64})
	})
	service := &resolver.Service{Name: "engine", Engine: &resolver.Engine{Slots: 64, PerEvent: 4}}
	now := time.Unix(1000, 0)
	// Reading a prompt takes an engine about 2.7 s, by the users' sheet.
	prompt := chooser.PrefillRequest{Parts: []chooser.Part{{ID: 1, Tokens: 100_000}}, Tokens: 100_000, FirstTokenTarget: time.Second, ResponseTimeout: 10 * time.Second}
	first, err := d.Choose(now, service, prompt, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	var backlog time.Duration
	for range 3 {
		lane, err := d.Choose(now, service, prompt, nil, true)
		var full overload
		if !errors.As(err, &full) || full.after <= 0 || lane.Target.ID != "i-1" || backlog > 0 && lane.Pick.Backlog != backlog {
			t.Errorf("behind a backlog of %v: %+v, %v", backlog, lane, err)
		}
		backlog = lane.Pick.Backlog
	}
	again, err := d.Choose(now, service, prompt, nil, false)
	if err != nil {
		t.Errorf("a request that was sent before: %v", err)
	}
	d.Done(now, first, nil)
	d.Done(now, again, nil)
	if _, err := d.Choose(now, service, prompt, nil, true); err != nil {
		t.Errorf("without a backlog: %v", err)
	}
	if _, err := d.Choose(now, service, prompt, []string{"i-1"}, true); !errors.Is(err, errNoTargets) {
		t.Errorf("without a target left: %v", err)
	}
}
