package archiver

import (
	"context"
	"sync"
	"time"
)

// sharedTimeout limits a call that several callers wait for.
const sharedTimeout = 2 * time.Second

// sharer lets callers share calls. Each caller gets the result of a call that began after
// it asked, and at most one call runs at a time.
type sharer struct {
	call func(context.Context) error

	mu      sync.Mutex
	running *sharedCall
	next    *sharedCall // begins when the running one has ended
}

// sharedCall is a call and its result.
type sharedCall struct {
	done chan struct{}
	err  error
}

func newSharer(call func(context.Context) error) *sharer { return &sharer{call: call} }

// do waits for a call, or until the context ends.
func (s *sharer) do(ctx context.Context) error {
	s.mu.Lock()
	c := s.next
	switch {
	case s.running == nil:
		c = &sharedCall{done: make(chan struct{})}
		s.running = c
		go s.run(c)
	case c == nil:
		c = &sharedCall{done: make(chan struct{})}
		s.next = c
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-c.done:
		return c.err
	}
}

// run makes a call, then the next one if callers wait for it.
func (s *sharer) run(c *sharedCall) {
	ctx, cancel := context.WithTimeout(context.Background(), sharedTimeout)
	defer cancel()
	c.err = s.call(ctx)
	close(c.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running, s.next = s.next, nil; s.running != nil {
		go s.run(s.running)
	}
}
