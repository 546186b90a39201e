// Package throttler keeps the requests to a target within the limit that the target names
// for all instances together.
//
// One instance, the home of the target, gives out permits at that rate, and the others ask
// it for as many as they need in the next moment. A permit is good for one request and
// for a short time, so nothing accumulates at idle instances, whether there are two or
// hundreds. An instance without a permit sends its requests to other targets. The limit
// itself is a record that all instances share, so that one that has not had a response of
// the target knows it too, and one response that names no limit ends it for all.
//
// The package does not read the clock and does no I/O. It answers one load: more requests
// than some targets, or all of them, are able to take for a while.
//
// # Usage
//
//	t := throttler.New()
//	t.RecordLimit(now, throttler.Target{Service: "pool", ID: "i-1"}, sentAt, &perSecond)
//	closed = t.AppendClosed(closed, now, "pool", 12) // choose among the others
//	t.Take(now, chosen)
//	for _, ask := range t.AsksDue(now) {
//		// at the home: grant := home.Grant(now, ask)
//		t.Granted(now, ask.Target, grant)
//	}
package throttler

import (
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// How long permits of limits up to lowLimit and of higher ones are good. With what the
	// home keeps for a burst, the requests of 4 s then stay below one and a half times the
	// limit and 5 more.
	longPermitTime  = 2 * time.Second
	shortPermitTime = time.Second
	lowLimit        = 8
	// askHorizon is how much of its demand an instance asks for at once.
	askHorizon = 400 * time.Millisecond
	// wantedTime is how long after the last request to its service a target is asked for.
	wantedTime = 2 * time.Second
	// burstTime limits how much of the limit the home keeps for a burst, but for the least
	// number of permits.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// trialRate is the least number of requests a second, whatever the limit. Without any
	// response nobody learns that the limit has ended.
	trialRate = 0.2
	// demandTime is the window over which requests are counted.
	demandTime = 2 * time.Second
	// Pause after a refusal, and after an ask that got no reply.
	minAskPause = 50 * time.Millisecond
	maxAskPause = 5 * time.Second
	lostPause   = 300 * time.Millisecond
	// limitInterval is the least time between two changes of a stored limit.
	limitInterval = time.Second
	// Smaller changes of a limit are not stored.
	minLimitChange = 0.1
	// MaxWriteDelay spreads the writes of instances that learn the same at once.
	MaxWriteDelay = 300 * time.Millisecond
	// keepGone is how long the limit of a target that is not listed any more is kept. It
	// covers a registration that lapses and comes back.
	keepGone = 10 * time.Second
	// removeDelay spreads the removals of records of targets that are gone.
	removeDelay = 3 * time.Second
	// maxTargets limits the limited targets, maxAskers the instances that a home counts
	// for each.
	maxTargets = 4096
	maxAskers  = 1024
	maxPermits = 1000
	// minDemand keeps the share of an instance that hardly takes part above 0.
	minDemand = 0.001
	maxRate   = 1e9
)

// Target identifies one incarnation of a target.
type Target struct {
	Service     string
	ID          string
	Incarnation int64
}

// Record is a limit that a target names. It is immutable.
type Record struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Incarnation int64   `json:"incarnation"`
	PerSecond   float64 `json:"persecond"` // requests, from all instances together
}

// Check validates the record.
func (r Record) Check() error {
	var f checker.Validator
	f.Require(r.Service != "", "service", "is empty")
	f.Require(r.Target != "", "target", "is empty")
	checker.Range(&f, "persecond", r.PerSecond, 0, maxRate)
	return f.Err()
}

// Name returns the name of the record.
func (r Record) Name() string { return r.Target }

// Write is a change of a stored record.
type Write = recorder.Write[Record]

// Stored is a stored record with its version.
type Stored = recorder.Stored[Record]

// Ask is a request for permits, to the home of a target.
type Ask struct {
	Instance    string  `json:"instance"`
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Incarnation int64   `json:"incarnation"`
	PerSecond   float64 `json:"persecond"` // the limit as the asking instance knows it
	Permits     int     `json:"permits"`   // wanted
	Demand      float64 `json:"demand"`    // requests a second that the asking instance could send to the target
	Hops        int     `json:"hops"`      // instances that have passed the request on
	Deputy      bool    `json:"deputy"`    // the home is new and asks another instance to act for it
}

// Check validates the request.
func (a Ask) Check() error {
	var f checker.Validator
	f.Require(a.Service != "", "service", "is empty")
	f.Require(a.Target != "", "target", "is empty")
	checker.Range(&f, "persecond", a.PerSecond, 0, maxRate)
	checker.Range(&f, "permits", a.Permits, 1, maxPermits)
	checker.Range(&f, "demand", a.Demand, 0, maxRate)
	checker.Range(&f, "hops", a.Hops, 0, 8)
	return f.Err()
}

// Grant is the reply to an Ask.
type Grant struct {
	Permits  int   `json:"permits"`
	Pause    int64 `json:"pause"`    // milliseconds until it makes sense to ask again
	Declined bool  `json:"declined"` // the deputy is new as well
}

// Check validates the reply.
func (g Grant) Check() error {
	var f checker.Validator
	checker.Range(&f, "permits", g.Permits, 0, maxPermits)
	checker.Range(&f, "pause", g.Pause, 0, maxAskPause.Milliseconds())
	return f.Err()
}
