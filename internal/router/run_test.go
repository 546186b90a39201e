package router

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// testBudgets grants each reservation in the name of the next holder.
type testBudgets struct {
	mu       sync.Mutex
	holders  []string
	settled  []*wirepb.Settle
	reserved int
}

func (b *testBudgets) Reserve(_ context.Context, _ string, m *wirepb.Reserve) (*wirepb.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &wirepb.Reservation{Holder: b.holders[b.reserved], Number: 1, Budget: m.GetBudget(), Tokens: m.GetTokens()}
	b.reserved++
	return r, nil
}

func (b *testBudgets) Settle(_ context.Context, m *wirepb.Settle) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = append(b.settled, m)
	return nil
}

func (b *testBudgets) Claim(context.Context, string, *wirepb.Claim, string) (*wirepb.Claimed, error) {
	return &wirepb.Claimed{State: claimNew}, nil
}

func (b *testBudgets) Conclude(context.Context, string, *wirepb.Conclude, string) error { return nil }

// testBalancer chooses its sides in order and always allows a retry.
type testBalancer []string

func (t testBalancer) RequestStarted(string) {}

func (t testBalancer) Choose(q Query) (Choice, bool) {
	n := len(q.Tried)
	if n >= len(t) {
		return Choice{}, false
	}
	return Choice{Name: fmt.Sprint("side-", n), Addr: t[n]}, true
}

func (t testBalancer) Done(Choice, AttemptResult) RetryDecision { return RetryDecision{Retry: true} }

func testRequest(t *testing.T) request {
	t.Helper()
	index, err := bundler.NewIndex(bundler.Bundle{
		Regions: []string{"north"},
		Budgets: []bundler.Budget{{Name: "budget"}},
		Targets: []bundler.Target{{Name: "model", Kind: bundler.KindModel, Model: "m", Context: 100, Output: bundler.Output{Default: 1, Limit: 10}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return request{
		id: "r1", index: index, deadline: time.Now().Add(10 * time.Second),
		account: bundler.Account{Name: "acme", Budgets: []bundler.Payment{{Budget: "budget", Targets: []string{bundler.Any}}}},
	}
}

func testRouter(t *testing.T, budgets Budgets, addrs ...string) *Router {
	t.Helper()
	pool := connector.NewPool(func() *wirepb.Hello { return &wirepb.Hello{Protocol: connector.ProtocolVersion} })
	t.Cleanup(func() { _ = pool.Close() })
	return New(budgets, testBalancer(addrs), pool, func() *bundler.Index { return nil })
}

// runHandler is a side's request handler.
type runHandler func(s *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error

// startTestSide starts a side with the given handler and returns its address.
func startTestSide(t *testing.T, run runHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hello := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: "side-1"}
	}
	srv := connector.NewServer(hello)
	connector.HandleStream(srv, func(_ context.Context, s *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error {
		return run(s, f, m)
	})
	connector.HandleCall(srv, func(context.Context, string, *wirepb.Billed) (*wirepb.Billed, error) {
		return &wirepb.Billed{}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
	})
	return ln.Addr().String()
}

// sendResponse sends a response in parts, followed by the end frame.
func sendResponse(s *connector.Stream, f *wirepb.Frame, outcome string, parts ...string) error {
	sum := xxhash.New()
	for n, part := range parts {
		_, _ = sum.WriteString(part)
		data, err := connector.Wrap(f.GetId(), &wirepb.Data{Bytes: []byte(part)})
		if err != nil {
			return err
		}
		data.Seq = uint64(n + 1)
		if err := s.Send(data); err != nil {
			return err
		}
	}
	return s.Reply(f, &wirepb.End{Outcome: outcome, Count: uint64(len(parts)), Sum: sum.Sum64(), Usage: &wirepb.Usage{Output: 3}})
}

// Guards against refusing a request although its budget has the tokens, when the
// holder of its reservation dies before the side receives the request.
func TestReserveAgainAfterHolderDied(t *testing.T) {
	tests := []struct {
		name    string
		holders []string
		ok      bool
		settled int // number of settlements and releases
	}{
		{"holder alive", []string{"b"}, true, 1},
		{"holder died", []string{"a", "b"}, true, 2},
		{"successor died too", []string{"a", "a"}, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budgets := &testBudgets{holders: tt.holders}
			side := startTestSide(t, func(s *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error {
				if m.GetReservation().GetHolder() == "a" {
					return s.Refuse(f, &connector.RefusedError{Reason: reasonHolderClosed, Text: "the holder is closed"})
				}
				return sendResponse(s, f, "whole")
			})
			r := testRouter(t, budgets, side)
			j := job{target: "model", maxTokens: 10, idempotent: true}
			res := r.runJob(t.Context(), testRequest(t), j, func([]byte) error { return nil })
			r.Wait()
			if (res.failure == nil) != tt.ok {
				t.Errorf("failure = %v, want ok %v", res.failure, tt.ok)
			}
			if n := len(budgets.settled); n != tt.settled {
				t.Errorf("%d reservations are settled or released, want %d", n, tt.settled)
			}
		})
	}
}

// Guards against failing a buffered request that could be retried because nothing
// was delivered yet, and against mixing the parts of two attempts in one response.
func TestBufferedResponseIsRetried(t *testing.T) {
	interrupted := startTestSide(t, func(s *connector.Stream, f *wirepb.Frame, _ *wirepb.Run) error {
		return sendResponse(s, f, "interrupted", "first ")
	})
	complete := startTestSide(t, func(s *connector.Stream, f *wirepb.Frame, _ *wirepb.Run) error {
		return sendResponse(s, f, "whole", "second ", "answer")
	})
	tests := []struct {
		name     string
		buffered bool
		want     string // response, or type of the error
	}{
		{"plain", true, "second answer"},
		{"stream", false, typeInterrupted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budgets := &testBudgets{holders: []string{"b"}}
			r := testRouter(t, budgets, interrupted, complete)
			j := job{target: "model", maxTokens: 10, idempotent: true}
			out := func([]byte) error { return nil }
			if tt.buffered {
				j.buffer = &bytes.Buffer{}
				out = j.writeToBuffer
			}
			res := r.runJob(t.Context(), testRequest(t), j, out)
			r.Wait()
			got := ""
			if res.failure != nil {
				got = res.failure.Type
			} else {
				got = j.buffer.String()
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
