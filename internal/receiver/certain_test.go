package receiver

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
)

// takenLimits records the targets whose permits are used.
type takenLimits struct {
	noLimits
	taken *[]string
}

func (l takenLimits) Take(_ time.Time, id string) { *l.taken = append(*l.taken, id) }

// newUncertain returns a dispatcher with a target "a" and a target "b" of uncertain version, and
// a function that chooses a target for a new stream of an account.
func newUncertain(taken *[]string) (*Dispatcher, func(account string, tokens int64) (ChosenTarget, error)) {
	d := NewDispatcher(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))), WithLimits(takenLimits{taken: taken}))
	d.WithRoster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "a", Service: "pool", Addr: "10.0.0.1:80", Slots: 4096})
		r.Put(follower.Target{ID: "b", Service: "pool", Addr: "10.0.0.2:80", Slots: 4096})
		r.RecordRefused(time.Now(), "10.0.0.2:80")
		r.RecordDialled(time.Now(), "10.0.0.2:80")
	})
	r := New(nil, d, nil, nil)
	service := &resolver.Service{Name: "pool", Engine: &resolver.Engine{Slots: 4096, KVCapacity: 1 << 30, MaxTokensPerEvent: 5}}
	route := &resolver.Route{Kind: resolver.Stream, Resumable: true, LatencyTarget: 800 * time.Millisecond, MaxAttempts: 2}
	return d, func(account string, tokens int64) (ChosenTarget, error) {
		j := &job{r: r, service: service, route: route, account: &resolver.Account{Name: account}, meta: RequestMeta{PromptTokens: tokens, MaxOutputTokens: 100}}
		return j.chooseTarget(time.Minute)
	}
}

// Guards against a permit that is used up for a target that the request is not sent to, because
// another one was chosen after all.
func TestPermitOfChosenTargetOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var taken []string
		d, choose := newUncertain(&taken)
		if got, err := choose("one", 1000); err != nil || got.Target.ID != "a" {
			t.Fatalf("chosen %q, %v, want the target of certain version", got.Target.ID, err)
		}
		// A prompt that takes longer than half of the objective, but may be waited for.
		busy := chooser.PrefillRequest{Tokens: 20_000, Service: "pool"}
		if _, err := d.Choose(time.Now(), &resolver.Service{Name: "pool"}, restrictor.Places{}, busy, []string{"b"}, nil, false); err != nil {
			t.Fatal(err)
		}
		taken = nil
		if got, err := choose("one", 1000); err != nil || got.Target.ID != "b" || !slices.Equal(taken, []string{"b"}) {
			t.Errorf("chosen %q, %v, permits used of %v, want b", got.Target.ID, err, taken)
		}
	})
}

// Guards against requests that count twice in the share of their account, which is then refused
// although it asks for no more than others.
func TestRequestCountsOnceInShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var taken []string
		d, choose := newUncertain(&taken)
		refused, exceeded := map[string]int{}, map[string]int{}
		var open []ChosenTarget
		for i := range 800 {
			time.Sleep(25 * time.Millisecond)
			if i%2 == 0 && len(open) > 0 {
				d.RecordFirstEvent(time.Now(), open[0])
				d.FinishAttempt(time.Now(), open[0], nil)
				open = open[1:]
			}
			var chosen ChosenTarget
			var err error
			account := "streams"
			if i%4 == 0 {
				chosen, err = choose(account, 3000)
			} else {
				account = []string{"one", "two", "three"}[i%4-1]
				service := &resolver.Service{Name: "pool", Engine: &resolver.Engine{Slots: 4096, KVCapacity: 1 << 30, MaxTokensPerEvent: 5}}
				chosen, err = d.Choose(time.Now(), service, restrictor.Places{}, chooser.PrefillRequest{
					Tokens: 3000, MaxOutput: 100, Service: "pool", Account: account, FirstTokenTarget: 800 * time.Millisecond, ResponseTimeout: time.Minute, ExpectedEvents: 5,
				}, nil, nil, true)
			}
			if err == nil {
				open = append(open, chosen)
			}
			var overloaded overloadError
			if errors.As(err, &overloaded) {
				refused[account]++
				if overloaded.exceeded {
					exceeded[account]++
				}
			}
		}
		if len(refused) != 4 || len(exceeded) > 0 {
			t.Errorf("refusals %v, of them beyond a share %v, want some of each and none", refused, exceeded)
		}
	})
}
