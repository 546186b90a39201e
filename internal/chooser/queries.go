package chooser

import (
	"math"
	"slices"
	"time"
)

// Load returns the estimated number of requests at a target and its slots. It
// reports false if there is no recent report; then only own requests count.
func (l *Loads) Load(now time.Time, name string) (load, slots int, known bool) {
	t, ok := l.targets[name]
	if !ok {
		return 0, expectedSlots, false
	}
	return t.load(now)
}

func (t *target) load(now time.Time) (load, slots int, known bool) {
	slots = t.slots()
	if now.Sub(t.report.At) > maxReportLag {
		return len(t.sent), slots, false
	}
	load = t.report.Running + t.report.Waiting
	for _, s := range t.ended {
		if !s.sent.After(t.report.At) && s.done.After(t.report.At) {
			load--
		}
	}
	for _, s := range t.sent {
		if s.After(t.report.At) {
			load++
		}
	}
	return max(load, len(t.sent)), slots, true
}

func (t *target) slots() int {
	if t.report.Slots > 0 {
		return t.report.Slots
	}
	return expectedSlots
}

func (t *target) perSlot(now time.Time) float64 {
	load, slots, _ := t.load(now)
	return float64(load) / float64(slots)
}

// wait estimates the time until one more request starts.
func wait(load, slots int, length time.Duration) time.Duration {
	return time.Duration(max(0, load+1-slots)) * length / time.Duration(slots)
}

// after returns the demand that is left at a later time.
func (d demand) after(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// query is what one choice depends on.
type query struct {
	now      time.Time
	deadline time.Time
	length   time.Duration
	key      uint64
	replicas uint64
	mean     float64 // load per slot
	exclude  []*target
}

// option is a target that may be chosen.
type option struct {
	target *target // nil: none
	index  int
	scope  Scope
	reason string
	load   float64 // per slot
	wait   time.Duration
	cost   time.Duration // wait and prompt computation that a cached prefix saves
}

func (o option) ok() bool { return o.target != nil }

func (o option) choice() Choice {
	if !o.ok() {
		return Choice{}
	}
	return Choice{Name: o.target.name, Index: o.index, Scope: o.scope, Reason: o.reason, Wait: o.wait}
}

// better returns the option with the lower cost, the first one of equal ones.
func (o option) better(other option) option {
	switch {
	case !other.ok():
		return o
	case !o.ok(), other.cost < o.cost, other.cost == o.cost && other.load < o.load:
		return other
	}
	return o
}

// nearest chooses in the router's data centre, or in its region if a target
// there is expected to answer sooner although the prefix may not be cached.
func (a *Affinity) nearest(q query, v *view) option {
	best := a.pick(q, &v.near, ReasonPrefix)
	if !best.ok() || best.wait > missCost {
		remote := a.pick(q, &v.region, ReasonPrefix)
		if best.ok() {
			remote.reason = ReasonBound
		}
		best = best.better(remote)
	}
	if q.late(best) {
		best = q.quickest(&v.near).better(q.quickest(&v.region))
	}
	return best
}

// pick chooses the less loaded of two of the targets that the prefix is spread
// over. If both are expected to be busy for longer than the prompt takes to
// compute, two targets from the whole group are considered as well.
func (a *Affinity) pick(q query, g *group, reason string) option {
	n := uint64(len(g.targets))
	if n == 0 {
		return option{}
	}
	replicas := min(q.replicas, n)
	first := a.source.Uint64N(replicas)
	best := q.option(g, q.heaviest(g, first), reason, 0)
	if replicas > 1 {
		second := (first + 1 + a.source.Uint64N(replicas-1)) % replicas
		best = best.better(q.option(g, q.heaviest(g, second), reason, 0))
	}
	if best.ok() && best.cost <= missCost {
		return best
	}
	for range 2 {
		best = best.better(q.option(g, int(a.source.Uint64N(n)), ReasonBound, missCost))
	}
	return best
}

// heaviest returns the first target in the rendezvous order of a replica of the
// prefix, -1 if all are excluded.
func (q *query) heaviest(g *group, replica uint64) int {
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

func (q *query) option(g *group, i int, reason string, miss time.Duration) option {
	if i < 0 || q.excluded(g.targets[i]) {
		return option{}
	}
	t := g.targets[i]
	load, wait := t.expect(q.now, q.mean, q.length)
	return option{t, g.index[i], g.scope, reason, load, wait, wait + miss}
}

// expect returns the expected load per slot and wait of one more request. A
// report loses its weight over the time that requests run, in favour of the mean
// load. What the report does not tell and what arrives later vary the load and
// so add to the wait.
func (t *target) expect(now time.Time, mean float64, length time.Duration) (float64, time.Duration) {
	load, _, known := t.load(now)
	slots, weight := float64(t.slots()), 0.0
	if known {
		weight = math.Exp(-now.Sub(t.report.At).Seconds() / length.Seconds())
	}
	usual := max(mean*slots, float64(len(t.sent)))
	expected := weight*float64(load) + (1-weight)*usual
	queue := excess(expected+1-slots, math.Sqrt((1-weight*weight+laterShare)*usual))
	return expected / slots, time.Duration(queue / slots * float64(length))
}

// excess returns the mean of the positive part of a normal variable.
func excess(mean, deviation float64) float64 {
	if deviation < 0.01 {
		return max(0, mean)
	}
	z := mean / deviation
	return mean*math.Erfc(-z/math.Sqrt2)/2 + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// late reports whether an option is missing or expected to miss the deadline.
func (q *query) late(o option) bool {
	return !o.ok() || !q.deadline.IsZero() && q.now.Add(o.wait+q.length).After(q.deadline)
}

// shortage returns why the own region cannot serve the request in time, or ""
// if it can.
func (q *query) shortage(v *view, best option) string {
	switch {
	case len(v.others.targets) == 0:
		return ""
	case !best.ok():
		return ReasonCapacity
	case !q.deadline.IsZero():
		if q.late(best) {
			return ReasonDeadline
		}
		return ""
	case q.free(&v.near) || q.free(&v.region):
		return ""
	}
	return ReasonCapacity
}

// free reports whether a group has a target that is not full.
func (q *query) free(g *group) bool {
	for _, t := range g.targets {
		if t.perSlot(q.now) < fullQueue && !q.excluded(t) {
			return true
		}
	}
	return false
}

// quickest returns the option with the shortest wait.
func (q *query) quickest(g *group) option {
	best := option{}
	for i := range g.targets {
		best = best.better(q.option(g, i, ReasonBound, 0))
	}
	return best
}

// mix spreads the bits of a value (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
