package launcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/locator"
	"daisylane/internal/retrier"
	"daisylane/internal/router"
	"daisylane/internal/watcher"
)

// fleet chooses targets from the membership view, learns from results and
// decides about retries.
type fleet struct {
	members *locator.Locator

	mu      sync.Mutex
	policy  chooser.Policy
	retries *retrier.Retrier
}

func newFleet(members *locator.Locator) *fleet {
	self := members.Self()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fleet{
		members: members,
		policy:  chooser.NewAffinity(chooser.Place{Centre: self.Centre, Region: self.Region}, source),
		retries: retrier.New(source),
	}
}

// Begin implements [router.Targets].
func (f *fleet) Begin(account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.Begin(account)
}

// Choose implements [router.Targets].
func (f *fleet) Choose(q router.Query) (router.Choice, bool) {
	members := f.members.Candidates(watcher.Query{Target: q.Target})
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]chooser.Candidate, 0, len(members))
	addrs := make(map[string]string, len(members))
	for _, m := range members {
		if f.retries.Blocked(now, m.Name) {
			continue
		}
		list = append(list, chooser.Candidate{Name: m.Name, Place: chooser.Place{Centre: m.Centre, Region: m.Region}})
		addrs[m.Name] = m.Addr
	}
	exclude := make(map[string]bool, len(q.Tried))
	for _, name := range q.Tried {
		exclude[name] = true
	}
	c, ok := f.policy.Choose(now, chooser.Request{
		Prefix: chooser.Prefix(q.Target, "", q.Prefix), Deadline: q.Deadline, Exclude: exclude,
	}, list)
	if !ok || !f.retries.Admit(now, c.Name) {
		return router.Choice{}, false
	}
	f.policy.Sent(now, c.Name)
	return router.Choice{Name: c.Name, Addr: addrs[c.Name], Sent: now, Reason: c.Reason, Scope: string(c.Scope)}, true
}

// Done implements [router.Targets].
func (f *fleet) Done(c router.Choice, r router.Report) router.Verdict {
	if r.Load.GetLeaving() {
		f.members.Leave(c.Name)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy.Done(now, c.Name, c.Sent)
	if r.Load != nil {
		f.policy.Reported(c.Name, chooser.LoadOf(now, r.Load))
	}
	if r.Outcome == router.Canceled {
		f.retries.Cancelled(c.Name)
		return router.Verdict{}
	}
	v := f.retries.Conclude(now, attemptOf(c, r))
	return router.Verdict{Retry: v.Retry, Wait: v.Wait, After: v.After}
}

var outcomes = map[router.Outcome]retrier.Outcome{
	router.Whole:       retrier.Whole,
	router.Refused:     retrier.NotRun,
	router.Unreachable: retrier.NotRun,
	router.Unknown:     retrier.Unknown,
	router.Interrupted: retrier.Interrupted,
}

func attemptOf(c router.Choice, r router.Report) retrier.Attempt {
	return retrier.Attempt{
		Account: r.Account, Target: c.Name, Outcome: outcomes[r.Outcome], Refused: r.Outcome == router.Refused,
		Idempotent: r.Repeatable, Delivered: r.Outcome == router.Interrupted, Number: r.Number,
		Deadline: r.Deadline, After: r.After,
	}
}
