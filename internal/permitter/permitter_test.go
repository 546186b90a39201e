package permitter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisylane/internal/granter"
	"daisylane/internal/throttler"
)

// fleet is several instances that call each other. Instance 0 is the home of all targets,
// then 1, and so on.
type fleet struct {
	mu        sync.Mutex
	instances []*Permitter
	down      map[string]bool
	unknown   map[string]bool // an instance that the others do not know yet
}

// member is one instance's view of a fleet.
type member struct {
	*fleet
	index int
}

func (m member) Rank(string) (peers []granter.Lender, before int) {
	for i := range m.instances {
		if name := fmt.Sprint(i); i != m.index && !m.unknown[name] {
			peers = append(peers, granter.Lender{Name: name})
			if i < m.index {
				before++
			}
		}
	}
	return peers, before
}

func (m member) RankVersion() int64 { return 1 }

func (m member) AskPermits(ctx context.Context, peer granter.Lender, a throttler.Ask) (throttler.Grant, error) {
	m.mu.Lock()
	down := m.down[peer.Name]
	m.mu.Unlock()
	if down {
		return throttler.Grant{}, errors.New("down")
	}
	var i int
	_, _ = fmt.Sscan(peer.Name, &i)
	return m.instances[i].GrantPermits(ctx, a), nil
}

func (m member) ExchangeCold(ctx context.Context, peer granter.Lender, r throttler.ColdReports) (throttler.ColdReports, error) {
	return throttler.ColdReports{}, errors.New("not served")
}

func newFleet(n int, started func(i int) time.Time) *fleet {
	f := &fleet{down: make(map[string]bool), unknown: make(map[string]bool)}
	for i := range n {
		m := member{f, i}
		f.instances = append(f.instances, New(fmt.Sprint(i), m, m, WithStart(started(i))))
	}
	return f
}

// granted returns how many permits an instance with a limit of 10 a second gets in a time.
func (f *fleet) granted(t *testing.T, d time.Duration, askers ...int) (n int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, i := range askers {
			a := throttler.Ask{Instance: fmt.Sprint(i), Service: "pool", Target: "i-0", PerSecond: 10, Permits: 5, Demand: 10}
			g, err := f.instances[i].askHome(t.Context(), a)
			if err != nil {
				t.Fatal(err)
			}
			n += g.Permits
		}
	}
	return n
}

// Guards against several instances that give out permits of one target at the same time:
// because all have just started, one has and the others do not know it, or one is asked
// by a roundabout way; and against permits that end with the home.
func TestOneHome(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fleet)
		young  []bool
	}{
		{"settled", func(*fleet) {}, []bool{false, false, false}},
		{"all have just started", func(*fleet) {}, []bool{true, true, true}},
		{"home has just started", func(*fleet) {}, []bool{true, false, false}},
		{"home is not known yet", func(f *fleet) { f.unknown["0"] = true }, []bool{true, false, false}},
		{"home is down", func(f *fleet) { f.down["0"] = true }, []bool{false, false, false}},
		{"two are down", func(f *fleet) { f.down["0"], f.down["1"] = true, true }, []bool{false, false, false, false}},
	}
	for _, tt := range tests {
		// The time is that of the test, as permits that nobody asks for while the machine is busy
		// are lost.
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(len(tt.young), func(i int) time.Time {
					if tt.young[i] {
						return time.Now()
					}
					return time.Now().Add(-time.Hour)
				})
				tt.change(f)
				var askers []int
				for i := range f.instances {
					if !f.down[fmt.Sprint(i)] {
						askers = append(askers, i)
					}
				}
				// 10 a second, and what is kept for a burst.
				if n := f.granted(t, time.Second, askers...); n < 5 || n > 16 {
					t.Errorf("%d permits in a second, want about 10", n)
				}
			})
		})
	}
}

// Guards against a request that fails although a permit comes shortly after it arrived.
func TestPermitIsAwaited(t *testing.T) {
	f := newFleet(2, func(int) time.Time { return time.Now().Add(-time.Hour) })
	p, perSecond := f.instances[1], 20.0
	go p.Run(t.Context())
	p.RecordLimit(throttler.Target{Service: "pool", ID: "i-0"}, time.Now(), &perSecond)
	began := time.Now()
	for len(p.AppendClosed(nil, time.Now(), "pool", 1)) > 0 {
		p.RecordRequest("pool")
		if time.Since(began) > 3*time.Second {
			t.Fatal("no permit came")
		}
		p.Await(t.Context(), p.OpensIn(time.Now(), []string{"i-0"}))
	}
	p.Take(time.Now(), "i-0")
}

// Guards against the limits of targets that left while the whole fleet was down, which
// would stay in the store for good.
func TestUnlistedTargetIsForgotten(t *testing.T) {
	f := newFleet(1, func(int) time.Time { return time.Now() })
	p, now := f.instances[0], time.Now()
	p.state.ObserveList(now, []throttler.Stored{
		{Record: throttler.Record{Service: "pool", Target: "i-gone", PerSecond: 1}, Version: 1},
		{Record: throttler.Record{Service: "pool", Target: "i-here", PerSecond: 1}, Version: 2},
	}, false)
	for range 3 {
		p.ForgetUnlisted(func(id string) bool { return id == "i-here" })
	}
	due := p.state.Due(now.Add(time.Minute))
	if len(due) != 1 || due[0].Name != "i-gone" || !due[0].Remove {
		t.Errorf("writes %+v, want the removal of i-gone", due)
	}
}
