package receiver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/retrier"
)

// Dispatch chooses targets from the roster and decides about retries. It keeps
// no connection and reads no clock.
type Dispatch struct {
	regions map[string]string // by data centre

	mu      sync.Mutex
	roster  *follower.Roster
	policy  *chooser.PrefillPolicy
	retries *retrier.Retrier
	nodes   map[string]nodes // by service
	exclude []string
}

// nodes are the targets of a service in the form that the policy takes.
type nodes struct {
	targets []follower.Target
	service *resolver.Service
	list    []chooser.Node
}

// Lane is a target chosen for one attempt.
type Lane struct {
	Target follower.Target
	Pick   chooser.PrefillChoice
	Chosen time.Time
	ticket *chooser.InFlightRequest
}

// NewDispatch returns a Dispatch for an instance at a place. It uses the given
// retry decisions.
func NewDispatch(place chooser.Place, regions map[string]string, retries *retrier.Retrier) *Dispatch {
	return &Dispatch{
		regions: regions, roster: follower.NewRoster(), policy: chooser.NewPrefillPolicy(place), retries: retries,
		nodes: make(map[string]nodes),
	}
}

// Roster gives access to the view of the targets, for the time of one call.
func (d *Dispatch) Roster(use func(*follower.Roster)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	use(d.roster)
}

// SetBurst sets this instance's part of the retry budget.
func (d *Dispatch) SetBurst(burst float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.SetBurst(burst)
}

// SetRetryShare sets how many retries each request allows.
func (d *Dispatch) SetRetryShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.SetShare(share)
}

// Forget drops what is known of a target that is gone or has started anew.
func (d *Dispatch) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Forget(id)
	d.retries.Forget(id)
}

// Begin counts a new request.
func (d *Dispatch) Begin(account string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Begin(account)
}

var errNoTargets = errors.New("no target is left")

// overload is the refusal of a request that no target can answer in time.
type overload struct{ after time.Duration } // until there may be room

func (o overload) Error() string { return fmt.Sprintf("no room for %v", o.after) }

// Choose selects a target that has not been tried, and counts the request as sent
// there. If it has not been sent before, it is refused with an overload where that
// is better for callers; the lane then tells what decided it.
func (d *Dispatch) Choose(now time.Time, service *resolver.Service, p chooser.PrefillRequest, tried []string, first bool) (Lane, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.list(service)
	d.exclude = d.retries.AppendBlocked(append(d.exclude[:0], tried...), now)
	p.Exclude = d.exclude
	pick, ok := d.policy.Choose(now, p, n.list)
	if !ok && len(d.exclude) > len(tried) {
		// Every other target has failed lately; one of them is better than none.
		p.Exclude = tried
		pick, ok = d.policy.Choose(now, p, n.list)
	}
	if !ok {
		return Lane{}, errNoTargets
	}
	lane := Lane{Target: n.targets[pick.Index], Pick: pick, Chosen: now}
	if service.Engine != nil && first {
		if after, ok := d.policy.Admit(p, pick); !ok {
			return lane, overload{after}
		}
	}
	d.retries.Admit(now, lane.Target.ID)
	lane.ticket = d.policy.RecordSent(now, lane.Target.ID, p, pick)
	return lane, nil
}

// list returns the ready targets of a service. The caller holds the lock.
func (d *Dispatch) list(service *resolver.Service) nodes {
	ready := d.roster.Ready(service.Name)
	if n, ok := d.nodes[service.Name]; ok && n.service == service && same(n.targets, ready) {
		return n
	}
	n := nodes{targets: ready, service: service, list: make([]chooser.Node, len(ready))}
	for i, t := range ready {
		n.list[i] = chooser.Node{Name: t.ID, Place: chooser.Place{Centre: t.Centre, Region: d.regions[t.Centre]}, Slots: t.Slots}
		if service.Engine != nil {
			n.list[i].Memory = service.Engine.Memory
		}
	}
	d.nodes[service.Name] = n
	return n
}

// same reports whether two lists are one slice.
func same(a, b []follower.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Began records the first event of an answer.
func (d *Dispatch) Began(now time.Time, l Lane) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordFirstEvent(now, l.ticket)
}

// Progressed records a further event of an answer.
func (d *Dispatch) Progressed(now time.Time, l Lane) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordEvent(now, l.ticket)
}

// Reported records the load that an answer tells.
func (d *Dispatch) Reported(now time.Time, id string, l *Load) {
	if l == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordLoad(id, chooser.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: now})
}

// Done ends an attempt and decides about another one. Without an attempt the
// target's state is left as it is, for example because the caller went away.
func (d *Dispatch) Done(now time.Time, l Lane, a *retrier.Attempt) retrier.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordDone(l.ticket)
	if a == nil {
		d.retries.Cancelled(l.Target.ID)
		return retrier.Verdict{}
	}
	a.Target = l.Target.ID
	return d.retries.Conclude(now, *a)
}

// jitter spreads a time over its half to one and a half times, so that callers
// refused together do not return together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }
