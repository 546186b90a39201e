package receiver

import (
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Times that the timeout of the first event is started anew while the target still
	// sends events of other requests. Its answer may have been lost after that.
	maxLateTimeouts = 2
	// Share of this timeout within which such an event shows that the target runs.
	heardShare = 0.5
)

// heldMark is the value of silenceTimer.resetAt while the timer is held.
const heldMark = math.MaxInt64

// silenceTimer cancels an attempt when its target has been silent for a time. A target that
// still answers other requests is only slow: a second run elsewhere would add to the load
// that makes it so. The methods of a nil timer do nothing.
type silenceTimer struct {
	limit  time.Duration
	alive  func() bool // reports whether the target still answers other requests
	cancel func()

	began   time.Time
	resetAt atomic.Int64 // ns after began, heldMark: held

	mu      sync.Mutex
	timer   *time.Timer
	late    int
	stopped bool
}

func newSilenceTimer(limit time.Duration, alive func() bool, cancel func()) *silenceTimer {
	s := &silenceTimer{limit: limit, alive: alive, cancel: cancel, began: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.fire)
	return s
}

func (s *silenceTimer) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	resetAt := s.resetAt.Load()
	left := s.limit + time.Duration(resetAt) - time.Since(s.began)
	switch {
	case s.stopped:
	case resetAt == heldMark:
		s.timer.Reset(s.limit)
	case left > 0:
		s.timer.Reset(left)
	case s.late < maxLateTimeouts && s.alive():
		s.late++
		s.timer.Reset(s.limit)
	default:
		s.cancel()
	}
}

// reset starts the time anew. It takes no lock and leaves the timer as it is, because it is
// called for each piece of a response.
func (s *silenceTimer) reset() {
	if s != nil {
		s.resetAt.Store(int64(time.Since(s.began)))
	}
}

// hold stops the time until the next reset.
func (s *silenceTimer) hold() {
	if s != nil {
		s.resetAt.Store(heldMark)
	}
}

// stop ends the timer for good.
func (s *silenceTimer) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// holdingWriter is the writer of a response. While the caller does not take what is written, its
// target can not go on, so the timer is held.
type holdingWriter struct {
	io.Writer
	timer *silenceTimer
}

// Write implements [io.Writer].
func (w holdingWriter) Write(b []byte) (int, error) {
	w.timer.hold()
	defer w.timer.reset()
	return w.Writer.Write(b)
}
