package logger

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is a writer that never blocks. If its buffer is full, lines are dropped
// and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.RWMutex // held by writes, and exclusively while the buffer is closed
	closed bool
}

// NewAsyncWriter returns a writer to w that buffers up to n lines.
func NewAsyncWriter(w io.Writer, n int) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, n), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			_, _ = w.Write(line) // an error of the log itself cannot be reported anywhere
		}
	}()
	return a
}

// Write queues a line. It drops the line if the buffer is full or closed.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and waits until it is done. Lines that are written
// afterwards, by requests that outlast a shutdown, are dropped.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
