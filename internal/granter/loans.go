package granter

import "time"

// loanMemory is how long a lender remembers loans, so that the borrower can cancel one
// whose response it has not received. A borrower gives up sooner.
const loanMemory = 30 * time.Second

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
