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
	for _, r := range list {
		a.Prepaid, a.Delivered = r.Prepaid, a.Delivered+r.Tokens
		if r.Budget == string(granter.Reserved) {
			continue
		}
		a.Refused++
		available := r.Prepaid - usedTokens(list, r.end)
		a.Withheld = max(a.Withheld, available-max(0, r.Left))
		if available >= r.Asked {
			a.Unfounded++
			s.Causes[s.index(r)].Unfounded++
		}
	}
	return a
}

// usedTokens returns the tokens of an account that were delivered or reserved at the
// given time.
func usedTokens(list []Request, at time.Time) int64 {
	var sum int64
	for _, r := range list {
		began := r.end.Add(-time.Duration(r.Took) * time.Millisecond)
		switch {
		case r.Budget != string(granter.Reserved):
		case !r.end.After(at):
			sum += r.Tokens
		case !began.After(at):
			sum += r.Asked
		}
	}
	return sum
}
