package connector

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// defaultCallTimeout bounds calls whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// Call sends a request on a new stream and returns the single answer. A Refused
// answer becomes a [*RefusedError]. An error that wraps [ErrDial] means that
// nothing was sent; after any other error the peer may have acted.
func Call[A proto.Message](ctx context.Context, p *Pool, addr, id string, m proto.Message) (A, error) {
	var zero A
	s, err := p.Open(ctx, addr)
	if err != nil {
		return zero, err
	}
	defer s.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	_ = s.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()

	f, err := Wrap(id, m)
	if err != nil {
		return zero, fmt.Errorf("call %s: %w", addr, err)
	}
	if err := s.Send(f); err != nil {
		p.Renew(s)
		return zero, fmt.Errorf("call %s: %w", addr, err)
	}
	answer, err := s.Receive()
	if err != nil {
		p.Renew(s)
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
