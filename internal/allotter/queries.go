package allotter

import (
	"slices"

	"daisylane/internal/checker"
)

const (
	// evenSplitPercent of a budget is split evenly between the regions, the rest by recent
	// demand. The even part is for a region that loses the platform and so cannot allot
	// itself more when the demand shifts to it.
	evenSplitPercent = 70
	// reservePercent of the unspent tokens stays free in the shard object for a region
	// that runs short. The reserve is small, because a region that loses the platform
	// cannot use it. It is a percentage of all unspent tokens, so that in a nearly empty
	// budget no region allots itself tokens in advance that another region has returned
	// on request.
	reservePercent = 5
	// demandWindowMinutes is the approximate period that the recent demand covers, as it
	// decays with a half-life of 5 minutes.
	demandWindowMinutes = 7
)

// Free returns the tokens that are neither settled nor granted.
func (b Budget) Free() int64 {
	free := b.ToppedUp - b.Settled
	for _, g := range b.Grants {
		free -= g.Allotted - g.Folded
	}
	return free
}

// Settled reports whether a reservation of the instance is settled according to the folded
// part of the journals.
func (s Shard) Settled(instance string, number uint64) bool {
	j := s.Journals[instance]
	if number < j.Next {
		return !slices.Contains(j.Open, number)
	}
	return slices.Contains(j.Settled, number)
}

// Withheld returns the tokens of a budget that are granted to instances that no longer
// hold the shard.
func (s Shard) Withheld(budget string) int64 {
	var sum int64
	for instance, g := range s.Budgets[budget].Grants {
		if s.Holders[g.Region].Instance != instance {
			sum += g.Allotted - g.Folded
		}
	}
	return sum
}

// FormerHolders returns the instances that held the shard in a region before, did not hand
// it over and are not closed, in order of name.
func (s Shard) FormerHolders(region string) []string {
	var list []string
	for instance, j := range s.Journals {
		if j.Region == region && !j.HandedOver && s.Holders[region].Instance != instance {
			list = append(list, instance)
		}
	}
	slices.Sort(list)
	return list
}

// TargetAllotment returns the target allotment of a region's holder in unspent tokens: its
// part of all unspent tokens except the reserve. Without recorded demand the parts are equal.
func TargetAllotment(b Budget, region string, regions int) int64 {
	total := b.totalDemand()
	part := 1 / float64(max(regions, 1))
	if total > 0 {
		part += (1 - evenSplitPercent/100.0) * (float64(b.Demand[region])/float64(total) - part)
	}
	return int64(part * (1 - reservePercent/100.0) * float64(b.ToppedUp-b.Settled))
}

// TokensToAllot returns the number of free tokens to allot to a region's holder that has
// a number of unspent tokens, have, and needs a further number, need. Normally this fills
// the holder up to its target allotment, as far as the reserve stays free. The budget is
// short if that is less than the need, or if there is a need and the free tokens would
// last for less than about a minute of the recent demand. In that case the holder gets
// exactly what it needs, limited to the free tokens, because another region may wait for
// the rest.
func TokensToAllot(b Budget, region string, have, need int64, regions int) int64 {
	free := b.Free()
	tokens := min(TargetAllotment(b, region, regions)-have, free-(b.ToppedUp-b.Settled)*reservePercent/100)
	if tokens < need || need > 0 && free < b.totalDemand()/demandWindowMinutes {
		tokens = min(need, free)
	}
	return max(tokens, 0)
}

// totalDemand returns the recent demand of all regions.
func (b Budget) totalDemand() int64 {
	var total int64
	for _, d := range b.Demand {
		total += d
	}
	return total
}

// Check validates the shard and the invariant of each budget.
func (s Shard) Check() error {
	var f checker.Validator
	f.Require(s.Number >= 0, "number", "is %d, must not be negative", s.Number)
	for name, b := range s.Budgets {
		key := "budgets." + name
		f.Require(name != "", "budgets", "a budget has no name")
		f.Require(b.ToppedUp >= 0 && b.Settled >= 0, key, "topped and settled must not be negative")
		f.Require(b.Free() >= 0, key, "settled and granted tokens exceed topped by %d", -b.Free())
		for instance, g := range b.Grants {
			f.Require(g.Folded >= 0 && g.Folded <= g.Allotted, key+".grants."+instance,
				"folded is %d, allowed is 0 to allotted %d", g.Folded, g.Allotted)
		}
	}
	return f.Err()
}
