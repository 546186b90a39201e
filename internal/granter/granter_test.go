package granter

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const second = time.Second

// ready returns an instance that has written its ledger and its part of the budget.
func ready(t *testing.T, name string, b Budget, version uint64, prepaid int64, peers ...string) *Granter {
	t.Helper()
	g := New(Self{Name: name, Addr: name, Incarnation: name + "-1", Boot: "boot"})
	for _, p := range peers {
		g.Peer(p, p)
	}
	g.Prepaid("rider-app", prepaid)
	g.Recover(second, Ledger{})
	g.Observe(second, "rider-app", b, version)
	g.Ready()
	writeBoth(g, second)
	writeBoth(g, second)
	return g
}

// writeBoth writes ledger and budget without a fault.
func writeBoth(g *Granter, now time.Duration) {
	b, version := g.PlanBudget(now, "rider-app")
	g.BudgetSent("rider-app", b)
	g.Observe(now, "rider-app", b, version+1)
	l := g.PlanLedger(now)
	g.LedgerSent(l)
	g.LedgerWritten(l)
}

// Guards against a refusal while the tokens are there, and against a wrong reason.
func TestReserve(t *testing.T) {
	tests := []struct {
		name    string
		prepaid int64
		others  Holding // of another instance
		prepare func(*Granter)
		n       int64
		want    Outcome
	}{
		{"not limited", -1, Holding{}, nil, 1 << 30, Reserved},
		{"within the limit", 1000, Holding{}, func(g *Granter) { g.Wait("rider-app", 500, false); writeBoth(g, second) }, 500, Reserved},
		{"beyond the limit", 1000, Holding{}, func(g *Granter) { g.Wait("rider-app", 500, true); writeBoth(g, second) }, 500, Limited},
		{"beyond the grant", 1000, Holding{Held: 100, Spent: 100}, nil, 900, Short},
		{"all used by others", 1000, Holding{Held: 800, Spent: 600, Open: 200}, nil, 201, Exhausted},
		{"held by others", 1000, Holding{Held: 800, Spent: 600}, nil, 300, Short},
		{"lowered below what is granted", 1000, Holding{Held: 800}, func(g *Granter) { g.Prepaid("rider-app", 700) }, 10, Short},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := Budget{}.WithPart("entry-2", tt.others)
			g := ready(t, "entry-1", b, 1, tt.prepaid)
			if tt.prepare != nil {
				tt.prepare(g)
			}
			if d := g.Reserve(second, "rider-app", tt.n); d.Outcome != tt.want {
				t.Errorf("got %+v, want %s", d, tt.want)
			}
		})
	}
}

// Guards against an instance that serves before it has read what its former
// process may have spent.
func TestUnready(t *testing.T) {
	g := New(Self{Name: "entry-1", Incarnation: "1"})
	g.Prepaid("rider-app", 1000)
	if d := g.Reserve(second, "rider-app", 1); d.Outcome != Unready {
		t.Errorf("got %+v", d)
	}
}

// Guards against losing more after a kill than the ledger allowed, and against
// trusting a clock of another boot.
func TestRecover(t *testing.T) {
	old := Ledger{Incarnation: "a", Number: 1, Boot: "boot", Time: 1000, Accounts: map[string]Limit{"rider-app": {Limit: 300, Rate: 100}}}
	part := Holding{Held: 1000, Spent: 250, By: "a"}
	tests := []struct {
		name string
		boot string
		now  time.Duration
		want int64
	}{
		{"restarted at once", "boot", 2 * second, 300},
		{"after the limits grew", "boot", second + LimitHold + 2*second, 500},
		{"after the limits reached the grant", "boot", second + LimitHold + 20*second, 1000},
		{"other boot", "other", 2 * second, 1000},
		{"unknown boot", "", 2 * second, 1000},
		{"clock before the ledger", "boot", second / 2, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Self{Name: "entry-1", Incarnation: "b", Boot: tt.boot})
			g.Prepaid("rider-app", 1000)
			g.Recover(tt.now, old)
			g.Observe(tt.now, "rider-app", Budget{}.WithPart("entry-1", part), 5)
			if lost := g.Lost()["rider-app"]; lost != tt.want-part.Spent {
				t.Errorf("lost %d, want %d", lost, tt.want-part.Spent)
			}
		})
	}
}

// Guards against an instance that is cut off and stops serving though it holds
// tokens, and against limits that open while a successor could still start.
func TestLimitOpens(t *testing.T) {
	g := ready(t, "entry-1", Budget{}, 1, 1_000_000)
	g.Ask(second, "rider-app", 20_000)
	writeBoth(g, second)
	writeBoth(g, second)
	n := g.account("rider-app").held - g.account("rider-app").used()
	if d := g.Reserve(second+LimitHold, "rider-app", n); d.Outcome != Limited {
		t.Errorf("before the ledger is old: %+v", d)
	}
	if d := g.Reserve(second+LimitHold+limitRamp+second, "rider-app", n); d.Outcome != Reserved {
		t.Errorf("after the limits grew: %+v", d)
	}
}

// Guards against tokens that stay with an instance while another one lacks them.
func TestReturn(t *testing.T) {
	tests := []struct {
		name string
		part Holding // of another instance
		stop bool
		want int64 // held afterwards
	}{
		{"wanted elsewhere", Holding{Held: 400, Want: 250}, false, 350},
		{"wanted beyond what is free", Holding{Held: 400, Want: 2000}, false, 100},
		{"a planned stop", Holding{Held: 400}, true, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := ready(t, "entry-1", Budget{}.WithPart("entry-2", Holding{Held: 400}), 1, 1000)
			a := g.account("rider-app")
			g.Observe(second, "rider-app", a.budget.WithPart("entry-1", Holding{Held: 600, By: "entry-1-1"}).WithPart("entry-2", tt.part), a.version+1)
			a.spent = 100
			if tt.stop {
				g.Stop()
			}
			if !slices.Contains(g.BudgetsDue(second, false), "rider-app") {
				t.Error("no write is due")
			}
			b, _ := g.PlanBudget(second, "rider-app")
			if got := b.Parts["entry-1"].Held; got != tt.want {
				t.Errorf("holds %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against instances that disagree about the home of an account.
func TestLenders(t *testing.T) {
	names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	homes := 0
	var first string
	for _, name := range names {
		g := ready(t, name, Budget{}, 1, 1000, names...)
		lenders := g.Lenders("rider-app")
		if len(lenders) == 0 {
			homes++
			first = name
		}
	}
	if homes != 1 {
		t.Fatalf("%d instances take themselves for the home", homes)
	}
	for _, name := range names {
		lenders := ready(t, name, Budget{}, 1, 1000, names...).Lenders("rider-app")
		if name != first && (len(lenders) == 0 || lenders[0].Name != first) {
			t.Errorf("%s asks %v first, the home is %s", name, lenders, first)
		}
	}
}

// Guards against lent tokens that are paid for twice, or lost when a request
// uses less than it reserved.
func TestLent(t *testing.T) {
	g := ready(t, "entry-1", Budget{}, 1, 1000)
	g.Lent("rider-app", 700)
	d := g.Reserve(second, "rider-app", 500)
	if d.Outcome != Reserved || d.Lent != 500 || d.Own != 0 {
		t.Fatalf("got %+v", d)
	}
	g.Settle("rider-app", d, 300)
	a := g.account("rider-app")
	if a.lent != 400 || a.spent != 0 || a.reserved != 0 {
		t.Errorf("lent %d, spent %d, reserved %d", a.lent, a.spent, a.reserved)
	}
}

// Guards against lending what this instance does not know to be prepaid.
func TestLendUnlimited(t *testing.T) {
	g := ready(t, "entry-1", Budget{}, 1, -1)
	if d := g.Lend(second, "rider-app", 10); d.Outcome == Reserved {
		t.Error("tokens are lent of an account without a known budget")
	}
}

// Guards against a fleet whose ledgers alone use up the writes of the store, and
// against limits that don't last until the next ledger of a large fleet.
func TestLedgerInterval(t *testing.T) {
	tests := []struct {
		peers    int
		interval time.Duration
	}{
		{3, LedgerInterval},
		{140, LedgerInterval},
		{320, 1600 * time.Millisecond}, // at 200 ledgers a second
	}
	for _, tt := range tests {
		peers := make([]string, tt.peers-1)
		for i := range peers {
			peers[i] = fmt.Sprint("entry-", i+2)
		}
		g := ready(t, "entry-1", Budget{}, 1, 1_000_000, peers...)
		now := second
		for range 100 { // 10,000 tokens a second
			now += second / 10
			g.Ask(now, "rider-app", 1000)
			g.Arrived(now, "rider-app", 1000)
		}
		writeBoth(g, now)
		writeBoth(g, now)
		if g.LedgerDue(now + tt.interval - time.Millisecond) {
			t.Errorf("%d instances: a ledger is due before %v", tt.peers, tt.interval)
		}
		if !g.LedgerDue(now + tt.interval) {
			t.Errorf("%d instances: no ledger is due after %v", tt.peers, tt.interval)
		}
		if got, want := g.PlanLedger(now).Accounts["rider-app"].Limit, int64(9000*tt.interval.Seconds()); got < want {
			t.Errorf("%d instances: the limit is %d, want the demand until the next ledger, %d", tt.peers, got, want)
		}
	}
}
