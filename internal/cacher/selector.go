package cacher

import (
	"math/rand/v2"
	"time"
)

const (
	// idlePause is how long a neighbour that does not watch the store is not asked. It
	// does as soon as it has noticed that those before it don't.
	idlePause = 500 * time.Millisecond
	// awayPause is the same for one without contact to the store. It learns within half a
	// second that the store is back.
	awayPause = 300 * time.Millisecond
	// failurePause is the same after a call without an answer. It doubles up to
	// maxFailurePause, since an instance that has left for good stays known.
	failurePause    = 2 * time.Second
	maxFailurePause = 64 * time.Second
	// directPause is the mean time between calls to a store that does not answer, while
	// a neighbour calls it more often.
	directPause = 700 * time.Millisecond
)

// Selector decides which neighbour is asked, and when the store is. It reads no clock.
type Selector struct {
	pauses   map[string]pause // by address
	failedAt time.Duration    // when a call to the store has failed last
	directAt time.Duration    // when the next one is due
	failed   bool             // the last call to the store has failed
}

type pause struct {
	until  time.Duration
	length time.Duration // of the last one after a call without an answer
}

// NewSelector returns a selector without any failures.
func NewSelector() *Selector { return &Selector{pauses: make(map[string]pause)} }

// Next returns the first neighbour that may be asked now.
func (s *Selector) Next(now time.Duration, before []string) (addr string, ok bool) {
	for _, addr := range before {
		if now >= s.pauses[addr].until {
			return addr, true
		}
	}
	return "", false
}

// RecordAnswer records that a neighbour has served.
func (s *Selector) RecordAnswer(addr string) {
	delete(s.pauses, addr)
	s.failed = false
}

// RecordRefusal records that a neighbour has refused.
func (s *Selector) RecordRefusal(now time.Duration, addr string, reason Refusal) {
	length := awayPause
	if reason == Idle {
		length = idlePause
	}
	s.pauses[addr] = pause{until: now + length}
}

// RecordFailure records that a neighbour has not answered.
func (s *Selector) RecordFailure(now time.Duration, addr string) {
	length := min(max(failurePause, 2*s.pauses[addr].length), maxFailurePause)
	s.pauses[addr] = pause{now + length, length}
}

// RecordDirect records the result of a call to the store.
func (s *Selector) RecordDirect(now time.Duration, err error) {
	if s.failed = err != nil; s.failed {
		s.failedAt = now
		s.directAt = now + directPause/2 + rand.N(directPause)
	}
}

// DirectDue reports whether the store may be called.
func (s *Selector) DirectDue(now time.Duration) bool { return !s.failed || now >= s.directAt }

// Proves reports whether a contact of a neighbour with the store, at the given time, shows
// that the store answers again: what the neighbour heard before the last call failed does
// not.
func (s *Selector) Proves(contact time.Duration) bool { return !s.failed || contact > s.failedAt }
