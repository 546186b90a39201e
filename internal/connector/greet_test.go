package connector

import (
	"net"
	"sync/atomic"
	"testing"

	"daisylane/internal/wirepb"
)

// hookConn calls a function before each write.
type hookConn struct {
	net.Conn
	write func()
}

func (c hookConn) Write(b []byte) (int, error) {
	c.write()
	return c.Conn.Write(b)
}

// Guards against a first request that is taken for a second greeting, because
// the peer opens its stream as soon as it has the Hello message.
func TestGreetedBeforeReply(t *testing.T) {
	near, far := net.Pipe()
	var greeted atomic.Bool
	early := false
	conn := hookConn{far, func() { early = early || !greeted.Load() }}
	srv := NewServer(testIdentity("server", ProtocolVersion))
	done := make(chan struct{})
	go func() {
		srv.serveStream(t.Context(), "peer", conn, &greeted)
		close(done)
	}()
	s := newStream(near)
	if err := s.Reply(&wirepb.Frame{}, testIdentity("client", ProtocolVersion)()); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Receive(); err != nil {
		t.Fatal(err)
	}
	_ = near.Close()
	<-done
	if early {
		t.Error("the reply is sent before the session counts as greeted")
	}
}
