package analyzer

import (
	"cmp"
	"slices"
	"time"

	"daisylane/internal/granter"
)

// Sums counts how requests ended. A refusal for tokens is unfounded if what the
// account had delivered and in flight at all instances, by the log, left enough
// for the request. The tokens of requests that a killed process served are not
// in the log, so a few refusals after a crash count as unfounded wrongly.
func (l *Log) Sums() Sums {
	s := Sums{Skipped: l.Skipped}
	byAccount := make(map[string][]Request)
	for _, line := range l.Lines {
		r, ok := line.request()
		if !ok {
			continue
		}
		s.Requests++
		s.count(r)
		if r.Budget != "" {
			byAccount[r.Account] = append(byAccount[r.Account], r)
		}
	}
	for name, list := range byAccount {
		if a := s.judge(name, list); a.Refused > 0 {
			s.Accounts = append(s.Accounts, a)
		}
	}
	slices.SortFunc(s.Accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Unfounded, a.Unfounded), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Causes, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Cause, b.Cause))
	})
	return s
}

// count adds a request to its cause.
func (s *Sums) count(r Request) {
	i := s.index(r)
	if i < 0 {
		s.Causes = append(s.Causes, Count{Service: r.Service, Cause: r.Outcome})
		i = len(s.Causes) - 1
	}
	s.Causes[i].Count++
}

func (s *Sums) index(r Request) int {
	return slices.IndexFunc(s.Causes, func(c Count) bool { return c.Service == r.Service && c.Cause == r.Outcome })
}

// judge looks at the refusals of one account with what all instances together
// had used when they came.
func (s *Sums) judge(name string, list []Request) Account {
	a := Account{Name: name}
	for _, r := range list {
		a.Prepaid, a.Delivered = r.Prepaid, a.Delivered+r.Tokens
		if r.Budget == string(granter.Reserved) {
			continue
		}
		a.Refused++
		room := r.Prepaid - used(list, r.end)
		a.Withheld = max(a.Withheld, room-max(0, r.Left))
		if room >= r.Asked {
			a.Unfounded++
			s.Causes[s.index(r)].Unfounded++
		}
	}
	return a
}

// used returns the tokens of an account that were delivered or reserved at a time.
func used(list []Request, at time.Time) int64 {
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
