package prober

import (
	"slices"
	"time"
)

// tokenChange is a change of the settled and reserved tokens of a budget.
type tokenChange struct {
	at    time.Time
	delta int
}

// markFalseRefusals marks requests that were refused for lack of budget although the
// budget had room for them during their whole time in flight. A request uses its
// maximum tokens from its start until settleTime after its end, and then the tokens
// of its response. If its consumption is unknown, its maximum tokens stay in use.
// Requests refused for lack of budget use no tokens, so that two of them do not
// justify each other.
func markFalseRefusals(callers []Caller, settleTime time.Duration, results []Result) {
	for _, c := range callers {
		if c.Budget == 0 {
			continue
		}
		changes := usageChanges(c.Name, settleTime, results)
		for i, r := range results {
			if r.Caller == c.Name && r.refusedForBudget() {
				results[i].FalseRefusal = c.Budget-maxUsage(changes, r.Start, r.Start.Add(r.Elapsed)) >= r.MaxTokens
			}
		}
	}
}

// refusedForBudget reports whether the request was refused for lack of budget at its
// first attempt. A refusal after an earlier attempt is excluded, as that attempt may
// have consumed tokens.
func (r Result) refusedForBudget() bool {
	return r.Outcome == OutcomeNotRun && r.Reason == "budget" && r.Attempts <= 1
}

// usageChanges returns the changes of a caller's budget in chronological order. Each
// delta is the sum of all changes up to its time.
func usageChanges(caller string, settleTime time.Duration, results []Result) []tokenChange {
	var list []tokenChange
	for _, r := range results {
		if r.Caller != caller || r.refusedForBudget() {
			continue
		}
		list = append(list, tokenChange{r.Start, r.MaxTokens})
		settledAt := r.Start.Add(r.Elapsed + settleTime)
		switch {
		case r.Outcome == OutcomeComplete || r.Outcome == OutcomeWrong:
			list = append(list, tokenChange{settledAt, r.TotalTokens - r.MaxTokens})
		case (r.Outcome == OutcomeNotRun || r.Outcome == OutcomeUnreachable) && r.Attempts <= 1:
			list = append(list, tokenChange{settledAt, -r.MaxTokens})
		}
	}
	slices.SortFunc(list, func(a, b tokenChange) int { return a.at.Compare(b.at) })
	for i := 1; i < len(list); i++ {
		list[i].delta += list[i-1].delta
	}
	return list
}

// maxUsage returns the highest usage between two times. The deltas of usage are
// cumulative.
func maxUsage(usage []tokenChange, from, to time.Time) int {
	i, _ := slices.BinarySearchFunc(usage, from, func(c tokenChange, t time.Time) int { return c.at.Compare(t) })
	most := 0
	if i > 0 {
		most = usage[i-1].delta
	}
	for ; i < len(usage) && !usage[i].at.After(to); i++ {
		most = max(most, usage[i].delta)
	}
	return most
}
