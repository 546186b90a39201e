// Package fencer decides which orders to engines are still valid.
//
// Each order carries a fencing number. Some engines reject an order with an
// older number than the highest one they saw; others ignore the number, so the
// side rejects such orders itself. Orders to one target are sent one at a time,
// because an engine that ignores numbers may apply two in any order.
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

// Errors of orders.
var (
	ErrOld  = errors.New("a newer order was seen, read its number and decide anew")
	ErrBusy = errors.New("another order is on its way to the target, try again")
	ErrZero = errors.New("an order needs a fencing number above 0")
)

type target struct {
	highest uint64
	current uint64 // number of the order on its way, 0 if there is none
}

// Fencer holds the fencing numbers of targets. It is not safe for concurrent use.
type Fencer struct{ targets map[string]target }

// New returns a fencer that has seen no number.
func New() *Fencer { return &Fencer{targets: make(map[string]target)} }
