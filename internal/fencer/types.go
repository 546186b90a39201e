// Package fencer decides which orders may be sent to engines.
//
// Each order carries a fencing token, called its number. Some engines reject an
// order whose number is below the highest one they have seen. Others ignore the
// number, so the side rejects such orders itself. Orders to one target are sent one
// at a time, because an engine that ignores numbers may apply two concurrent orders
// in any sequence.
//
// # Usage
//
//	f := fencer.New()
//	if err := f.Begin(target, number); err != nil {
//		// do not send the order
//	}
//	f.End(target, number)
package fencer

import "github.com/pkg/errors"

// Errors returned by [Fencer.Begin].
var (
	ErrStale    = errors.New("a newer order was seen, read its number and decide anew")
	ErrBusy     = errors.New("another order is on its way to the target, try again")
	ErrNoNumber = errors.New("an order needs a fencing number above 0")
)

type targetState struct {
	highest  uint64
	inFlight uint64 // number of the order in flight, 0 if there is none
}

// Fencer holds the fencing state of each target. It is not safe for concurrent use.
type Fencer struct{ targets map[string]targetState }

// New returns a fencer that has not recorded any number.
func New() *Fencer { return &Fencer{targets: make(map[string]targetState)} }
