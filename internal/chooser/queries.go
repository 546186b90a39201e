package chooser

import (
	"cmp"
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
	slots = t.report.Slots
	if slots <= 0 {
		slots = expectedSlots
	}
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

func (l *Loads) perSlot(now time.Time, name string) float64 {
	load, slots, _ := l.Load(now, name)
	return float64(load) / float64(slots)
}

// wait estimates the time until one more request starts.
func wait(load, slots int, length time.Duration) time.Duration {
	return time.Duration(max(0, load+1-slots)) * length / time.Duration(slots)
}

// after returns the demand that is left at a later time.
func (d *demand) after(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// option is a candidate with the values that the choice depends on.
type option struct {
	Candidate
	load, slots int
	known       bool
	wait        time.Duration
	hash        uint64
	weight      uint64 // for the prefix of the request
}

func (o option) perSlot() float64 { return float64(o.load) / float64(o.slots) }

// scored is a choice with the load that it was based on.
type scored struct {
	Choice
	load float64
}

func (a *Affinity) choose(now time.Time, r Request, own, others []option, replica uint64) scored {
	key := mix(mix(r.Prefix) ^ replica)
	weigh(own, key)
	weigh(others, key)
	switch {
	case len(own) == 0 && len(others) == 0:
		return scored{}
	case len(own) == 0:
		remote, _ := a.within(others)
		return a.choice(remote, ReasonCapacity)
	}
	best, why := a.within(own)
	if r.late(now, best) {
		best, why = a.quickest(own), ReasonBound
	}
	short := r.shortage(now, own, best)
	if short == "" || len(others) == 0 {
		return a.choice(best, why)
	}
	remote, _ := a.within(others)
	if r.late(now.Add(2*a.latency), remote) {
		remote = a.quickest(others)
	}
	if r.late(now.Add(2*a.latency), remote) || remote.wait+2*a.latency >= best.wait {
		return a.choice(best, why)
	}
	return a.choice(remote, short)
}

func weigh(list []option, key uint64) {
	for i := range list {
		list[i].weight = mix(key ^ list[i].hash)
	}
}

// late reports whether an option is expected to miss the deadline.
func (r Request) late(now time.Time, o option) bool {
	return !r.Deadline.IsZero() && now.Add(o.wait+r.length()).After(r.Deadline)
}

// shortage returns why the own region cannot serve the request in time, or ""
// if it can.
func (r Request) shortage(now time.Time, own []option, best option) string {
	if !r.Deadline.IsZero() {
		if r.late(now, best) {
			return ReasonDeadline
		}
		return ""
	}
	for _, o := range own {
		if o.perSlot() < fullQueue {
			return ""
		}
	}
	return ReasonCapacity
}

// quickest returns the option with the shortest wait. Of equal ones, the
// router's data centre comes first, then the weight decides.
func (a *Affinity) quickest(list []option) option {
	return slices.MinFunc(list, func(x, y option) int {
		return cmp.Or(cmp.Compare(x.wait, y.wait), a.distance(x)-a.distance(y), cmp.Compare(y.weight, x.weight))
	})
}

// distance is 0 in the router's data centre and 1 elsewhere.
func (a *Affinity) distance(o option) int {
	if o.Centre == a.place.Centre {
		return 0
	}
	return 1
}

// within selects among the candidates of one region: by prefix among those
// below the bound, the router's data centre first. The bound comes from the
// whole region, so that an overloaded data centre spills over to the others.
func (a *Affinity) within(list []option) (option, string) {
	mean := meanLoad(list)
	nearFirst, anyFirst, near, far := -1, -1, -1, -1
	for i, o := range list {
		local := o.Centre == a.place.Centre
		anyFirst = heavier(list, anyFirst, i)
		if local {
			nearFirst = heavier(list, nearFirst, i)
		}
		limit := max(freeShare*float64(o.slots), a.factor*mean*float64(o.slots)+1)
		switch {
		case float64(o.load+1) > limit:
		case local:
			near = heavier(list, near, i)
		default:
			far = heavier(list, far, i)
		}
	}
	first, best := nearFirst, near
	if first < 0 {
		first = anyFirst
	}
	if best < 0 {
		best = far
	}
	if best < 0 {
		best = least(list)
	}
	if best != first {
		return list[best], ReasonBound
	}
	return list[best], ReasonPrefix
}

func heavier(list []option, i, j int) int {
	if i < 0 || list[j].weight > list[i].weight {
		return j
	}
	return i
}

func (a *Affinity) option(now time.Time, r Request, c Candidate) option {
	t := a.target(c.Name)
	load, slots, known := t.load(now)
	return option{c, load, slots, known, wait(load, slots, r.length()), t.hash, 0}
}

func (a *Affinity) choice(o option, reason string) scored {
	c := Choice{Name: o.Name, Scope: SameCentre, Reason: reason, Wait: o.wait}
	switch {
	case o.Region != a.place.Region:
		c.Scope, c.Added = OtherRegion, 2*a.latency
	case o.Centre != a.place.Centre:
		c.Scope = SameRegion
	}
	return scored{c, o.perSlot()}
}

// meanLoad returns the mean load per slot of the targets with recent reports.
func meanLoad(list []option) float64 {
	var load, slots int
	for _, o := range list {
		if o.known {
			load += o.load
			slots += o.slots
		}
	}
	return float64(load) / float64(max(1, slots))
}

// least returns the index of the least loaded candidate. Equal ones are told
// apart by weight.
func least(list []option) int {
	best := 0
	for i, o := range list {
		c := cmp.Or(cmp.Compare(o.perSlot(), list[best].perSlot()), cmp.Compare(list[best].weight, o.weight))
		if c < 0 {
			best = i
		}
	}
	return best
}

// mix spreads the bits of a value (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
