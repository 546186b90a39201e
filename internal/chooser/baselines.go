package chooser

import "time"

// Choose takes the next candidate in turn.
func (p *RoundRobin) Choose(now time.Time, r Request, list []Candidate) (Choice, bool) {
	for range list {
		c := list[p.next%len(list)]
		p.next++
		if !r.Exclude[c.Name] {
			return p.choice(now, r, c), true
		}
	}
	return Choice{}, false
}

// Choose takes the candidate with the least reported load.
func (p *LeastLoaded) Choose(now time.Time, r Request, list []Candidate) (Choice, bool) {
	var best []Candidate
	lowest := 0.0
	for _, c := range allowed(r, list) {
		load := p.reported(c.Name)
		if len(best) == 0 || load < lowest {
			best, lowest = best[:0], load
		}
		if load == lowest {
			best = append(best, c)
		}
	}
	if len(best) == 0 {
		return Choice{}, false
	}
	return p.choice(now, r, best[p.source.IntN(len(best))]), true
}

// Choose takes the less loaded of two random candidates.
func (p *PowerOfTwo) Choose(now time.Time, r Request, list []Candidate) (Choice, bool) {
	list = allowed(r, list)
	if len(list) == 0 {
		return Choice{}, false
	}
	first, second := list[p.source.IntN(len(list))], list[p.source.IntN(len(list))]
	if p.perSlot(now, second.Name) < p.perSlot(now, first.Name) {
		first = second
	}
	return p.choice(now, r, first), true
}

func (l *Loads) choice(now time.Time, r Request, c Candidate) Choice {
	load, slots, _ := l.Load(now, c.Name)
	return Choice{Name: c.Name, Reason: ReasonPolicy, Wait: wait(load, slots, r.length())}
}

// reported returns the last reported load per slot, without own requests.
func (l *Loads) reported(name string) float64 {
	t, ok := l.targets[name]
	if !ok || t.report.Slots <= 0 {
		return 0
	}
	return float64(t.report.Running+t.report.Waiting) / float64(t.report.Slots)
}

func allowed(r Request, list []Candidate) []Candidate {
	if len(r.Exclude) == 0 {
		return list
	}
	var rest []Candidate
	for _, c := range list {
		if !r.Exclude[c.Name] {
			rest = append(rest, c)
		}
	}
	return rest
}
