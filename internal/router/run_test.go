package router

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// testBudgets grants each reservation under the next holder's name.
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

// testTargets knows one side.
type testTargets struct{ addr string }

func (t testTargets) Begin(string) {}
func (t testTargets) Choose(q Query) (Choice, bool) {
	return Choice{Name: "side-1", Addr: t.addr}, len(q.Tried) == 0
}
func (t testTargets) Done(Choice, Report) Verdict { return Verdict{} }

// startTestSide runs a side that refuses work of a closed holder and answers other
// requests at once.
func startTestSide(t *testing.T, closed string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	identity := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: "side-1"}
	}
	srv := connector.NewServer(identity)
	connector.On(srv, func(_ context.Context, s *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error {
		if m.GetReservation().GetHolder() == closed {
			return s.Refuse(f, &connector.RefusedError{Reason: reasonClosed, Text: "the holder is closed"})
		}
		return s.Reply(f, &wirepb.End{Outcome: "whole", Sum: emptySum, Usage: &wirepb.Usage{Output: 3}})
	})
	connector.Answer(srv, func(context.Context, string, *wirepb.Billed) (*wirepb.Billed, error) {
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

// emptySum is the xxhash of no bytes.
const emptySum = 0xef46db3751d8e999

// Guards against a refusal of a request whose budget has the tokens, only because
// the holder of its reservation died before the side got it.
func TestReserveAgain(t *testing.T) {
	tests := []struct {
		name    string
		holders []string
		ok      bool
		settled int // settlements and releases
	}{
		{"holder alive", []string{"b"}, true, 1},
		{"holder died", []string{"a", "b"}, true, 2},
		{"successor died too", []string{"a", "a"}, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budgets := &testBudgets{holders: tt.holders}
			pool := connector.NewPool(func() *wirepb.Hello { return &wirepb.Hello{Protocol: connector.ProtocolVersion} })
			defer pool.Close()
			index, err := bundler.NewIndex(bundler.Bundle{
				Regions: []string{"north"},
				Budgets: []bundler.Budget{{Name: "budget"}},
				Targets: []bundler.Target{{Name: "model", Kind: bundler.KindModel, Model: "m", Context: 100, Output: bundler.Output{Default: 1, Limit: 10}}},
			})
			if err != nil {
				t.Fatal(err)
			}
			r := New(budgets, testTargets{startTestSide(t, "a")}, pool, func() *bundler.Index { return index })
			req := request{
				id: "r1", index: index, deadline: time.Now().Add(10 * time.Second),
				account: bundler.Account{Name: "acme", Budgets: []bundler.Payment{{Budget: "budget", Targets: []string{bundler.Any}}}},
			}
			res := r.run(t.Context(), req, job{target: "model", tokens: 10, repeatable: true}, func([]byte) error { return nil })
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
