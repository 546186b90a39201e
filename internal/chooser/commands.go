package chooser

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose selects a target and counts the demand for the prefix. It reports
// false if there is no candidate.
func (a *Affinity) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	if a.began.IsZero() {
		a.began = now
	}
	v, q := a.view(list), a.query(now, r)
	best := a.nearest(q, v)
	short := q.shortage(v, best)
	if short == "" {
		return best.choice(), best.ok()
	}
	q.now = now.Add(2 * a.latency)
	remote := a.pick(q, &v.others, ReasonPrefix)
	if q.late(remote) {
		remote = q.quickest(&v.others)
	}
	if !remote.ok() || best.ok() && (q.late(remote) || remote.wait+2*a.latency >= best.wait) {
		return best.choice(), best.ok()
	}
	c := remote.choice()
	c.Reason, c.Added = short, 2*a.latency
	return c, true
}

// SetPeers changes the number of routers, see [WithPeers].
func (a *Affinity) SetPeers(n int) { a.peers = max(1, n) }

// Reported records a load report, also for the mean load.
func (a *Affinity) Reported(name string, l Load) {
	if l.Slots > 0 && a.Loads.reported(name, l) {
		a.reports++
		weight := max(reportWeight, 1/float64(a.reports))
		a.mean += weight * (float64(l.Running+l.Waiting)/float64(l.Slots) - a.mean)
	}
}

// Forget drops a target that is gone.
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
		now: now, deadline: r.Deadline, length: r.length(), key: mix(r.Prefix),
		replicas: a.replicas(now, r), mean: a.mean, exclude: a.exclude,
	}
}

// view divides a list by distance.
func (a *Affinity) view(list *List) *view {
	if v, ok := a.views[list]; ok {
		return v
	}
	if len(a.views) >= maxLists {
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
		g.hashes, g.targets, g.index = append(g.hashes, t.hash), append(g.targets, t), append(g.index, i)
	}
	a.views[list] = v
	return v
}

// replicas returns over how many targets the demand for a prefix is spread. Load
// reports lag too far to stop many routers from sending the same prefix to one
// target at once.
func (a *Affinity) replicas(now time.Time, r Request) uint64 {
	d, ok := a.demand[r.Prefix]
	if !ok {
		a.trim(now)
	}
	// A young router has seen too little to tell a rare prefix from one in demand.
	young := math.Exp(-now.Sub(a.began).Seconds() / demandTime.Seconds())
	seen := max(time.Second, time.Duration((1-young)*float64(demandTime)))
	count := d.after(now)
	rate := (count + young*unseenDemand) / seen.Seconds() * float64(a.peers)
	running := rate * r.length().Seconds()
	a.demand[r.Prefix] = demand{count + 1, now}
	return 1 + uint64(running/(prefixShare*expectedSlots))
}

// trim makes room in the demand table by dropping what decayed.
func (a *Affinity) trim(now time.Time) {
	for limit := 0.5; len(a.demand) >= maxPrefixes; limit *= 2 {
		maps.DeleteFunc(a.demand, func(_ uint64, d demand) bool { return d.after(now) < limit })
	}
}

// Sent records a request sent to a target.
func (l *Loads) Sent(now time.Time, name string) {
	t := l.target(name)
	t.sent = append(t.sent, now)
}

// Done records the end of a request that was sent at the given time.
func (l *Loads) Done(now time.Time, name string, sent time.Time) {
	t := l.target(name)
	i := slices.IndexFunc(t.sent, sent.Equal)
	if i < 0 {
		return
	}
	t.sent = slices.Delete(t.sent, i, i+1)
	t.ended = append(t.ended, span{sent, now})
	t.prune(now.Add(-maxReportLag))
}

// Reported records a load report. Reports that arrive out of order are dropped.
func (l *Loads) Reported(name string, r Load) { l.reported(name, r) }

func (l *Loads) reported(name string, r Load) bool {
	t := l.target(name)
	if !r.At.After(t.report.At) {
		return false
	}
	t.report = r
	t.prune(r.At)
	return true
}

// Forget drops a target that is gone.
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

// resolve returns the targets of a list.
func (l *Loads) resolve(list *List) []*target {
	targets, ok := l.lists[list]
	if ok {
		return targets
	}
	if len(l.lists) >= maxLists {
		clear(l.lists)
	}
	for _, c := range list.candidates {
		targets = append(targets, l.target(c.Name))
	}
	l.lists[list] = targets
	return targets
}

// prune drops requests that no report measured after the given time counts.
func (t *target) prune(at time.Time) {
	t.ended = slices.DeleteFunc(t.ended, func(s span) bool { return !s.done.After(at) })
}
