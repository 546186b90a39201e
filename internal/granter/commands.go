package granter

import (
	"math"
	"slices"
	"time"
)

// unbounded is larger than any grant, and small enough not to overflow in sums.
const unbounded = math.MaxInt64 / 4

// SetPrepaid sets the prepaid tokens of an account; negative means unlimited.
func (g *Granter) SetPrepaid(name string, tokens int64) {
	a := g.account(name)
	a.prepaid, a.maxPrepaid = tokens, max(a.maxPrepaid, tokens)
}

// SetConfigVersion sets the version of the configuration in force.
func (g *Granter) SetConfigVersion(version int64) { g.configVersion = version }

// Recover takes over from the previous process of this instance, which must have
// ended. Before tokens are reserved, a new ledger must be written conditionally on the
// version of the old one, and then the budget of the account, so that delayed writes
// of the previous process conflict. If the ledger write conflicts,
// recovery must be restarted. If the instance has no ledger of this era but one of a
// former era, use [Granter.RecoverLost] instead.
func (g *Granter) Recover(now time.Duration, old Ledger) {
	g.startedAt, g.newcomer = now, true
	// What the predecessor knew of former eras is gone, except for what it has recorded.
	if g.era.memory = old.Memory; old.Memory == FullMemory {
		g.era.memory = LostMemory
	}
	g.predecessor = old.Incarnation
	g.era.grants, g.era.others, g.era.told, g.era.former, g.era.knowsOwn = old.Grants, old.Others, old.Told, old.Former, false
	if old.Memory != NoMemory {
		g.distrustPriors()
	}
	for name := range old.Accounts {
		a := g.account(name)
		if a.maxPriorSpend = g.maxPriorSpend(now, old, name); old.Closed && old.Accounts[name].Rate == 0 {
			a.exactBy = old.Incarnation
		}
	}
}

// RecoverLost takes over from a process of this instance that has not written a ledger
// since the store was restored from an older copy. Whatever the others tell that it was
// granted counts as spent.
func (g *Granter) RecoverLost(now time.Duration) {
	g.startedAt, g.newcomer = now, true
	g.era.memory, g.era.grants, g.era.others, g.era.told, g.era.former, g.era.knowsOwn = LostMemory, nil, nil, false, 0, false
	g.distrustPriors()
}

// distrustPriors makes all tokens that a predecessor was granted count as spent, unless
// a limit is known.
func (g *Granter) distrustPriors() {
	g.priorUnknown = true
	for _, a := range g.accounts {
		a.maxPriorSpend = unbounded
	}
}

// maxPriorSpend returns the most that the previous process can have spent, before
// it is capped by the grant.
func (g *Granter) maxPriorSpend(now time.Duration, old Ledger, name string) int64 {
	limit := old.Accounts[name]
	switch {
	case limit.Rate == 0:
		return limit.Limit
	case !g.sameBoot(now, old):
		return unbounded
	}
	return limit.after(old.Age(now))
}

// sameBoot reports whether the age of a ledger is known.
func (g *Granter) sameBoot(now time.Duration, l Ledger) bool {
	return l.Boot != "" && l.Boot == g.bootID && now >= time.Duration(l.Time)*time.Millisecond
}

// SetPeer sets the address of an instance.
func (g *Granter) SetPeer(name, addr string) {
	known, ok := g.peers[name]
	if ok && known == addr {
		return
	}
	if !ok {
		g.peersVersion++
	}
	g.peers[name] = addr
	clear(g.lenders)
}

// ObserveBudget sets the budget of an account to a version read from the store or
// written by this process. Versions older than the current one are ignored.
func (g *Granter) ObserveBudget(now time.Duration, name string, b Budget, version uint64) {
	a := g.account(name)
	if version < a.version {
		return
	}
	a.forgetReported(now)
	a.budget, a.version = b, version
	for instance := range g.ends {
		if by := b.Grants[instance].WrittenBy; by != "" {
			g.observeProcess(instance, by)
		}
	}
	g.checkComposed(now)
	// Conditional writes on older versions can no longer take effect.
	a.pendingWrites = slices.DeleteFunc(a.pendingWrites, func(w pendingWrite) bool { return w.version < version })
	grant, former := b.Grants[g.name], a.granted
	if a.carried = a.carried && a.fenced && grant.WrittenBy != g.incarnation; a.carried {
		// Another instance has composed this entry and may remember a larger grant.
		a.granted = min(a.granted, grant.Granted)
	} else {
		a.granted = grant.Granted
	}
	a.lowerConfirmed(former, a.granted, version)
	if a.fenced {
		return
	}
	a.takePriorSpend(grant)
	if a.grantDemand.last == 0 {
		a.grantDemand, a.largeRequest = publishedDemand(now, grant), float64(grant.LargeRequest)
	}
	a.fenced = grant.WrittenBy == g.incarnation
}

// takePriorSpend counts what a predecessor can have spent of a grant.
func (a *account) takePriorSpend(grant Grant) {
	if grant.WrittenBy == "" {
		a.spent, a.lost = grant.Granted, grant.Lost // composed without the instance itself
		return
	}
	a.spent, a.lost = min(grant.Granted, a.maxPriorSpend), grant.Lost
	if a.exactBy != grant.WrittenBy {
		a.lost += max(0, a.spent-grant.Spent)
	}
}

// BudgetSent announces a budget write conditional on the version last observed.
func (g *Granter) BudgetSent(name string, b Budget) {
	a := g.account(name)
	granted := b.Grants[g.name].Granted
	a.pendingWrites = append(a.pendingWrites, pendingWrite{version: a.version, granted: granted})
	a.lowerConfirmed(a.granted, granted, a.version+1)
}

// BudgetNotWritten reports that the write announced last had no effect and never will.
func (g *Granter) BudgetNotWritten(name string) {
	a := g.account(name)
	if n := len(a.pendingWrites); n > 0 {
		a.pendingWrites = a.pendingWrites[:n-1]
	}
	if len(a.pendingWrites) == 0 {
		a.confirmVersion = min(a.confirmVersion, a.version)
	}
}

// LedgerSent announces a ledger write.
func (g *Granter) LedgerSent(l Ledger) { g.pendingLedgers = append(g.pendingLedgers, l) }

// LedgerNotWritten reports that a ledger write had no effect and never will.
func (g *Granter) LedgerNotWritten(l Ledger) {
	g.pendingLedgers = slices.DeleteFunc(g.pendingLedgers, func(s Ledger) bool { return s.Number == l.Number })
}

// LedgerWritten reports that a ledger write took effect. Earlier writes, which are
// conditional on older versions, can no longer take effect.
func (g *Granter) LedgerWritten(l Ledger) {
	if l.Number <= g.ledger.Number && l.Incarnation == g.ledger.Incarnation {
		return
	}
	written := time.Duration(l.Time) * time.Millisecond
	if g.ledger.Incarnation == l.Incarnation && g.ledger.Age(written) >= absenceAge {
		g.recordAbsence(written)
	}
	if g.era.registeredAt == 0 {
		g.era.registeredAt = written
	}
	g.ledger, g.ledgerEra = l, g.era.number
	g.pendingLedgers = slices.DeleteFunc(g.pendingLedgers, func(s Ledger) bool { return s.Number <= l.Number })
}

// RecordOutage reports that the store responds again after an outage. For a while the home
// of an account takes larger grants, in case that the store is soon away again.
func (g *Granter) RecordOutage(now time.Duration) { g.outageEnded = now }

// SetReady enables reservations. Call it after a ledger of this incarnation has been
// written.
func (g *Granter) SetReady() { g.ready = true }

// Stop makes subsequent budgets and ledgers give up tokens that are not in use.
func (g *Granter) Stop() { g.stopping = true }

// Reserve reserves the maximum number of tokens of a request. If it cannot, the
// outcome says why.
func (g *Granter) Reserve(now time.Duration, name string, n int64) Decision {
	a := g.account(name)
	d := g.decide(now, name, a, n)
	if d.Outcome == Reserved {
		a.reserved += d.Own
		a.borrowed -= d.Borrowed
	}
	return d
}

// Lend takes tokens for another instance and counts them as spent.
func (g *Granter) Lend(now time.Duration, name string, n int64) Decision {
	a := g.account(name)
	if a.prepaid < 0 {
		return Decision{Outcome: Short} // unlimited, or the prepaid budget is not known yet
	}
	d := g.decide(now, name, a, n)
	if d.Outcome == Reserved {
		a.borrowed -= d.Borrowed
		a.spent += d.Own
	}
	return d
}

// AddBorrowed adds tokens that another instance has lent to this one.
func (g *Granter) AddBorrowed(name string, n int64) { g.account(name).borrowed += n }

// TakeSurplus removes borrowed tokens beyond the expected demand and returns their
// number, so that the caller can give them back to the lender.
func (g *Granter) TakeSurplus(now time.Duration, name string) int64 {
	a := g.account(name)
	n := a.borrowed
	if float64(a.prepaid-g.usedByAll(a)) > scarceLargeRequests*a.largeRequest {
		n -= int64(a.localDemand.forecast(now, loanHorizon, 0) + a.largeRequest)
	}
	if n <= 0 {
		return 0
	}
	a.borrowed -= n
	return n
}

// AddReturned adds tokens that a borrower returns unused. They are not subtracted
// from the spent tokens, since this instance may itself have borrowed them.
func (g *Granter) AddReturned(name string, n int64) { g.AddBorrowed(name, n) }

// AddGrantDemand adds a request to the demand that the own grant has to cover.
func (g *Granter) AddGrantDemand(now time.Duration, name string, n int64) {
	a := g.account(name)
	a.grantDemand = a.grantDemand.withRequest(now, float64(n))
}

// AddLocalDemand adds a request of a local caller to the demand.
func (g *Granter) AddLocalDemand(now time.Duration, name string, n int64) {
	a := g.account(name)
	a.localDemand = a.localDemand.withRequest(now, float64(n))
	a.largeRequest = max(float64(n), a.largeRequest*largeDecay)
}

// AddWaiting counts a request as waiting for tokens until done is called. If short is
// set, it waits for a larger grant, otherwise for a higher ledger limit.
func (g *Granter) AddWaiting(name string, n int64, short bool) (done func()) {
	a := g.account(name)
	count := &a.waitingForLimit
	if short {
		count = &a.waitingForGrant
	}
	*count += n
	return func() { *count -= n }
}

// Settle ends a reservation of which the given tokens were used. Borrowed tokens
// count as used first.
func (g *Granter) Settle(name string, d Decision, used int64) {
	a := g.account(name)
	usedBorrowed := min(used, d.Borrowed)
	a.borrowed += d.Borrowed - usedBorrowed
	a.reserved -= d.Own
	a.spent += min(used-usedBorrowed, d.Own)
}

// PlanLedger returns the next ledger to write and increments the ledger number.
func (g *Granter) PlanLedger(now time.Duration) Ledger {
	g.ledgerNumber++
	l := Ledger{
		Incarnation: g.incarnation, Number: g.ledgerNumber, Boot: g.bootID, Time: now.Milliseconds(), Addr: g.addr,
		Accounts: make(map[string]Limit, len(g.accounts)), Config: g.configVersion, Closed: g.closed,
		Memory: g.era.memory, Former: g.era.former, Grants: g.era.grants, Others: g.era.others, Told: g.era.told,
	}
	if g.era.knowsOwn {
		l.Grants = g.ownGrants()
	}
	if g.era.memory == FullMemory {
		l.Others, l.Told = g.testimonies(now), g.hasTold(now)
	}
	for name, a := range g.accounts {
		switch {
		case !a.fenced && a.maxPriorSpend > 0:
			l.Accounts[name] = Limit{Limit: a.maxPriorSpend}
		case !a.fenced, a.prepaid < 0 && a.granted == 0:
		case a.granted == 0, g.stopping && a.reserved == 0 && a.waitingForLimit == 0:
			l.Accounts[name] = Limit{Limit: a.spent}
		default:
			limit := Limit{Limit: a.used() + a.waitingForLimit + int64(a.grantDemand.forecast(now, max(limitHorizon, g.ledgerInterval()), limitStdDevs))}
			if g.closed || g.limitGrows(now, a) { // a fixed limit in a closed ledger is what was spent
				limit.Rate = max(1, int64(float64(a.granted-a.used())/limitGrowthTime.Seconds()))
			}
			l.Accounts[name] = limit
		}
	}
	return l
}

// PlanBudget returns the next budget of an account to write and the version it replaces.
func (g *Granter) PlanBudget(now time.Duration, name string) (Budget, uint64) {
	a := g.account(name)
	if a.version == 0 && g.era.number > 0 {
		own := g.startOfEra(name, a)
		if a.granted = own.Granted; !g.era.knowsOwn && g.era.memory == LostMemory {
			a.takePriorSpend(own)
		}
		a.budget = g.compose(name).WithGrant(g.name, own)
		if g.era.writeOff {
			a.budget = a.budget.withWriteOff(a.maxPrepaid)
		}
	}
	return a.budget.WithGrant(g.name, g.planGrant(now, name, a)), a.version
}

// planGrant returns the next grant of this instance. It takes tokens that are not
// granted yet. It returns those that exceed the fair share or that other
// instances need.
func (g *Granter) planGrant(now time.Duration, name string, a *account) Grant {
	next := Grant{
		Granted: a.granted, Spent: max(0, a.spent-a.borrowed), Lost: max(0, min(a.lost, a.spent-a.borrowed)), ReservedTokens: a.reserved, Rate: int64(a.grantDemand.rate(now)), LargeRequest: int64(a.largeRequest), WrittenBy: g.incarnation,
	}
	if !a.fenced {
		return next
	}
	if g.stopping {
		next.Granted = min(a.granted, a.used()+a.waitingForLimit)
		return next
	}
	ungranted := a.ungranted()
	need := max(0, a.used()+a.waitingForLimit+a.waitingForGrant-a.granted)
	fair := a.used() + g.fairShare(now, name, a)
	wantedByOthers := a.budget.wanted(g.name)
	switch {
	case ungranted < 0:
		next.Granted = max(a.used(), a.granted+ungranted)
	case wantedByOthers > ungranted && need == 0:
		next.Granted = max(a.used(), a.granted-(wantedByOthers-ungranted))
	case need > 0:
		next.Granted = a.granted + min(ungranted, max(need, fair-a.granted))
	case fair > a.granted:
		next.Granted = a.granted + min(ungranted-wantedByOthers, fair-a.granted)
	case float64(a.granted) > float64(a.used())+float64(fair-a.used())*(1+surplusShare):
		next.Granted = fair
	}
	next.Wanted = max(0, a.used()+a.waitingForLimit+a.waitingForGrant-next.Granted)
	return next
}

func (g *Granter) account(name string) *account {
	a, ok := g.accounts[name]
	if !ok {
		a = &account{prepaid: -1}
		if g.priorUnknown {
			a.maxPriorSpend = unbounded
		}
		g.accounts[name] = a
	}
	return a
}
