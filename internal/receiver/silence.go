package receiver

import (
	"sync"
	"time"
)

const (
	// Times that the timeout of the first event is started anew while the target still
	// sends events of other requests. Its answer may have been lost after that.
	maxLateTimeouts = 2
	// Share of this timeout within which such an event shows that the target runs.
	heardShare = 0.5
)

// silenceTimer cancels an attempt when its target has been silent for a time. A target that
// still answers other requests is only slow: a second run elsewhere would add to the load
// that makes it so.
type silenceTimer struct {
	limit  time.Duration
	alive  func() bool // reports whether the target still answers other requests
	cancel func()

	mu      sync.Mutex
	timer   *time.Timer
	late    int
	stopped bool
}

func newSilenceTimer(limit time.Duration, alive func() bool, cancel func()) *silenceTimer {
	s := &silenceTimer{limit: limit, alive: alive, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.fire)
	return s
}

func (s *silenceTimer) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopped:
	case s.late < maxLateTimeouts && s.alive():
		s.late++
		s.timer.Reset(s.limit)
	default:
		s.cancel()
	}
}

// reset starts the time anew. It must not be called after stop. It takes no lock, because it
// is called for each piece of a plain response.
func (s *silenceTimer) reset() { s.timer.Reset(s.limit) }

// stop ends the timer for good.
func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
