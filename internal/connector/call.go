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

// defaultCallTimeout applies to calls whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Call sends a request and returns its single response. All calls to a peer share
// one stream of the session, because opening and closing a stream costs three
// packets more than the call itself. A Refused response becomes a [*RefusedError].
// An error that wraps [ErrDial] means that nothing was sent; after any other error
// the peer may have carried out the request.
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
	response, err := p.call(ctx, addr, f)
	if err != nil {
		return zero, fmt.Errorf("call %s: %w", addr, err)
	}
	if r := response.GetRefused(); r != nil {
		return zero, NewRefusedError(r)
	}
	a, ok := Unwrap(response).(A)
	if !ok {
		return zero, fmt.Errorf("call %s: response is %q: %w", addr, bodyName(response), ErrProtocol)
	}
	return a, nil
}

func (p *Pool) call(ctx context.Context, addr string, f *wirepb.Frame) (*wirepb.Frame, error) {
	s, c, err := p.callSession(ctx, addr)
	if err != nil {
		return nil, err
	}
	response, err := c.exchange(ctx, f)
	if err != nil && !errors.Is(err, context.Canceled) {
		// The connection may be dead although it looks open, so the next call dials again.
		p.removeSession(s)
	}
	return response, err
}

// callSession returns the session to a peer and its call stream. It dials if there
// is no usable session.
func (p *Pool) callSession(ctx context.Context, addr string) (*session, *callStream, error) {
	for {
		s, err := p.session(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		c, err := s.openCallStream()
		if err == nil {
			return s, c, nil
		}
		p.removeSession(s)
		if ctx.Err() != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrDial, ctx.Err())
		}
	}
}

// openCallStream returns the call stream of the session and opens it if there is none.
func (s *session) openCallStream() (*callStream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sharedStream != nil && !s.sharedStream.isClosed() {
		return s.sharedStream, nil
	}
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open call stream: %w", err)
	}
	s.sharedStream = newCallStream(newStream(conn))
	return s.sharedStream, nil
}

// callStream multiplexes calls over one stream. Responses may arrive in any order;
// the sequence number of a frame matches a response to its call.
type callStream struct {
	stream *Stream

	mu           sync.Mutex
	lastSeq      uint64
	pendingCalls map[uint64]chan *wirepb.Frame
	err          error // set when the stream has ended
}

func newCallStream(s *Stream) *callStream {
	c := &callStream{stream: s, pendingCalls: make(map[uint64]chan *wirepb.Frame)}
	go c.receive()
	return c
}

func (c *callStream) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

func (c *callStream) hasPendingCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingCalls) > 0
}

// exchange sends a call and waits for its response.
func (c *callStream) exchange(ctx context.Context, f *wirepb.Frame) (*wirepb.Frame, error) {
	response := make(chan *wirepb.Frame, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return nil, c.err
	}
	c.lastSeq++
	seq := c.lastSeq
	c.pendingCalls[seq] = response
	c.mu.Unlock()
	defer c.removePendingCall(seq)

	f.Seq = seq
	if err := c.stream.Send(f); err != nil {
		c.failPending(err)
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for response: %w", ctx.Err())
	case f, ok := <-response:
		if !ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			return nil, c.err
		}
		return f, nil
	}
}

func (c *callStream) removePendingCall(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, seq)
}

// receive dispatches responses to their calls until the stream ends. It drops a
// response whose caller no longer waits.
func (c *callStream) receive() {
	for {
		f, err := c.stream.Receive()
		if err != nil {
			c.failPending(err)
			return
		}
		c.mu.Lock()
		response, ok := c.pendingCalls[f.GetSeq()]
		delete(c.pendingCalls, f.GetSeq())
		c.mu.Unlock()
		if ok {
			response <- f
		}
	}
}

// failPending closes the stream and fails all pending calls.
func (c *callStream) failPending(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = fmt.Errorf("call stream ended: %w", err)
	_ = c.stream.Close()
	for seq, response := range c.pendingCalls {
		delete(c.pendingCalls, seq)
		close(response)
	}
}
