package soaker

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode selects how a proxy treats connections.
type mode int

const (
	modePass           mode = iota
	modeBlackhole           // forwards nothing and keeps connections open
	modeBlockResponses      // forwards requests only
	modeReset               // resets connections
	modeSlow                // delays each read
)

// slowDelay is three round trips between regions.
const slowDelay = 120 * time.Millisecond

// proxy forwards TCP connections to one address.
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
	p.setMode(modeReset)
}

// setMode changes the mode for new and open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends a RST
	}
	_ = c.Close()
}

func (p *proxy) currentMode() mode {
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
	if p.currentMode() == modeReset {
		resetConn(c)
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.track(c, d, true)
	defer p.track(c, d, false)
	done := make(chan struct{}, 2)
	go func() { p.relay(d, c, false); done <- struct{}{} }()
	go func() { p.relay(c, d, true); done <- struct{}{} }()
	<-done
	resetConn(c)
	resetConn(d)
	<-done
}

func (p *proxy) track(c, d net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []net.Conn{c, d} {
		if add {
			p.conns[conn] = true
		} else {
			delete(p.conns, conn)
		}
	}
}

// relay copies bytes while the mode allows it. Blocked bytes are held back until it does.
func (p *proxy) relay(to, from net.Conn, responses bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 && p.blocks(responses) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 && p.currentMode() == modeSlow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				time.Sleep(time.Millisecond) // lets forwarded bytes arrive before the connection is reset
			}
			return
		}
	}
}

func (p *proxy) blocks(responses bool) bool {
	switch p.currentMode() {
	case modeBlackhole:
		return true
	case modeBlockResponses:
		return responses
	}
	return false
}
