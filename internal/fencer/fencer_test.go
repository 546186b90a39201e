package fencer

import (
	"testing"

	"github.com/pkg/errors"
)

// Guards against sending an order after one with a higher number, including when the
// higher number is still waiting or was only observed elsewhere, and against two
// orders in flight to one target.
func TestOrder(t *testing.T) {
	f := New()
	steps := []struct {
		name string
		do   func() error
		want error
	}{
		{"zero", func() error { return f.Begin("e", 0) }, ErrNoNumber},
		{"first", func() error { return f.Begin("e", 5) }, nil},
		{"second at a time", func() error { return f.Begin("e", 6) }, ErrBusy},
		{"old while newer waits", func() error { f.End("e", 5); return f.Begin("e", 5) }, ErrStale},
		{"newer", func() error { return f.Begin("e", 6) }, nil},
		{"end of another order", func() error { f.End("e", 5); return f.Begin("e", 6) }, ErrBusy},
		{"retried", func() error { f.End("e", 6); return f.Begin("e", 6) }, nil},
		{"observed", func() error { f.End("e", 6); f.Observe("e", 9); return f.Begin("e", 8) }, ErrStale},
		{"observed older", func() error { f.Observe("e", 2); return f.Begin("e", 9) }, nil},
		{"other target", func() error { return f.Begin("d", 1) }, nil},
	}
	for _, s := range steps {
		if err := s.do(); !errors.Is(err, s.want) {
			t.Errorf("%s: err = %v, want %v", s.name, err, s.want)
		}
	}
	if n := f.Highest("e"); n != 9 {
		t.Errorf("highest = %d, want 9", n)
	}
}
