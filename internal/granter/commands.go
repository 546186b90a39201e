package granter

import (
	"math"
	"slices"
	"time"
)

// unbounded is more than any grant.
const unbounded = math.MaxInt64 / 4

// Prepaid sets what is prepaid for an account; negative means not limited.
func (g *Granter) Prepaid(name string, tokens int64) { g.account(name).prepaid = tokens }

// Recover takes over from the former process of this instance, which must be
// dead. Before anything is reserved, a ledger must be written on the version of
// the one passed here, and the budget of the account, which both void late writes
// of the former process. If the ledger conflicts, the recovery begins again.
func (g *Granter) Recover(now time.Duration, old Ledger) {
	for name := range old.Accounts {
		g.account(name).bound = g.bound(now, old, name)
	}
}

// bound returns the most that the former process can have spent of a grant of
// any size.
func (g *Granter) bound(now time.Duration, old Ledger, name string) int64 {
	limit := old.Accounts[name]
	sameBoot := old.Boot != "" && old.Boot == g.boot && now >= time.Duration(old.Time)*time.Millisecond
	switch {
	case limit.Rate == 0:
		return limit.Limit
	case !sameBoot:
		return unbounded
	}
	return limit.after(old.Age(now))
}

// Peer takes over the address of an instance.
func (g *Granter) Peer(name, addr string) {
	if known, ok := g.peers[name]; ok && known == addr {
		return
	}
	g.peers[name] = addr
	clear(g.lenders)
}

// Observe takes over the budget of an account as read from the store, or as it
// is after a write of this process. Older versions are ignored.
func (g *Granter) Observe(now time.Duration, name string, b Budget, version uint64) {
	a := g.account(name)
	if version < a.version {
		return
	}
	a.budget, a.version = b, version
	// A conditional write on an older version can no longer be carried out.
	a.pending = slices.DeleteFunc(a.pending, func(w write) bool { return w.version < version })
	part := b.Parts[g.name]
	a.held = part.Held
	if a.fenced {
		return
	}
	a.spent = min(part.Held, a.bound)
	if a.asked.at == 0 {
		a.asked, a.large = formerAverage(now, part), float64(part.Large)
	}
	a.fenced = part.By == g.incarnation
}

// BudgetSent announces a write of a budget on the version last observed.
func (g *Granter) BudgetSent(name string, b Budget) {
	a := g.account(name)
	a.pending = append(a.pending, write{version: a.version, held: b.Parts[g.name].Held})
}

// BudgetVoid says that the write announced last had no effect and never will.
func (g *Granter) BudgetVoid(name string) {
	a := g.account(name)
	if n := len(a.pending); n > 0 {
		a.pending = a.pending[:n-1]
	}
}

// LedgerSent announces a write of the ledger.
func (g *Granter) LedgerSent(l Ledger) { g.sent = append(g.sent, l) }

// LedgerVoid says that a write had no effect and never will.
func (g *Granter) LedgerVoid(l Ledger) {
	g.sent = slices.DeleteFunc(g.sent, func(s Ledger) bool { return s.Number == l.Number })
}

// LedgerWritten says that a write took effect. Earlier writes on older versions
// can no longer be carried out.
func (g *Granter) LedgerWritten(l Ledger) {
	if l.Number <= g.ledger.Number && l.Incarnation == g.ledger.Incarnation {
		return
	}
	g.ledger = l
	g.sent = slices.DeleteFunc(g.sent, func(s Ledger) bool { return s.Number <= l.Number })
}

// Ready allows reservations, after a ledger of this incarnation was written.
func (g *Granter) Ready() { g.ready = true }

// Stop makes the following plans return what is not needed.
func (g *Granter) Stop() { g.stopping = true }

// Reserve takes tokens for a request, at its most, or says what is missing.
func (g *Granter) Reserve(now time.Duration, name string, n int64) Decision {
	a := g.account(name)
	d := g.judge(now, name, a, n)
	if d.Outcome == Reserved {
		a.reserved += d.Own
		a.lent -= d.Lent
	}
	return d
}

// Lend takes tokens for another instance, for good.
func (g *Granter) Lend(now time.Duration, name string, n int64) Decision {
	a := g.account(name)
	if a.prepaid < 0 {
		return Decision{Outcome: Short} // not limited here, or not known yet
	}
	d := g.judge(now, name, a, n)
	if d.Outcome == Reserved {
		a.lent -= d.Lent
		a.spent += d.Own
	}
	return d
}

// Lent adds tokens that another instance gave.
func (g *Granter) Lent(name string, n int64) { g.account(name).lent += n }

// TakeSurplus removes lent tokens that the demand does not need, to give them back.
func (g *Granter) TakeSurplus(now time.Duration, name string) int64 {
	a := g.account(name)
	n := a.lent
	if float64(a.prepaid-g.taken(a)) > scarceLarge*a.large {
		n -= int64(a.local.reach(now, lentAhead, 0) + a.large)
	}
	if n <= 0 {
		return 0
	}
	a.lent -= n
	return n
}

// Returned adds tokens that were lent and come back unused. They do not lower
// what counts as spent, since this instance may have been lent them itself.
func (g *Granter) Returned(name string, n int64) { g.Lent(name, n) }

// Ask counts the demand that the own grant has to cover.
func (g *Granter) Ask(now time.Duration, name string, n int64) {
	a := g.account(name)
	a.asked = a.asked.with(now, float64(n))
}

// Arrived counts a request that a caller sent to this instance.
func (g *Granter) Arrived(now time.Duration, name string, n int64) {
	a := g.account(name)
	a.local = a.local.with(now, float64(n))
	a.large = max(float64(n), a.large*largeDecay)
}

// Wait counts a request that waits for tokens; the result ends it.
func (g *Granter) Wait(name string, n int64, short bool) (done func()) {
	a := g.account(name)
	count := &a.waiting
	if short {
		count = &a.want
	}
	*count += n
	return func() { *count -= n }
}

// Settle ends a reservation with what was used of it. Lent tokens are used first.
func (g *Granter) Settle(name string, d Decision, used int64) {
	a := g.account(name)
	lent := min(used, d.Lent)
	a.lent += d.Lent - lent
	a.reserved -= d.Own
	a.spent += min(used-lent, d.Own)
}

// PlanLedger returns the next ledger.
func (g *Granter) PlanLedger(now time.Duration) Ledger {
	g.number++
	l := Ledger{
		Incarnation: g.incarnation, Number: g.number, Boot: g.boot, Time: now.Milliseconds(), Addr: g.addr,
		Accounts: make(map[string]Limit, len(g.accounts)),
	}
	for name, a := range g.accounts {
		switch {
		case !a.fenced && a.bound > 0:
			l.Accounts[name] = Limit{Limit: a.bound}
		case !a.fenced, a.prepaid < 0 && a.held == 0:
		case a.held == 0, g.stopping && a.reserved == 0 && a.waiting == 0:
			l.Accounts[name] = Limit{Limit: a.spent}
		default:
			l.Accounts[name] = Limit{
				Limit: a.used() + a.waiting + int64(a.asked.reach(now, max(limitAhead, g.ledgerInterval()), limitSpread)),
				Rate:  max(1, int64(float64(a.held-a.used())/limitRamp.Seconds())),
			}
		}
	}
	return l
}

// PlanBudget returns the next budget of an account and the version it replaces.
func (g *Granter) PlanBudget(now time.Duration, name string) (Budget, uint64) {
	a := g.account(name)
	return a.budget.WithPart(g.name, g.part(now, name, a)), a.version
}

// part decides the part of this instance. It takes from what is not granted and
// returns what exceeds the fair part or what others miss.
func (g *Granter) part(now time.Duration, name string, a *account) Holding {
	h := Holding{
		Held: a.held, Spent: max(0, a.spent-a.lent), Open: a.reserved, Rate: int64(a.asked.rate(now)), Large: int64(a.large), By: g.incarnation,
	}
	if !a.fenced {
		return h
	}
	if g.stopping {
		h.Held = min(a.held, a.used()+a.waiting)
		return h
	}
	pool := a.prepaid - a.budget.held()
	need := max(0, a.used()+a.waiting+a.want-a.held)
	fair := a.used() + g.share(now, name, a)
	missing := a.budget.wanted(g.name)
	switch {
	case pool < 0:
		h.Held = max(a.used(), a.held+pool)
	case missing > pool && need == 0:
		h.Held = max(a.used(), a.held-(missing-pool))
	case need > 0:
		h.Held = a.held + min(pool, max(need, fair-a.held))
	case fair > a.held:
		h.Held = a.held + min(pool-missing, fair-a.held)
	case float64(a.held) > float64(a.used())+float64(fair-a.used())*(1+surplusShare):
		h.Held = fair
	}
	h.Want = max(0, a.used()+a.waiting+a.want-h.Held)
	return h
}

func (g *Granter) account(name string) *account {
	a, ok := g.accounts[name]
	if !ok {
		a = &account{prepaid: -1}
		g.accounts[name] = a
	}
	return a
}
