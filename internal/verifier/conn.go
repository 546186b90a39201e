package verifier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection to a server of HTTP/1.1 whose reads return only what is allowed in
// responses. One goroutine may read while another one writes.
type Conn struct {
	net.Conn
	raw syscall.RawConn // nil: there is none

	expecting   atomic.Bool // responses are expected, so that reads are checked
	headRequest atomic.Bool
	scanner     scanner
	malformed   atomic.Pointer[error] // returned by all further reads

	writing  sync.Mutex // held during a write
	writeErr error      // the first one, guarded by writing
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn {
	v := &Conn{Conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		v.raw, _ = sc.SyscallConn() // fails on a closed connection only
	}
	return v
}

// Expect is called before a request is written. Before the first call, reads are not checked.
func (c *Conn) Expect(method string) {
	c.headRequest.Store(method == http.MethodHead)
	c.expecting.Store(true)
}

// Malformed returns the error that ended the reading, or nil. It wraps [ErrMalformed].
func (c *Conn) Malformed() error {
	if err := c.malformed.Load(); err != nil {
		return *err
	}
	return nil
}

// Read implements [net.Conn]. It returns an error that wraps [ErrMalformed] in place of bytes
// that no response can hold, and the error of the write in place of [io.EOF] if the
// connection was reset during a write.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.Malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && c.expecting.Load() {
		allowed, scanErr := c.scanner.scan(b[:n], c.headRequest.Load())
		if scanErr != nil {
			c.malformed.Store(&scanErr)
			if allowed == 0 {
				return 0, scanErr
			}
			return allowed, nil
		}
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns [io.EOF] if the other side has closed the connection in order, and
// otherwise the error that ended it. The kernel reports a reset once: if a write got the
// error, reads return the bytes that had arrived and then [io.EOF]. A write gets EPIPE, not
// ECONNRESET, if the other side had closed the connection in order before the reset.
func (c *Conn) endError() error {
	if !c.writing.TryLock() {
		// The write goes on if the other side has closed only its own direction. If both have
		// ended, it returns at once.
		if !c.Polls(0) {
			return io.EOF
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return fmt.Errorf("connection ended during a write: %w", c.writeErr)
}

// Polls reports whether one of the given events of poll(2) has occurred, or the connection has
// ended in both directions. It may be called while the connection is in use.
func (c *Conn) Polls(events int16) bool {
	if c.raw == nil {
		return false
	}
	occurred := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		occurred = err == nil && n > 0 && fds[0].Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && occurred
}
