package launcher

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
)

// link is a TCP proxy in front of a process.
type link struct {
	ln   net.Listener
	addr string // of the process

	mu     sync.Mutex
	conns  []*pair
	closed bool
}

// pair is one forwarded connection.
type pair struct {
	caller, process net.Conn
	mu              sync.Mutex
	silent          bool
	held            []func() // writes that the silence keeps back
}

func newLink(t testing.TB, addr string) *link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{ln: ln, addr: addr}
	t.Cleanup(l.close)
	go l.accept()
	return l
}

func (l *link) accept() {
	for {
		caller, err := l.ln.Accept()
		if err != nil {
			return
		}
		process, err := net.Dial("tcp", l.addr)
		if err != nil {
			_ = caller.Close()
			continue
		}
		p := &pair{caller: caller, process: process}
		l.mu.Lock()
		l.conns = append(l.conns, p)
		if l.closed {
			p.close()
		}
		l.mu.Unlock()
		go p.copy(process, caller)
		go p.copy(caller, process)
	}
}

// silence keeps back everything on the connections so far and keeps them open.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// deliver forwards late what the silence kept back.
func (l *link) deliver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.mu.Lock()
		for _, write := range p.held {
			write()
		}
		p.silent, p.held = false, nil
		p.mu.Unlock()
	}
}

// close ends all connections and refuses new ones.
func (l *link) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.conns {
		p.close()
	}
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.process.Close()
}

func (p *pair) copy(dst io.Writer, src io.Reader) {
	defer p.close()
	data := make([]byte, 16<<10)
	for {
		n, err := src.Read(data)
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.silent {
			late := bytes.Clone(data[:n])
			p.held = append(p.held, func() { _, _ = dst.Write(late) })
		} else {
			_, err = dst.Write(data[:n])
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}
