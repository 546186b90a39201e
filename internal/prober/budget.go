package prober

import (
	"slices"
	"time"
)

// change is a change of the tokens that a budget has settled or reserved.
type change struct {
	at    time.Time
	delta int
}

// markFalse marks the refusals for lack of budget that came although the budget
// had room for the request during its whole time in flight. A request counts
// with its bound from its start until settle after its answer. It keeps its
// bound for good if its consumption is not known. Refused requests count as
// nothing, so that two of them do not excuse each other.
func markFalse(callers []Caller, settle time.Duration, results []Result) {
	for _, c := range callers {
		if c.Budget == 0 {
			continue
		}
		changes := spending(c.Name, settle, results)
		for i, r := range results {
			if r.Caller == c.Name && r.overBudget() {
				results[i].FalseStop = c.Budget-mostUsed(changes, r.Start, r.Start.Add(r.Took)) >= r.Bound
			}
		}
	}
}

// overBudget excludes a refusal after an attempt that may have consumed tokens.
func (r Result) overBudget() bool {
	return r.Outcome == NotRun && r.Reason == "budget" && r.Attempts <= 1
}

// spending returns the changes of a caller's budget in order of time.
func spending(caller string, settle time.Duration, results []Result) []change {
	var list []change
	for _, r := range results {
		if r.Caller != caller || r.overBudget() {
			continue
		}
		list = append(list, change{r.Start, r.Bound})
		closed := r.Start.Add(r.Took + settle)
		switch {
		case r.Outcome == Whole || r.Outcome == Wrong:
			list = append(list, change{closed, r.Tokens - r.Bound})
		case (r.Outcome == NotRun || r.Outcome == Unreachable) && r.Attempts <= 1:
			list = append(list, change{closed, -r.Bound})
		}
	}
	slices.SortFunc(list, func(a, b change) int { return a.at.Compare(b.at) })
	for i := 1; i < len(list); i++ {
		list[i].delta += list[i-1].delta
	}
	return list
}

// mostUsed returns the highest usage between two times. The deltas are summed up.
func mostUsed(sums []change, from, to time.Time) int {
	i, _ := slices.BinarySearchFunc(sums, from, func(c change, t time.Time) int { return c.at.Compare(t) })
	most := 0
	if i > 0 {
		most = sums[i-1].delta
	}
	for ; i < len(sums) && !sums[i].at.After(to); i++ {
		most = max(most, sums[i].delta)
	}
	return most
}
