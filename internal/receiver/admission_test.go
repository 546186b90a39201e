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

// Guards against refusing a request because the target that has its prefix cached is busy
// while another one is idle, and against admitting one when all are busy.
func TestRefusedOnlyIfAllAreBusy(t *testing.T) {
	now := time.Unix(1000, 0)
	service := &resolver.Service{Name: "pool", Engine: &resolver.Engine{Slots: 64, KVCapacity: 1 << 20, MaxTokensPerEvent: 5}}
	prompt := chooser.PrefillRequest{
		Parts: []chooser.Part{{ID: 7, Tokens: 13300}, {ID: 8, Tokens: 3700}}, Tokens: 17000, MaxOutput: 100, Priority: 1, Service: "pool",
		FirstTokenTarget: 800 * time.Millisecond, ResponseTimeout: 8 * time.Second, ExpectedEvents: 10,
	}
	d := NewDispatcher(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))))
	d.WithRoster(func(r *follower.Roster) {
		for _, id := range []string{"a", "b"} {
			r.Put(follower.Target{ID: id, Service: "pool", Addr: "10.0.0.1:80", Slots: 64})
		}
	})
	first, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	preferred := first.Target.ID
	other := "a"
	if preferred == other {
		other = "b"
	}
	// Requests without an answer that are waited for longer than the objective, but not for as
	// long as reading the prefix again at another target counts.
	block := func(id string) {
		for range 12 {
			if _, err := d.Choose(now, service, restrictor.Places{}, prompt, []string{map[string]string{"a": "b", "b": "a"}[id]}, nil, false); err != nil {
				t.Fatal(err)
			}
		}
	}
	block(preferred)
	got, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true)
	if err != nil || got.Target.ID != other {
		t.Errorf("preferred target busy: %s, %v, want %s", got.Target.ID, err, other)
	}
	block(other)
	var overloaded overloadError
	if _, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true); !errors.As(err, &overloaded) {
		t.Errorf("all targets busy: %v, want a refusal", err)
	}
}

// Guards against shares that see no account: the decision must know who asks, and a refusal
// must say that the account has used up its share.
func TestRefusalNamesExceededShare(t *testing.T) {
	now := time.Unix(1000, 0)
	service := &resolver.Service{Name: "pool", Engine: &resolver.Engine{Slots: 4096, KVCapacity: 1 << 30, MaxTokensPerEvent: 5}}
	d := NewDispatcher(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))))
	d.WithRoster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "a", Service: "pool", Addr: "10.0.0.1:80", Slots: 4096})
	})
	exceeded := map[string]int{}
	var open []ChosenTarget
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		account := "surging"
		if i%8 == 0 {
			account = "usual"
		}
		if i%2 == 0 && len(open) > 0 {
			d.RecordFirstEvent(now, open[0])
			d.FinishAttempt(now, open[0], nil)
			open = open[1:]
		}
		chosen, err := d.Choose(now, service, restrictor.Places{}, chooser.PrefillRequest{
			Tokens: 3000, MaxOutput: 100, Service: "pool", Account: account, FirstTokenTarget: 800 * time.Millisecond, ResponseTimeout: time.Minute,
		}, nil, nil, true)
		if err == nil {
			open = append(open, chosen)
		}
		var overloaded overloadError
		if errors.As(err, &overloaded) && overloaded.exceeded {
			exceeded[account]++
		}
	}
	if exceeded["surging"] == 0 || exceeded["usual"] > 0 {
		t.Errorf("refusals of accounts beyond their share: %v, want only the surging one", exceeded)
	}
}
