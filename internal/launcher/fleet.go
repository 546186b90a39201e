package launcher

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/locator"
	"daisylane/internal/retrier"
	"daisylane/internal/router"
	"daisylane/internal/watcher"
)

const (
	countInterval = 5 * time.Second
	expectedSlots = 8 // of a side that has not reported yet
	maxLists      = 64
)

// fleet chooses targets from the membership view, learns from results and
// decides about retries.
type fleet struct {
	members *locator.Locator

	mu      sync.Mutex
	policy  *chooser.Affinity
	retries *retrier.Retrier
	lists   map[watcher.Query]candidates
	slots   map[string]int // last reported slots by instance
	exclude []string       // reused between choices
	counted time.Time      // last count of the entries
}

// candidates are the members of a query in the form that the policy keeps.
type candidates struct {
	members []*watcher.Member
	list    *chooser.List
}

func newFleet(members *locator.Locator) *fleet {
	self := members.Self()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fleet{
		members: members,
		policy:  chooser.NewAffinity(chooser.Place{Centre: self.Centre, Region: self.Region}, source),
		retries: retrier.New(source),
		lists:   make(map[watcher.Query]candidates),
		slots:   make(map[string]int),
	}
}

// RequestStarted implements [router.Targets].
func (f *fleet) RequestStarted(account string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries.Begin(account)
}

// Choose implements [router.Targets].
func (f *fleet) Choose(q router.Query) (router.Choice, bool) {
	query := watcher.Query{Target: q.Target}
	members := f.members.Candidates(query)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(now)
	f.exclude = f.retries.AppendBlocked(append(f.exclude[:0], q.Tried...), now)
	c, ok := f.policy.Choose(now, chooser.Request{
		Prefix: chooser.Prefix(q.Target, "", q.Prefix), Deadline: q.Deadline, Exclude: f.exclude,
	}, f.list(query, members))
	if !ok || !f.retries.Admit(now, c.Name) {
		return router.Choice{}, false
	}
	f.policy.Sent(now, c.Name)
	return router.Choice{Name: c.Name, Addr: members[c.Index].Addr, Sent: now, Reason: c.Reason, Scope: string(c.Scope)}, true
}

// list returns the policy's list of the members, the same one until they change.
func (f *fleet) list(q watcher.Query, members []*watcher.Member) *chooser.List {
	if c, ok := f.lists[q]; ok && slices.Equal(c.members, members) {
		return c.list
	}
	for _, m := range f.lists[q].members {
		if !slices.Contains(members, m) {
			f.policy.Forget(m.Name)
		}
	}
	if len(f.lists) >= maxLists {
		clear(f.lists)
	}
	places := make([]chooser.Candidate, len(members))
	for i, m := range members {
		places[i] = chooser.Candidate{Name: m.Name, Place: chooser.Place{Centre: m.Centre, Region: m.Region}}
	}
	list := chooser.NewList(places)
	f.lists[q] = candidates{members, list}
	return list
}

// count tells the policy how many entries of the data centre share its targets.
func (f *fleet) count(now time.Time) {
	if now.Sub(f.counted) < countInterval {
		return
	}
	f.counted = now
	self := f.members.Self()
	f.policy.SetPeers(len(f.members.Entries(self.Region, self.Centre)))
}

// capacity returns the requests that this entry should have in flight: a multiple of
// its share of the slots in its region. It reports false if no side is known.
func (f *fleet) capacity(share float64) (int, bool) {
	self := f.members.Self()
	entries := max(1, len(f.members.Entries(self.Region, "")))
	sides := f.members.Registered(watcher.Side)
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, m := range sides {
		if m.Region != self.Region {
			continue
		}
		if n := f.slots[m.Name]; n > 0 {
			sum += n
		} else {
			sum += expectedSlots
		}
	}
	return int(math.Ceil(share * float64(sum) / float64(entries))), sum > 0
}

// Done implements [router.Targets].
func (f *fleet) Done(c router.Choice, r router.AttemptResult) router.RetryDecision {
	if r.Load.GetLeaving() {
		f.members.Leave(c.Name)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy.Done(now, c.Name, c.Sent)
	if r.Load != nil {
		f.policy.Reported(c.Name, chooser.LoadOf(now, r.Load))
		f.slots[c.Name] = int(r.Load.GetSlots())
	}
	if r.Outcome == router.Canceled {
		f.retries.Cancelled(c.Name)
		return router.RetryDecision{}
	}
	v := f.retries.Conclude(now, attemptOf(c, r))
	return router.RetryDecision{Retry: v.Retry, Backoff: v.Wait, RetryAfter: v.After}
}

var outcomes = map[router.Outcome]retrier.Outcome{
	router.Complete:    retrier.Whole,
	router.Refused:     retrier.NotRun,
	router.Unreachable: retrier.NotRun,
	router.Unknown:     retrier.Unknown,
	router.Interrupted: retrier.Interrupted,
}

func attemptOf(c router.Choice, r router.AttemptResult) retrier.Attempt {
	return retrier.Attempt{
		Account: r.Account, Target: c.Name, Outcome: outcomes[r.Outcome], Refused: r.Outcome == router.Refused,
		Idempotent: r.Idempotent, Delivered: r.Outcome == router.Interrupted, Number: r.AttemptNumber,
		Deadline: r.Deadline, After: r.RetryAfter,
	}
}
