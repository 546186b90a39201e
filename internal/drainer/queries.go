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

// TimedOut returns the steps that exceeded their time limit.
func (d *Drainer) TimedOut() []Step { return slices.Clone(d.timedOut) }

// KeepsRegistration reports whether the registration stays in place because charges
// are undelivered.
func (d *Drainer) KeepsRegistration() bool { return d.keepsRegistration }
