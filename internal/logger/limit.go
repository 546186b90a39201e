package logger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// limitWindow and maxLines bound the lines of a [LineLimit]: ten a second show an operator
	// what happens, and the metrics count all.
	limitWindow = 10 * time.Second
	maxLines    = 100
)

// LineLimit bounds the lines about what any client can bring about as often as it likes. The
// zero value is ready for use. It is safe for concurrent use.
type LineLimit struct {
	mu      sync.Mutex
	began   time.Time
	lines   int
	dropped int
}

// Allow reports whether another line may be written. It logs how many were left out before.
func (l *LineLimit) Allow(log zerolog.Logger, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) > limitWindow {
		if l.dropped > 0 {
			log.Warn().Int("dropped", l.dropped).Msg("lines of faulty requests left out")
		}
		l.began, l.lines, l.dropped = now, 0, 0
	}
	if l.lines++; l.lines > maxLines {
		l.dropped++
		return false
	}
	return true
}
