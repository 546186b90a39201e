package analyzer

import (
	"cmp"
	"slices"
	"time"

	"daisylane/internal/granter"
)

// Stats counts the requests by outcome. A refusal for lack of tokens is unfounded if,
// according to the log, the tokens that the account had not used at any instance
// covered the request; delivered and in-flight tokens count as used. A killed process
// does not log the tokens of its last requests, so a few refusals after a crash are
// counted as unfounded by mistake.
func (l *Log) Stats() Stats {
	s := Stats{Skipped: l.Skipped}
	byAccount := make(map[string][]Request)
	for _, line := range l.Lines {
		r, ok := line.request()
		if !ok {
			continue
		}
		s.Requests++
		s.countRequest(r)
		if r.Budget != "" {
			byAccount[r.Account] = append(byAccount[r.Account], r)
		}
	}
	for name, list := range byAccount {
		if a := s.evaluateRefusals(name, list); a.Refused > 0 {
			s.Accounts = append(s.Accounts, a)
		}
	}
	slices.SortFunc(s.Accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Unfounded, a.Unfounded), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// countRequest adds a request to the count of its service and cause.
func (s *Stats) countRequest(r Request) {
	i := s.index(r)
	if i < 0 {
		s.Causes = append(s.Causes, CauseCount{Service: r.Service, Cause: r.Outcome})
		i = len(s.Causes) - 1
	}
	s.Causes[i].Count++
}

func (s *Stats) index(r Request) int {
	return slices.IndexFunc(s.Causes, func(c CauseCount) bool { return c.Service == r.Service && c.Cause == r.Outcome })
}

// evaluateRefusals evaluates the refusals of one account against the tokens that all
// instances together had used at the time of each refusal.
func (s *Stats) evaluateRefusals(name string, list []Request) Account {
	a := Account{Name: name}
	for i, unused := range unusedTokens(list) {
		r := list[i]
		a.Prepaid, a.Delivered = r.Prepaid, a.Delivered+r.Tokens
		if r.granted() {
			continue
		}
		a.Refused++
		a.Withheld = max(a.Withheld, unused-max(0, r.Left))
		if unused >= r.Asked {
			a.Unfounded++
			s.Causes[s.index(r)].Unfounded++
		}
	}
	return a
}

// granted reports whether the tokens that the request asked for were reserved.
func (r Request) granted() bool {
	return r.Budget == string(granter.Reserved)
}

func (r Request) began() time.Time {
	return r.end.Add(-time.Duration(max(0, r.Took)) * time.Millisecond)
}

// unusedTokens returns for each request of one account the prepaid tokens that were
// neither delivered nor reserved at its end. The requests must be sorted by their end.
func unusedTokens(list []Request) []int64 {
	starts := make([]int, 0, len(list)) // requests with reserved tokens, by their beginning
	for i, r := range list {
		if r.granted() {
			starts = append(starts, i)
		}
	}
	slices.SortFunc(starts, func(a, b int) int { return list[a].began().Compare(list[b].began()) })
	unused := make([]int64, len(list))
	var used int64
	begun, ended := 0, 0
	for i, r := range list {
		for ; begun < len(starts) && !list[starts[begun]].began().After(r.end); begun++ {
			used += list[starts[begun]].Asked
		}
		for ; ended < len(list) && !list[ended].end.After(r.end); ended++ {
			if e := list[ended]; e.granted() {
				used += e.Tokens - e.Asked
			}
		}
		unused[i] = r.Prepaid - used
	}
	return unused
}
