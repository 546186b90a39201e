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

// fakeLender responds to loan requests with a fixed decision and records loans and
// returns.
type fakeLender struct {
	reply lender.Reply

	mu       sync.Mutex
	loans    []granter.Loan
	returned map[string]int64
}

func (fake *fakeLender) Lend(_ context.Context, l granter.Loan) lender.Reply {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.loans = append(fake.loans, l)
	return fake.reply
}

func (fake *fakeLender) RecordNote(n granter.Note) bool { return n.Era == 1 }

func (fake *fakeLender) RecordGreeting(m granter.Greeting) bool { return m.Era == 1 }

func (fake *fakeLender) RecordHandover(h granter.Handover) bool { return h.Era == 1 }

func (fake *fakeLender) CancelLoan(string) int64 { return fake.reply.Tokens }

func (fake *fakeLender) AddReturned(account string, tokens int64) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.returned[account] += tokens
}

func startPeer(t *testing.T, h http.Handler) granter.Lender {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return granter.Lender{Name: "entry-2", Addr: strings.TrimPrefix(server.URL, "http://")}
}

// Guards against a borrower receiving another number of tokens than the lender counts
// as spent. More would spend tokens twice.
func TestBorrowReturnsLentAmount(t *testing.T) {
	tests := []struct {
		name    string
		reply   lender.Reply
		refused bool
	}{
		{"lent", lender.Reply{Outcome: granter.Reserved, Tokens: 1000, Usage: granter.Usage{Granted: 5000, Used: 1000}}, false},
		{"too few", lender.Reply{Outcome: granter.Short, Usage: granter.Usage{Granted: 700, Used: 700}}, false},
		{"limited", lender.Reply{Outcome: granter.Limited}, false},
		{"exhausted", lender.Reply{Outcome: granter.Exhausted}, false},
		{"not ready", lender.Reply{Outcome: granter.Unready}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := &fakeLender{reply: tt.reply}
			loan := granter.Loan{Account: "rider-app", Minimum: 800, Need: 900, Requested: 1000}
			got, err := lender.NewClient().Borrow(t.Context(), startPeer(t, lender.Handler(fake)), loan)
			want := tt.reply
			if tt.refused {
				want = lender.Reply{}
			}
			if got != want || errors.Is(err, lender.ErrRefused) != tt.refused || (err != nil) != tt.refused {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
			if len(fake.loans) != 1 || fake.loans[0] != loan {
				t.Errorf("the lender got the loans %+v, want %+v once", fake.loans, loan)
			}
		})
	}
}

// Guards against returned tokens being added to another account or more than once.
func TestReturnReachesLenderOnce(t *testing.T) {
	fake := &fakeLender{returned: make(map[string]int64)}
	peer := startPeer(t, lender.Handler(fake))
	if err := lender.NewClient().Return(t.Context(), peer, "rider-app", 700); err != nil {
		t.Fatal(err)
	}
	if len(fake.returned) != 1 || fake.returned["rider-app"] != 700 {
		t.Errorf("returned %v, want 700 of rider-app", fake.returned)
	}
}

// Guards against using tokens that no peer has lent: every response other than a valid
// reply is an error without tokens. A peer that does not respond must not delay a
// request beyond the call timeout.
func TestBorrowFailsWithoutValidReply(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	respond := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		})
	}
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		<-r.Context().Done()
	})
	tests := []struct {
		name string
		peer granter.Lender
	}{
		{"error status", startPeer(t, respond(http.StatusInternalServerError, `{"tokens":5,"outcome":"reserved"}`))},
		{"not an object", startPeer(t, respond(http.StatusOK, "5"))},
		{"negative", startPeer(t, respond(http.StatusOK, `{"tokens":-5,"outcome":"reserved"}`))},
		{"negative usage", startPeer(t, respond(http.StatusOK, `{"tokens":5,"outcome":"reserved","usage":{"used":-5}}`))},
		{"too many", startPeer(t, respond(http.StatusOK, `{"tokens":99999999999999,"outcome":"reserved"}`))},
		{"unknown field", startPeer(t, respond(http.StatusOK, `{"tokens":5,"outcome":"reserved","more":1}`))},
		{"connection refused", granter.Lender{Name: "entry-2", Addr: strings.TrimPrefix(closed.URL, "http://")}},
		{"no response", startPeer(t, silent)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now()
			got, err := lender.NewClient().Borrow(t.Context(), tt.peer, granter.Loan{Account: "rider-app", Need: 5, Requested: 5})
			if got != (lender.Reply{}) || err == nil {
				t.Errorf("got %+v, %v, want an error", got, err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// Guards against executing loan requests that are not valid, such as those of a peer
// of another version or of an unknown client.
func TestHandlerRejectsInvalidLoans(t *testing.T) {
	fake := &fakeLender{reply: lender.Reply{Outcome: granter.Reserved, Tokens: 5}}
	peer := startPeer(t, lender.Handler(fake))
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
	if len(fake.loans) != 0 {
		t.Errorf("the lender got the loans %+v, want none", fake.loans)
	}
}

// Guards against a grant that counts as confirmed although the peer does not remember
// it, because the note belongs to another era or cannot be read.
func TestRemember(t *testing.T) {
	tests := []struct {
		name string
		note granter.Note
		ok   bool
	}{
		{"remembered", granter.Note{Era: 1, Account: "rider-app", Instance: "entry-1", Granted: 5}, true},
		{"other era", granter.Note{Era: 2, Account: "rider-app", Instance: "entry-1", Granted: 5}, false},
		{"no era", granter.Note{Account: "rider-app", Instance: "entry-1", Granted: 5}, false},
		{"no account", granter.Note{Era: 1, Instance: "entry-1", Granted: 5}, false},
		{"negative", granter.Note{Era: 1, Account: "rider-app", Instance: "entry-1", Granted: -5}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(lender.Handler(&fakeLender{}))
			t.Cleanup(s.Close)
			err := lender.NewClient().Remember(t.Context(), granter.Lender{Name: "entry-2", Addr: strings.TrimPrefix(s.URL, "http://")}, tt.note)
			if (err == nil) != tt.ok {
				t.Errorf("got %v", err)
			}
		})
	}
}
