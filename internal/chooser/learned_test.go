package chooser

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// load is a simulated load of a deployment.
type load struct {
	deployment deployment
	factor     float64 // of the usual load
	burst      burst
}

// outcome sums up what callers got.
type outcome struct {
	worth    float64            // share of the worth of all requests in time
	others   float64            // the same of the accounts without a surge
	surging  float64            // served share of the account with a surge
	usual    float64            // served share of the others
	err      float64            // median error of the estimates
	inTime   map[string]float64 // share of the requests, by workload
	served   map[string]float64
	late     map[string]float64       // share of the answers
	p50, p95 map[string]time.Duration // of the time to first event
}

// play simulates a load with several seeds.
func (l load) play(seeds int, policy func(deployment) placement) outcome {
	sims := make([]*streamSim, seeds)
	var wg sync.WaitGroup
	for i := range sims {
		wg.Go(func() { sims[i] = simulateStreams(uint64(i), l.deployment, l.factor, l.burst, policy(l.deployment)) })
	}
	wg.Wait()
	sum, others, firsts := map[string]outcomeCounts{}, map[string]outcomeCounts{}, map[string][]time.Duration{}
	var errors []float64
	for _, m := range sims {
		for name, c := range m.result {
			sum[name] = sum[name].plus(c)
			others[name] = others[name].plus(m.others[name])
			firsts[name] = append(firsts[name], m.firsts[name]...)
		}
		errors = append(errors, m.errors...)
	}
	o := outcome{worth: l.deployment.earnedWorthShare(sum), others: l.deployment.earnedWorthShare(others), inTime: map[string]float64{}, served: map[string]float64{}, late: map[string]float64{}, p50: map[string]time.Duration{}, p95: map[string]time.Duration{}}
	var surging, usual outcomeCounts
	for name, c := range sum {
		surging, usual = surging.plus(c.minus(others[name])), usual.plus(others[name])
	}
	o.surging, o.usual = surging.served(), usual.served()
	slices.Sort(errors)
	o.err = errors[len(errors)/2]
	for name, c := range sum {
		list := firsts[name]
		slices.Sort(list)
		o.inTime[name], o.served[name] = float64(c.inTime)/float64(c.sent), c.served()
		o.late[name] = float64(c.late) / float64(max(1, c.inTime+c.late))
		o.p50[name], o.p95[name] = list[len(list)/2], list[len(list)*95/100]
	}
	return o
}

func (o outcome) String() string {
	s := fmt.Sprintf("worth %.3f, error %.2f", o.worth, o.err)
	for _, name := range slices.Sorted(maps.Keys(o.inTime)) {
		s += fmt.Sprintf("; %s in time %.3f, served %.3f, late %.3f, p50 %d, p95 %d", name, o.inTime[name], o.served[name], o.late[name], o.p50[name].Milliseconds(), o.p95[name].Milliseconds())
	}
	return s
}

// Guards against refusals and placement by the figures of one deployment. The limits are
// what the former constants reached (mean of six seeds), less the noise of three seeds. The
// estimates may be a little worse than theirs where these were right.
func TestLearnedLatency(t *testing.T) {
	changing := func(speed float64) deployment {
		d := repairDesk
		d.speeds, d.speedUp = []float64{0.6, 1, 1.6}, speed
		return d
	}
	for _, tt := range []struct {
		name     string
		load     load
		minWorth float64
		maxErr   float64
	}{
		{"speed 0.3", load{deployment: repairDesk.scaled(0.3), factor: 0.54}, 0.324, 0.82},
		{"speed 0.6", load{deployment: repairDesk.scaled(0.6), factor: 1.08}, 0.703, 0.68},
		{"speed 1", load{deployment: repairDesk, factor: 1.8}, 0.895, 0.58},
		{"speed 2", load{deployment: repairDesk.scaled(2), factor: 3.6}, 0.975, 0.79},
		{"speed 4", load{deployment: repairDesk.scaled(4), factor: 7.2}, 0.990, 1.00},
		{"unequal, slower at once", load{deployment: changing(0.6), factor: 1.08}, 0.863, 0.60},
		{"unequal, faster at once", load{deployment: changing(1.6), factor: 1.8}, 0.900, 0.60},
		{"small chunks, first delay", load{deployment: helpDesk, factor: 1.17}, 0.918, 0.45},
	} {
		got := tt.load.play(3, func(d deployment) placement { return newPrefillPlacement(d, true) })
		t.Logf("%s: %v", tt.name, got)
		if got.worth < tt.minWorth-0.01 || got.err > tt.maxErr {
			t.Errorf("%s: worth %.3f, want at least %.3f; median error of the estimates %.2f, want at most %.2f", tt.name, got.worth, tt.minWorth, got.err, tt.maxErr)
		}
	}
}

// Guards against urgent requests that wait behind long prompts of less urgent ones under
// overload, and against the starvation of any kind. minWorth is what the version without
// learned latency and priorities reached (six seeds).
func TestUrgencyUnderOverload(t *testing.T) {
	const seeds, capacity = 3, 1.3
	long := burst{"long", 2.5, 10 * time.Second, 16 * time.Second}
	short := burst{"short", 2.5, 10 * time.Second, 16 * time.Second}
	for _, tt := range []struct {
		routers  int
		factor   float64 // of capacity
		burst    burst
		minWorth float64
	}{
		{4, 0.6, burst{}, 0.964},
		{4, 0.9, burst{}, 0.918},
		{4, 1.3, burst{}, 0.841},
		{4, 2, burst{}, 0.461},
		{4, 0.77, long, 0.926},
		{4, 0.77, short, 0.940},
		{30, 0.6, burst{}, 0.959},
		{30, 0.9, burst{}, 0.897},
		{30, 1.3, burst{}, 0.761},
		{30, 2, burst{}, 0.433},
		{30, 0.77, long, 0.859},
		{30, 0.77, short, 0.900},
	} {
		d := helpDesk
		d.routers = tt.routers
		got := load{d, tt.factor * capacity, tt.burst}.play(seeds, func(d deployment) placement { return newPrefillPlacement(d, true) })
		name := fmt.Sprintf("%d instances at %v of capacity %s", tt.routers, tt.factor, tt.burst.workload)
		t.Logf("%s: %v", name, got)
		if got.worth < tt.minWorth-0.01 {
			t.Errorf("%s: worth %.3f, want at least %.3f", name, got.worth, tt.minWorth)
		}
		for i, w := range d.workloads {
			if got.served[w.name] < got.served["short"]/4 {
				t.Errorf("%s: served share of %s is %.3f, of short %.3f", name, w.name, got.served[w.name], got.served["short"])
			}
			for _, urgent := range d.workloads[i+1:] {
				if got.served[urgent.name] < got.served[w.name]-0.05 {
					t.Errorf("%s: served share of %s is %.3f, of the less urgent %s %.3f", name, urgent.name, got.served[urgent.name], w.name, got.served[w.name])
				}
			}
		}
	}
}

// Guards against an account with four times its usual demand that takes the shares of the
// others while a tenth of the requests is refused, against limits that cost all accounts together more than seeds differ, and against
// the starvation of that account: its fair share is what each other one may use, and at least
// a quarter of its demand if the others get theirs.
func TestSurgeOfOneAccount(t *testing.T) {
	const seeds, capacity = 12, 1.3
	for _, tt := range []struct {
		routers int
		factor  float64 // of capacity, without the surge
	}{{4, 0.6}, {4, 0.9}, {4, 1.3}, {4, 2}, {30, 0.6}, {30, 0.9}, {30, 1.3}, {30, 2}} {
		d := helpDesk
		d.routers, d.accounts, d.surge = tt.routers, 6, 4
		l := load{d, tt.factor * capacity, burst{}}
		got := l.play(seeds, func(d deployment) placement { return newPrefillPlacement(d, true) })
		without := l.play(seeds, func(d deployment) placement {
			p := newPrefillPlacement(d, true)
			p.anonymous = true
			return p
		})
		name := fmt.Sprintf("%d instances at %v of capacity", tt.routers, tt.factor)
		t.Logf("%s: worth %.3f, of the others %.3f, served %.3f and %.3f; without shares %.3f, %.3f, %.3f and %.3f", name,
			got.worth, got.others, got.surging, got.usual, without.worth, without.others, without.surging, without.usual)
		if got.others < without.others-0.01 || got.worth < without.worth-0.01 {
			t.Errorf("%s: worth %.3f, of the others %.3f; without shares %.3f and %.3f", name, got.worth, got.others, without.worth, without.others)
		}
		if got.surging < got.usual/4 || got.surging >= got.usual && without.usual < 0.9 {
			t.Errorf("%s: served share of the account with a surge is %.3f, of the others %.3f", name, got.surging, got.usual)
		}
	}
}

// Guards against a model that a few stalled engines or delayed first events spoil, and
// one that stays at its defaults.
func TestLatencyModelOutliers(t *testing.T) {
	const fixed, rate = 60, 15.0 // milliseconds, and milliseconds per 1,000 tokens
	rng := rand.New(rand.NewPCG(1, 1))
	m, now := newLatencyModel(), time.Unix(1000, 0)
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		x := features{featureConstant: 1, featureUncached: 10 * rng.Float64(), featureBacklog: 20 * rng.Float64()}
		took := (fixed + rate*(x[featureUncached]+x[featureBacklog])) * (0.8 + 0.4*rng.Float64())
		if i%20 == 0 {
			took += 5000
		}
		m.update(now, &x, took)
	}
	x := features{featureConstant: 1, featureUncached: 5, featureBacklog: 10}
	if got, want := m.estimate(&x), fixed+rate*15; math.Abs(got/want-1) > 0.2 {
		t.Errorf("estimate is %.0f ms, want about %.0f ms", got, want)
	}
}

func BenchmarkPrefillPolicy(b *testing.B) {
	nodes := make([]Node, 60)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprint("engine-", i), Place: Place{"a", "r"}, Slots: 64, Memory: 365_510}
	}
	r := PrefillRequest{Parts: []Part{{ID: 7, Tokens: 13_300}, {ID: 8, Tokens: 3720}}, Tokens: 17_020, MaxOutput: 400, Service: "engines"}
	p, now := NewPrefillPolicy(Place{"a", "r"}), time.Unix(1000, 0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(25 * time.Millisecond)
		r.Parts[0].ID = uint64(i % 61)
		choice, _ := p.Choose(now, r, nodes)
		req := p.RecordSent(now, nodes[choice.Index].Name, r, choice)
		p.RecordFirstEvent(now.Add(150*time.Millisecond), req)
		p.RecordDone(req)
	}
}
