package chooser

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose selects a target and records the demand for the prefix. It reports
// false if there is no candidate.
func (a *Affinity) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	if a.firstChoice.IsZero() {
		a.firstChoice = now
	}
	v, q := a.view(list), a.query(now, r)
	best := a.pickNearby(q, v)
	short := q.shortage(v, best)
	if short == "" {
		return best.choice(), best.ok()
	}
	q.now = now.Add(2 * a.latency)
	remote := a.pick(q, &v.others, ReasonPrefix)
	if q.missesDeadline(remote) {
		remote = q.shortestWait(&v.others)
	}
	if !remote.ok() || best.ok() && (q.missesDeadline(remote) || remote.wait+2*a.latency >= best.wait) {
		return best.choice(), best.ok()
	}
	c := remote.choice()
	c.Reason, c.AddedLatency = short, 2*a.latency
	return c, true
}

// SetPeers sets the number of routers that share the candidates, see [WithPeers].
func (a *Affinity) SetPeers(n int) { a.peers = max(1, n) }

// RecordLoad records a load report and updates the mean load of all targets.
func (a *Affinity) RecordLoad(name string, l Load) {
	if l.Slots > 0 && a.Loads.updateReport(name, l) {
		a.reportCount++
		weight := max(meanLoadWeight, 1/float64(a.reportCount))
		a.meanLoad += weight * (float64(l.Running+l.Waiting)/float64(l.Slots) - a.meanLoad)
	}
}

// Forget removes the state of a target that no longer exists.
func (a *Affinity) Forget(name string) {
	a.Loads.Forget(name)
	clear(a.views)
}

func (a *Affinity) query(now time.Time, r Request) query {
	a.exclude = a.exclude[:0]
	for _, name := range r.Exclude {
		a.exclude = append(a.exclude, a.target(name))
	}
	return query{
		now: now, deadline: r.Deadline, length: r.lengthOrDefault(), key: mix(r.Prefix),
		replicas: a.replicas(now, r), meanLoad: a.meanLoad, exclude: a.exclude,
	}
}

// view returns the candidates of a list, grouped by distance from the router.
func (a *Affinity) view(list *List) *view {
	if v, ok := a.views[list]; ok {
		return v
	}
	if len(a.views) >= maxCachedLists {
		clear(a.views)
	}
	v := &view{near: group{scope: SameCentre}, region: group{scope: SameRegion}, others: group{scope: OtherRegion}}
	for i, c := range list.candidates {
		g := &v.others
		switch {
		case c.Region == a.place.Region && c.Centre == a.place.Centre:
			g = &v.near
		case c.Region == a.place.Region:
			g = &v.region
		}
		t := a.target(c.Name)
		g.hashes, g.targets, g.indices = append(g.hashes, t.hash), append(g.targets, t), append(g.indices, i)
	}
	a.views[list] = v
	return v
}

// replicas returns the number of targets that requests with a prefix are spread
// over, and counts the request. Load reports lag too much to keep many routers
// from sending the same prefix to one target at the same time.
func (a *Affinity) replicas(now time.Time, r Request) uint64 {
	d, ok := a.demand[r.Prefix]
	if !ok {
		a.evictDemand(now)
	}
	// Shortly after its start, a router has too few requests to tell a rare prefix
	// from a popular one.
	warmUp := math.Exp(-now.Sub(a.firstChoice).Seconds() / demandDecayTime.Seconds())
	observed := max(time.Second, time.Duration((1-warmUp)*float64(demandDecayTime)))
	count := d.decayed(now)
	rate := (count + warmUp*assumedDemand) / observed.Seconds() * float64(a.peers)
	running := rate * r.lengthOrDefault().Seconds()
	a.demand[r.Prefix] = demand{count + 1, now}
	return 1 + uint64(running/(prefixSlotShare*defaultSlots))
}

// evictDemand makes room in the demand table by evicting the prefixes with the
// lowest decayed demand.
func (a *Affinity) evictDemand(now time.Time) {
	for limit := 0.5; len(a.demand) >= maxTrackedPrefixes; limit *= 2 {
		maps.DeleteFunc(a.demand, func(_ uint64, d demand) bool { return d.decayed(now) < limit })
	}
}

// RecordSent records that a request was sent to a target.
func (l *Loads) RecordSent(now time.Time, name string) {
	t := l.target(name)
	t.inFlight = append(t.inFlight, now)
}

// RecordDone records the end of the request that was sent at the given time.
func (l *Loads) RecordDone(now time.Time, name string, sent time.Time) {
	t := l.target(name)
	i := slices.IndexFunc(t.inFlight, sent.Equal)
	if i < 0 {
		return
	}
	t.inFlight = slices.Delete(t.inFlight, i, i+1)
	t.recentlyDone = append(t.recentlyDone, completed{sent, now})
	t.prune(now.Add(-maxReportLag))
}

// RecordLoad records a load report. Reports that arrive out of order are ignored.
func (l *Loads) RecordLoad(name string, r Load) { l.updateReport(name, r) }

// updateReport stores a load report and returns false if it is not newer than the
// last one.
func (l *Loads) updateReport(name string, r Load) bool {
	t := l.target(name)
	if !r.At.After(t.report.At) {
		return false
	}
	t.report = r
	t.prune(r.At)
	return true
}

// Forget removes the state of a target that no longer exists.
func (l *Loads) Forget(name string) {
	delete(l.targets, name)
	clear(l.lists)
}

func (l *Loads) target(name string) *target {
	t, ok := l.targets[name]
	if !ok {
		t = &target{name: name, hash: xxhash.Sum64String(name)}
		l.targets[name] = t
	}
	return t
}

// resolve returns the targets of a list, from a cache if it is known.
func (l *Loads) resolve(list *List) []*target {
	targets, ok := l.lists[list]
	if ok {
		return targets
	}
	if len(l.lists) >= maxCachedLists {
		clear(l.lists)
	}
	for _, c := range list.candidates {
		targets = append(targets, l.target(c.Name))
	}
	l.lists[list] = targets
	return targets
}

// prune removes completed requests that a report measured after the given time
// no longer includes.
func (t *target) prune(at time.Time) {
	t.recentlyDone = slices.DeleteFunc(t.recentlyDone, func(s completed) bool { return !s.done.After(at) })
}
