package soaker

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is how a proxy treats connections.
type mode int

const (
	pass   mode = iota
	silent      // nothing passes, connections stay
	oneWay      // requests pass, answers don't
	reset       // connections are reset
	slow        // each piece is delayed
)

const slowTime = 120 * time.Millisecond // between regions and back, three times

// proxy passes TCP connections on to one address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, ip, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
}

// set changes the mode, also for open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closes with a reset
	}
	_ = c.Close()
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if p.now() == reset {
		abort(c)
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.keep(c, d, true)
	defer p.keep(c, d, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(d, c, false); done <- struct{}{} }()
	go func() { p.copy(c, d, true); done <- struct{}{} }()
	<-done
	abort(c)
	abort(d)
	<-done
}

func (p *proxy) keep(c, d net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []net.Conn{c, d} {
		if on {
			p.conns[conn] = true
		} else {
			delete(p.conns, conn)
		}
	}
}

// copy passes bytes on while the mode allows it. What does not pass waits.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 && p.holds(answers) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 && p.now() == slow {
			time.Sleep(slowTime)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				time.Sleep(time.Millisecond) // what was passed on arrives before the end
			}
			return
		}
	}
}

func (p *proxy) holds(answers bool) bool {
	switch p.now() {
	case silent:
		return true
	case oneWay:
		return answers
	}
	return false
}
