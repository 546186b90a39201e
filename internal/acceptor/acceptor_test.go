package acceptor

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rig is a server with an account whose handler answers with the size of the body, or with
// the reason why there is none.
type rig struct {
	t      *testing.T
	server *Server
	memory *Memory
	addr   string
	held   chan struct{} // requests to /hold wait for it
}

var testLimits = Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 2 * time.Second}

func newRig(t *testing.T, memory int64, opts ...Option) *rig {
	t.Helper()
	r := &rig{t: t, memory: NewMemory(memory), held: make(chan struct{})}
	r.server = New(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/hold" {
			<-r.held
		}
		if req.URL.Path == "/broken" {
			fmt.Fprint(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		b, err := r.memory.Read(w, req, 1<<20, time.Now().Add(time.Second))
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer b.Close()
		fmt.Fprint(w, len(b.Bytes()))
	}), testLimits, opts...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- r.server.Serve(l) }()
	t.Cleanup(func() {
		_ = r.server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	return r
}

// client is one connection.
type client struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

func (r *rig) dial() *client {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{r.t, c, bufio.NewReader(c)}
}

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		c.t.Fatal(err)
	}
}

// answer returns the body of the next answer, or that the connection has ended.
func (c *client) answer() string {
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return "closed"
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(string(body))
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against an answer that is broken off and looks complete to a client whose version has
// no chunks, as the end of the connection ends it.
func TestBrokenOff(t *testing.T) {
	r := newRig(t, 1<<20)
	for _, version := range []string{"1.0", "1.1"} {
		c := r.dial()
		c.send(strings.Replace(post("/broken", ""), "1.1", version, 1))
		if got := c.answer(); got != "closed" {
			t.Errorf("version %s: got %q, want a broken answer", version, got)
		}
	}
}

// Guards against ordinary clients that are cut off, and others that are not.
func TestConnectionLimits(t *testing.T) {
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name string
		play func(c *client)
		want string // last answer
	}{
		{"opened early", func(c *client) { time.Sleep(2 * testLimits.HeaderTimeout); c.send(post("/", "body")) }, "4"},
		{"used again late", func(c *client) {
			c.send(post("/", "body"))
			c.answer()
			time.Sleep(testLimits.IdleTimeout * 4 / 5)
			c.send(post("/", "again"))
		}, "5"},
		{"header of the largest size", func(c *client) {
			c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Filler: " + strings.Repeat("a", testLimits.MaxHeaderBytes-50) + "\r\n\r\n")
		}, "0"},
		{"header over the limit", func(c *client) {
			c.send("GET / HTTP/1.1\r\nHost: a\r\nX-Filler: " + strings.Repeat("a", testLimits.MaxHeaderBytes+5000) + "\r\n\r\n")
		}, "431 Request Header Fields Too Large"},
		{"header that stalls", func(c *client) { c.send("GET / HTTP/1.1\r\n"); time.Sleep(2 * testLimits.HeaderTimeout) }, "closed"},
		{"silent", func(*client) { time.Sleep(testLimits.IdleTimeout * 5 / 4) }, "closed"},
		{"chunks", func(c *client) { c.send(chunked + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") }, "5"},
		{"requests behind each other", func(c *client) {
			c.send(post("/", "body") + chunked + "1\r\na\r\n0\r\n\r\n" + post("/", "last"))
			c.answer()
			c.answer()
		}, "4"},
		{"a body that pauses", func(c *client) {
			r := post("/", strings.Repeat("a", 50_000))
			c.send(r[:20_000])
			time.Sleep(2 * testLimits.HeaderTimeout)
			c.send(r[20_000:])
		}, "50000"},
		{"body that is not whole at the deadline", func(c *client) { c.send(post("/", strings.Repeat("a", 50_000))[:49_000]) }, ErrDeadline.Error()},
		{"body over the limit", func(c *client) { c.send(post("/", strings.Repeat("a", 2<<20))[:1000]) }, ErrTooLarge.Error()},
		{"chunks over the limit", func(c *client) {
			c.send(chunked)
			for range 20 {
				c.send("10000\r\n" + strings.Repeat("a", 1<<16) + "\r\n")
			}
		}, ErrTooLarge.Error()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 8<<20)
			c := r.dial()
			tt.play(c)
			if got := c.answer(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			c.Close()
			for end := time.Now().Add(3 * time.Second); r.heldBytes() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes are held after the end", r.heldBytes())
				}
			}
		})
	}
}

func (r *rig) heldBytes() int64 {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.memory.decide.Held()
}

// Guards against a stalled body that keeps its memory while others wait for it, and against a
// wait without end.
func TestStalledBodyGivesWay(t *testing.T) {
	r := newRig(t, 200_000)
	stalled := r.dial()
	stalled.send(post("/", strings.Repeat("a", 110_000))[:105_000])
	time.Sleep(100 * time.Millisecond)
	for end := time.Now().Add(10 * time.Second); ; {
		c := r.dial()
		c.send(post("/", strings.Repeat("b", 100_000)))
		if got := c.answer(); got == "100000" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no room")
		}
	}
}

// Guards against an active connection that is closed for lack of descriptors, and an idle one
// that keeps others out.
func TestDescriptorLimit(t *testing.T) {
	r := newRig(t, 8<<20, WithDescriptors(4, 2))
	active := r.dial()
	active.send(post("/hold", "body"))
	idle := r.dial()
	idle.send(post("/", "idle"))
	if got := idle.answer(); got != "4" {
		t.Fatal(got)
	}
	for range 3 {
		got := ""
		for range 100 { // the connection before is idle some time after its answer
			c := r.dial()
			_, _ = io.WriteString(c, post("/", "next"))
			if got = c.answer(); got == "4" {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got != "4" {
			t.Errorf("a connection beside idle ones: %q", got)
		}
	}
	if got := idle.answer(); got != "closed" {
		t.Errorf("longest idle connection: %q", got)
	}
	close(r.held)
	if got := active.answer(); got != "4" {
		t.Errorf("active connection: %q", got)
	}
}

// Guards against changed limits that wait for a restart, or cut off open connections.
func TestChangedLimits(t *testing.T) {
	r := newRig(t, 8<<20)
	before := r.dial()
	before.send(post("/", "body"))
	before.answer()
	l := testLimits
	l.MaxHeaderBytes = 32 << 10
	r.server.SetLimits(l)
	large := "GET / HTTP/1.1\r\nHost: a\r\nX-Filler: " + strings.Repeat("a", 20<<10) + "\r\n\r\n"
	after := r.dial()
	after.send(large)
	if got := after.answer(); got != "0" {
		t.Errorf("a header within the new limit: %q", got)
	}
	before.send(post("/", "again"))
	if got := before.answer(); got != "5" {
		t.Errorf("an open connection: %q", got)
	}
	if err := r.server.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	for _, c := range []*client{before, after} {
		if got := c.answer(); got != "closed" {
			t.Errorf("after the shutdown: %q", got)
		}
	}
}

// Guards against former limits, and the servers that have them, which are kept for as long as
// the process runs, one for each change.
func TestFormerLimitsAreForgotten(t *testing.T) {
	r := newRig(t, 8<<20)
	formers := func() int {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return len(r.server.former)
	}
	eventually := func(want int) {
		t.Helper()
		end := time.Now().Add(5 * time.Second)
		for formers() != want && time.Now().Before(end) {
			time.Sleep(time.Millisecond)
		}
		if n := formers(); n != want {
			t.Fatalf("%d former servers, want %d", n, want)
		}
	}
	open := r.dial()
	open.send(post("/", "body"))
	open.answer()
	for i := range 5 {
		l := testLimits
		l.MaxHeaderBytes += i + 1
		r.server.SetLimits(l)
	}
	eventually(1) // that of the open connection
	_ = open.Close()
	eventually(0)
}
