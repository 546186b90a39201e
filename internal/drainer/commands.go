package drainer

import "time"

// Begin starts the shutdown and returns the first step. It returns nil if the shutdown
// has already begun.
func (d *Drainer) Begin(now time.Time) []Step {
	if d.current >= 0 {
		return nil
	}
	return d.startPhase(now, 0)
}

// Observe returns the steps that begin now, given the progress and the time limits of
// the steps.
func (d *Drainer) Observe(now time.Time, progress Progress) []Step {
	if d.current < 0 || d.Step() == Stopped {
		return nil
	}
	p := d.phases[d.current]
	done := p.done(progress)
	if !done && now.Sub(d.phaseStart) < p.limit {
		return nil
	}
	if !done {
		d.timedOut = append(d.timedOut, p.step)
	}
	next := d.current + 1
	if p.step == Flushing && progress.Charges > 0 && d.phases[next].step == Leaving {
		d.keepsRegistration = true
		next++
	}
	return d.startPhase(now, next)
}

func (d *Drainer) startPhase(now time.Time, phase int) []Step {
	d.current, d.phaseStart = phase, now
	return []Step{d.Step()}
}
