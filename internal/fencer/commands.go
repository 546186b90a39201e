package fencer

import "fmt"

// Begin decides whether an order may be sent. An order with the highest number
// may be sent again. A newer number counts as seen even if it has to wait.
func (f *Fencer) Begin(name string, number uint64) error {
	if number == 0 {
		return fmt.Errorf("order to %s: %w", name, ErrZero)
	}
	t := f.targets[name]
	if number < t.highest {
		return fmt.Errorf("order %d to %s, highest is %d: %w", number, name, t.highest, ErrOld)
	}
	t.highest = number
	f.targets[name] = t
	if t.current != 0 {
		return fmt.Errorf("order %d to %s: %w", number, name, ErrBusy)
	}
	t.current = number
	f.targets[name] = t
	return nil
}

// End reports that the target answered an order or can no longer apply it.
func (f *Fencer) End(name string, number uint64) {
	t := f.targets[name]
	if t.current == number {
		t.current = 0
		f.targets[name] = t
	}
}

// Observe records a number that was seen elsewhere, for example in the answer
// of an engine that rejects old orders, or in a platform object after a restart.
func (f *Fencer) Observe(name string, number uint64) {
	t := f.targets[name]
	t.highest = max(t.highest, number)
	f.targets[name] = t
}
