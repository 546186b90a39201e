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
	entryCountInterval = 5 * time.Second
	defaultSlots       = 8 // assumed for a side that has not reported its load yet
	maxCandidateLists  = 64
)

// balancer implements [router.Balancer] with the membership view, an affinity
// policy and a retry policy.
type balancer struct {
	members *locator.Locator

	mu               sync.Mutex
	policy           *chooser.Affinity
	retries          *retrier.Retrier
	candidateLists   map[watcher.Query]candidates
	slotsByInstance  map[string]int // last reported number of slots
	excluded         []string       // buffer reused by Choose
	entriesCountedAt time.Time      // time of the last entry count
}

// candidates caches the policy's candidate list for the members of a query.
type candidates struct {
	members []*watcher.Member
	list    *chooser.List
}

func newBalancer(members *locator.Locator) *balancer {
	self := members.Self()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &balancer{
		members:         members,
		policy:          chooser.NewAffinity(chooser.Place{Centre: self.Centre, Region: self.Region}, source),
		retries:         retrier.New(source),
		candidateLists:  make(map[watcher.Query]candidates),
		slotsByInstance: make(map[string]int),
	}
}

// RequestStarted implements [router.Balancer].
func (b *balancer) RequestStarted(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.CountRequest(account)
}

// Choose implements [router.Balancer].
func (b *balancer) Choose(q router.Query) (router.Choice, bool) {
	query := watcher.Query{Target: q.Target}
	members := b.members.Candidates(query)
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateEntryCount(now)
	b.excluded = b.retries.AppendBlocked(append(b.excluded[:0], q.Tried...), now)
	c, ok := b.policy.Choose(now, chooser.Request{
		Prefix: chooser.PrefixHash(q.Target, "", q.Prefix), Deadline: q.Deadline, Exclude: b.excluded,
	}, b.candidateList(query, members))
	if !ok || !b.retries.Admit(now, c.Name) {
		return router.Choice{}, false
	}
	b.policy.RecordSent(now, c.Name)
	return router.Choice{Name: c.Name, Addr: members[c.Index].Addr, Sent: now, Reason: c.Reason, Scope: string(c.Scope)}, true
}

// candidateList returns the policy's list of the members. The list is cached until
// the members change.
func (b *balancer) candidateList(q watcher.Query, members []*watcher.Member) *chooser.List {
	if c, ok := b.candidateLists[q]; ok && slices.Equal(c.members, members) {
		return c.list
	}
	for _, m := range b.candidateLists[q].members {
		if !slices.Contains(members, m) {
			b.policy.Forget(m.Name)
		}
	}
	if len(b.candidateLists) >= maxCandidateLists {
		clear(b.candidateLists)
	}
	places := make([]chooser.Candidate, len(members))
	for i, m := range members {
		places[i] = chooser.Candidate{Name: m.Name, Place: chooser.Place{Centre: m.Centre, Region: m.Region}}
	}
	list := chooser.NewList(places)
	b.candidateLists[q] = candidates{members, list}
	return list
}

// updateEntryCount periodically tells the policy how many entries of the data centre
// share its targets.
func (b *balancer) updateEntryCount(now time.Time) {
	if now.Sub(b.entriesCountedAt) < entryCountInterval {
		return
	}
	b.entriesCountedAt = now
	self := b.members.Self()
	b.policy.SetPeers(len(b.members.Entries(self.Region, self.Centre)))
}

// inFlightLimit returns the maximum number of requests in flight at this entry, a
// multiple of its share of the slots in its region. It reports false if no side
// of the region is known.
func (b *balancer) inFlightLimit(share float64) (int, bool) {
	self := b.members.Self()
	entries := max(1, len(b.members.Entries(self.Region, "")))
	sides := b.members.Registered(watcher.Side)
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, m := range sides {
		if m.Region != self.Region {
			continue
		}
		if n := b.slotsByInstance[m.Name]; n > 0 {
			sum += n
		} else {
			sum += defaultSlots
		}
	}
	return int(math.Ceil(share * float64(sum) / float64(entries))), sum > 0
}

// Done implements [router.Balancer].
func (b *balancer) Done(c router.Choice, r router.AttemptResult) router.RetryDecision {
	if r.Load.GetLeaving() {
		b.members.MarkLeaving(c.Name)
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.RecordDone(now, c.Name, c.Sent)
	if r.Load != nil {
		b.policy.RecordLoad(c.Name, chooser.LoadFromMessage(now, r.Load))
		b.slotsByInstance[c.Name] = int(r.Load.GetSlots())
	}
	if r.Outcome == router.Canceled {
		b.retries.RecordCancelled(c.Name)
		return router.RetryDecision{}
	}
	v := b.retries.Conclude(now, retryAttempt(c, r))
	return router.RetryDecision{Retry: v.Retry, Backoff: v.Backoff, RetryAfter: v.RetryAfter}
}

var retryOutcomes = map[router.Outcome]retrier.Outcome{
	router.Complete:    retrier.Complete,
	router.Refused:     retrier.NotRun,
	router.Unreachable: retrier.NotRun,
	router.Unknown:     retrier.Unknown,
	router.Interrupted: retrier.Interrupted,
}

func retryAttempt(c router.Choice, r router.AttemptResult) retrier.Attempt {
	return retrier.Attempt{
		Account: r.Account, Target: c.Name, Outcome: retryOutcomes[r.Outcome], Refused: r.Outcome == router.Refused,
		Idempotent: r.Idempotent, Delivered: r.Outcome == router.Interrupted, Number: r.AttemptNumber,
		Deadline: r.Deadline, RetryAfter: r.RetryAfter,
	}
}
