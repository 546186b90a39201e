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
	// orderTimeout limits the call to the engine. If the outcome is unknown, further
	// orders are refused for the same time after the call, because the engine could
	// still apply the order.
	orderTimeout = 30 * time.Second
)

// Refusal reasons of orders.
const (
	reasonStale    = "stale"    // a newer order exists
	reasonBusy     = "busy"     // another order is in flight
	reasonPlatform = "platform" // the newest order number cannot be read
)

// EngineFencing tells which engines enforce fencing numbers, that is, reject orders
// with an old number.
type EngineFencing interface {
	// EnforcesFencing reports whether the engine of a target rejects old numbers.
	EnforcesFencing(target string) bool
}

// WithEngineFencing sets which engines enforce fencing numbers. For all others, and
// without this option, the side enforces them.
func WithEngineFencing(e EngineFencing) Option { return func(s *Side) { s.engineFencing = e } }

// order is the request body of an order to the engine.
type order struct {
	Number uint64 `json:"number"`
	fencer.Order
}

// onOrder forwards an order with its fencing number to the engine. If the engine does
// not check the number, the side refuses orders that are older than the newest one.
// It reads the newest number from the platform for each order, because a previous
// instance of this side may have forwarded a newer order.
func (s *Side) onOrder(ctx context.Context, _ string, m *wirepb.Order) (*wirepb.Ordered, error) {
	o := order{m.GetNumber(), fencer.Order{
		Kind: m.GetKind(), Model: m.GetModel(), Adapter: m.GetAdapter(), Version: m.GetVersion(), Role: m.GetRole(),
	}}
	err := s.forwardOrder(ctx, m.GetTarget(), o)
	result := "passed"
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		result = refused.Reason
	}
	s.scope.Tagged(map[string]string{"result": result}).Counter(reporter.Orders).Inc(1)
	s.log.Info().Uint64("number", o.Number).Str("kind", o.Kind).Str("model", o.Model).Str("result", result).Err(err).Msg("order handled")
	if err != nil {
		return nil, err
	}
	return &wirepb.Ordered{Instance: s.instance, Number: o.Number}, nil
}

func (s *Side) forwardOrder(ctx context.Context, target string, o order) error {
	if err := s.checkOrder(target, o); err != nil {
		return &connector.RefusedError{Reason: reasonMalformed, Text: err.Error()}
	}
	if s.engineFencing != nil && s.engineFencing.EnforcesFencing(target) {
		_, err := s.sendOrder(o)
		return err
	}
	if err := s.beginOrder(ctx, o.Number); err != nil {
		return err
	}
	final, err := s.sendOrder(o)
	if final {
		s.endOrder(o.Number)
	} else {
		time.AfterFunc(orderTimeout, func() { s.endOrder(o.Number) })
	}
	return err
}

func (s *Side) checkOrder(target string, o order) error {
	var f checker.Validator
	f.Require(s.cfg.Target.Kind == KindModel, "target", "is of kind %q, which takes no orders", s.cfg.Target.Kind)
	f.Require(target == s.cfg.Target.Name, "target", "is %q, this side serves %q", target, s.cfg.Target.Name)
	f.Require(o.Number > 0, "number", "is 0, an order needs a fencing number")
	f.AddNested("order", o.Check())
	return f.Err()
}

// beginOrder reads the newest order number from the platform and returns an error
// unless the order has that number or a higher one and no other order is in flight.
func (s *Side) beginOrder(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	newest, err := s.registry.LatestOrderNumber(ctx, s.cfg.Target.Name)
	if err != nil {
		return &connector.RefusedError{Reason: reasonPlatform, Text: err.Error(), RetryAfter: platformTimeout}
	}
	err = errStopped
	s.admission.do(func(*admitter.Admitter) {
		s.orderFencer.Observe(s.cfg.Target.Name, newest)
		err = s.orderFencer.Begin(s.cfg.Target.Name, number)
	})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fencer.ErrStale):
		return &connector.RefusedError{Reason: reasonStale, Text: err.Error()}
	case errors.Is(err, fencer.ErrBusy):
		return &connector.RefusedError{Reason: reasonBusy, Text: err.Error(), RetryAfter: time.Second}
	}
	return &connector.RefusedError{Reason: string(admitter.Stopping), Text: err.Error()}
}

// endOrder ends an order that beginOrder accepted.
func (s *Side) endOrder(number uint64) {
	s.admission.do(func(*admitter.Admitter) { s.orderFencer.End(s.cfg.Target.Name, number) })
}

// sendOrder sends the order to the engine. It uses its own context so that the call
// completes even if the operator disconnects. final is false if the engine may still
// apply the order.
func (s *Side) sendOrder(o order) (final bool, err error) {
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
	res, err := s.unpooledClient.Do(req)
	switch {
	case err != nil && !sent.Load():
		return true, &connector.RefusedError{Reason: reasonTarget, Text: err.Error(), RetryAfter: time.Second}
	case err != nil:
		return false, &connector.RefusedError{Reason: reasonUnknown, Text: "the engine may have applied the order: " + err.Error()}
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxEngineResponseBytes))
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
