package launcher

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"
)

// stallingProxy is a TCP proxy in front of a process that can stall its connections.
type stallingProxy struct {
	ln   net.Listener
	addr string // address of the process

	mu     sync.Mutex
	conns  []*proxiedConn
	closed bool
}

// proxiedConn is a connection through the proxy.
type proxiedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	stalled        bool
	stalledWrites  []func() // writes to be delivered after the stall
}

func newStallingProxy(t testing.TB, addr string) *stallingProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallingProxy{ln: ln, addr: addr}
	t.Cleanup(s.close)
	go s.accept()
	return s
}

func (s *stallingProxy) accept() {
	for {
		client, err := s.ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", s.addr)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &proxiedConn{client: client, server: server}
		s.mu.Lock()
		s.conns = append(s.conns, p)
		if s.closed {
			p.close()
		}
		s.mu.Unlock()
		go p.copy(server, client)
		go p.copy(client, server)
	}
}

// stall holds back all data on the existing connections and keeps them open. New
// connections are not affected.
func (s *stallingProxy) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.conns {
		p.mu.Lock()
		p.stalled = true
		p.mu.Unlock()
	}
}

// deliverStalled delivers the data held back by a stall and ends the stall.
func (s *stallingProxy) deliverStalled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.conns {
		p.mu.Lock()
		for _, write := range p.stalledWrites {
			write()
		}
		p.stalled, p.stalledWrites = false, nil
		p.mu.Unlock()
	}
}

// close closes all connections and refuses new ones.
func (s *stallingProxy) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.conns {
		p.close()
	}
}

func (p *proxiedConn) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (p *proxiedConn) copy(dst io.Writer, src io.Reader) {
	defer p.close()
	data := make([]byte, 16<<10)
	for {
		n, err := src.Read(data)
		if err != nil {
			return
		}
		p.mu.Lock()
		if p.stalled {
			late := bytes.Clone(data[:n])
			p.stalledWrites = append(p.stalledWrites, func() { _, _ = dst.Write(late) })
		} else {
			_, err = dst.Write(data[:n])
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}
