package lender_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/granter"
	"daisylane/internal/lender"
)

// bank lends what its decision says and counts what comes back.
type bank struct {
	decision granter.Decision

	mu       sync.Mutex
	asked    []granter.Loan
	returned map[string]int64
}

func (b *bank) Lend(_ context.Context, l granter.Loan) granter.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked = append(b.asked, l)
	return b.decision
}

func (b *bank) Returned(account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returned[account] += tokens
}

func start(t *testing.T, h http.Handler) granter.Lender {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return granter.Lender{Name: "entry-2", Addr: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against loans that arrive with another amount than the lender wrote
// off, which would spend tokens twice.
func TestBorrow(t *testing.T) {
	tests := []struct {
		name     string
		decision granter.Decision
		want     int64
		refused  bool
	}{
		{"own and lent tokens", granter.Decision{Outcome: granter.Reserved, Own: 900, Lent: 100}, 1000, false},
		{"too few", granter.Decision{Outcome: granter.Short, Own: 900}, 0, false},
		{"limited", granter.Decision{Outcome: granter.Limited, Own: 900}, 0, false},
		{"exhausted", granter.Decision{Outcome: granter.Exhausted, Own: 900}, 0, false},
		{"not ready", granter.Decision{Outcome: granter.Unready}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &bank{decision: tt.decision}
			loan := granter.Loan{Account: "rider-app", Least: 800, Need: 900, Ask: 1000}
			got, err := lender.NewClient().Borrow(t.Context(), start(t, lender.Handler(b)), loan)
			if got != tt.want || errors.Is(err, lender.ErrRefused) != tt.refused || (err != nil) != tt.refused {
				t.Errorf("got %d, %v, want %d", got, err, tt.want)
			}
			if len(b.asked) != 1 || b.asked[0] != loan {
				t.Errorf("the bank was asked for %+v, want %+v once", b.asked, loan)
			}
		})
	}
}

// Guards against tokens that come back to another account or more than once.
func TestReturn(t *testing.T) {
	b := &bank{returned: make(map[string]int64)}
	peer := start(t, lender.Handler(b))
	if err := lender.NewClient().Return(t.Context(), peer, "rider-app", 700); err != nil {
		t.Fatal(err)
	}
	if len(b.returned) != 1 || b.returned["rider-app"] != 700 {
		t.Errorf("returned %v, want 700 of rider-app", b.returned)
	}
}

// Guards against loans out of thin air: whatever a peer answers but a valid loan
// yields no tokens, and a silent peer does not hold a request up.
func TestBorrowFails(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	answer := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		})
	}
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
		<-r.Context().Done()
	})
	tests := []struct {
		name string
		peer granter.Lender
	}{
		{"error status", start(t, answer(http.StatusInternalServerError, `{"tokens":5,"outcome":"reserved"}`))},
		{"no JSON", start(t, answer(http.StatusOK, "5"))},
		{"negative", start(t, answer(http.StatusOK, `{"tokens":-5,"outcome":"reserved"}`))},
		{"too many", start(t, answer(http.StatusOK, `{"tokens":99999999999999,"outcome":"reserved"}`))},
		{"unknown field", start(t, answer(http.StatusOK, `{"tokens":5,"outcome":"reserved","more":1}`))},
		{"closed port", granter.Lender{Name: "entry-2", Addr: strings.TrimPrefix(closed.URL, "http://")}},
		{"silent", start(t, silent)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now()
			got, err := lender.NewClient().Borrow(t.Context(), tt.peer, granter.Loan{Account: "rider-app", Need: 5, Ask: 5})
			if got != 0 || err == nil {
				t.Errorf("got %d, %v, want an error", got, err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// Guards against loans that a peer of another version or a stranger asks for in
// a form that cannot be checked.
func TestHandlerRefuses(t *testing.T) {
	b := &bank{decision: granter.Decision{Outcome: granter.Reserved, Own: 5}}
	peer := start(t, lender.Handler(b))
	tests := []struct{ name, body string }{
		{"no account", `{"least":5,"need":5,"ask":5}`},
		{"negative", `{"account":"rider-app","least":-5,"need":5,"ask":5}`},
		{"unknown field", `{"account":"rider-app","least":5,"need":5,"ask":5,"free":true}`},
		{"too large", `{"account":"` + strings.Repeat("a", 8<<10) + `"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res, err := http.Post("http://"+peer.Addr+"/lend", "application/json", strings.NewReader(tt.body))
			if err != nil && !errors.Is(err, net.ErrClosed) {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d, want 400", res.StatusCode)
			}
		})
	}
	if len(b.asked) != 0 {
		t.Errorf("the bank was asked for %+v", b.asked)
	}
}
