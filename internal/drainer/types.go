// Package drainer decides the order of the steps in which a side stops.
//
// A side refuses new work, finishes running work, delivers charges and
// deregisters. A step that takes too long does not stop the sequence, except that
// a side with undelivered charges keeps its registration: a successor must not
// release their reservations before the side is known to be gone.
//
// # Usage
//
//	d := drainer.NewSide(limits)
//	steps := d.Begin(now)
//	for d.Step() != drainer.Stopped {
//		steps = d.Observe(now, facts) // about ten times a second
//	}
//
// Each returned step is entered once, and its work starts then.
package drainer

import "time"

// Step of a stop sequence.
type Step string

// Steps in their order.
const (
	Serving   Step = "serving"
	Finishing Step = "finishing" // finish running requests
	Flushing  Step = "flushing"  // deliver charges and the rest of the answers
	Leaving   Step = "leaving"   // delete the registration
	Stopped   Step = "stopped"
)

const platformLimit = 10 * time.Second

// Limits bound the steps. The other steps have a fixed limit.
type Limits struct {
	Finish time.Duration
	Flush  time.Duration
}

// Facts are what the shell observes.
type Facts struct {
	Requests int  // running requests
	Readers  int  // open answer streams
	Charges  int  // charges that are not durable
	Left     bool // the registration is deleted
}

type phase struct {
	step  Step
	limit time.Duration
	done  func(Facts) bool
}

// Drainer is the stop sequence of one process. It is not safe for concurrent use.
type Drainer struct {
	phases  []phase
	current int // index of the current phase, -1 while serving
	since   time.Time
	late    []Step
	keep    bool // keep the registration
}

// NewSide returns the sequence of a side.
func NewSide(l Limits) *Drainer {
	return &Drainer{current: -1, phases: []phase{
		{Finishing, l.Finish, func(f Facts) bool { return f.Requests == 0 }},
		{Flushing, l.Flush, func(f Facts) bool { return f.Charges == 0 && f.Readers == 0 }},
		{Leaving, platformLimit, func(f Facts) bool { return f.Left }},
	}}
}
