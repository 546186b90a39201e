package connector

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"daisylane/internal/wirepb"
)

// defaultCallTimeout bounds calls whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Call sends a request and returns the single answer. All calls to a peer share
// one stream of its session, because opening and closing a stream costs three
// packets more than the call itself. A Refused answer becomes a [*RefusedError].
// An error that wraps [ErrDial] means that nothing was sent; after any other
// error the peer may have acted.
func Call[A proto.Message](ctx context.Context, p *Pool, addr, id string, m proto.Message) (A, error) {
	var zero A
	f, err := Wrap(id, m)
	if err != nil {
		return zero, fmt.Errorf("call %s: %w", addr, err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	answer, err := p.call(ctx, addr, f)
	if err != nil {
		return zero, fmt.Errorf("call %s: %w", addr, err)
	}
	if r := answer.GetRefused(); r != nil {
		return zero, Refusal(r)
	}
	a, ok := Unwrap(answer).(A)
	if !ok {
		return zero, fmt.Errorf("call %s: answer is %q: %w", addr, bodyName(answer), ErrProtocol)
	}
	return a, nil
}

func (p *Pool) call(ctx context.Context, addr string, f *wirepb.Frame) (*wirepb.Frame, error) {
	s, c, err := p.calls(ctx, addr)
	if err != nil {
		return nil, err
	}
	answer, err := c.exchange(ctx, f)
	if err != nil && !errors.Is(err, context.Canceled) {
		// The connection may be dead although it is open, so the next call dials anew.
		p.forget(s)
	}
	return answer, err
}

// calls returns the shared stream of the session to a peer.
func (p *Pool) calls(ctx context.Context, addr string) (*session, *callStream, error) {
	for {
		s, err := p.session(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		c, err := s.callStream()
		if err == nil {
			return s, c, nil
		}
		p.forget(s)
		if ctx.Err() != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrDial, ctx.Err())
		}
	}
}

// callStream returns the stream for calls and opens it if there is none.
func (s *session) callStream() (*callStream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shared != nil && !s.shared.isClosed() {
		return s.shared, nil
	}
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream for calls: %w", err)
	}
	s.shared = newCallStream(newStream(conn))
	return s.shared, nil
}

// callStream carries calls and their answers, which can come in any order. The
// sequence number of a frame tells which call an answer belongs to.
type callStream struct {
	stream *Stream

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan *wirepb.Frame
	err     error // set when the stream ended
}

func newCallStream(s *Stream) *callStream {
	c := &callStream{stream: s, waiting: make(map[uint64]chan *wirepb.Frame)}
	go c.receive()
	return c
}

func (c *callStream) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

func (c *callStream) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0
}

// exchange sends a call and waits for its answer.
func (c *callStream) exchange(ctx context.Context, f *wirepb.Frame) (*wirepb.Frame, error) {
	answer := make(chan *wirepb.Frame, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, c.err
	}
	c.next++
	seq := c.next
	c.waiting[seq] = answer
	c.mu.Unlock()
	defer c.forget(seq)

	f.Seq = seq
	if err := c.stream.Send(f); err != nil {
		c.end(err)
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("await answer: %w", ctx.Err())
	case f, ok := <-answer:
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return nil, c.err
		}
		return f, nil
	}
}

func (c *callStream) forget(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, seq)
}

// receive hands out answers until the stream ends. An answer that nobody waits
// for any more is dropped.
func (c *callStream) receive() {
	for {
		f, err := c.stream.Receive()
		if err != nil {
			c.end(err)
			return
		}
		c.mu.Lock()
		answer, ok := c.waiting[f.GetSeq()]
		delete(c.waiting, f.GetSeq())
		c.mu.Unlock()
		if ok {
			answer <- f
		}
	}
}

// end fails all waiting calls.
func (c *callStream) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = fmt.Errorf("stream for calls ended: %w", err)
	_ = c.stream.Close()
	for seq, answer := range c.waiting {
		delete(c.waiting, seq)
		close(answer)
	}
}
