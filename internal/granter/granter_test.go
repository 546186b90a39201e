package granter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

const second = time.Second

// newReadyGranter returns an instance that has written its ledger and its grant.
func newReadyGranter(t *testing.T, name string, b Budget, version uint64, prepaid int64, peers ...string) *Granter {
	t.Helper()
	g := New(Identity{Name: name, Addr: name, Incarnation: name + "-1", Boot: "boot"})
	for _, p := range peers {
		g.SetPeer(p, p)
	}
	g.SetPrepaid("rider-app", prepaid)
	g.Recover(second, Ledger{})
	g.ObserveBudget(second, "rider-app", b, version)
	g.SetReady()
	writeLedgerAndBudget(g, second)
	writeLedgerAndBudget(g, second)
	return g
}

// writeLedgerAndBudget simulates successful writes of the budget and the ledger.
func writeLedgerAndBudget(g *Granter, now time.Duration) {
	b, version := g.PlanBudget(now, "rider-app")
	g.BudgetSent("rider-app", b)
	g.ObserveBudget(now, "rider-app", b, version+1)
	l := g.PlanLedger(now)
	g.LedgerSent(l)
	g.LedgerWritten(l)
}

// Guards against refusing a request whose tokens are available, against the wrong outcome when
// they are not, and against a preview that differs or reserves something.
func TestReserve(t *testing.T) {
	tests := []struct {
		name    string
		prepaid int64
		others  Grant // grant of another instance
		prepare func(*Granter)
		n       int64
		want    Outcome
	}{
		{"not limited", -1, Grant{}, nil, 1 << 30, Reserved},
		{"within the limit", 1000, Grant{}, func(g *Granter) { g.AddWaiting("rider-app", 500, false); writeLedgerAndBudget(g, second) }, 500, Reserved},
		{"beyond the limit", 1000, Grant{}, func(g *Granter) { g.AddWaiting("rider-app", 500, true); writeLedgerAndBudget(g, second) }, 500, Limited},
		{"beyond the grant", 1000, Grant{Granted: 100, Spent: 100}, nil, 900, Short},
		{"all used by others", 1000, Grant{Granted: 800, Spent: 600, ReservedTokens: 200}, nil, 201, Exhausted},
		{"granted to others", 1000, Grant{Granted: 800, Spent: 600}, nil, 300, Short},
		{"perhaps used by a lost instance", 1000, Grant{Granted: 800, Spent: 800, Lost: 600}, nil, 800, Withheld},
		{"few tokens perhaps used by a lost instance", 1000, Grant{Granted: 800, Spent: 800, Lost: 200}, nil, 300, Exhausted},
		{"used without what a lost instance may have used", 1000, Grant{Granted: 800, Spent: 800, Lost: 600}, nil, 801, Exhausted},
		{"lowered below what is granted", 1000, Grant{Granted: 800}, func(g *Granter) { g.SetPrepaid("rider-app", 700) }, 10, Short},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := Budget{}.WithGrant("entry-2", tt.others)
			g := newReadyGranter(t, "entry-1", b, 1, tt.prepaid)
			if tt.prepare != nil {
				tt.prepare(g)
			}
			preview := g.Preview(second, "rider-app", tt.n)
			if d := g.Reserve(second, "rider-app", tt.n); d.Outcome != tt.want || d != preview {
				t.Errorf("got %+v, want %s and the preview %+v", d, tt.want, preview)
			}
		})
	}
}

// Guards against reserving tokens before the instance has read how much its previous
// process may have spent.
func TestReserveBeforeRecovery(t *testing.T) {
	g := New(Identity{Name: "entry-1", Incarnation: "1"})
	g.SetPrepaid("rider-app", 1000)
	if d := g.Reserve(second, "rider-app", 1); d.Outcome != Unready {
		t.Errorf("got %+v", d)
	}
}

// Guards against counting more tokens as lost after a crash than the ledger limit
// allowed, and against comparing clock readings of different boots.
func TestRecover(t *testing.T) {
	old := Ledger{Incarnation: "a", Number: 1, Boot: "boot", Time: 1000, Accounts: map[string]Limit{"rider-app": {Limit: 300, Rate: 100}}}
	grant := Grant{Granted: 1000, Spent: 250, WrittenBy: "a"}
	tests := []struct {
		name string
		boot string
		now  time.Duration
		want int64
	}{
		{"restarted at once", "boot", 2 * second, 300},
		{"after the limits grew", "boot", second + LimitGrowthDelay + 2*second, 500},
		{"after the limits reached the grant", "boot", second + LimitGrowthDelay + 20*second, 1000},
		{"other boot", "other", 2 * second, 1000},
		{"unknown boot", "", 2 * second, 1000},
		{"clock before the ledger", "boot", second / 2, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Identity{Name: "entry-1", Incarnation: "b", Boot: tt.boot})
			g.SetPrepaid("rider-app", 1000)
			g.Recover(tt.now, old)
			g.ObserveBudget(tt.now, "rider-app", Budget{}.WithGrant("entry-1", grant), 5)
			if lost := g.LostTokens()["rider-app"]; lost != tt.want-grant.Spent {
				t.Errorf("lost %d, want %d", lost, tt.want-grant.Spent)
			}
		})
	}
}

// Guards against tokens that are reported as lost by each process after the one that lost them,
// although none of these used any.
func TestTokensAreLostOnce(t *testing.T) {
	for by, want := range map[string]int64{"a": 50, "z": 0} {
		g := New(Identity{Name: "entry-1", Incarnation: "b", Boot: "boot"})
		g.SetPrepaid("rider-app", 1000)
		g.Recover(second, Ledger{Incarnation: "a", Boot: "boot", Time: 1, Accounts: map[string]Limit{"rider-app": {Limit: 300}}})
		g.ObserveBudget(second, "rider-app", Budget{}.WithGrant("entry-1", Grant{Granted: 1000, Spent: 250, WrittenBy: by}), 5)
		if lost := g.LostTokens()["rider-app"]; lost != want {
			t.Errorf("grant written by %s: lost %d, want %d", by, lost, want)
		}
	}
}

// Guards against an instance that loses the store and refuses requests although its
// grant has tokens left, and against limits that grow before the ledger is
// LimitGrowthDelay old, while a successor may still start from the old limit.
func TestLimitGrowsWithAge(t *testing.T) {
	g := newReadyGranter(t, "entry-1", Budget{}, 1, 1_000_000)
	g.AddGrantDemand(second, "rider-app", 20_000)
	writeLedgerAndBudget(g, second)
	writeLedgerAndBudget(g, second)
	n := g.account("rider-app").granted - g.account("rider-app").used()
	if d := g.Reserve(second+LimitGrowthDelay, "rider-app", n); d.Outcome != Limited {
		t.Errorf("when the ledger is LimitGrowthDelay old: %+v", d)
	}
	if d := g.Reserve(second+LimitGrowthDelay+limitGrowthTime+second, "rider-app", n); d.Outcome != Reserved {
		t.Errorf("after the limit has grown: %+v", d)
	}
}

// Guards against an instance that keeps unused tokens when another one needs them or
// when it stops.
func TestGrantIsReturned(t *testing.T) {
	tests := []struct {
		name  string
		grant Grant // grant of another instance
		stop  bool
		want  int64 // tokens granted afterwards
	}{
		{"needed elsewhere", Grant{Granted: 400, Wanted: 250}, false, 350},
		{"more needed than is unused", Grant{Granted: 400, Wanted: 2000}, false, 100},
		{"graceful shutdown", Grant{Granted: 400}, true, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newReadyGranter(t, "entry-1", Budget{}.WithGrant("entry-2", Grant{Granted: 400}), 1, 1000)
			a := g.account("rider-app")
			g.ObserveBudget(second, "rider-app", a.budget.WithGrant("entry-1", Grant{Granted: 600, WrittenBy: "entry-1-1"}).WithGrant("entry-2", tt.grant), a.version+1)
			a.spent = 100
			if tt.stop {
				g.Stop()
			}
			if !slices.Contains(g.BudgetsDue(second, false), "rider-app") {
				t.Error("no budget write is due")
			}
			b, _ := g.PlanBudget(second, "rider-app")
			if got := b.Grants["entry-1"].Granted; got != tt.want {
				t.Errorf("granted = %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against instances that disagree about the home of an account: more or less
// than one sees itself as the home, or the others do not ask it first.
func TestLenders(t *testing.T) {
	names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	homes := 0
	var home string
	for _, name := range names {
		g := newReadyGranter(t, name, Budget{}, 1, 1000, names...)
		lenders := g.Lenders("rider-app")
		if len(lenders) == 0 {
			homes++
			home = name
		}
	}
	if homes != 1 {
		t.Fatalf("%d instances see themselves as the home, want 1", homes)
	}
	for _, name := range names {
		lenders := newReadyGranter(t, name, Budget{}, 1, 1000, names...).Lenders("rider-app")
		if name != home && (len(lenders) == 0 || lenders[0].Name != home) {
			t.Errorf("%s asks %v first, the home is %s", name, lenders, home)
		}
	}
}

// Guards against counting borrowed tokens as spent from the own grant, and against
// losing those that a request reserved but did not use.
func TestBorrowedTokens(t *testing.T) {
	g := newReadyGranter(t, "entry-1", Budget{}, 1, 1000)
	g.AddBorrowed("rider-app", 700)
	d := g.Reserve(second, "rider-app", 500)
	if d.Outcome != Reserved || d.Borrowed != 500 || d.Own != 0 {
		t.Fatalf("got %+v", d)
	}
	g.Settle("rider-app", d, 300)
	a := g.account("rider-app")
	if a.borrowed != 400 || a.spent != 0 || a.reserved != 0 {
		t.Errorf("borrowed %d, spent %d, reserved %d", a.borrowed, a.spent, a.reserved)
	}
}

// Guards against lending tokens of an account whose prepaid budget is unknown here.
func TestLendUnlimited(t *testing.T) {
	g := newReadyGranter(t, "entry-1", Budget{}, 1, -1)
	if d := g.Lend(second, "rider-app", 10); d.Outcome == Reserved {
		t.Error("tokens of an account without a known prepaid budget were lent")
	}
}

// Guards against routine ledger writes of a large fleet exceeding the store's write
// capacity, and against limits that do not cover the demand until the next ledger.
func TestLedgerInterval(t *testing.T) {
	tests := []struct {
		peers    int
		interval time.Duration
	}{
		{3, LedgerInterval},
		{11, LedgerInterval},
		{22, 1320 * time.Millisecond},
		{140, 1400 * time.Millisecond},
		{320, 1600 * time.Millisecond}, // 320 instances at 200 ledger writes per second
	}
	for _, tt := range tests {
		peers := make([]string, tt.peers-1)
		for i := range peers {
			peers[i] = fmt.Sprint("entry-", i+2)
		}
		g := newReadyGranter(t, "entry-1", Budget{}, 1, 1_000_000, peers...)
		now := second
		for range 100 { // 10,000 tokens a second
			now += second / 10
			g.AddGrantDemand(now, "rider-app", 1000)
			g.AddLocalDemand(now, "rider-app", 1000)
		}
		writeLedgerAndBudget(g, now)
		writeLedgerAndBudget(g, now)
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

// Guards against store calls that multiply while many instances start: all of them
// would take grants of all accounts before they know each other, and a successor would
// write budgets in which nothing is left of its grant.
func TestNoNeedlessBudgetWrites(t *testing.T) {
	spent := Budget{}.WithGrant("entry-1", Grant{Granted: 500, Spent: 500, WrittenBy: "entry-1-0"})
	left := Budget{}.WithGrant("entry-1", Grant{Granted: 500, Spent: 100, WrittenBy: "entry-1-0"})
	tests := []struct {
		name    string
		budget  Budget
		ledger  Ledger
		prepare func(*Granter)
		want    bool
	}{
		{"start of the fleet", Budget{}, Ledger{}, func(*Granter) {}, false},
		{"other instances are known", Budget{}, Ledger{}, func(g *Granter) { g.ObserveLedgers(second, map[string]Ledger{"entry-1": {}}, nil) }, true},
		{"demand at the start", Budget{}, Ledger{}, func(g *Granter) { g.AddGrantDemand(second, "rider-app", 10) }, true},
		{"request waits", Budget{}, Ledger{}, func(g *Granter) { g.AddWaiting("rider-app", 10, true) }, true},
		{"all spent by the predecessor", spent, Ledger{Incarnation: "entry-1-0", Accounts: map[string]Limit{"rider-app": {Limit: 500}}}, func(*Granter) {}, false},
		{"some left by the predecessor", left, Ledger{Incarnation: "entry-1-0", Accounts: map[string]Limit{"rider-app": {Limit: 100}}}, func(*Granter) {}, true},
		{"first write without a response", Budget{}, Ledger{}, func(g *Granter) {
			b, _ := g.PlanBudget(second, "rider-app")
			g.BudgetSent("rider-app", b)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Identity{Name: "entry-1", Addr: "entry-1", Incarnation: "entry-1-1", Boot: "boot"})
			g.SetPrepaid("rider-app", 1000)
			g.Recover(second, tt.ledger)
			if len(tt.budget.Grants) > 0 {
				g.ObserveBudget(second, "rider-app", tt.budget, 5)
			}
			g.SetReady()
			tt.prepare(g)
			if got := slices.Contains(g.BudgetsDue(second, false), "rider-app"); got != tt.want {
				t.Errorf("due: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against stored figures without sense that are taken for real.
func TestCheckGrant(t *testing.T) {
	tests := []struct {
		name  string
		grant Grant
		ok    bool
	}{
		{"valid", Grant{Granted: 5, Spent: 3, LargeRequest: 2}, true},
		{"negative grant", Grant{Granted: -1}, false},
		{"negative spend", Grant{Spent: -1}, false},
		{"negative size of a request", Grant{LargeRequest: -1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.grant.Check(); (err == nil) != tt.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a loan that is cancelled twice or used after it was cancelled, which
// would spend its tokens twice, and against records that are kept forever.
func TestCancelledLoan(t *testing.T) {
	g := New(Identity{Name: "entry-1"})
	l := Loan{ID: "loan-1", Account: "rider-app"}
	if !g.RecordLoan(second, l, 500) || g.RecordLoan(second, l, 500) {
		t.Error("a loan can be made other than once")
	}
	if first, again := g.CancelLoan(second, l.ID), g.CancelLoan(second, l.ID); first != 500 || again != 0 || g.account("rider-app").borrowed != 500 {
		t.Errorf("cancelling returned %d, then %d tokens, %d are left to lend", first, again, g.account("rider-app").borrowed)
	}
	l.ID = "loan-2"
	if g.CancelLoan(second, l.ID) != 0 || g.RecordLoan(2*second, l, 500) {
		t.Error("a loan is made after it was cancelled")
	}
	g.CancelLoan(second+2*loanMemory, "loan-3")
	if len(g.loans) != 1 || len(g.recentLoans) != 1 {
		t.Errorf("%d loans are remembered", len(g.loans))
	}
}

// Guards against a grant that an instance keeps for good, or for long after it was asked for
// tokens, although another one is the home of the account: nobody uses it, and it is lost with
// the instance.
func TestStrayGrantIsReturned(t *testing.T) {
	const prepaid = 2_000_000
	tests := []struct {
		name   string
		demand int64 // before the home is known
		after  time.Duration
	}{
		{"without demand", 0, demandWindow},
		{"no longer asked", 30_000, strayAge},
	}
	for _, tt := range tests {
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			g := newReadyGranter(t, name, Budget{}, 1, prepaid) // acts as home while it is alone
			if tt.demand > 0 {
				g.AddGrantDemand(second, "rider-app", tt.demand)
			}
			done := g.AddWaiting("rider-app", 30_000, true)
			writeLedgerAndBudget(g, second)
			done()
			g.SetPeer("entry-1", "entry-1")
			g.SetPeer("entry-2", "entry-2")
			g.SetPeer("entry-3", "entry-3")
			now := second + tt.after
			due := slices.Contains(g.BudgetsDue(now, true), "rider-app")
			next, _ := g.PlanBudget(now, "rider-app")
			returned := due && next.Grants[name].Granted == 0
			if returned == g.isHome("rider-app") {
				t.Errorf("%s, %s is home: %v, returns its grant: %v", tt.name, name, g.isHome("rider-app"), returned)
			}
		}
	}
}

// Guards against a loan for a request whose tokens are there.
func TestOwnTokensNeedNoLoan(t *testing.T) {
	g := newReadyGranter(t, "entry-1", Budget{}, 1, 10_000, "entry-2", "entry-3")
	g.AddGrantDemand(second, "rider-app", 2000)
	writeLedgerAndBudget(g, second)
	if !g.CanReserve(second, "rider-app", 500) || g.CanReserve(second, "rider-app", 9000) {
		t.Errorf("%d own tokens are available", g.AvailableTokens(second, "rider-app"))
	}
}

// Guards against grants that are too small to bridge an outage of the store although the
// budget lasts long, or right after an outage, and against large ones of which much is lost when
// it runs out or that can't be used under a limit that does not grow.
func TestGrantHorizon(t *testing.T) {
	tests := []struct {
		name      string
		remaining int64
		min, max  int64         // tokens granted at a demand of 1000 per second
		outage    time.Duration // time since one, 0: there was none
	}{
		{"lasts 1000 s", 1_000_000, 3500, 6000, 0},
		{"lasts 50 s", 50_000, 1500, 3000, 0},
		{"lasts 10 s", 10_000, 500, 1500, 0},
		{"lasts 1000 s, after an outage", 1_000_000, 7000, 12_000, second},
		{"lasts 1000 s, long after an outage", 1_000_000, 3500, 6000, outageMemory},
		{"lasts 30 s, after an outage", 30_000, 500, 2000, second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newReadyGranter(t, "entry-1", Budget{}, 1, tt.remaining)
			now := second
			for range 600 { // until the share for the start has decayed
				now += 100 * time.Millisecond
				g.AddGrantDemand(now, "rider-app", 100)
			}
			if tt.outage > 0 {
				g.RecordOutage(now - tt.outage)
			}
			next, _ := g.PlanBudget(now, "rider-app")
			if got := next.Grants["entry-1"].Granted; got < tt.min || got > tt.max {
				t.Errorf("%d tokens are granted, want %d to %d", got, tt.min, tt.max)
			}
		})
	}
}

// Guards against tokens that count as spent without proof and are shown by no instance, or by
// two.
func TestUnprovenTokens(t *testing.T) {
	b := Budget{}.
		WithGrant("entry-1", Grant{Granted: 100, Spent: 100, Lost: 10, WrittenBy: "x"}).
		WithGrant("entry-2", Grant{Granted: 100, Spent: 100, Lost: 20, WrittenBy: "y"}).
		WithGrant("entry-3", Grant{Granted: 100, Spent: 100, Lost: 30}).
		WithGrant(writtenOff, Grant{Granted: 100, Spent: 100, Lost: 40})
	sums := make(map[Unproven]int64)
	for _, name := range []string{"entry-1", "entry-2"} {
		g := newReadyGranter(t, name, Budget{}, 1, 1000)
		g.account("rider-app").budget = b
		g.SetPeer("entry-1", "a")
		g.SetPeer("entry-2", "b")
		for u, tokens := range g.UnprovenTokens() {
			sums[u] += tokens
		}
	}
	want := map[Unproven]int64{{"entry-1", Restarted}: 10, {"entry-2", Restarted}: 20, {"entry-3", Unanswered}: 30, {"", WrittenOff}: 40}
	if !maps.Equal(sums, want) {
		t.Errorf("got %v, want %v", sums, want)
	}
}

// Guards against tokens that count as spent for certain though only the limit of a killed
// process allowed them, and against ones that count as uncertain after a process has ended in
// order.
func TestPriorSpendIsUncertain(t *testing.T) {
	tests := []struct {
		name   string
		closed bool
		by     string // that wrote the grant
		want   int64
	}{
		{"killed", false, "a", 50},
		{"ended in order", true, "a", 0},
		{"ended in order before it had written the grant", true, "z", 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := New(Identity{Name: "entry-1", Incarnation: "b", Boot: "boot"})
			g.SetPrepaid("rider-app", 1000)
			g.Recover(second, Ledger{Incarnation: "a", Boot: "boot", Time: 1, Closed: tt.closed, Accounts: map[string]Limit{"rider-app": {Limit: 300}}})
			g.ObserveBudget(second, "rider-app", Budget{}.WithGrant("entry-1", Grant{Granted: 1000, Spent: 250, WrittenBy: tt.by}), 5)
			if b, _ := g.PlanBudget(second, "rider-app"); b.Grants["entry-1"].Spent != 300 || b.Grants["entry-1"].Lost != tt.want {
				t.Errorf("got %+v, want %d lost", b.Grants["entry-1"], tt.want)
			}
		})
	}
}

// Guards against a fixed limit in the last ledger of a process that still has requests: it
// would be taken for what the process has spent.
func TestClosedLedgerIsNotExact(t *testing.T) {
	g := newReadyGranter(t, "entry-1", Budget{}, 1, 1000)
	g.AddGrantDemand(second, "rider-app", 500)
	writeLedgerAndBudget(g, second)
	if d := g.Reserve(second, "rider-app", 100); d.Outcome != Reserved || g.PlanLedger(second).Accounts["rider-app"].Rate != 0 {
		t.Fatalf("got %+v, and a limit that grows", d)
	}
	g.Close()
	if l := g.PlanLedger(second).Accounts["rider-app"]; l.Rate == 0 {
		t.Errorf("got %+v", l)
	}
}
