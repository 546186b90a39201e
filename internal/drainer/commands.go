package drainer

import "time"

// Begin starts the stop and returns the first step.
func (d *Drainer) Begin(now time.Time) []Step {
	if d.current >= 0 {
		return nil
	}
	return d.enter(now, 0)
}

// Observe returns the steps that start with the given facts.
func (d *Drainer) Observe(now time.Time, f Facts) []Step {
	if d.current < 0 || d.Step() == Stopped {
		return nil
	}
	p := d.phases[d.current]
	done := p.done(f)
	if !done && now.Sub(d.since) < p.limit {
		return nil
	}
	if !done {
		d.late = append(d.late, p.step)
	}
	next := d.current + 1
	if p.step == Flushing && f.Charges > 0 && d.phases[next].step == Leaving {
		d.keep = true
		next++
	}
	return d.enter(now, next)
}

func (d *Drainer) enter(now time.Time, phase int) []Step {
	d.current, d.since = phase, now
	return []Step{d.Step()}
}
