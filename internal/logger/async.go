package logger

import (
	"io"
	"sync/atomic"
)

// Async is a writer that never blocks. Lines that its buffer cannot take are
// dropped and counted.
type Async struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer that passes up to n waiting lines on to w.
func NewAsync(w io.Writer, n int) *Async {
	a := &Async{lines: make(chan []byte, n), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			_, _ = w.Write(line) // there is nowhere to report a broken log
		}
	}()
	return a
}

// Write queues a line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the waiting lines. Write must not be called any more.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}
