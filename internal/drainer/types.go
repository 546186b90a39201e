// Package drainer decides the steps of the graceful shutdown of a side.
//
// A side refuses new requests, finishes the running ones, delivers charges and
// deregisters. A step that exceeds its time limit does not hold up the next one. The
// exception is a side with undelivered charges, which keeps its registration: a
// successor must not release the reservations of these charges before the side is
// known to be gone.
//
// # Usage
//
//	d := drainer.NewSide(limits)
//	steps := d.Begin(now)
//	for d.Step() != drainer.Stopped {
//		steps = d.Observe(now, progress) // about ten times a second
//	}
//
// Each step is returned once; the caller then starts the work of that step.
package drainer

import "time"

// Step is a step of the shutdown.
type Step string

// Steps in the order in which they run.
const (
	Serving   Step = "serving"
	Finishing Step = "finishing" // finish running requests
	Flushing  Step = "flushing"  // deliver charges and the rest of the responses
	Leaving   Step = "leaving"   // delete the registration
	Stopped   Step = "stopped"
)

// deregisterLimit bounds the deletion of the registration on the platform.
const deregisterLimit = 10 * time.Second

// Limits are the time limits of steps. Leaving has a fixed limit.
type Limits struct {
	Finish time.Duration
	Flush  time.Duration
}

// Progress holds what the caller observes of the shutdown.
type Progress struct {
	Requests     int  // running requests
	OpenStreams  int  // open response streams
	Charges      int  // charges that are not yet durable
	Deregistered bool // whether the registration is deleted
}

type phase struct {
	step  Step
	limit time.Duration
	done  func(Progress) bool
}

// Drainer tracks the shutdown of one process. It is not safe for concurrent use.
type Drainer struct {
	phases            []phase
	current           int // index of the current phase, -1 while serving
	phaseStart        time.Time
	timedOut          []Step
	keepsRegistration bool // because charges are undelivered
}

// NewSide returns the shutdown sequence of a side.
func NewSide(l Limits) *Drainer {
	return &Drainer{current: -1, phases: []phase{
		{Finishing, l.Finish, func(p Progress) bool { return p.Requests == 0 }},
		{Flushing, l.Flush, func(p Progress) bool { return p.Charges == 0 && p.OpenStreams == 0 }},
		{Leaving, deregisterLimit, func(p Progress) bool { return p.Deregistered }},
	}}
}
