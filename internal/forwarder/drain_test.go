package forwarder

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// lateConn is a connection whose last bytes arrive when its read deadline is set, and on which
// that takes until the connection is released or closed.
type lateConn struct {
	net.Conn
	head             *strings.Reader
	called, released chan struct{}
	once             sync.Once
	set              sync.WaitGroup
}

func (c *lateConn) Read(b []byte) (int, error) {
	if c.head.Len() > 0 {
		return c.head.Read(b)
	}
	<-c.called
	return copy(b, "full"), nil
}

func (c *lateConn) SetReadDeadline(time.Time) error {
	close(c.called)
	<-c.released
	c.set.Done()
	return nil
}

func (c *lateConn) SetDeadline(time.Time) error { c.once.Do(func() { close(c.released) }); return nil }
func (c *lateConn) Close() error                { return c.SetDeadline(time.Time{}) }

// Guards against a connection that is kept although the timer of Drain still sets its read
// deadline: the next request on it would fail without an answer after it was sent.
func TestDrainBesideItsTimer(t *testing.T) {
	late := &lateConn{head: strings.NewReader("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\n"), called: make(chan struct{}), released: make(chan struct{})}
	late.set.Add(1)
	p := New(func(http.Header) string { return "id-1" })
	c := p.newConn(late, "a")
	res, err := c.readResponseHead(http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	a := &Response{Status: res.StatusCode, Header: res.Header, pool: p, conn: c, res: res, stop: func() bool { return true }}
	err = a.Drain()
	a.Close()
	late.set.Wait()
	if err == nil || len(p.idle["a"]) > 0 {
		t.Errorf("error %v, %d connections kept, want an error and none", err, len(p.idle["a"]))
	}
}
