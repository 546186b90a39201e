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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"daisylane/internal/verifier"
)

const (
	// A connect takes one round trip, which is 40 ms between regions.
	dialTimeout = 700 * time.Millisecond
	// probeTimeout limits a connect that only asks whether the target is there.
	probeTimeout = 200 * time.Millisecond
	// userTimeout is the time for which sent data may stay unacknowledged before the
	// peer is considered dead.
	userTimeout = 1500 * time.Millisecond
	// maxUnsentBytes bounds what the kernel holds of a request beside what is on the way, so that
	// a write that returns shows progress. It takes a link of 10 Mbit/s 105 ms.
	maxUnsentBytes = 128 << 10
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

// Observer learns from connections whether the process at an address may have ended. Its
// methods are called without a lock, before the call that found it out returns.
type Observer interface {
	Dialled(addr string) // a new connection was accepted
	Refused(addr string) // a connection was refused
	// Closed is called when the other side has closed or reset a connection that it has not
	// announced to close, in use or idle.
	Closed(addr string)
}

type noObserver struct{}

func (noObserver) Dialled(string) {}
func (noObserver) Refused(string) {}
func (noObserver) Closed(string)  {}

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	requestID func(http.Header) string
	observer  Observer
	dialer    net.Dialer
	mu        sync.Mutex
	idle      map[string][]*conn
	open      map[string]map[*conn]bool // all connections by address, idle or in use
}

type conn struct {
	*verifier.Conn
	pool     *Pool
	closing  atomic.Bool    // the other side has announced that it closes the connection
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

	onRead func() // called when bytes were read, nil: not called
}

// limit sets how many more bytes may be read.
func (l *limitedReader) limit(n int64) { l.left = n }

// Read implements [io.Reader].
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	if l.left != unlimited {
		b = b[:min(int64(len(b)), l.left)]
	}
	n, err := l.r.Read(b)
	if l.left != unlimited {
		l.left -= int64(n)
	}
	if n > 0 && l.onRead != nil {
		l.onRead()
	}
	return n, err
}

// Option changes a setting of a [Pool].
type Option func(*Pool)

// WithObserver sets what learns from connections whether targets have ended.
func WithObserver(o Observer) Option { return func(p *Pool) { p.observer = o } }

// New returns a pool. requestID returns the request id from the headers of a response.
func New(requestID func(http.Header) string, opts ...Option) *Pool {
	p := &Pool{requestID: requestID, observer: noObserver{}, idle: make(map[string][]*conn), open: make(map[string]map[*conn]bool)}
	p.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setOptions}
	for _, o := range opts {
		o(p)
	}
	return p
}

// setOptions makes the kernel close connections to a peer that does not acknowledge data within
// userTimeout, and keeps to maxUnsentBytes.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes),
		)
	})
	if err := errors.Join(ctlErr, err); err != nil {
		return fmt.Errorf("set options of the connection: %w", err)
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
	if len(closed) > 0 {
		p.observer.Closed(addr)
	}
	return len(closed) > 0
}

// HasIdle reports whether there are idle connections to addr.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
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
		c.closeIdle()
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
		c.closeIdle()
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
		if IsRefused(err) {
			p.observer.Refused(addr)
		}
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, addr, err)
	}
	c := p.newConn(nc, addr)
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	// If the process has started again, the connections to the former one ended before this
	// one was accepted, but their readers may not have run since.
	if p.register(c) {
		p.observer.Closed(addr)
	}
	p.observer.Dialled(addr)
	return c, nil
}

func (p *Pool) newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: verifier.NewConn(nc), pool: p, addr: addr}
	c.in = &limitedReader{r: c.Conn, left: unlimited}
	c.br = bufio.NewReaderSize(c.in, readBufferBytes)
	return c
}

// register adds a new connection to the open ones. It reports whether an older one to the
// same address has ended.
func (p *Pool) register(c *conn) (ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.open[c.addr]
	for older := range list {
		ended = ended || older.ended()
	}
	if list == nil {
		list = make(map[*conn]bool)
		p.open[c.addr] = list
	}
	list[c] = true
	return ended
}

// Close closes the connection.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	list := c.pool.open[c.addr]
	if delete(list, c); len(list) == 0 {
		delete(c.pool.open, c.addr)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// closeIdle closes an idle connection that is not used any more.
func (c *conn) closeIdle() {
	if c.ended() {
		c.pool.observer.Closed(c.addr)
	}
	_ = c.Close()
}

// recordError tells the observer if an error means that the other side has ended the
// connection.
func (c *conn) recordError(err error) {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			c.pool.observer.Closed(c.addr)
			return
		}
	}
}

// ended reports whether the other side has closed or reset the connection, also if there are
// unread bytes. It may be called while the connection is in use.
func (c *conn) ended() bool {
	return !c.closing.Load() && c.Polls(unix.POLLRDHUP)
}

// release returns a connection to the pool after a complete response with the headers
// h, or closes it if it cannot be reused.
func (p *Pool) release(c *conn, h http.Header) {
	timeout := defaultIdleTimeout
	if n, ok := keepAlive(h); ok {
		timeout = n - idleMargin
	}
	if timeout <= 0 || c.br.Buffered() > 0 || c.Malformed() != nil || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.in.onRead = nil // holds the request
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
