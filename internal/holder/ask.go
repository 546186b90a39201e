package holder

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
)

// result is the value or the error that a call to the actor returns.
type result[T any] struct {
	value T
	err   error
}

// replyChan receives the result of a call. It is buffered for one result, so that
// the actor never blocks on a caller that no longer waits.
type replyChan[T any] chan result[T]

func (r replyChan[T]) send(value T, err error) {
	select {
	case r <- result[T]{value, err}:
	default:
	}
}

// ask sends a message to the actor and waits for the reply.
func ask[T any](ctx context.Context, h *Holder, message func(replyChan[T]) any) (T, error) {
	reply := make(replyChan[T], 1)
	var zero T
	if h.ctx.Err() != nil {
		return zero, ErrStopped
	}
	h.send(message(reply))
	return reply.await(ctx, h.ctx.Done())
}

// await waits for the result until the context ends or the holder has stopped. A result that
// arrived before either is returned, as the call has taken effect.
func (r replyChan[T]) await(ctx context.Context, stopped <-chan struct{}) (T, error) {
	var err error
	select {
	case a := <-r:
		return a.value, a.err
	case <-ctx.Done():
		err = fmt.Errorf("await holder: %w", ctx.Err())
	case <-stopped:
		err = ErrStopped
	}
	select {
	case a := <-r:
		return a.value, a.err
	default:
		var zero T
		return zero, err
	}
}

// errStopping tells a client to retry at another instance.
var errStopping = &connector.RefusedError{Reason: "stopping", Text: "the instance is stopping", RetryAfter: 250 * time.Millisecond}

// connectorRefusal converts a refusal of the budgeter to one of the connector.
func connectorRefusal(err *budgeter.RefusedError) error {
	return &connector.RefusedError{Reason: string(err.Reason), Text: err.Text, RetryAfter: err.RetryAfter}
}

// redirectError returns a refusal that names the instance to call instead.
func redirectError(name, addr string) error {
	return &connector.RefusedError{
		Reason: reasonHolder, Text: "another instance holds the shard", Holder: name, Addr: addr, RetryAfter: 250 * time.Millisecond,
	}
}

// reasonHolder is the reason of a refusal that redirects to the holder of a shard.
const reasonHolder = "holder"

func discardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
