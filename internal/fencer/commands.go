package fencer

import "fmt"

// Begin reserves the target for an order, or returns an error if the order must not be
// sent. The order with the highest number may be sent again. A higher number is
// recorded even if the order is rejected because another one is in flight.
func (f *Fencer) Begin(name string, number uint64) error {
	if number == 0 {
		return fmt.Errorf("order to %s: %w", name, ErrNoNumber)
	}
	t := f.targets[name]
	if number < t.highest {
		return fmt.Errorf("order %d to %s, highest is %d: %w", number, name, t.highest, ErrStale)
	}
	t.highest = number
	f.targets[name] = t
	if t.inFlight != 0 {
		return fmt.Errorf("order %d to %s: %w", number, name, ErrBusy)
	}
	t.inFlight = number
	f.targets[name] = t
	return nil
}

// End releases the target, after it responded to the order or can no longer apply it.
func (f *Fencer) End(name string, number uint64) {
	t := f.targets[name]
	if t.inFlight == number {
		t.inFlight = 0
		f.targets[name] = t
	}
}

// Observe records a number from another source, for example from an engine that
// rejected a stale order, or from the platform object after a restart.
func (f *Fencer) Observe(name string, number uint64) {
	t := f.targets[name]
	t.highest = max(t.highest, number)
	f.targets[name] = t
}
