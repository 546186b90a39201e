package chooser

import (
	"math"
	"slices"
	"time"
)

// Load returns the estimated number of requests at a target and its slots. Without
// a recent report, known is false and only requests of this router count.
func (l *Loads) Load(now time.Time, name string) (load, slots int, known bool) {
	t, ok := l.targets[name]
	if !ok {
		return 0, defaultSlots, false
	}
	return t.load(now)
}

func (t *target) load(now time.Time) (load, slots int, known bool) {
	slots = t.slotsOrDefault()
	if now.Sub(t.report.At) > maxReportLag {
		return len(t.inFlight), slots, false
	}
	load = t.report.Running + t.report.Waiting
	for _, s := range t.recentlyDone {
		if !s.sent.After(t.report.At) && s.done.After(t.report.At) {
			load--
		}
	}
	for _, s := range t.inFlight {
		if s.After(t.report.At) {
			load++
		}
	}
	return max(load, len(t.inFlight)), slots, true
}

func (t *target) slotsOrDefault() int {
	if t.report.Slots > 0 {
		return t.report.Slots
	}
	return defaultSlots
}

func (t *target) loadPerSlot(now time.Time) float64 {
	load, slots, _ := t.load(now)
	return float64(load) / float64(slots)
}

// queueWait estimates the time until one more request starts at a target.
func queueWait(load, slots int, length time.Duration) time.Duration {
	return time.Duration(max(0, load+1-slots)) * length / time.Duration(slots)
}

// decayed returns the count at a later time.
func (d demand) decayed(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.updated).Seconds()/demandDecayTime.Seconds())
}

// query holds the inputs of one choice.
type query struct {
	now      time.Time
	deadline time.Time
	length   time.Duration
	key      uint64
	replicas uint64
	meanLoad float64 // per slot
	exclude  []*target
}

// candidateScore is a candidate with its expected load and cost.
type candidateScore struct {
	target *target // nil: no candidate
	index  int
	scope  Scope
	reason string
	load   float64 // per slot
	wait   time.Duration
	cost   time.Duration // wait plus the expected prefill time of an uncached prefix
}

func (s candidateScore) ok() bool { return s.target != nil }

func (s candidateScore) choice() Choice {
	if !s.ok() {
		return Choice{}
	}
	return Choice{Name: s.target.name, Index: s.index, Scope: s.scope, Reason: s.reason, Wait: s.wait}
}

// cheaper returns the candidate with the lower cost, then the lower load. On a tie it
// returns the receiver.
func (s candidateScore) cheaper(other candidateScore) candidateScore {
	switch {
	case !other.ok():
		return s
	case !s.ok(), other.cost < s.cost, other.cost == s.cost && other.load < s.load:
		return other
	}
	return s
}

// pickNearby chooses a target in the router's data centre, or in its region if a
// target there is expected to start sooner even with an uncached prefix.
func (a *Affinity) pickNearby(q query, v *view) candidateScore {
	best := a.pick(q, &v.near, ReasonPrefix)
	if !best.ok() || best.wait > missCost {
		remote := a.pick(q, &v.region, ReasonPrefix)
		if best.ok() {
			remote.reason = ReasonBound
		}
		best = best.cheaper(remote)
	}
	if q.missesDeadline(best) {
		best = q.shortestWait(&v.near).cheaper(q.shortestWait(&v.region))
	}
	return best
}

// pick chooses the less loaded of two of the targets that the prefix is spread
// over. If the expected wait at both is longer than the prefill of the prefix, it
// also considers two random targets of the group.
func (a *Affinity) pick(q query, g *group, reason string) candidateScore {
	n := uint64(len(g.targets))
	if n == 0 {
		return candidateScore{}
	}
	replicas := min(q.replicas, n)
	first := a.source.Uint64N(replicas)
	best := q.score(g, q.topTarget(g, first), reason, 0)
	if replicas > 1 {
		second := (first + 1 + a.source.Uint64N(replicas-1)) % replicas
		best = best.cheaper(q.score(g, q.topTarget(g, second), reason, 0))
	}
	if best.ok() && best.cost <= missCost {
		return best
	}
	for range 2 {
		best = best.cheaper(q.score(g, int(a.source.Uint64N(n)), ReasonBound, missCost))
	}
	return best
}

// topTarget returns the target with the highest rendezvous weight for a replica of
// the prefix, -1 if all are excluded.
func (q *query) topTarget(g *group, replica uint64) int {
	key, best, weight := mix(q.key^replica), -1, uint64(0)
	for i, h := range g.hashes {
		if w := mix(key ^ h); (w > weight || best < 0) && !q.excluded(g.targets[i]) {
			best, weight = i, w
		}
	}
	return best
}

func (q *query) excluded(t *target) bool {
	return len(q.exclude) > 0 && slices.Contains(q.exclude, t)
}

// score returns the expected load and cost of a candidate, with the given extra cost
// for a cache miss. It returns no candidate if i is negative or excluded.
func (q *query) score(g *group, i int, reason string, miss time.Duration) candidateScore {
	if i < 0 || q.excluded(g.targets[i]) {
		return candidateScore{}
	}
	t := g.targets[i]
	load, wait := t.estimateLoad(q.now, q.meanLoad, q.length)
	return candidateScore{t, g.indices[i], g.scope, reason, load, wait, wait + miss}
}

// estimateLoad returns the expected load per slot and the expected wait of one more
// request. The weight of a report decays over the run time of requests, in favour
// of the mean load. The uncertainty of an old report and later arrivals add
// variance to the load, which increases the expected wait.
func (t *target) estimateLoad(now time.Time, mean float64, length time.Duration) (float64, time.Duration) {
	load, _, known := t.load(now)
	slots, weight := float64(t.slotsOrDefault()), 0.0
	if known {
		weight = math.Exp(-now.Sub(t.report.At).Seconds() / length.Seconds())
	}
	usual := max(mean*slots, float64(len(t.inFlight)))
	expected := weight*float64(load) + (1-weight)*usual
	queue := positivePartMean(expected+1-slots, math.Sqrt((1-weight*weight+arrivalVariance)*usual))
	return expected / slots, time.Duration(queue / slots * float64(length))
}

// positivePartMean returns the mean of max(0, x) for a normally distributed x.
func positivePartMean(mean, deviation float64) float64 {
	if deviation < 0.01 {
		return max(0, mean)
	}
	z := mean / deviation
	return mean*math.Erfc(-z/math.Sqrt2)/2 + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// missesDeadline reports whether there is no candidate or it is expected to miss the
// deadline.
func (q *query) missesDeadline(s candidateScore) bool {
	return !s.ok() || !q.deadline.IsZero() && q.now.Add(s.wait+q.length).After(q.deadline)
}

// shortage returns the reason why the router's region cannot serve the request in
// time, or "" if it can.
func (q *query) shortage(v *view, best candidateScore) string {
	switch {
	case len(v.others.targets) == 0:
		return ""
	case !best.ok():
		return ReasonCapacity
	case !q.deadline.IsZero():
		if q.missesDeadline(best) {
			return ReasonDeadline
		}
		return ""
	case q.hasCapacity(&v.near) || q.hasCapacity(&v.region):
		return ""
	}
	return ReasonCapacity
}

// hasCapacity reports whether a group has a target that is not full.
func (q *query) hasCapacity(g *group) bool {
	for _, t := range g.targets {
		if t.loadPerSlot(q.now) < fullLoad && !q.excluded(t) {
			return true
		}
	}
	return false
}

// shortestWait returns the candidate of a group with the shortest wait.
func (q *query) shortestWait(g *group) candidateScore {
	best := candidateScore{}
	for i := range g.targets {
		best = best.cheaper(q.score(g, i, ReasonBound, 0))
	}
	return best
}

// mix hashes an integer with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
