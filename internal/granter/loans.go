package granter

import (
	"maps"
	"time"

	"daisylane/internal/checker"
)

// loanMemory is how long a lender remembers loans, so that the borrower can cancel one
// whose response it has not received. A borrower gives up sooner.
const loanMemory = 30 * time.Second

// usageLifetime is how long the reported usage of another instance is used. What was
// reserved then may have been settled since.
const usageLifetime = 3 * time.Second

// Usage is what an instance has and uses of the tokens of an account.
type Usage struct {
	Granted int64 `json:"held,omitempty"` // tokens granted to it since the budget was created, including spent ones
	Used    int64 `json:"used,omitempty"` // spent and reserved tokens
}

// Check validates the numbers of tokens.
func (u Usage) Check() error {
	var f checker.Validator
	f.Require(u.Granted >= 0, "held", "is %d, must not be negative", u.Granted)
	f.Require(u.Used >= 0, "used", "is %d, must not be negative", u.Used)
	return f.Err()
}

// reportedUsage is the usage that another instance has reported. It is newer than its
// published grant.
type reportedUsage struct {
	Usage
	at time.Duration
}

// Usage returns the usage of this instance.
func (g *Granter) Usage(name string) Usage {
	a := g.account(name)
	return Usage{Granted: a.granted, Used: max(0, a.spent-a.borrowed) + a.reserved}
}

// ObserveUsage takes over the usage that another instance has reported.
func (g *Granter) ObserveUsage(now time.Duration, name, instance string, u Usage) {
	a := g.account(name)
	if u == (Usage{}) {
		return
	}
	if a.reported == nil {
		a.reported = make(map[string]reportedUsage)
	}
	a.reported[instance] = reportedUsage{u, now}
}

// forgetReported drops old reported usage.
func (a *account) forgetReported(now time.Duration) {
	maps.DeleteFunc(a.reported, func(_ string, r reportedUsage) bool { return now-r.at > usageLifetime })
}

// usedBy returns the tokens that another instance is known to use.
func (a *account) usedBy(instance string) int64 {
	grant := a.budget.Grants[instance]
	return max(min(grant.Spent+grant.ReservedTokens, grant.Granted), a.reported[instance].Used)
}

// loanRecord is a loan, or the cancellation of one. An ID has no tokens once it is
// cancelled.
type loanRecord struct {
	account string
	tokens  int64
}

// recentLoan is an entry of the loans in the order in which they are forgotten.
type recentLoan struct {
	id string
	at time.Duration
}

// RecordLoan remembers a loan until it can no longer be cancelled. It reports false if
// its ID was cancelled or used before; then the borrower does not use the tokens.
func (g *Granter) RecordLoan(now time.Duration, l Loan, tokens int64) bool {
	if l.ID == "" {
		return true // the borrower cancels nothing
	}
	if _, known := g.loans[l.ID]; known {
		return false
	}
	g.rememberLoan(now, l.ID, loanRecord{l.Account, tokens})
	return true
}

// CancelLoan takes back a loan that its borrower will not use, and prevents it if its
// request is still to come. It returns the tokens taken back.
func (g *Granter) CancelLoan(now time.Duration, id string) int64 {
	r := g.loans[id]
	if r.tokens > 0 {
		g.AddReturned(r.account, r.tokens)
	}
	g.rememberLoan(now, id, loanRecord{})
	return r.tokens
}

func (g *Granter) rememberLoan(now time.Duration, id string, r loanRecord) {
	for len(g.recentLoans) > 0 && now-g.recentLoans[0].at > loanMemory {
		delete(g.loans, g.recentLoans[0].id)
		g.recentLoans = g.recentLoans[1:]
	}
	if _, known := g.loans[id]; !known {
		g.recentLoans = append(g.recentLoans, recentLoan{id, now})
	}
	g.loans[id] = r
}
