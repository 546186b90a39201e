package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTime    = 700 * time.Millisecond  // connects take one round trip, 40 ms between regions
	userTimeout = 1500 * time.Millisecond // unacknowledged bytes after which a peer counts as dead
	idleTime    = 4 * time.Second         // kept without a stated time; targets close idle connections after some seconds
	idleMargin  = 700 * time.Millisecond  // before the end of a stated time, so that a request does not cross the close
	maxIdle     = 32                      // kept connections of one target
	readBuffer  = 4096
)

// ErrNotSent means that no byte of the request left this process.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	idOf   func(http.Header) string
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

type conn struct {
	net.Conn
	raw   syscall.RawConn
	br    *bufio.Reader
	addr  string
	uses  int
	until time.Time // not used again after
}

// New returns a pool. idOf returns the request's id from the headers of an answer.
func New(idOf func(http.Header) string) *Pool {
	p := &Pool{idOf: idOf, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{Timeout: dialTime, KeepAlive: -1, Control: control}
	return p
}

// control lets the kernel give up on a peer that does not acknowledge.
func control(_, _ string, raw syscall.RawConn) error {
	var err error
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err := errors.Join(ctlErr, err); err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

// Forget closes the kept connections of an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	var ended []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				ended = append(ended, c)
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
	for _, c := range ended {
		_ = c.Close()
	}
}

// get returns a kept connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		c := p.take(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if now.Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) take(addr string) *conn {
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
	c := &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), addr: addr}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	return c, nil
}

// put keeps a connection after a complete answer.
func (p *Pool) put(c *conn, h http.Header) {
	keep := idleTime
	if n, ok := keepAlive(h); ok {
		keep = n - idleMargin
	}
	if keep <= 0 || c.br.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.until = time.Now().Add(keep)
	p.mu.Lock()
	full := len(p.idle[c.addr]) >= maxIdle
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// keepAlive returns how long the target keeps an idle connection, if it says so.
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

// quiet reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) quiet() bool {
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
