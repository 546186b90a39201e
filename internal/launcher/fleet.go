package launcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/locator"
	"daisylane/internal/router"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// fleet chooses targets from the membership view and learns from results.
type fleet struct {
	members *locator.Locator

	mu     sync.Mutex
	policy chooser.Policy
	sent   map[string][]time.Time // by instance, in order
}

func newFleet(members *locator.Locator) *fleet {
	self := members.Self()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fleet{
		members: members,
		policy:  chooser.NewAffinity(chooser.Place{Centre: self.Centre, Region: self.Region}, source),
		sent:    make(map[string][]time.Time),
	}
}

// Choose implements [router.Targets].
func (f *fleet) Choose(q router.Query) (router.Choice, bool) {
	members := f.members.Candidates(watcher.Query{Target: q.Target})
	list := make([]chooser.Candidate, 0, len(members))
	addrs := make(map[string]string, len(members))
	for _, m := range members {
		list = append(list, chooser.Candidate{Name: m.Name, Place: chooser.Place{Centre: m.Centre, Region: m.Region}})
		addrs[m.Name] = m.Addr
	}
	exclude := make(map[string]bool, len(q.Tried))
	for _, name := range q.Tried {
		exclude[name] = true
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.policy.Choose(now, chooser.Request{
		Prefix: chooser.Prefix(q.Target, "", q.Prefix), Deadline: q.Deadline, Exclude: exclude,
	}, list)
	if !ok {
		return router.Choice{}, false
	}
	f.policy.Sent(now, c.Name)
	return router.Choice{Name: c.Name, Addr: addrs[c.Name], Sent: now, Reason: c.Reason + ", " + string(c.Scope)}, true
}

// Done implements [router.Targets].
func (f *fleet) Done(c router.Choice, load *wirepb.Load, outcome router.Outcome) {
	if load.GetLeaving() {
		f.members.Leave(c.Name)
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy.Done(now, c.Name, c.Sent)
	if load != nil {
		f.policy.Reported(c.Name, chooser.Load{
			Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Slots: int(load.GetSlots()),
			At: now.Add(-time.Duration(load.GetAge()) * time.Millisecond),
		})
	}
}
