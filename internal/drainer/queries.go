package drainer

import "slices"

// Step returns the current step.
func (d *Drainer) Step() Step {
	switch {
	case d.current < 0:
		return Serving
	case d.current >= len(d.phases):
		return Stopped
	}
	return d.phases[d.current].step
}

// Late returns the steps that ran out of time.
func (d *Drainer) Late() []Step { return slices.Clone(d.late) }

// KeepsRegistration reports whether the registration was left in place because
// of undelivered charges.
func (d *Drainer) KeepsRegistration() bool { return d.keep }
