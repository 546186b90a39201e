package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

const idHeader = "Daisylane-Attempt-Id"

func idOf(h http.Header) string { return h.Get(idHeader) }

func start(t *testing.T, script ...platformtest.Answer) (*Pool, *platformtest.Runner) {
	t.Helper()
	r, err := platformtest.NewRunner("runner-1", script...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return New(idOf), r
}

func request(id string) Request {
	return Request{ID: id, Method: http.MethodPost, URI: "/plans/7?x=%2F", Host: "a.example", Header: http.Header{idHeader: {id}}, Body: []byte("body"), Framed: true}
}

// Guards against answers that look whole though they are not, and against
// answers of other requests.
func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		answer platformtest.Answer
		want   string // body
		err    error  // of sending
		broken bool   // the body ends with an error
	}{
		{name: "whole", answer: platformtest.Answer{Body: "hello"}, want: "hello"},
		{name: "ends with the connection", answer: platformtest.Answer{Body: "hello", Unframed: true}, want: "hello"},
		{name: "after an answer to another request", answer: platformtest.Answer{Body: "hello", Stray: true}, want: "hello"},
		{name: "extra bytes", answer: platformtest.Answer{Body: "hello", Extra: true}, want: "hello"},
		{name: "reset", answer: platformtest.Answer{Reset: true}, err: io.EOF},
		{name: "stream that breaks off", answer: platformtest.Answer{Events: 3, Cut: 1}, want: "id: 1\ndata: piece 1 of runner-1\n\n", broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := start(t, tt.answer)
			a, err := p.Send(t.Context(), r.Addr(), request("id-1"))
			if (err != nil) != (tt.err != nil) {
				t.Fatalf("got error %v", err)
			}
			if err != nil {
				if errors.Is(err, ErrNotSent) {
					t.Error("a request that was sent is reported as not sent")
				}
				return
			}
			defer a.Close()
			body, err := io.ReadAll(a)
			if (err != nil) != tt.broken || string(body) != tt.want {
				t.Errorf("got %q, %v", body, err)
			}
			if s := r.Seen()[0]; s.URI != "/plans/7?x=%2F" || s.Body != "body" || s.Host != "a.example" {
				t.Errorf("target got %+v", s)
			}
		})
	}
}

// Guards against a connection that is used again after bytes that belong to no
// request, and against one that is thrown away after a whole answer.
func TestReuse(t *testing.T) {
	tests := []struct {
		name   string
		answer platformtest.Answer
		reused bool
	}{
		{"whole", platformtest.Answer{Body: "x"}, true},
		{"whole stream", platformtest.Answer{Events: 2}, true},
		{"extra bytes", platformtest.Answer{Body: "x", Extra: true}, false},
		{"ends with the connection", platformtest.Answer{Body: "x", Unframed: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, r := start(t, tt.answer)
			for _, id := range []string{"id-1", "id-2"} {
				a, err := p.Send(t.Context(), r.Addr(), request(id))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(a); err != nil {
					t.Fatal(err)
				}
				a.Close()
				time.Sleep(20 * time.Millisecond) // extra bytes arrive
			}
			if seen := r.Seen(); seen[1].Fresh == tt.reused {
				t.Errorf("second request on a new connection: %v", seen[1].Fresh)
			}
		})
	}
}

// Guards against a refused connection that counts as a request that may have run.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	if _, err := New(idOf).Send(t.Context(), addr, request("id-1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

// Guards against a target that goes on working after the caller has left.
func TestCancel(t *testing.T) {
	p, r := start(t, platformtest.Answer{Events: 1000, Pause: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := p.Send(ctx, r.Addr(), request("id-1"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Event(); err != nil {
		t.Fatal(err)
	}
	cancel()
	for err == nil {
		_, err = a.Event()
	}
	a.Close()
	for end := time.Now().Add(2 * time.Second); r.Gone() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the target still sends")
		}
	}
}

// Guards against events that are split or joined, and torn ones that are passed on.
func TestEvents(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []string
		err  error
	}{
		{"several", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}, io.EOF},
		{"torn", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, ErrEvent},
		{"none", "", nil, io.EOF},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 3, 1000} {
			t.Run(tt.name, func(t *testing.T) {
				var e eventBuffer
				r := &pieces{strings.NewReader(tt.body), size}
				for _, want := range tt.want {
					if got, err := e.next(r); err != nil || string(got) != want {
						t.Fatalf("got %q, %v, want %q", got, err, want)
					}
				}
				if _, err := e.next(r); !errors.Is(err, tt.err) {
					t.Errorf("got %v, want %v", err, tt.err)
				}
			})
		}
	}
}

type pieces struct {
	r io.Reader
	n int
}

func (p *pieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.n)]) }

// Guards against a stream that is resumed after the wrong event.
func TestEventID(t *testing.T) {
	tests := []struct{ event, want string }{
		{"id: 7\ndata: x\n\n", "7"}, {"data: x\nid:8\n\n", "8"}, {"data: id: 9\n\n", ""}, {"id: 1\r\n\r\n", "1"},
	}
	for _, tt := range tests {
		if got := EventID([]byte(tt.event)); got != tt.want {
			t.Errorf("%q has id %q, want %q", tt.event, got, tt.want)
		}
	}
}
