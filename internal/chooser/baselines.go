package chooser

import (
	"slices"
	"time"
)

// Choose takes the next candidate in turn.
func (p *RoundRobin) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	if len(r.Exclude) > 0 {
		return p.again(now, r, targets)
	}
	if len(targets) == 0 {
		return Choice{}, false
	}
	i := p.next % len(targets)
	p.next++
	return targets[i].choice(now, r, i), true
}

// again takes a candidate on the other side of the list. Routers that moved on
// from a full target would otherwise gather behind each other.
func (p *RoundRobin) again(now time.Time, r Request, targets []*target) (Choice, bool) {
	for n := range targets {
		i := (p.next + len(targets)/2 + n) % len(targets)
		if !slices.Contains(r.Exclude, targets[i].name) {
			return targets[i].choice(now, r, i), true
		}
	}
	return Choice{}, false
}

// Choose takes the candidate with the least reported load.
func (p *LeastLoaded) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	p.best = p.best[:0]
	lowest := 0.0
	for i, t := range targets {
		load := t.reported()
		if len(p.best) > 0 && load > lowest || slices.Contains(r.Exclude, t.name) {
			continue
		}
		if len(p.best) == 0 || load < lowest {
			p.best, lowest = p.best[:0], load
		}
		p.best = append(p.best, i)
	}
	if len(p.best) == 0 {
		return Choice{}, false
	}
	i := p.best[p.source.IntN(len(p.best))]
	return targets[i].choice(now, r, i), true
}

// Choose takes the less loaded of two random candidates.
func (p *PowerOfTwo) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	first, second := p.random(r, targets), p.random(r, targets)
	if first < 0 {
		return Choice{}, false
	}
	if targets[second].perSlot(now) < targets[first].perSlot(now) {
		first = second
	}
	return targets[first].choice(now, r, first), true
}

// random returns a random candidate that is not excluded, -1 if there is none.
func (p *PowerOfTwo) random(r Request, targets []*target) int {
	if len(targets) == 0 {
		return -1
	}
	first := p.source.IntN(len(targets))
	for n := range targets {
		if i := (first + n) % len(targets); !slices.Contains(r.Exclude, targets[i].name) {
			return i
		}
	}
	return -1
}

func (t *target) choice(now time.Time, r Request, index int) Choice {
	load, slots, _ := t.load(now)
	return Choice{Name: t.name, Index: index, Reason: ReasonPolicy, Wait: wait(load, slots, r.length())}
}

// reported returns the last reported load per slot, without own requests.
func (t *target) reported() float64 {
	if t.report.Slots <= 0 {
		return 0
	}
	return float64(t.report.Running+t.report.Waiting) / float64(t.report.Slots)
}
