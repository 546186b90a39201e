package receiver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/quarantiner"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
	"daisylane/internal/scheduler"
)

// Dispatcher chooses targets from the roster and decides about retries. It holds no
// connections and does not read the clock. It is safe for concurrent use.
type Dispatcher struct {
	regions map[string]string // region by data centre
	limits  Limits

	mu      sync.Mutex
	roster  *follower.Roster
	policy  *chooser.PrefillPolicy
	retries *retrier.Retrier
	nodes   map[nodesKey]serviceNodes
	nodesOf int64    // version of the roster that nodes were made of
	exclude []string // reused between choices
	// evacuations holds the data centres that get no requests, nil: there are none on this
	// deployment.
	evacuations *restrictor.Evacuations
	// schedulers decide about admission, by name of the service.
	schedulers map[string]*scheduler.Scheduler
}

// nodesKey identifies the ready targets of a service in some places.
type nodesKey struct{ service, places string }

// serviceNodes holds the ready targets of a service in some places, also as input for the
// policy.
type serviceNodes struct {
	targets []follower.Target
	service *resolver.Service
	list    []chooser.Node
	mixed   bool // the targets have different software versions
}

// ChosenTarget is the target of one attempt.
type ChosenTarget struct {
	Target   follower.Target
	Choice   chooser.PrefillChoice
	ChosenAt time.Time
	inFlight *chooser.InFlightRequest
}

// process identifies the process of the target.
func (t ChosenTarget) process() quarantiner.Target {
	return quarantiner.Target{ID: t.Target.ID, Incarnation: t.Target.Incarnation}
}

// DispatcherOption changes a setting of a [Dispatcher].
type DispatcherOption func(*Dispatcher)

// WithLimits sets what knows the limits of targets.
func WithLimits(l Limits) DispatcherOption { return func(d *Dispatcher) { d.limits = l } }

// NewDispatcher returns a Dispatcher for an instance at a place. It takes ownership of
// retries.
func NewDispatcher(place chooser.Place, regions map[string]string, retries *retrier.Retrier, opts ...DispatcherOption) *Dispatcher {
	d := &Dispatcher{
		regions: regions, limits: noLimits{}, roster: follower.NewRoster(), policy: chooser.NewPrefillPolicy(place), retries: retries,
		nodes: make(map[nodesKey]serviceNodes), schedulers: make(map[string]*scheduler.Scheduler),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// WithRoster calls a function with the roster while it holds the lock. The function
// must not retain the roster.
func (d *Dispatcher) WithRoster(use func(*follower.Roster)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version := d.roster.Version()
	if use(d.roster); d.roster.Version() != version {
		d.retries.EndPauses(d.isReplaced)
	}
}

// isReplaced reports whether another process is registered for a target. The caller must hold
// the lock.
func (d *Dispatcher) isReplaced(p retrier.Process) bool {
	return d.roster.IsReplaced(follower.Target{ID: p.Target, Service: p.Service, Addr: p.Addr, Incarnation: p.Incarnation})
}

// SetBurst sets this instance's share of the fleet-wide retry burst.
func (d *Dispatcher) SetBurst(burst float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.SetFleetBurst(burst)
}

// SetRetryShare sets the number of retries that each request adds to the retry
// budget.
func (d *Dispatcher) SetRetryShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.SetFleetRatio(share)
}

// Forget removes the state of a target that no longer exists or has restarted.
func (d *Dispatcher) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Forget(id)
	d.retries.RemoveTarget(id)
}

// RecordRequest counts a new request for the retry budget and for the limits of targets.
func (d *Dispatcher) RecordRequest(account, service string) {
	d.limits.RecordRequest(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.CountRequest(account)
}

var errNoTargets = errors.New("no ready target is left to try")

// overloadError is the refusal of a request that no target can serve in time.
// retryAfter is the time until a target may have capacity. exceeded means that the account
// has used up its share.
type overloadError struct {
	retryAfter time.Duration
	exceeded   bool
}

func (e overloadError) Error() string {
	return fmt.Sprintf("targets overloaded; capacity expected in %v", e.retryAfter)
}

// pausedError means that each target left to try has asked for a pause.
type pausedError struct{ resumesIn time.Duration }

func (e pausedError) Error() string {
	return fmt.Sprintf("targets have asked for a pause that ends in %v", e.resumesIn)
}

// limitedError means that each target left to try has a limit that is used up.
type limitedError struct{ opensIn time.Duration }

func (e limitedError) Error() string {
	return fmt.Sprintf("limits of the targets are used up for %v", e.opensIn)
}

// Choose selects a target in the places that has not been tried and has one of the software
// versions, if any are given, and records the request as sent to it. It may refuse the first
// attempt of a request to an engine with an overloadError, see
// [scheduler.Scheduler]; the returned target is then the one that was considered.
func (d *Dispatcher) Choose(now time.Time, service *resolver.Service, places restrictor.Places, p chooser.PrefillRequest, tried, versions []string, first bool) (ChosenTarget, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.consider(now, service, places, p, tried, versions)
	if err != nil {
		return ChosenTarget{}, err
	}
	return d.take(now, service, c, first, false)
}

// ChooseCertain is Choose, but prefers targets whose software version is certain, unless the
// expected wait there is longer than maxWait or the request would be refused there.
func (d *Dispatcher) ChooseCertain(now time.Time, service *resolver.Service, places restrictor.Places, p chooser.PrefillRequest, tried, versions []string, first bool, maxWait time.Duration) (ChosenTarget, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decided := false
	if excluded := d.roster.AppendUncertain(slices.Clip(tried)); len(excluded) > len(tried) {
		c, err := d.consider(now, service, places, p, excluded, versions)
		if err == nil && c.choice.Wait <= maxWait {
			if chosen, err := d.take(now, service, c, first, false); err == nil {
				return chosen, nil
			}
			decided = true
		}
	}
	c, err := d.consider(now, service, places, p, tried, versions)
	if err != nil {
		return ChosenTarget{}, err
	}
	return d.take(now, service, c, first, decided)
}

// considered is a target that may be chosen for a request, and what it was chosen by.
type considered struct {
	nodes   serviceNodes
	request chooser.PrefillRequest
	choice  chooser.PrefillChoice
}

// consider selects a target without recording anything. The result is valid until the next
// call. The caller must hold the lock.
func (d *Dispatcher) consider(now time.Time, service *resolver.Service, places restrictor.Places, p chooser.PrefillRequest, tried, versions []string) (considered, error) {
	n := d.readyNodes(service, places)
	if err := d.checkPlaces(now, service, places, n); err != nil {
		return considered{}, err
	}
	unavailable := d.retries.AppendPaused(n.appendUnfit(append(d.exclude[:0], tried...), versions), now)
	unavailable = d.limits.AppendClosed(unavailable, now, service.Name, len(n.targets))
	d.exclude = d.retries.AppendBlocked(unavailable, now)
	p.Exclude = d.exclude
	choice, ok := d.policy.Choose(now, p, n.list)
	if !ok && len(d.exclude) > len(unavailable) {
		// The circuit breakers of all remaining targets are open. A target that failed
		// recently is better than none.
		p.Exclude = unavailable
		choice, ok = d.policy.Choose(now, p, n.list)
	}
	if !ok {
		return considered{}, d.noTargetError(now, n.fitting(versions), tried)
	}
	return considered{n, p, choice}, nil
}

// take decides about the admission of a request to the considered target, and records it as
// sent there. decided says that another target has refused it before. The caller must hold the
// lock.
func (d *Dispatcher) take(now time.Time, service *resolver.Service, c considered, first, decided bool) (ChosenTarget, error) {
	n, p, choice := c.nodes, c.request, c.choice
	if service.Engine != nil && first {
		var v scheduler.Decision
		if choice, v = d.admit(now, service.Name, p, choice, n.list, decided); !v.Admit {
			return ChosenTarget{Target: n.targets[choice.Index], Choice: choice, ChosenAt: now}, overloadError{v.After, v.Exceeded}
		}
	}
	chosen := ChosenTarget{Target: n.targets[choice.Index], Choice: choice, ChosenAt: now}
	d.retries.Admit(now, chosen.Target.ID)
	d.limits.Take(now, chosen.Target.ID)
	chosen.inFlight = d.policy.RecordSent(now, chosen.Target.ID, p, choice)
	return chosen, nil
}

// noTargetError returns the reason why no target is left. The caller must hold the
// lock.
func (d *Dispatcher) noTargetError(now time.Time, ready []follower.Target, tried []string) error {
	var resumesIn time.Duration
	for _, t := range ready {
		if left := d.retries.PauseLeft(now, t.ID); left > 0 && (resumesIn == 0 || left < resumesIn) && !slices.Contains(tried, t.ID) {
			resumesIn = left
		}
	}
	var limited []string
	for _, t := range ready {
		if !slices.Contains(tried, t.ID) && d.retries.PauseLeft(now, t.ID) == 0 {
			limited = append(limited, t.ID)
		}
	}
	switch opensIn := d.limits.OpensIn(now, limited); {
	case opensIn > 0:
		return limitedError{opensIn}
	case resumesIn > 0:
		return pausedError{resumesIn}
	}
	return errNoTargets
}

// RecordResponse records what the head of a response says about the targets at its
// address, to a request sent at sentAt. It returns the IDs of targets that are now known
// to leave.
func (d *Dispatcher) RecordResponse(now, sentAt time.Time, t follower.Target, m ResponseMeta) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Load != nil {
		d.policy.RecordLoad(t.ID, chooser.Load{Running: m.Load.Running, Waiting: m.Load.Waiting, Slots: m.Load.Slots, Slowness: m.Load.Slowness, At: now})
	}
	if p := (retrier.Process{Target: t.ID, Service: t.Service, Addr: t.Addr, Incarnation: t.Incarnation}); m.Pause > 0 && !d.isReplaced(p) {
		d.retries.Pause(now, p, m.Pause)
	}
	if !m.TargetReplaced {
		d.limits.RecordLimit(throttlerTarget(t), sentAt, m.Limit)
		d.recordCold(sentAt, t, m)
	}
	switch {
	case m.Leaving && m.TargetReplaced:
		return d.roster.MarkAddrLeaving(t.Addr, t.ID)
	case m.Leaving && d.roster.MarkLeaving(t.ID):
		return []string{t.ID}
	}
	return nil
}

// Lives reports whether the process of a target may still run. One that has registered
// again under its ID has ended before.
func (d *Dispatcher) Lives(t follower.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.roster.IsReplaced(t)
}

// versionState is what is known of the software version of a target.
type versionState int

const (
	certain   versionState = iota
	uncertain              // its process may have ended since it was registered
	replaced               // another process is registered, or none
)

// versionOf returns whether the version of a chosen target is still that of its process.
func (d *Dispatcher) versionOf(t follower.Target) versionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.roster.Lists(t):
		return replaced
	case d.roster.IsUncertain(t.ID):
		return uncertain
	}
	return certain
}

// MayBecomeCertain reports whether a service has a target in the places with one of the
// versions, but of uncertain version.
func (d *Dispatcher) MayBecomeCertain(service *resolver.Service, places restrictor.Places, versions []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.readyNodes(service, places).fitting(versions), func(t follower.Target) bool { return d.roster.IsUncertain(t.ID) })
}

// AppendUncertain appends the targets whose software version is uncertain.
func (d *Dispatcher) AppendUncertain(list []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.AppendUncertain(list)
}

// StartedBy returns the version of the process that started a stream, which was sent at the
// given time to a target whose version was uncertain. It returns false while that is not known.
func (d *Dispatcher) StartedBy(t follower.Target, sentAt time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.StartedBy(t, sentAt)
}

// readyNodes returns the ready targets of a service in the places. Every choice is made
// among them. The caller must hold the lock.
func (d *Dispatcher) readyNodes(service *resolver.Service, places restrictor.Places) serviceNodes {
	key := nodesKey{service.Name, places.Key()}
	if v := d.roster.Version(); v != d.nodesOf {
		clear(d.nodes) // also drops places that no configuration names any more
		d.nodesOf = v
	}
	if n, ok := d.nodes[key]; ok && n.service == service {
		return n
	}
	ready := d.permitted(d.roster.Ready(service.Name), places)
	n := serviceNodes{targets: ready, service: service, list: make([]chooser.Node, len(ready))}
	for i, t := range ready {
		n.mixed = n.mixed || t.Version != ready[0].Version
		n.list[i] = chooser.Node{Name: t.ID, Place: chooser.Place{Centre: t.Centre, Region: d.regions[t.Centre]}, Slots: t.Slots}
		if service.Engine != nil {
			n.list[i].Memory = service.Engine.KVCapacity
		}
	}
	d.nodes[key] = n
	return n
}

// appendUnfit appends the targets that have none of the versions. nil is any version.
func (n serviceNodes) appendUnfit(list, versions []string) []string {
	if versions == nil || !n.mixed && len(n.targets) > 0 && slices.Contains(versions, n.targets[0].Version) {
		return list
	}
	for _, t := range n.targets {
		if !slices.Contains(versions, t.Version) {
			list = append(list, t.ID)
		}
	}
	return list
}

// fitting returns the targets that have one of the versions.
func (n serviceNodes) fitting(versions []string) []follower.Target {
	if versions == nil {
		return n.targets
	}
	return slices.DeleteFunc(slices.Clone(n.targets), func(t follower.Target) bool { return !slices.Contains(versions, t.Version) })
}

// Serves reports whether a service has a ready target of a software version in the places.
func (d *Dispatcher) Serves(service *resolver.Service, places restrictor.Places, version string) bool {
	return slices.Contains(d.Versions(service, places), version)
}

// Versions returns the software versions of the ready targets of a service in the places.
func (d *Dispatcher) Versions(service *resolver.Service, places restrictor.Places) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var versions []string
	for _, t := range d.readyNodes(service, places).targets {
		if !slices.Contains(versions, t.Version) {
			versions = append(versions, t.Version)
		}
	}
	return versions
}

// RecordFirstEvent records the first event of a response.
func (d *Dispatcher) RecordFirstEvent(now time.Time, t ChosenTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordFirstEvent(now, t.inFlight)
}

// RecordEvent records a later event of a response.
func (d *Dispatcher) RecordEvent(now time.Time, t ChosenTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordEvent(now, t.inFlight)
}

// FinishAttempt ends an attempt and decides about a retry. A nil attempt leaves the
// circuit breaker of the target unchanged, for example because the caller has
// disconnected.
func (d *Dispatcher) FinishAttempt(now time.Time, t ChosenTarget, a *retrier.Attempt) retrier.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.RecordDone(t.inFlight)
	if a == nil {
		d.retries.RecordCancelled(t.Target.ID)
		return retrier.Verdict{}
	}
	a.Target = t.Target.ID
	return d.retries.Conclude(now, *a)
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that callers that
// were refused at the same time do not retry at the same time. It returns 0 if d is
// negative, which is what is left of a deadline that has passed.
func jitter(d time.Duration) time.Duration {
	d = max(0, d)
	return d/2 + rand.N(d+1)
}
