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

// Guards against a race in the handshake: the peer may open its next stream as soon
// as it has received the Hello message. If the server marks the handshake as done only
// after its reply, it takes the first request for another Hello.
func TestHelloDoneBeforeReply(t *testing.T) {
	clientConn, serverConn := net.Pipe()
	var helloDone atomic.Bool
	early := false
	conn := hookConn{serverConn, func() { early = early || !helloDone.Load() }}
	srv := NewServer(testHello("server", ProtocolVersion))
	done := make(chan struct{})
	go func() {
		srv.serveStream(t.Context(), "peer", conn, &helloDone)
		close(done)
	}()
	s := newStream(clientConn)
	if err := s.Reply(&wirepb.Frame{}, testHello("client", ProtocolVersion)()); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Receive(); err != nil {
		t.Fatal(err)
	}
	_ = clientConn.Close()
	<-done
	if early {
		t.Error("the server replied before it marked the handshake as done")
	}
}
