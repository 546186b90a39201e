package chooser

import (
	"slices"
	"time"
)

// Choose takes the candidates in turn.
func (p *RoundRobin) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	if len(r.Exclude) > 0 {
		return p.chooseRetry(now, r, targets)
	}
	if len(targets) == 0 {
		return Choice{}, false
	}
	i := p.next % len(targets)
	p.next++
	return targets[i].choice(now, r, i), true
}

// chooseRetry chooses a target for a retry, from the opposite half of the list.
// Otherwise all routers that leave a full target would move on to its next
// neighbours together.
func (p *RoundRobin) chooseRetry(now time.Time, r Request, targets []*target) (Choice, bool) {
	for n := range targets {
		i := (p.next + len(targets)/2 + n) % len(targets)
		if !slices.Contains(r.Exclude, targets[i].name) {
			return targets[i].choice(now, r, i), true
		}
	}
	return Choice{}, false
}

// Choose takes the candidate with the least reported load, a random one of equals.
func (p *LeastLoaded) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	p.ties = p.ties[:0]
	lowest := 0.0
	for i, t := range targets {
		load := t.reportedLoad()
		if len(p.ties) > 0 && load > lowest || slices.Contains(r.Exclude, t.name) {
			continue
		}
		if len(p.ties) == 0 || load < lowest {
			p.ties, lowest = p.ties[:0], load
		}
		p.ties = append(p.ties, i)
	}
	if len(p.ties) == 0 {
		return Choice{}, false
	}
	i := p.ties[p.source.IntN(len(p.ties))]
	return targets[i].choice(now, r, i), true
}

// Choose takes the less loaded of two random candidates.
func (p *PowerOfTwo) Choose(now time.Time, r Request, list *List) (Choice, bool) {
	targets := p.resolve(list)
	first, second := p.random(r, targets), p.random(r, targets)
	if first < 0 {
		return Choice{}, false
	}
	if targets[second].loadPerSlot(now) < targets[first].loadPerSlot(now) {
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
	return Choice{Name: t.name, Index: index, Reason: ReasonPolicy, Wait: queueWait(load, slots, r.lengthOrDefault())}
}

// reportedLoad returns the last reported load per slot. It does not add requests
// that this router has sent since the report.
func (t *target) reportedLoad() float64 {
	if t.report.Slots <= 0 {
		return 0
	}
	return float64(t.report.Running+t.report.Waiting) / float64(t.report.Slots)
}
