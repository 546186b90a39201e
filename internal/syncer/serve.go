package syncer

import (
	"context"
	"fmt"
	"time"

	"daisylane/internal/adopter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// Register adds the handlers for requests of peers.
func (s *Syncer) Register(srv *connector.Server) {
	connector.HandleCall(srv, s.handleHead)
	connector.HandleCall(srv, s.handleFetch)
}

func (s *Syncer) handleHead(ctx context.Context, _ string, m *wirepb.Head) (*wirepb.Head, error) {
	n, err := checker.Decode[adopter.Notice](m.GetPayload())
	if err != nil {
		return nil, &connector.RefusedError{Reason: "body", Text: err.Error()}
	}
	answer, err := queryActor(ctx, s, func(now time.Time, a *adopter.Adopter) (adopter.Notice, []adopter.Action) {
		return a.HandleNotice(now, n)
	})
	if err != nil {
		return nil, err
	}
	payload, err := checker.Encode(answer)
	return &wirepb.Head{Payload: payload}, err
}

func (s *Syncer) handleFetch(ctx context.Context, _ string, m *wirepb.Fetch) (*wirepb.Chunk, error) {
	body, err := queryActor(ctx, s, func(_ time.Time, a *adopter.Adopter) ([]byte, []adopter.Action) {
		body, _ := a.ChunkBody(m.GetHash())
		return body, nil
	})
	return &wirepb.Chunk{Payload: body}, err
}

// queryActor runs f in the actor and waits for the result.
func queryActor[T any](ctx context.Context, s *Syncer, f func(time.Time, *adopter.Adopter) (T, []adopter.Action)) (T, error) {
	result := make(chan T, 1)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action {
		v, acts := f(now, a)
		result <- v
		return acts
	})
	ctx, cancel := context.WithTimeout(ctx, actorTimeout)
	defer cancel()
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("await the bundle actor: %w", ctx.Err())
	}
}
