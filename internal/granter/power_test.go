package granter

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// steadyTick is the time between two actions of an instance under steady load.
const steadyTick = 20 * time.Millisecond

// steadyRequests is how many requests there are in a second, steadyDemand their mean tokens.
const (
	steadyRequests = 10
	steadyDemand   = steadyRequests * 2000
)

// steadyLoad plays a fleet with a store that responds, or does not respond at all.
type steadyLoad struct {
	*simulation
	account   string
	budgets   map[*simHost]time.Duration // when a budget may be written again
	stale     map[*simHost]time.Duration // when outdated figures are written next
	asked     int
	served    int
	usedTotal int64
}

func newSteadyLoad(t *testing.T, seed uint64, hosts int, lasts time.Duration) *steadyLoad {
	s := &steadyLoad{simulation: newSimulation(t, seed, noFlaw, 0, false), account: testAccounts[0], budgets: make(map[*simHost]time.Duration), stale: make(map[*simHost]time.Duration)}
	s.reliable = true
	s.prepaid = int64(lasts.Seconds()*steadyDemand) + 60*steadyDemand
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprintf("entry-%d", i), usedOrLent: make(map[string]int64)})
	}
	for _, h := range s.hosts {
		s.reboot(h)
		s.start(h)
	}
	s.play(60 * time.Second) // until the demand is known
	return s
}

func (s *steadyLoad) play(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += steadyTick {
		for _, h := range s.hosts {
			if h.granter != nil {
				s.tick(h)
			}
		}
		if s.randomBool(steadyRequests * steadyTick.Seconds()) {
			if h := s.hosts[s.rng.IntN(len(s.hosts))]; h.granter != nil {
				s.serve(h)
			}
		}
	}
}

func (s *steadyLoad) tick(h *simHost) {
	g, now := h.granter, s.clock(h)
	if s.away {
		return
	}
	if g.LedgerDue(now) {
		s.writeLedger(h)
	}
	stale := s.now >= s.stale[h]
	if stale {
		s.stale[h] = s.now + 4*time.Second
		s.observe(h)
	}
	if s.now >= s.budgets[h] && slices.Contains(g.BudgetsDue(now, stale), s.account) {
		s.putBudget(h, s.account)
		s.budgets[h] = s.now + 60*time.Millisecond
	}
}

// serve reserves tokens for a request, which borrows what is missing from the home.
func (s *steadyLoad) serve(h *simHost) {
	g, now, n := h.granter, s.clock(h), 1+s.rng.Int64N(4000)
	g.AddLocalDemand(now, s.account, n)
	s.asked++
	for try := range 2 {
		if !g.CanReserve(now, s.account, n) {
			for _, p := range g.Lenders(s.account) {
				lender := s.hosts[slices.IndexFunc(s.hosts, func(o *simHost) bool { return o.name == p.Name })]
				if lender.granter == nil || lender.muteSteps > 0 {
					continue
				}
				lg, at := lender.granter, s.clock(lender)
				need, requested := g.BorrowAmounts(now, s.account, n)
				lg.AddGrantDemand(at, s.account, need)
				tokens := max(need, min(requested, lg.LendableTokens(s.account, need)))
				d := lg.Lend(at, s.account, tokens)
				if d.Outcome != Reserved {
					s.wait(lender, d)
					d = lg.Lend(at, s.account, tokens)
				}
				if d.Outcome == Reserved {
					lender.usedOrLent[s.account] += d.Own
					g.AddBorrowed(s.account, tokens)
				}
				break
			}
		}
		if try == 0 && !g.NeedsNoGrant(s.account, n) {
			g.AddGrantDemand(now, s.account, n)
		}
		d := g.Reserve(now, s.account, n)
		if d.Outcome == Reserved {
			g.Settle(s.account, d, n)
			s.served++
			s.usedTotal += n
			return
		}
		s.wait(h, d)
	}
}

// wait writes what a request waits for.
func (s *steadyLoad) wait(h *simHost, d Decision) {
	defer h.granter.AddWaiting(s.account, d.Own, d.Outcome == Short)()
	switch {
	case s.away:
	case d.Outcome == Limited:
		s.writeLedger(h)
	case d.Outcome == Short:
		s.putBudget(h, s.account)
		s.writeLedger(h)
	}
}

// losePower ends all instances and starts them on other boots. It returns the tokens that
// count as spent and are not.
func (s *steadyLoad) losePower() int64 {
	var spent int64
	for _, h := range s.hosts {
		h.stop()
		s.now += time.Second / 4
	}
	for _, h := range s.hosts {
		s.reboot(h)
		s.start(h)
		spent += h.granter.account(s.account).spent
	}
	return spent - s.usedTotal
}

// Guards against losing more than a few tenths of a second of the demand when all instances
// lose power while the store responds, and little is left of the budget.
func TestPowerLoss(t *testing.T) {
	const seeds, most = 20, 0.5
	for _, lasts := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second} {
		t.Run(lasts.String(), func(t *testing.T) {
			var sum, worst float64
			for seed := range uint64(seeds) {
				lost := float64(newSteadyLoad(t, seed, 4, lasts).losePower()) / steadyDemand
				sum, worst = sum+lost, max(worst, lost)
			}
			t.Logf("lost %.2f s of the demand, at most %.2f s", sum/seeds, worst)
			if sum/seeds > most {
				t.Errorf("a loss of power costs %.2f s of the demand, want at most %v", sum/seeds, most)
			}
		})
	}
}

// Guards against grants that are as small right after an outage of the store as at any other
// time, although another outage is likely then.
func TestSecondOutage(t *testing.T) {
	const seeds = 20
	tests := []struct {
		lasts, outage time.Duration
		least         float64 // share of the requests served in the second outage
	}{
		// The limits of the ledgers leave out about 1 s, and the grant covers 8 s of at least
		// 0.08 of the time for which the budget lasts.
		{60 * time.Second, 4 * time.Second, 0.5},
		{100 * time.Second, 9 * time.Second, 0.5},
		{400 * time.Second, 9 * time.Second, 0.5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%v of %v", tt.outage, tt.lasts), func(t *testing.T) {
			var served, asked int
			for seed := range uint64(seeds) {
				s := newSteadyLoad(t, seed, 4, tt.lasts)
				s.away = true
				s.play(800 * time.Millisecond)
				s.away = false
				for _, h := range s.hosts {
					h.granter.RecordOutage(s.clock(h))
				}
				s.play(400 * time.Millisecond)
				s.away, s.asked, s.served = true, 0, 0
				s.play(tt.outage)
				served, asked = served+s.served, asked+s.asked
			}
			share := float64(served) / float64(asked)
			t.Logf("%.2f of the requests are served", share)
			if share < tt.least {
				t.Errorf("%.2f of the requests are served in the second outage, want %.2f", share, tt.least)
			}
		})
	}
}
