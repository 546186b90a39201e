package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const maxLenders = 2 // asked for one request, before the own grant is used

// Version returns the version of the grants last observed.
func (g *Granter) Version() uint64 { return g.version }

// Instances returns the number of instances that have ever joined.
func (g *Granter) Instances() int { return len(g.grants.Instances) }

// Lender is an instance that may lend tokens of an account.
type Lender struct {
	Name string
	Addr string
}

// Lenders returns the instances that hold the grant of an account, first its
// home. Every instance comes to the same order by rendezvous hashing. The list
// ends before this instance itself.
func (g *Granter) Lenders(name string) []Lender {
	type ranked struct {
		Lender
		rank uint64
	}
	list := make([]ranked, 0, len(g.grants.Instances))
	for instance, i := range g.grants.Instances {
		list = append(list, ranked{Lender{instance, i.Addr}, xxhash.Sum64String(name + "\x00" + instance)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var lenders []Lender
	for _, r := range list[:min(len(list), maxLenders)] {
		if r.Name == g.name {
			break
		}
		lenders = append(lenders, r.Lender)
	}
	return lenders
}

// home reports whether this instance is the first lender of an account.
func (g *Granter) home(name string) bool { return len(g.Lenders(name)) == 0 }

// Borrow returns how many tokens to ask of a lender for a request that lacks some.
func (g *Granter) Borrow(now time.Duration, name string, n int64) (need, ask int64) {
	a := g.account(name)
	need = max(0, n-a.lent)
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

// Owns reports whether a ledger was written by this incarnation.
func (g *Granter) Owns(l Ledger) bool { return l.Incarnation == g.self.Incarnation }

// Took reports whether this instance has a part of each budget.
func (g *Granter) Took() bool {
	for name, a := range g.accounts {
		if _, ok := g.grants.Accounts[name][g.name]; !ok && a.prepaid >= 0 {
			return false
		}
	}
	return true
}

// LedgerDue reports whether the ledger should be written: for waiting requests,
// or because it has grown old.
func (g *Granter) LedgerDue(now time.Duration) bool {
	for _, a := range g.accounts {
		if a.waiting > 0 {
			return true
		}
	}
	return g.exposed(now) && g.ledger.Age(now) >= LedgerInterval
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

// GrantsDue reports whether the grants should be written at once: tokens are
// missing here or elsewhere, or a budget was lowered.
func (g *Granter) GrantsDue(now time.Duration) bool {
	for name, a := range g.accounts {
		if a.prepaid < 0 {
			continue
		}
		part := g.grants.Accounts[name][g.name]
		next := g.part(now, g.grants, name, a)
		pool := a.prepaid - g.grants.held(name)
		switch {
		case next.Want > part.Want, pool < 0 && next.Held < a.held:
			return true
		case a.want > 0 && next.Held > a.held:
			return true
		case g.missing(g.grants, name) > max(0, pool) && next.Held < a.held:
			return true
		}
	}
	return false
}

// GrantsStale reports whether the parts differ so much from the fair ones, or
// the published figures from the current ones, that a write is worth its price.
func (g *Granter) GrantsStale(now time.Duration) bool {
	for name, a := range g.accounts {
		if a.prepaid < 0 {
			continue
		}
		part := g.grants.Accounts[name][g.name]
		next := g.part(now, g.grants, name, a)
		left := float64(a.prepaid) * staleShare
		if math.Abs(float64(next.Held-part.Held)) > left || math.Abs(float64(next.Spent-part.Spent)) > left {
			return true
		}
	}
	return false
}

// judge decides about a reservation without making it.
func (g *Granter) judge(now time.Duration, name string, a *account, n int64) Decision {
	if a.prepaid < 0 {
		return Decision{Outcome: Reserved, Own: n}
	}
	limit, rate := g.limit(now, name)
	d := Decision{
		Held: g.held(name, a), Used: a.used(), Limit: limit, Age: g.ledger.Age(now),
		Left: a.prepaid - g.taken(name, a),
	}
	d.Lent = min(n, a.lent)
	d.Own = n - d.Lent
	after := d.Used + d.Own
	switch {
	case d.Own == 0:
		d.Outcome = Reserved
	case !g.ready:
		d.Outcome, d.After = Unready, minComeBack
	case d.Own > d.Left:
		d.Outcome = Exhausted
	case after > d.Held || g.grants.held(name) > a.prepaid:
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

// held returns the part that is certain whatever becomes of pending writes.
func (g *Granter) held(name string, a *account) int64 {
	held := a.held
	for _, w := range g.pending {
		if n, ok := w.held[name]; ok {
			held = min(held, n)
		}
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
func (g *Granter) taken(name string, a *account) int64 {
	sum := a.used()
	for instance, part := range g.grants.Accounts[name] {
		if instance != g.name {
			sum += min(part.Spent+part.Open, part.Held)
		}
	}
	return sum
}

// missing returns the tokens that other instances ask for.
func (g *Granter) missing(grants Grants, name string) int64 {
	var sum int64
	for instance, part := range grants.Accounts[name] {
		if instance != g.name {
			sum += part.Want
		}
	}
	return sum
}

// share returns the fair part of this instance of what is left of a budget: the
// demand of some time ahead, and in no case more than its part by demand.
func (g *Granter) share(now time.Duration, grants Grants, name string, a *account) int64 {
	left := max(0, a.prepaid-g.taken(name, a))
	own := a.asked.rate(now)
	sum := own
	for instance, part := range grants.Accounts[name] {
		if instance != g.name {
			sum += float64(part.Rate)
		}
	}
	instances := float64(max(1, len(grants.Instances)))
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
