package allotter

import (
	"slices"

	"daisylane/internal/checker"
)

// reservePercent of the free tokens stays in the shard object.
const reservePercent = 20

// Free returns the tokens that are neither settled nor granted.
func (b Budget) Free() int64 {
	free := b.Topped - b.Settled
	for _, g := range b.Grants {
		free -= g.Allotted - g.Folded
	}
	return free
}

// Charged reports whether a key was charged within the window.
func (b Budget) Charged(key string, now int64) bool {
	at, ok := b.Keys[key]
	return key != "" && ok && at >= now-keyWindowSeconds
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

// Share returns how many free tokens a region's holder takes, when it has the
// given unspent tokens and needs more by the given amount. Its target is its part
// of recent demand of all unspent tokens but the reserve, and the reserve of what
// is free stays. If that is below the need, the budget is short and it gets
// exactly the need, as far as there is one. Without recorded demand the regions
// share evenly.
func Share(b Budget, region string, have, need int64, regions int) int64 {
	free := b.Free()
	var total int64
	for _, d := range b.Demand {
		total += d
	}
	part := 1 / float64(max(regions, 1))
	if total > 0 {
		part = float64(b.Demand[region]) / float64(total)
	}
	const spread = 1 - reservePercent/100.0
	share := min(int64(part*spread*float64(b.Topped-b.Settled))-have, int64(spread*float64(free)))
	if share < need {
		share = min(need, free)
	}
	return max(share, 0)
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
