package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"daisylane/internal/forwarder"
	"daisylane/platform/platformtest"
)

const idHeader = "Daisylane-Attempt-Id"

func requestID(h http.Header) string { return h.Get(idHeader) }

func start(t *testing.T, script ...platformtest.Response) (*forwarder.Pool, *platformtest.Runner) {
	t.Helper()
	r, err := platformtest.NewRunner("runner-1", script...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return forwarder.New(requestID), r
}

func request(id string) forwarder.Request {
	return forwarder.Request{ID: id, Method: http.MethodPost, URI: "/plans/7?x=%2F", Host: "a.example", Header: http.Header{idHeader: {id}}, Body: []byte("body"), HasBody: true}
}

// Guards against incomplete responses that are returned as complete, against responses to
// other requests, and against a request that is reported as not sent although it was.
func TestSend(t *testing.T) {
	tests := []struct {
		name     string
		response platformtest.Response
		want     string // body
		err      error  // of Send, nil or not nil
		broken   bool   // reading the body returns an error
	}{
		{name: "complete", response: platformtest.Response{Body: "hello"}, want: "hello"},
		{name: "ends with the connection", response: platformtest.Response{Body: "hello", CloseDelimited: true}, want: "hello"},
		{name: "after a response to another request", response: platformtest.Response{Body: "hello", StrayResponse: true}, want: "hello"},
		{name: "extra bytes", response: platformtest.Response{Body: "hello", TrailingBytes: true}, want: "hello"},
		{name: "reset", response: platformtest.Response{Reset: true}, err: io.EOF},
		{name: "stream that is cut off", response: platformtest.Response{Events: 3, CutAfter: 1}, want: "id: 1\ndata: piece 1 of runner-1 for id-1\n\n", broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := start(t, tt.response)
			a, err := p.Send(t.Context(), r.Addr(), request("id-1"))
			if (err != nil) != (tt.err != nil) {
				t.Fatalf("got error %v", err)
			}
			if err != nil {
				if errors.Is(err, forwarder.ErrNotSent) {
					t.Error("Send returned ErrNotSent for a request that was sent")
				}
				return
			}
			defer a.Close()
			body, err := io.ReadAll(a)
			if (err != nil) != tt.broken || string(body) != tt.want {
				t.Errorf("got %q, %v", body, err)
			}
			if s := r.Requests()[0]; s.URI != "/plans/7?x=%2F" || s.Body != "body" || s.Host != "a.example" {
				t.Errorf("target got %+v", s)
			}
		})
	}
}

// Guards against the reuse of a connection on which the target sent bytes that belong to
// no request, and against a connection that is closed after a complete response.
func TestReuse(t *testing.T) {
	tests := []struct {
		name     string
		response platformtest.Response
		reused   bool
	}{
		{"complete", platformtest.Response{Body: "x"}, true},
		{"complete stream", platformtest.Response{Events: 2}, true},
		{"extra bytes", platformtest.Response{Body: "x", TrailingBytes: true}, false},
		{"ends with the connection", platformtest.Response{Body: "x", CloseDelimited: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := start(t, tt.response)
			for _, id := range []string{"id-1", "id-2"} {
				a, err := p.Send(t.Context(), r.Addr(), request(id))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(a); err != nil {
					t.Fatal(err)
				}
				a.Close()
				time.Sleep(20 * time.Millisecond) // until extra bytes have arrived
			}
			if seen := r.Requests(); seen[1].FirstOnConnection == tt.reused {
				t.Errorf("second request on a new connection: %v", seen[1].FirstOnConnection)
			}
		})
	}
}

// Guards against a refused connection that is not reported as ErrNotSent: the request
// would count as possibly executed and not be retried.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := forwarder.New(requestID).Send(t.Context(), addr, request("id-1")); !errors.Is(err, forwarder.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

// Guards against a target that keeps sending after the caller's context has ended,
// because the connection was not closed.
func TestCancel(t *testing.T) {
	p, r := start(t, platformtest.Response{Events: 1000, Pause: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := p.Send(ctx, r.Addr(), request("id-1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.NextEvent(); err != nil {
		t.Fatal(err)
	}
	cancel()
	for err == nil {
		_, err = a.NextEvent()
	}
	a.Close()
	for end := time.Now().Add(2 * time.Second); r.Disconnects() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("target still sends 2 s after cancellation")
		}
	}
}

// Guards against wrong event ids, with which a stream would be resumed after the wrong
// event.
func TestEventID(t *testing.T) {
	tests := []struct{ event, want string }{
		{"id: 7\ndata: x\n\n", "7"}, {"data: x\nid:8\n\n", "8"}, {"data: id: 9\n\n", ""}, {"id: 1\r\n\r\n", "1"},
	}
	for _, tt := range tests {
		if got := forwarder.EventID([]byte(tt.event)); got != tt.want {
			t.Errorf("%q has id %q, want %q", tt.event, got, tt.want)
		}
	}
}
