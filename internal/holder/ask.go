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

// answer is the result of a call to the actor.
type answer[T any] struct {
	value T
	err   error
}

// replyTo takes the answer of a call. It has room for one answer, so that the
// actor never waits for a caller that has gone.
type replyTo[T any] chan answer[T]

func (r replyTo[T]) send(value T, err error) {
	select {
	case r <- answer[T]{value, err}:
	default:
	}
}

// ask sends a message to the actor and waits for its answer.
func ask[T any](ctx context.Context, h *Holder, message func(replyTo[T]) any) (T, error) {
	reply := make(replyTo[T], 1)
	var zero T
	if h.ctx.Err() != nil {
		return zero, ErrStopped
	}
	h.send(message(reply))
	select {
	case a := <-reply:
		return a.value, a.err
	case <-ctx.Done():
		return zero, fmt.Errorf("await holder: %w", ctx.Err())
	case <-h.ctx.Done():
		return zero, ErrStopped
	}
}

// errStopping tells a client to ask the next holder.
var errStopping = &connector.RefusedError{Reason: "stopping", Text: "the instance is stopping", After: 250 * time.Millisecond}

// refusal turns a refusal of the budgeter into one of the session layer.
func refusal(err *budgeter.RefusedError) error {
	return &connector.RefusedError{Reason: string(err.Reason), Text: err.Text, After: err.After}
}

// notHolder refuses a call and names the instance to ask instead.
func notHolder(name, addr string) error {
	return &connector.RefusedError{
		Reason: reasonHolder, Text: "another instance holds the shard", Holder: name, Addr: addr, After: 250 * time.Millisecond,
	}
}

// reasonHolder is the reason of a refusal that names the holder of a shard.
const reasonHolder = "holder"

func discardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }
