package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connect takes one round trip, which is 40 ms between regions.
	dialTimeout = 700 * time.Millisecond
	// probeTimeout limits a connect that only asks whether the target is there.
	probeTimeout = 200 * time.Millisecond
	// userTimeout is the time for which sent data may stay unacknowledged before the
	// peer is considered dead.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout applies if the target does not send a Keep-Alive timeout.
	// Targets close idle connections after some seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the target's Keep-Alive timeout so that no request
	// is sent while the target closes the connection.
	idleMargin       = 700 * time.Millisecond
	maxIdlePerTarget = 32
	readBufferBytes  = 4096
)

// ErrNotSent means that no byte of the request left this process.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	requestID func(http.Header) string
	dialer    net.Dialer
	mu        sync.Mutex
	idle      map[string][]*conn
}

type conn struct {
	net.Conn
	in       *limitedReader // read by br
	raw      syscall.RawConn
	br       *bufio.Reader
	addr     string
	requests int
	expires  time.Time // the connection is not reused after this time
}

// unlimited is no limit of a [limitedReader].
const unlimited = -1

// limitedReader is a reader whose limit can change.
type limitedReader struct {
	r    io.Reader
	left int64 // bytes that may be read, or unlimited
}

// limit sets how many more bytes may be read.
func (l *limitedReader) limit(n int64) { l.left = n }

// Read implements [io.Reader].
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left == unlimited {
		return l.r.Read(b)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// New returns a pool. requestID returns the request id from the headers of a response.
func New(requestID func(http.Header) string) *Pool {
	p := &Pool{requestID: requestID, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return p
}

// setUserTimeout makes the kernel close connections to a peer that does not acknowledge
// data within userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err := errors.Join(ctlErr, err); err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Refuses reports whether addr refuses connections, as it does after the process that
// served it has ended. It reports false if that can't be told within a short time.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	c, refused := p.probe(ctx, addr)
	if c != nil {
		_ = c.Close()
	}
	return refused
}

// RefusesNext is Refuses for a target that has answered and closed the connection. The one
// that it opens is kept for the next request.
func (p *Pool) RefusesNext(ctx context.Context, addr string) bool {
	c, refused := p.probe(ctx, addr)
	if c != nil {
		p.keep(c, defaultIdleTimeout)
	}
	return refused
}

func (p *Pool) probe(ctx context.Context, addr string) (c *conn, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, addr)
	return c, IsRefused(err)
}

// DropClosed closes the idle connections to addr that the target has closed. It reports
// whether there were any.
func (p *Pool) DropClosed(addr string) bool {
	p.mu.Lock()
	var closed []*conn
	p.idle[addr] = slices.DeleteFunc(p.idle[addr], func(c *conn) bool {
		if c.isIdle() {
			return false
		}
		closed = append(closed, c)
		return true
	})
	if len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
	p.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
	return len(closed) > 0
}

// IsRefused reports whether an error means that an address refuses connections.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// acquire returns an idle connection that is still usable, or a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if now.Before(c.expires) && c.isIdle() {
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes the most recently used idle connection to addr from the pool and
// returns it, or nil if there is none.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, addr, err)
	}
	in := &limitedReader{r: nc, left: unlimited}
	c := &conn{Conn: nc, in: in, br: bufio.NewReaderSize(in, readBufferBytes), addr: addr}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return c, nil
}

// release returns a connection to the pool after a complete response with the headers
// h, or closes it if it cannot be reused.
func (p *Pool) release(c *conn, h http.Header) {
	timeout := defaultIdleTimeout
	if n, ok := keepAlive(h); ok {
		timeout = n - idleMargin
	}
	if timeout <= 0 || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.keep(c, timeout)
}

// keep adds a connection to the idle ones, or closes it if there are too many.
func (p *Pool) keep(c *conn, timeout time.Duration) {
	c.expires = time.Now().Add(timeout)
	p.mu.Lock()
	full := len(p.idle[c.addr]) >= maxIdlePerTarget
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// keepAlive returns the timeout in the Keep-Alive header, that is, how long the target
// keeps an idle connection open.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if strings.EqualFold(name, "timeout") {
			n, err := strconv.Atoi(value)
			return time.Duration(n) * time.Second, err == nil && n >= 0
		}
	}
	return 0, false
}

// isIdle reports whether the connection is open and has no unread bytes. Unread bytes
// would not belong to any request.
func (c *conn) isIdle() bool {
	if c.raw == nil {
		return true
	}
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ok = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && ok
}
