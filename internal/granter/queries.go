package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHomesAsked is how many top-ranked instances are asked for tokens before the
	// own grant is used.
	maxHomesAsked = 2
	// maxOthersAsked is how many instances with unused tokens are asked for the tokens
	// still missing.
	maxOthersAsked = 3
	// maxOthersAskedInOutage is the same while no grant can be raised. Asking so many takes
	// about as long as a request may wait for tokens.
	maxOthersAskedInOutage = 10
)

// InstanceCount returns the number of instances that have ever written a ledger.
func (g *Granter) InstanceCount() int { return len(g.peers) }

// Owns reports whether a ledger was written by this incarnation.
func (g *Granter) Owns(l Ledger) bool { return l.Incarnation == g.incarnation }

// LostTokens returns, by account, the tokens that count as spent although the previous
// process may not have spent them. It has none of an account in which that process used no
// tokens, as it had not written its grant: these were lost with another process before.
func (g *Granter) LostTokens() map[string]int64 {
	lost := make(map[string]int64)
	for name, a := range g.accounts {
		grant := a.budget.Grants[g.name]
		if n := a.spent - grant.Spent; n > 0 && !a.fenced && (g.predecessor == "" || grant.WrittenBy == g.predecessor) {
			lost[name] = n
		}
	}
	return lost
}

// Lender is an instance that may lend tokens of an account.
type Lender struct {
	Name string
	Addr string
}

// Lenders returns the instances to ask first for tokens of an account, beginning
// with its home. The order is by rendezvous hashing and thus the same at every
// instance. The list ends before this instance, and has none whose process has ended.
func (g *Granter) Lenders(name string) []Lender {
	if lenders, ok := g.lenders[name]; ok {
		return lenders
	}
	peers, before := g.rank(name, func(instance string) bool { _, ended := g.ends[instance]; return !ended })
	lenders := slices.Clone(peers[:min(before, maxHomesAsked)]) // kept for each account, without the rest
	g.lenders[name] = lenders
	return lenders
}

// Rank returns the other instances in the order in which they are the home of a key, by
// rendezvous hashing, and how many of them come before this instance.
func (g *Granter) Rank(key string) (peers []Lender, before int) {
	return g.rank(key, func(string) bool { return true })
}

// RankVersion returns a number from 1 that increases each time that the order of instances changes.
func (g *Granter) RankVersion() int64 { return g.peersVersion }

// rank is Rank among the instances that a function selects.
func (g *Granter) rank(key string, selects func(instance string) bool) (peers []Lender, before int) {
	type ranked struct {
		Lender
		rank uint64
	}
	list := make([]ranked, 0, len(g.peers))
	for instance, addr := range g.peers {
		if !selects(instance) {
			continue
		}
		list = append(list, ranked{Lender{instance, addr}, xxhash.Sum64String(key + "\x00" + instance)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for i, r := range list {
		if r.Name == g.name {
			before = i
			continue
		}
		peers = append(peers, r.Lender)
	}
	return peers, before
}

// AvailableTokens returns the tokens of the own grant that can be reserved now.
func (g *Granter) AvailableTokens(now time.Duration, name string) int64 {
	a := g.account(name)
	if !g.ready || !a.fenced || a.prepaid < 0 {
		return 0
	}
	limit, _ := g.limit(now, name)
	return max(0, min(g.grantInForce(a), limit)-a.used())
}

// LendableTokens returns how many tokens may be lent to a peer that needs the given
// number, regardless of the current ledger limit. The smaller the remaining budget,
// the less is lent beyond the need, since unused lent tokens are returned late.
func (g *Granter) LendableTokens(name string, need int64) int64 {
	a := g.account(name)
	remaining := max(0, a.prepaid-g.usedByAll(a))
	return max(0, min(a.borrowed+g.grantInForce(a)-a.used(), need+int64(float64(remaining)*extraLoanShare)))
}

// LendableNow returns how many tokens may be lent under the current ledger limit.
func (g *Granter) LendableNow(now time.Duration, name string) int64 {
	return g.account(name).borrowed + g.AvailableTokens(now, name)
}

// Holders returns the instances that have unused tokens of an account according to
// what they reported or published, those with the most first. While the store is out of
// reach there are more of them.
func (g *Granter) Holders(name string, outage bool) []Lender {
	var list []Lender
	free := make(map[string]int64)
	a := g.account(name)
	for instance, grant := range a.budget.Grants {
		n := max(grant.Granted, a.reported[instance].Granted) - a.usedBy(instance)
		if addr, ok := g.peers[instance]; ok && instance != g.name && n > 0 {
			free[instance] = n
			list = append(list, Lender{instance, addr})
		}
	}
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(free[b.Name], free[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	most := maxOthersAsked
	if outage {
		most = maxOthersAskedInOutage
	}
	return list[:min(len(list), most)]
}

// HasUngranted reports whether a budget has tokens that no instance holds.
func (g *Granter) HasUngranted(name string) bool { return g.account(name).ungranted() > 0 }

// isHome reports whether this instance is the home of an account.
func (g *Granter) isHome(name string) bool { return len(g.Lenders(name)) == 0 }

// actsAsHome reports whether this instance takes a grant ahead of requests. While a fleet
// starts, each instance would do so for all accounts, because it knows no other one yet.
func (g *Granter) actsAsHome(name string, a *account) bool {
	return g.isHome(name) && (g.peersKnown || a.grantDemand.last > 0)
}

// LedgerDue reports whether the ledger should be written, either for requests that
// wait for a higher limit or because of its age.
func (g *Granter) LedgerDue(now time.Duration) bool {
	if g.ledgerEra != g.era.number || g.testimonyDue(now) {
		return true
	}
	for _, a := range g.accounts {
		if a.waitingForLimit > 0 {
			return true
		}
	}
	return g.refreshNeeded(now) && g.ledger.Age(now) >= g.ledgerInterval()
}

// ledgerInterval returns the interval of routine ledger writes. It grows with the fleet, so that
// ledgers leave store capacity for other writes. A kill costs what one instance may spend within
// the interval, which is a smaller part of the demand the more instances there are.
func (g *Granter) ledgerInterval() time.Duration {
	n := time.Duration(len(g.peers))
	return max(LedgerInterval, min(n*ledgerIntervalStep, maxLedgerInterval), n*time.Second/maxLedgerWritesPerSecond)
}

// refreshNeeded reports whether the ledger needs routine writes: its limits would
// otherwise grow beyond the used tokens, or the idle interval has passed.
func (g *Granter) refreshNeeded(now time.Duration) bool {
	if g.ledger.Age(now) >= idleLedgerInterval {
		return true
	}
	for _, a := range g.accounts {
		if a.granted > a.used() {
			return true
		}
	}
	return false
}

// BorrowAmounts returns how many tokens a request of n is short of, and how many to
// request from a lender to cover the expected local demand as well.
func (g *Granter) BorrowAmounts(now time.Duration, name string, n int64) (need, requested int64) {
	a := g.account(name)
	need = max(0, n-a.borrowed-g.AvailableTokens(now, name))
	return need, need + int64(a.localDemand.forecast(now, loanHorizon, 0))
}

// BorrowingAccounts returns the accounts that have unused borrowed tokens.
func (g *Granter) BorrowingAccounts() []string {
	var names []string
	for name, a := range g.accounts {
		if a.borrowed > 0 {
			names = append(names, name)
		}
	}
	return names
}

// NeedsNoGrant reports whether a request needs no tokens from the own grant.
func (g *Granter) NeedsNoGrant(name string, n int64) bool {
	a := g.account(name)
	return a.prepaid < 0 || a.borrowed >= n
}

// CanReserve reports whether this instance has the tokens for a request already.
func (g *Granter) CanReserve(now time.Duration, name string, n int64) bool {
	need, _ := g.BorrowAmounts(now, name, n)
	return need == 0 || g.account(name).prepaid < 0
}

// WaitsForGrant reports whether requests wait for a larger grant.
func (g *Granter) WaitsForGrant(name string) bool { return g.account(name).waitingForGrant > 0 }

// CanWriteBudget reports whether a budget may be written. The first one of an era has
// to wait until it can be composed.
func (g *Granter) CanWriteBudget(name string) bool {
	return g.era.number == 0 || g.account(name).version > 0 || g.era.complete
}

// BudgetsDue returns the accounts whose budgets should be written now, because
// tokens are needed here or at other instances or a prepaid budget was lowered.
// With stale it also returns accounts whose published figures are outdated.
func (g *Granter) BudgetsDue(now time.Duration, stale bool) []string {
	var due []string
	for name, a := range g.accounts {
		if a.prepaid >= 0 && (g.budgetDue(now, name, a) || stale && g.budgetStale(now, name, a)) {
			due = append(due, name)
		}
	}
	return due
}

// budgetDue reports whether a budget should be written now.
func (g *Granter) budgetDue(now time.Duration, name string, a *account) bool {
	grant := a.budget.Grants[g.name]
	if a.version == 0 && g.era.number > 0 {
		return g.era.complete && (a.waitingForGrant > 0 || g.actsAsHome(name, a))
	}
	if a.carried {
		return true
	}
	if !a.fenced {
		return a.granted > a.spent || a.waitingForGrant > 0 || len(a.pendingWrites) > 0 || g.actsAsHome(name, a)
	}
	next := g.planGrant(now, name, a)
	ungranted := a.ungranted()
	switch {
	case next.Wanted > grant.Wanted, ungranted < 0 && next.Granted < a.granted:
		return true
	case g.runsLow(now, name, a) && next.Granted > a.granted:
		return true
	case a.waitingForGrant > 0 && next.Granted > a.granted, g.stopping && next.Granted < a.granted:
		return true
	}
	return a.budget.wanted(g.name) > max(0, ungranted) && next.Granted < a.granted
}

// RunsLow reports whether the grant of an account should be raised ahead.
func (g *Granter) RunsLow(now time.Duration, name string) bool {
	a := g.account(name)
	return a.fenced && a.prepaid >= 0 && g.runsLow(now, name, a)
}

// runsLow reports whether a grant should be raised before requests wait for it, because
// others have to confirm it first, or the store may soon be away again.
func (g *Granter) runsLow(now time.Duration, name string, a *account) bool {
	if g.era.number == 0 && !g.afterOutage(now) || g.stopping || !g.isHome(name) {
		return false
	}
	return float64(a.granted-a.used()) < lowGrantShare*float64(g.fairShare(now, name, a))
}

// budgetStale reports whether the published figures differ from the current ones
// by more than the stale threshold, or the instance holds tokens that only the home of
// the account would use.
func (g *Granter) budgetStale(now time.Duration, name string, a *account) bool {
	if a.version == 0 && g.era.number > 0 {
		return false
	}
	grant := a.budget.Grants[g.name]
	next := g.planGrant(now, name, a)
	if !g.isHome(name) && float64(a.granted-next.Granted) > float64(a.prepaid)*strayThreshold {
		return true
	}
	threshold := float64(a.prepaid) * staleThreshold
	return math.Abs(float64(next.Granted-grant.Granted)) > threshold || math.Abs(float64(next.Spent-grant.Spent)) > threshold
}

// decide returns the decision on a reservation without changing any state.
func (g *Granter) decide(now time.Duration, name string, a *account, n int64) Decision {
	if a.prepaid < 0 {
		return Decision{Outcome: Reserved, Own: n}
	}
	limit, rate := g.limit(now, name)
	d := Decision{
		Granted: g.grantInForce(a), Used: a.used(), Limit: limit, Age: g.ledger.Age(now),
		Remaining: a.prepaid - g.usedByAll(a),
	}
	d.Borrowed = min(n, a.borrowed)
	d.Own = n - d.Borrowed
	after := d.Used + d.Own
	switch {
	case d.Own == 0:
		d.Outcome = Reserved
	case !g.ready || g.closed:
		d.Outcome, d.RetryAfter = Unready, minRetryAfter
	case n > a.prepaid, n > d.Remaining+a.reclaimable(g.name) && (a.version > 0 || g.era.number == 0):
		d.Outcome = Exhausted
	case n > d.Remaining && (a.version > 0 || g.era.number == 0):
		d.Outcome, d.RetryAfter = Withheld, maxRetryAfter
	case !a.fenced:
		d.Outcome, d.RetryAfter = Short, maxRetryAfter
	case after > d.Granted || a.ungranted() < 0:
		d.Outcome, d.RetryAfter = Short, maxRetryAfter
	case after > limit:
		d.Outcome = Limited
		d.RetryAfter = maxRetryAfter
		if rate > 0 {
			d.RetryAfter = max(0, LimitGrowthDelay-d.Age) + time.Duration(float64(after-limit)/float64(rate)*float64(time.Second))
		}
	default:
		d.Outcome = Reserved
	}
	return d
}

// minGranted returns the smallest grant that any pending write can leave in force.
func (a *account) minGranted() int64 {
	granted := a.granted
	for _, w := range a.pendingWrites {
		granted = min(granted, w.granted)
	}
	return granted
}

// limit returns the lowest token limit, and the lowest rate of growth, of all ledgers
// that may be in force.
func (g *Granter) limit(now time.Duration, name string) (tokens, rate int64) {
	l := g.ledger.Accounts[name]
	tokens, rate = l.after(g.ledger.Age(now)), l.Rate
	for _, s := range g.pendingLedgers {
		l := s.Accounts[name]
		tokens, rate = min(tokens, l.after(s.Age(now))), min(rate, l.Rate)
	}
	return tokens, rate
}

// usedByAll returns the tokens of an account that all instances together are known
// to have spent or reserved.
func (g *Granter) usedByAll(a *account) int64 {
	sum := a.used() - a.borrowed
	for instance := range a.budget.Grants {
		if instance != g.name {
			sum += a.usedBy(instance)
		}
	}
	for instance, r := range a.reported {
		if _, published := a.budget.Grants[instance]; !published {
			sum += r.Used
		}
	}
	return sum
}

// reclaimable returns the written-off tokens because of which a request is refused for now
// rather than for good. A small write-off is final, and a caller that came back would only
// be refused again; after a large one the operator restores the budget.
func (a *account) reclaimable(name string) int64 {
	if lost := a.lostByAll(name); float64(lost) > finalWriteOffShare*float64(a.prepaid) {
		return lost
	}
	return 0
}

// lostByAll returns the tokens that count as spent at any instance although it is not known
// whether they are.
func (a *account) lostByAll(name string) int64 {
	sum := a.lost
	for instance, grant := range a.budget.Grants {
		if instance != name {
			sum += grant.Lost
		}
	}
	return sum
}

// Cause is why tokens count as spent although it is not known whether they are.
type Cause string

// Causes of unproven tokens.
const (
	Restarted  Cause = "restarted"  // the ledger of a process that was killed allowed them
	Unanswered Cause = "unanswered" // the instance has not told since the store was restored
	WrittenOff Cause = "writtenoff" // nobody could account for them
)

// Unproven names tokens that count as spent although it is not known whether they are.
type Unproven struct {
	Holder string
	Cause  Cause
}

// UnprovenTokens returns these tokens of all accounts: those of this instance, and as the
// home of an account those of instances that have written nothing since the store was
// restored. So each token is reported by one instance.
func (g *Granter) UnprovenTokens() map[Unproven]int64 {
	sums := make(map[Unproven]int64)
	for name, a := range g.accounts {
		home := g.isHome(name)
		for holder, grant := range a.budget.Grants {
			switch {
			case grant.Lost == 0:
			case holder == writtenOff && home:
				sums[Unproven{"", WrittenOff}] += grant.Lost
			case grant.WrittenBy == "" && home:
				sums[Unproven{holder, Unanswered}] += grant.Lost
			case grant.WrittenBy != "" && holder == g.name:
				sums[Unproven{holder, Restarted}] += grant.Lost
			}
		}
	}
	return sums
}

// totalDemand returns the demand of all instances in tokens per second.
func (g *Granter) totalDemand(now time.Duration, a *account) float64 {
	total := a.grantDemand.rate(now)
	for instance, grant := range a.budget.Grants {
		if instance != g.name {
			total += float64(grant.Rate)
		}
	}
	return total
}

// limitGrows reports whether the limit of an account grows with the age of the ledger. What
// it may have grown to is lost with power, so that of a budget that lasts short does not.
func (g *Granter) limitGrows(now time.Duration, a *account) bool {
	remaining := max(0, a.prepaid-g.usedByAll(a))
	return float64(remaining) >= g.totalDemand(now, a)*minGrowthTime.Seconds()
}

// fairShare returns this instance's fair share of the remaining budget: its expected
// demand, but at most its share of the total demand. An instance other than the home has none
// once it is no longer asked for tokens.
func (g *Granter) fairShare(now time.Duration, name string, a *account) int64 {
	home := g.isHome(name)
	if !home && now-a.grantDemand.last >= strayAge {
		return 0
	}
	remaining := max(0, a.prepaid-g.usedByAll(a))
	own, total := a.grantDemand.rate(now), g.totalDemand(now, a)
	instances := float64(max(1, len(g.peers)))
	prior := demandPriorShare * total / instances
	weight := 1 / instances
	if total > 0 {
		weight = (own + prior) / (total + prior*instances)
	}
	share, longest := grantHorizonShare, maxGrantHorizon
	if g.afterOutage(now) && g.limitGrows(now, a) { // a fixed limit does not let more be used
		share, longest = outageGrantShare, outageGrantHorizon
	}
	horizon := grantHorizon(remaining, total, share, longest)
	demand := a.grantDemand.forecast(now, horizon, grantStdDevs)
	if home {
		demand += prior*horizon.Seconds() + float64(remaining)*coldStartShare*a.grantDemand.coldStartFactor(now)
	}
	return int64(min((1-ungrantedShare)*weight*float64(remaining), demand))
}

// grantHorizon returns how much time of the demand, in tokens per second, a grant covers: a
// share of the time for which the remaining budget lasts, but no longer than the given time. So a long one bridges outages
// of the store, and of a short one little is lost with power.
func grantHorizon(remaining int64, demand, share float64, longest time.Duration) time.Duration {
	if demand <= 0 {
		return longest
	}
	seconds := share * float64(remaining) / demand
	seconds = min(max(seconds, minGrantHorizon.Seconds()), longest.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// afterOutage reports whether the store was away lately.
func (g *Granter) afterOutage(now time.Duration) bool {
	return g.outageEnded > 0 && now-g.outageEnded < outageMemory
}

// publishedDemand returns the demand that a previous process published in its grant.
func publishedDemand(now time.Duration, grant Grant) demandAverage {
	if grant.Rate == 0 {
		return demandAverage{}
	}
	a := demandAverage{last: now, first: now - demandWindow}
	a.tokens = float64(grant.Rate) * a.windowSeconds(now)
	a.squares = a.tokens * float64(grant.LargeRequest) / 2
	return a
}

// coldStartFactor returns 1 before the first request and decays to 0 afterwards.
func (a demandAverage) coldStartFactor(now time.Duration) float64 {
	if a.last == 0 {
		return 1
	}
	return math.Exp(-(now - a.first).Seconds() / coldStartDecayTime.Seconds())
}

// withRequest returns the average with one more request.
func (a demandAverage) withRequest(now time.Duration, tokens float64) demandAverage {
	if a.last == 0 {
		a.first = now
	}
	f := a.decay(now)
	return demandAverage{tokens: a.tokens*f + tokens, squares: a.squares*f + tokens*tokens, last: now, first: a.first}
}

// rate returns the demand in tokens per second.
func (a demandAverage) rate(now time.Duration) float64 {
	return a.tokens * a.decay(now) / a.windowSeconds(now)
}

// forecast returns the expected demand over the given time plus a number of standard
// deviations, assuming independent arrivals.
func (a demandAverage) forecast(now, horizon time.Duration, stdDevs float64) float64 {
	variance := a.squares * a.decay(now) / a.windowSeconds(now) * horizon.Seconds()
	return a.rate(now)*horizon.Seconds() + stdDevs*math.Sqrt(variance)
}

// decay returns the factor by which the sums have decayed since the last request.
func (a demandAverage) decay(now time.Duration) float64 {
	return math.Exp(-(now - a.last).Seconds() / demandWindow.Seconds())
}

// windowSeconds returns the effective length in seconds of the window that the
// decayed sums cover.
func (a demandAverage) windowSeconds(now time.Duration) float64 {
	age := max(now-a.first, minDemandWindow).Seconds()
	return demandWindow.Seconds() * (1 - math.Exp(-age/demandWindow.Seconds()))
}
