package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/fencer"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

const (
	ordersPath = "/orders"
	// orderTimeout bounds an order. If its outcome is unknown, the next order waits
	// as long again, since the engine could still apply it.
	orderTimeout = 30 * time.Second
)

// Reasons of refused orders.
const (
	reasonStale    = "stale"    // a newer order was given
	reasonBusy     = "busy"     // another order is on its way
	reasonPlatform = "platform" // the newest number cannot be read
)

// Engines tells which engines reject orders with an old fencing number.
type Engines interface {
	Fences(target string) bool
}

// WithEngines sets which engines enforce fencing numbers. Without it the side
// enforces them.
func WithEngines(e Engines) Option { return func(s *Side) { s.engines = e } }

// order is the body of a call to the engine.
type order struct {
	Number uint64 `json:"number"`
	fencer.Order
}

// onOrder passes an order with its fencing number to the engine. An engine that
// ignores the number gets no order after a newer one was given: the side reads
// the newest number from the platform each time, because a predecessor of this
// side may have passed a newer order.
func (s *Side) onOrder(ctx context.Context, _ string, m *wirepb.Order) (*wirepb.Ordered, error) {
	o := order{m.GetNumber(), fencer.Order{
		Kind: m.GetKind(), Model: m.GetModel(), Adapter: m.GetAdapter(), Version: m.GetVersion(), Role: m.GetRole(),
	}}
	err := s.passOrder(ctx, m.GetTarget(), o)
	result := "passed"
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		result = refused.Reason
	}
	s.scope.Tagged(map[string]string{"result": result}).Counter(reporter.Orders).Inc(1)
	s.log.Info().Uint64("number", o.Number).Str("kind", o.Kind).Str("model", o.Model).Str("result", result).Err(err).Msg("order")
	if err != nil {
		return nil, err
	}
	return &wirepb.Ordered{Instance: s.instance, Number: o.Number}, nil
}

func (s *Side) passOrder(ctx context.Context, target string, o order) error {
	if err := s.checkOrder(target, o); err != nil {
		return &connector.RefusedError{Reason: reasonBody, Text: err.Error()}
	}
	if s.engines != nil && s.engines.Fences(target) {
		_, err := s.sendOrder(o)
		return err
	}
	if err := s.begin(ctx, o.Number); err != nil {
		return err
	}
	settled, err := s.sendOrder(o)
	if settled {
		s.endOrder(o.Number)
	} else {
		time.AfterFunc(orderTimeout, func() { s.endOrder(o.Number) })
	}
	return err
}

func (s *Side) checkOrder(target string, o order) error {
	var f checker.Faults
	f.Require(s.cfg.Target.Kind == Model, "target", "is of kind %q, which takes no orders", s.cfg.Target.Kind)
	f.Require(target == s.cfg.Target.Name, "target", "is %q, this side serves %q", target, s.cfg.Target.Name)
	f.Require(o.Number > 0, "number", "is 0, an order needs a fencing number")
	f.Within("order", o.Check())
	return f.Err()
}

// begin learns the newest number and lets the order pass if it has it.
func (s *Side) begin(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	newest, err := s.registry.Fence(ctx, s.cfg.Target.Name)
	if err != nil {
		return &connector.RefusedError{Reason: reasonPlatform, Text: err.Error(), After: platformTimeout}
	}
	err = errStopped
	s.admission.decide(func(*admitter.Admitter) {
		s.fence.Observe(s.cfg.Target.Name, newest)
		err = s.fence.Begin(s.cfg.Target.Name, number)
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fencer.ErrOld):
		return &connector.RefusedError{Reason: reasonStale, Text: err.Error()}
	case errors.Is(err, fencer.ErrBusy):
		return &connector.RefusedError{Reason: reasonBusy, Text: err.Error(), After: time.Second}
	}
	return &connector.RefusedError{Reason: string(admitter.Stopping), Text: err.Error()}
}

func (s *Side) endOrder(number uint64) {
	s.admission.decide(func(*admitter.Admitter) { s.fence.End(s.cfg.Target.Name, number) })
}

// sendOrder makes the call to the engine, also if the operator goes away. It
// reports false if the engine may still apply the order.
func (s *Side) sendOrder(o order) (settled bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	body, err := json.Marshal(o)
	if err != nil {
		return true, fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.targetURL(ordersPath), bytes.NewReader(body))
	if err != nil {
		return true, fmt.Errorf("build order: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.single.Do(req)
	switch {
	case err != nil && !sent.Load():
		return true, &connector.RefusedError{Reason: reasonTarget, Text: err.Error(), After: time.Second}
	case err != nil:
		return false, &connector.RefusedError{Reason: reasonUnknown, Text: "the engine may have applied the order: " + err.Error()}
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxLoadBytes))
	switch {
	case res.StatusCode == http.StatusConflict:
		return true, &connector.RefusedError{Reason: reasonStale, Text: fmt.Sprintf("the engine rejects order %d as old: %s", o.Number, bytes.TrimSpace(text))}
	case res.StatusCode >= http.StatusInternalServerError:
		return false, &connector.RefusedError{Reason: reasonUnknown, Text: fmt.Sprintf("the engine may have applied the order, it answers with status %d", res.StatusCode)}
	case res.StatusCode != http.StatusOK:
		return true, &connector.RefusedError{Reason: reasonTarget, Text: fmt.Sprintf("the engine refuses the order with status %d: %s", res.StatusCode, bytes.TrimSpace(text))}
	}
	return true, nil
}
