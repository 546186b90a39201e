package allotter

import (
	"slices"

	"daisylane/internal/checker"
)

const (
	// evenPercent of a budget is shared evenly, the rest by recent demand. A region
	// that is cut off cannot take more when the demand shifts to it.
	evenPercent = 70
	// reservePercent of the unspent tokens stays in the shard object for a region
	// that runs short. It is small, because a region that is cut off cannot reach
	// it. It is a part of all unspent tokens, so that in a nearly empty budget no
	// region takes ahead what another one has returned on request.
	reservePercent = 5
	// demandMinutes is the time in which the recent demand came in, about: demand
	// has a half-life of 5 minutes.
	demandMinutes = 7
)

// Free returns the tokens that are neither settled nor granted.
func (b Budget) Free() int64 {
	free := b.Topped - b.Settled
	for _, g := range b.Grants {
		free -= g.Allotted - g.Folded
	}
	return free
}

// Settled reports whether a reservation of the instance is known to be settled.
func (s Shard) Settled(instance string, number uint64) bool {
	j := s.Journals[instance]
	if number < j.Next {
		return !slices.Contains(j.Open, number)
	}
	return slices.Contains(j.Done, number)
}

// Withheld returns the tokens of a budget that are granted to instances that hold
// no region any more.
func (s Shard) Withheld(budget string) int64 {
	var sum int64
	for instance, g := range s.Budgets[budget].Grants {
		if s.Holders[g.Region].Instance != instance {
			sum += g.Allotted - g.Folded
		}
	}
	return sum
}

// Former returns the instances that held a region and neither handed it over nor
// were closed, in order of name.
func (s Shard) Former(region string) []string {
	var list []string
	for instance, j := range s.Journals {
		if j.Region == region && !j.Handed && s.Holders[region].Instance != instance {
			list = append(list, instance)
		}
	}
	slices.Sort(list)
	return list
}

// Target returns how many unspent tokens a region's holder should have: its part
// of all unspent tokens but the reserve. Without recorded demand the regions share
// evenly.
func Target(b Budget, region string, regions int) int64 {
	total := b.demand()
	part := 1 / float64(max(regions, 1))
	if total > 0 {
		part += (1 - evenPercent/100.0) * (float64(b.Demand[region])/float64(total) - part)
	}
	return int64(part * (1 - reservePercent/100.0) * float64(b.Topped-b.Settled))
}

// Share returns how many free tokens a region's holder takes, when it has the
// given unspent tokens and needs more by the given amount: up to its target, while
// the reserve stays. If the free tokens are below the need and the reserve, or
// would be used up within about a minute, the budget is short and the holder gets
// exactly the need, as far as there is one. The rest may be what another region
// waits for.
func Share(b Budget, region string, have, need int64, regions int) int64 {
	free := b.Free()
	share := min(Target(b, region, regions)-have, free-(b.Topped-b.Settled)*reservePercent/100)
	if share < need || need > 0 && free < b.demand()/demandMinutes {
		share = min(need, free)
	}
	return max(share, 0)
}

// demand is the recent demand of all regions.
func (b Budget) demand() int64 {
	var total int64
	for _, d := range b.Demand {
		total += d
	}
	return total
}

// Check enforces the invariant of each budget.
func (s Shard) Check() error {
	var f checker.Faults
	f.Require(s.Number >= 0, "number", "is %d, must not be negative", s.Number)
	for name, b := range s.Budgets {
		key := "budgets." + name
		f.Require(name != "", "budgets", "a budget has no name")
		f.Require(b.Topped >= 0 && b.Settled >= 0, key, "topped and settled must not be negative")
		f.Require(b.Free() >= 0, key, "settled and granted tokens exceed topped by %d", -b.Free())
		for instance, g := range b.Grants {
			f.Require(g.Folded >= 0 && g.Folded <= g.Allotted, key+".grants."+instance,
				"folded is %d, allowed is 0 to allotted %d", g.Folded, g.Allotted)
		}
	}
	return f.Err()
}
