package connector

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/wirepb"
)

func testHello(name string, protocol uint32) HelloFunc {
	return func() *wirepb.Hello { return &wirepb.Hello{Protocol: protocol, Instance: name} }
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(testHello("server", ProtocolVersion))
	HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Reserve) (*wirepb.Reserved, error) {
		if m.GetTokens() < 0 {
			return nil, &RefusedError{Reason: "budget", Text: "negative", RetryAfter: time.Second}
		}
		return &wirepb.Reserved{Reservation: &wirepb.Reservation{Tokens: m.GetTokens()}}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return srv, ln.Addr().String()
}

// Guards against accepting a response of the wrong message type, and against losing
// fields of a refusal.
func TestCall(t *testing.T) {
	_, addr := startServer(t)
	pool := NewPool(testHello("client", ProtocolVersion))
	defer pool.Close()

	res, err := Call[*wirepb.Reserved](t.Context(), pool, addr, "r1", &wirepb.Reserve{Tokens: 7})
	if err != nil {
		t.Fatal(err)
	}
	if got := res.GetReservation().GetTokens(); got != 7 {
		t.Errorf("tokens = %d, want 7", got)
	}

	_, err = Call[*wirepb.Reserved](t.Context(), pool, addr, "r2", &wirepb.Reserve{Tokens: -1})
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("err = %v, want RefusedError", err)
	}
	if refused.Reason != "budget" || refused.RetryAfter != time.Second {
		t.Errorf("refused = %+v", refused)
	}

	_, err = Call[*wirepb.Settled](t.Context(), pool, addr, "r3", &wirepb.Reserve{Tokens: 1})
	if !errors.Is(err, ErrProtocol) {
		t.Errorf("err = %v, want ErrProtocol", err)
	}
}

// Guards against a handshake that accepts a peer with another protocol version.
func TestProtocolVersion(t *testing.T) {
	_, addr := startServer(t)
	pool := NewPool(testHello("client", ProtocolVersion+1))
	defer pool.Close()
	_, err := pool.Open(t.Context(), addr)
	if !errors.Is(err, ErrDial) {
		t.Errorf("err = %v, want ErrDial", err)
	}
}

// Guards against a server that crashes or hangs when a client sends bytes that are
// not a valid session, for example an HTTP request.
func TestGarbage(t *testing.T) {
	_, addr := startServer(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 64)
	for {
		if _, err := conn.Read(buf); err != nil {
			break
		}
	}
	_ = conn.Close()

	pool := NewPool(testHello("client", ProtocolVersion))
	defer pool.Close()
	if _, err := Call[*wirepb.Reserved](t.Context(), pool, addr, "r1", &wirepb.Reserve{}); err != nil {
		t.Errorf("call after invalid bytes on another connection: %v", err)
	}
}

// writeRecorder is a connection that records the data of each write.
type writeRecorder struct {
	net.Conn
	writes []string
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// Guards against a corkConn that sends a body without its header or delays a control
// frame.
func TestCork(t *testing.T) {
	data := "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x02"
	ping := "\x00\x02\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07"
	tests := []struct {
		name         string
		writes, want []string
	}{
		{"header and body", []string{data, "ab"}, []string{data + "ab"}},
		{"control frame", []string{ping, data, "ab", ping}, []string{ping, data + "ab", ping}},
		{"body as long as a header", []string{data, data}, []string{data + data}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rec := &writeRecorder{}
			conn := newCorkConn(rec)
			for _, p := range tt.writes {
				if n, err := conn.Write([]byte(p)); n != len(p) || err != nil {
					t.Fatalf("Write = %d, %v", n, err)
				}
			}
			if !slices.Equal(rec.writes, tt.want) {
				t.Errorf("writes = %q, want %q", rec.writes, tt.want)
			}
		})
	}
}

// Guards against responses that reach the wrong caller when concurrent calls share
// one stream.
func TestConcurrentCalls(t *testing.T) {
	_, addr := startServer(t)
	pool := NewPool(testHello("client", ProtocolVersion))
	defer pool.Close()
	var wg sync.WaitGroup
	for n := range int64(500) {
		wg.Go(func() {
			res, err := Call[*wirepb.Reserved](t.Context(), pool, addr, fmt.Sprint(n), &wirepb.Reserve{Tokens: n})
			if err != nil || res.GetReservation().GetTokens() != n {
				t.Errorf("call %d: response %v, %v", n, res, err)
			}
		})
	}
	wg.Wait()
}

// Guards against a cancelled or timed-out call that makes later calls to the same
// peer fail.
func TestCanceledCall(t *testing.T) {
	_, addr := startServer(t)
	pool := NewPool(testHello("client", ProtocolVersion))
	defer pool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = Call[*wirepb.Reserved](ctx, pool, addr, "r1", &wirepb.Reserve{})
	if _, err := Call[*wirepb.Reserved](t.Context(), pool, addr, "r2", &wirepb.Reserve{Tokens: 1}); err != nil {
		t.Error(err)
	}
	first := pool.lookup(addr)
	ctx, cancel = context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	_, _ = Call[*wirepb.Reserved](ctx, pool, addr, "r3", &wirepb.Reserve{})
	if _, err := Call[*wirepb.Reserved](t.Context(), pool, addr, "r4", &wirepb.Reserve{Tokens: 1}); err != nil {
		t.Error(err)
	}
	if first == nil {
		t.Error("no session is kept after a successful call")
	}
}
