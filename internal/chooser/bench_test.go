package chooser

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var policies = []struct {
	name string
	make func(p Place, r *rand.Rand, peers int) Policy
}{
	{"affinity", func(p Place, r *rand.Rand, n int) Policy { return NewAffinity(p, r, WithPeers(n)) }},
	{"roundrobin", func(_ Place, r *rand.Rand, _ int) Policy { return NewRoundRobin(r.IntN(1 << 20)) }},
	{"leastload", func(_ Place, r *rand.Rand, _ int) Policy { return NewLeastLoaded(r) }},
	{"poweroftwo", func(_ Place, r *rand.Rand, _ int) Policy { return NewPowerOfTwo(r) }},
}

// Measures the prefix cache hit rate, lost requests, waits and times to first token
// of each policy in a simulation.
func BenchmarkPolicies(b *testing.B) {
	for _, size := range []struct {
		targets, routers, centres, seeds int
		length                           time.Duration
	}{{18, 3, 1, 8, 8 * time.Minute}, {1400, 320, 1, 3, time.Minute}, {1400, 320, 6, 3, time.Minute}} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("targets=%d/centres=%d/%s", size.targets, size.centres, p.name), func(b *testing.B) {
				for b.Loop() {
					list := simulateSeeds(simConfig{
						targets: size.targets, routers: size.routers, centres: size.centres, demand: underload, length: size.length, policy: p.make,
					}, size.seeds)
					report(b, list, "hits", func(r result) float64 { return r.hits })
					report(b, list, "lost", func(r result) float64 { return r.lost })
					report(b, list, "hops", func(r result) float64 { return r.hops })
					report(b, list, "mean-wait-s", func(r result) float64 { return r.mean.Seconds() })
					report(b, list, "p95-wait-s", func(r result) float64 { return r.p95.Seconds() })
					report(b, list, "mean-first-token-s", func(r result) float64 { return r.meanFirst.Seconds() })
					report(b, list, "p95-first-token-s", func(r result) float64 { return r.p95First.Seconds() })
				}
			})
		}
	}
}

// Measures the worth of the requests served at 1.5 times capacity, as a share of
// that of an ideal schedule.
func BenchmarkWorth(b *testing.B) {
	for _, p := range policies {
		for _, shed := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/shed=%v", p.name, shed), func(b *testing.B) {
				for b.Loop() {
					list := simulateSeeds(simConfig{
						targets: 18, routers: 3, demand: overload, length: 5 * time.Minute, worth: true, shed: shed, policy: p.make,
					}, 8)
					report(b, list, "of-ideal", func(r result) float64 { return r.worth })
					report(b, list, "hits", func(r result) float64 { return r.hits })
				}
			})
		}
	}
}

// Guards against an affinity policy that is worse than a baseline in wait or time to
// first token, by the mean or the 95th percentile, or that has less than twice the
// cache hits of a baseline.
func TestAffinityBeatsBaselines(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name  string
		setup simConfig
		seeds int
	}{
		{"current size", simConfig{targets: 18, routers: 3, length: 4 * time.Minute}, 4},
		{"planned size", simConfig{targets: 1400, routers: 320, centres: 6, warmUp: 30 * time.Second, length: 10 * time.Second}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.setup.demand = underload
			own, others := compare(tt.setup, tt.seeds)
			for name, other := range others {
				if own.worse(other) || own.hits < 2*other.hits {
					t.Errorf("affinity %+v, %s %+v", own, name, other)
				}
			}
		})
	}
}

// Guards against lost worth under overload. At 1.5 times capacity, the affinity
// policy with load shedding must achieve at least 95% of the worth of an ideal
// schedule, and more than each baseline with or without load shedding.
func TestWorthAtOverload(t *testing.T) {
	t.Parallel()
	s := simConfig{targets: 18, routers: 3, demand: overload, length: 2 * time.Minute, worth: true}
	_, without := compare(s, 2)
	s.shed = true
	own, with := compare(s, 2)
	if own.worth < 0.95 {
		t.Errorf("worth = %.3f of the ideal, want at least 0.95", own.worth)
	}
	for name := range with {
		if other := max(without[name].worth, with[name].worth); own.worth <= other {
			t.Errorf("worth = %.3f of the ideal, %s = %.3f", own.worth, name, other)
		}
	}
}

// compare returns the mean results of the affinity policy and of each baseline.
func compare(s simConfig, seeds int) (own result, others map[string]result) {
	list := make([]result, len(policies))
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() {
			s := s
			s.policy = p.make
			list[i] = average(simulateSeeds(s, seeds))
		})
	}
	wg.Wait()
	others = make(map[string]result)
	for i, p := range policies[1:] {
		others[p.name] = list[i+1]
	}
	return list[0], others
}
