package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLenders = 2 // homes asked for one request, before the own grant is used
	maxHolders = 3 // others asked for what is missing then
)

// Instances returns the number of instances that have ever joined.
func (g *Granter) Instances() int { return len(g.peers) }

// Owns reports whether a ledger was written by this incarnation.
func (g *Granter) Owns(l Ledger) bool { return l.Incarnation == g.incarnation }

// Lost returns the tokens that count as spent though the former process may not
// have spent them, by account.
func (g *Granter) Lost() map[string]int64 {
	lost := make(map[string]int64)
	for name, a := range g.accounts {
		if n := a.spent - a.budget.Parts[g.name].Spent; n > 0 && !a.fenced {
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

// Lenders returns the instances that hold the grant of an account, first its
// home. Every instance comes to the same order by rendezvous hashing. The list
// ends before this instance itself.
func (g *Granter) Lenders(name string) []Lender {
	if lenders, ok := g.lenders[name]; ok {
		return lenders
	}
	type ranked struct {
		Lender
		rank uint64
	}
	list := make([]ranked, 0, len(g.peers))
	for instance, addr := range g.peers {
		list = append(list, ranked{Lender{instance, addr}, xxhash.Sum64String(name + "\x00" + instance)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var lenders []Lender
	for _, r := range list[:min(len(list), maxLenders)] {
		if r.Name == g.name {
			break
		}
		lenders = append(lenders, r.Lender)
	}
	g.lenders[name] = lenders
	return lenders
}

// Free returns the tokens of the own grant that may be used now.
func (g *Granter) Free(now time.Duration, name string) int64 {
	a := g.account(name)
	if !g.ready || !a.fenced || a.prepaid < 0 {
		return 0
	}
	limit, _ := g.limit(now, name)
	return max(0, min(a.certain(), limit)-a.used())
}

// Spare returns the tokens that may be lent to a peer that needs some, whether the ledger allows their use already or not. The scarcer the
// budget, the less goes beyond the need, since lent tokens come back late.
func (g *Granter) Spare(name string, need int64) int64 {
	a := g.account(name)
	left := max(0, a.prepaid-g.taken(a))
	return max(0, min(a.lent+a.certain()-a.used(), need+int64(float64(left)*extraShare)))
}

// Holders returns the instances that seem to have tokens of an account to spare,
// those with the most first.
func (g *Granter) Holders(name string) []Lender {
	var list []Lender
	free := make(map[string]int64)
	for instance, part := range g.account(name).budget.Parts {
		n := part.Held - part.Spent - part.Open
		if addr, ok := g.peers[instance]; ok && instance != g.name && n > 0 {
			free[instance] = n
			list = append(list, Lender{instance, addr})
		}
	}
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(free[b.Name], free[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), maxHolders)]
}

// home reports whether this instance is the first lender of an account.
func (g *Granter) home(name string) bool { return len(g.Lenders(name)) == 0 }

// LedgerDue reports whether the ledger should be written: for waiting requests,
// or because it has grown old.
func (g *Granter) LedgerDue(now time.Duration) bool {
	for _, a := range g.accounts {
		if a.waiting > 0 {
			return true
		}
	}
	return g.exposed(now) && g.ledger.Age(now) >= g.ledgerInterval()
}

// ledgerInterval grows with the fleet, so that its ledgers leave room for other
// writes of the store.
func (g *Granter) ledgerInterval() time.Duration {
	return max(LedgerInterval, time.Duration(len(g.peers))*time.Second/ledgerWrites)
}

// exposed reports whether the limits of an old ledger would grow beyond what is used.
func (g *Granter) exposed(now time.Duration) bool {
	if g.ledger.Age(now) >= idleInterval {
		return true
	}
	for _, a := range g.accounts {
		if a.held > a.used() {
			return true
		}
	}
	return false
}

// Borrow returns how many tokens to ask of a lender for a request that lacks some.
func (g *Granter) Borrow(now time.Duration, name string, n int64) (need, ask int64) {
	a := g.account(name)
	need = max(0, n-a.lent-g.Free(now, name))
	return need, need + int64(a.local.reach(now, lentAhead, 0))
}

// Borrowed returns the accounts of which lent tokens are left.
func (g *Granter) Borrowed() []string {
	var names []string
	for name, a := range g.accounts {
		if a.lent > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Covered reports whether a request needs no tokens of the own grant.
func (g *Granter) Covered(name string, n int64) bool {
	a := g.account(name)
	return a.prepaid < 0 || a.lent >= n
}

// BudgetsDue returns the accounts whose budgets should be written at once,
// because tokens are missing here or elsewhere or a budget was lowered. With
// stale it also returns those whose published figures are not worth much any more.
func (g *Granter) BudgetsDue(now time.Duration, stale bool) []string {
	var due []string
	for name, a := range g.accounts {
		if a.prepaid >= 0 && (g.due(now, name, a) || stale && g.stale(now, name, a)) {
			due = append(due, name)
		}
	}
	return due
}

func (g *Granter) due(now time.Duration, name string, a *account) bool {
	part := a.budget.Parts[g.name]
	if !a.fenced {
		return part.Held > 0 || a.want > 0 || g.home(name)
	}
	next := g.part(now, name, a)
	pool := a.prepaid - a.budget.held()
	switch {
	case next.Want > part.Want, pool < 0 && next.Held < a.held:
		return true
	case a.want > 0 && next.Held > a.held, g.stopping && next.Held < a.held:
		return true
	}
	return a.budget.wanted(g.name) > max(0, pool) && next.Held < a.held
}

func (g *Granter) stale(now time.Duration, name string, a *account) bool {
	part := a.budget.Parts[g.name]
	next := g.part(now, name, a)
	left := float64(a.prepaid) * staleShare
	return math.Abs(float64(next.Held-part.Held)) > left || math.Abs(float64(next.Spent-part.Spent)) > left
}

// judge decides about a reservation without making it.
func (g *Granter) judge(now time.Duration, name string, a *account, n int64) Decision {
	if a.prepaid < 0 {
		return Decision{Outcome: Reserved, Own: n}
	}
	limit, rate := g.limit(now, name)
	d := Decision{
		Held: a.certain(), Used: a.used(), Limit: limit, Age: g.ledger.Age(now),
		Left: a.prepaid - g.taken(a),
	}
	d.Lent = min(n, a.lent)
	d.Own = n - d.Lent
	after := d.Used + d.Own
	switch {
	case d.Own == 0:
		d.Outcome = Reserved
	case !g.ready:
		d.Outcome, d.After = Unready, minComeBack
	case !a.fenced:
		d.Outcome, d.After = Short, maxComeBack
	case d.Own > d.Left:
		d.Outcome = Exhausted
	case after > d.Held || a.budget.held() > a.prepaid:
		d.Outcome, d.After = Short, maxComeBack
	case after > limit:
		d.Outcome = Limited
		d.After = maxComeBack
		if rate > 0 {
			d.After = max(0, LimitHold-d.Age) + time.Duration(float64(after-limit)/float64(rate)*float64(time.Second))
		}
	default:
		d.Outcome = Reserved
	}
	return d
}

// certain returns the grant whatever becomes of pending writes.
func (a *account) certain() int64 {
	held := a.held
	for _, w := range a.pending {
		held = min(held, w.held)
	}
	return held
}

// limit returns what may be used now under any ledger that may be in force, and
// how fast that grows.
func (g *Granter) limit(now time.Duration, name string) (tokens, rate int64) {
	l := g.ledger.Accounts[name]
	tokens, rate = l.after(g.ledger.Age(now)), l.Rate
	for _, s := range g.sent {
		l := s.Accounts[name]
		tokens, rate = min(tokens, l.after(s.Age(now))), min(rate, l.Rate)
	}
	return tokens, rate
}

// taken returns the tokens of an account that all instances are known to have
// spent or reserved.
func (g *Granter) taken(a *account) int64 {
	sum := a.used() - a.lent
	for instance, part := range a.budget.Parts {
		if instance != g.name {
			sum += min(part.Spent+part.Open, part.Held)
		}
	}
	return sum
}

// share returns the fair part of this instance of what is left of a budget: the
// demand of some time ahead, and in no case more than its part by demand.
func (g *Granter) share(now time.Duration, name string, a *account) int64 {
	left := max(0, a.prepaid-g.taken(a))
	own := a.asked.rate(now)
	sum := own
	for instance, part := range a.budget.Parts {
		if instance != g.name {
			sum += float64(part.Rate)
		}
	}
	instances := float64(max(1, len(g.peers)))
	prior := priorShare * sum / instances
	weight := 1 / instances
	if sum > 0 {
		weight = (own + prior) / (sum + prior*instances)
	}
	ahead := a.asked.reach(now, grantAhead, grantSpread)
	if g.home(name) {
		ahead += prior*grantAhead.Seconds() + float64(left)*youngShare*a.asked.young(now)
	}
	return int64(min((1-poolShare)*weight*float64(left), ahead))
}

// formerAverage returns the demand as a former process published it.
func formerAverage(now time.Duration, part Holding) average {
	if part.Rate == 0 {
		return average{}
	}
	a := average{at: now, since: now - demandTime}
	a.tokens = float64(part.Rate) * a.span(now)
	a.squares = a.tokens * float64(part.Large) / 2
	return a
}

// young returns 1 for demand that was never seen, and less the longer it has been.
func (a average) young(now time.Duration) float64 {
	if a.at == 0 {
		return 1
	}
	return math.Exp(-(now - a.since).Seconds() / youngTime.Seconds())
}

// with counts one more request.
func (a average) with(now time.Duration, tokens float64) average {
	if a.at == 0 {
		a.since = now
	}
	f := a.factor(now)
	return average{tokens: a.tokens*f + tokens, squares: a.squares*f + tokens*tokens, at: now, since: a.since}
}

// rate returns the tokens per second that are asked for.
func (a average) rate(now time.Duration) float64 { return a.tokens * a.factor(now) / a.span(now) }

// reach returns the demand of some time, with a number of standard deviations
// for requests that come at random.
func (a average) reach(now, ahead time.Duration, spread float64) float64 {
	variance := a.squares * a.factor(now) / a.span(now) * ahead.Seconds()
	return a.rate(now)*ahead.Seconds() + spread*math.Sqrt(variance)
}

func (a average) factor(now time.Duration) float64 {
	return math.Exp(-(now - a.at).Seconds() / demandTime.Seconds())
}

// span returns the seconds that the decayed sums stand for.
func (a average) span(now time.Duration) float64 {
	age := max(now-a.since, minDemandAge).Seconds()
	return demandTime.Seconds() * (1 - math.Exp(-age/demandTime.Seconds()))
}
