package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a runner has begun to work on.
type run struct {
	w       io.Writer
	req     *http.Request
	body    []byte
	id      string // of the client's attempt
	runner  *runner
	version string
}

// runner is a runner of a service. It serves one request at a time on a connection.
type runner struct {
	id      string
	service string
	addr    string
	store   *store
	serve   func(*run) bool // answers a request; false closes the connection

	mu       sync.Mutex
	version  string
	born     int64
	state    string
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	places   chan struct{} // one for each request that runs
	waiting  atomic.Int64
}

// slots returns how many requests a runner of a service runs at once.
func slots(service string) int {
	if service == app {
		return 6
	}
	return 64
}

// newRunner returns a runner at a free address. It does not run yet.
func newRunner(s *store, id, service, version string, serve func(*run) bool) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return &runner{id: id, service: service, version: version, state: "ready", addr: l.Addr().String(), store: s, serve: serve, places: make(chan struct{}, slots(service))}, nil
}

// start begins to serve and to write the registration, once at once and then at each
// heartbeat. While the store is silent, it tries again.
func (r *runner) start(version string) error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born, r.listener, r.conns, r.stop = version, time.Now().UnixMilli(), l, make(map[net.Conn]bool), make(chan struct{})
	go r.accept(l, version)
	go r.beat(r.stop)
	return nil
}

func (r *runner) beat(stop chan struct{}) {
	sequence := 0
	for {
		if !r.store.isAway() {
			sequence++
			r.mu.Lock()
			entry := map[string]any{
				"service": r.service, "address": r.addr, "zone": "a", "version": r.version, "slots": slots(r.service), "state": r.state,
				"cold_left_ms": 0, "sequence": sequence, "born": r.born,
			}
			r.mu.Unlock()
			r.store.write("servers", r.id, entry)
		}
		pause := heartbeat
		if r.store.isAway() {
			pause = 50 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// kill ends the runner as a crash does: its connections are reset and its address refuses
// new ones.
func (r *runner) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stop)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *runner) accept(l net.Listener, version string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			defer c.Close()
			r.exchange(c, version)
		}()
	}
}

func (r *runner) exchange(c net.Conn, version string) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Header.Get("Daisylane-Expect-Instance") != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nDaisylane-Attempt-Id: %s\r\nDaisylane-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Daisylane-Attempt-Id"), r.id)
			continue
		}
		r.waiting.Add(1)
		r.places <- struct{}{}
		r.waiting.Add(-1)
		kept := r.serve(&run{w: c, req: req, body: body, id: req.Header.Get("Daisylane-Attempt-Id"), runner: r, version: version})
		<-r.places
		if !kept {
			return
		}
	}
}

// head writes the head of an answer with a seal.
func (r *run) head(status int, header ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nDaisylane-Attempt-Id: %s\r\nDaisylane-Response-Seal: seal-%s\r\n", status, http.StatusText(status), r.id, r.id)
	if r.runner.service == pool { // the other service does not tell its load
		fmt.Fprintf(&b, "Daisylane-Instance-Load: %d,%d,%d\r\n", len(r.runner.places), r.runner.waiting.Load(), cap(r.runner.places))
	}
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	_, err := io.WriteString(r.w, b.String()+"\r\n")
	return err
}

// plain answers with a body at once.
func (r *run) plain(body string) bool {
	if r.head(http.StatusOK, "Content-Length: "+strconv.Itoa(len(body))) != nil {
		return false
	}
	_, err := io.WriteString(r.w, body)
	return err == nil
}

// stream answers with events, one after each gap, and goes on after the last event that
// the caller has. Each event names the runner and its software version.
func (r *run) stream(events int, gap time.Duration) bool {
	last, _ := strconv.Atoi(r.req.Header.Get("Last-Event-Id"))
	if r.head(http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") != nil {
		return false
	}
	for n := last + 1; n <= events; n++ {
		time.Sleep(gap)
		e := fmt.Sprintf("id: %d\ndata: piece %d by %s %s\n\n", n, n, r.runner.id, r.version)
		if _, err := fmt.Fprintf(r.w, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(r.w, "0\r\n\r\n")
	return err == nil
}
