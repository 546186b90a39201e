package connector

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/singleflight"

	"daisylane/internal/wirepb"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
	// The user of a stream detects a silent peer within seconds. Keep-alive pings only
	// detect dead idle sessions, and each ping costs control traffic.
	clientKeepAlive  = time.Minute
	serverKeepAlive  = 5 * time.Minute
	writeTimeout     = 5 * time.Second
	idlePollInterval = time.Second
	maxIdleWait      = 15 * time.Minute // longer than any request
)

// HelloFunc returns the Hello message of this process. It is called for each new
// session, so that the bundle version in it is current.
type HelloFunc func() *wirepb.Hello

// Pool keeps one session per peer address. It is safe for concurrent use.
type Pool struct {
	newHello HelloFunc
	tls      func() *tls.Config
	onDial   func(addr string, err error)

	dials    singleflight.Group
	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is a yamux session to one peer.
type session struct {
	addr string
	mux  *yamux.Session
	peer *wirepb.Hello

	mu           sync.Mutex
	sharedStream *callStream // nil before the first call
}

// PoolOption configures a pool.
type PoolOption func(*Pool)

// WithClientTLS makes sessions use TLS. The function is called for each dial,
// so that renewed certificates take effect.
func WithClientTLS(cfg func() *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = cfg }
}

// WithDialResult sets a callback for the result of each dial. The error is nil on
// success.
func WithDialResult(f func(addr string, err error)) PoolOption {
	return func(p *Pool) { p.onDial = f }
}

// NewPool returns an empty pool.
func NewPool(hello HelloFunc, opts ...PoolOption) *Pool {
	p := &Pool{
		newHello: hello,
		onDial:   func(string, error) {},
		sessions: make(map[string]*session),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Open returns a new stream to the peer at addr. It dials if there is no open
// session. An error that wraps [ErrDial] means that nothing was sent.
func (p *Pool) Open(ctx context.Context, addr string) (*Stream, error) {
	s, err := p.session(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", addr, err)
	}
	conn, err := s.mux.OpenStream()
	if err == nil {
		return newPoolStream(conn, s), nil
	}
	p.removeSession(s)
	s, err = p.session(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", addr, err)
	}
	conn, err = s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w: %w", addr, ErrDial, err)
	}
	return newPoolStream(conn, s), nil
}

// DropSession drops the session of a stream whose peer stopped responding, so that the
// next Open dials again.
func (p *Pool) DropSession(s *Stream) {
	if s.session != nil {
		p.removeSession(s.session)
	}
}

// Close ends all sessions.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, s := range p.sessions {
		_ = s.mux.Close()
		delete(p.sessions, addr)
	}
	return nil
}

func newPoolStream(conn net.Conn, s *session) *Stream {
	stream := newStream(conn)
	stream.session = s
	return stream
}

func (p *Pool) session(ctx context.Context, addr string) (*session, error) {
	if s := p.lookup(addr); s != nil {
		return s, nil
	}
	result := p.dials.DoChan(addr, func() (any, error) {
		if s := p.lookup(addr); s != nil {
			return s, nil
		}
		s, err := p.dial(addr)
		p.onDial(addr, err)
		if err != nil {
			return nil, err
		}
		return s, p.addSession(s)
	})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrDial, ctx.Err())
	case res := <-result:
		if res.Err != nil {
			return nil, res.Err
		}
		return res.Val.(*session), nil
	}
}

func (p *Pool) lookup(addr string) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[addr]
	if s == nil || s.mux.IsClosed() {
		return nil
	}
	return s
}

func (p *Pool) addSession(s *session) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = s.mux.Close()
		return fmt.Errorf("%w: pool is closed", ErrDial)
	}
	p.sessions[s.addr] = s
	return nil
}

// removeSession drops a session, so that the next Open dials again. Open streams of
// the session can still finish.
func (p *Pool) removeSession(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[s.addr] == s {
		delete(p.sessions, s.addr)
		go s.closeWhenIdle()
	}
}

// closeWhenIdle closes a dropped session when its last stream has ended, after
// maxIdleWait at the latest.
func (s *session) closeWhenIdle() {
	for until := time.Now().Add(maxIdleWait); time.Now().Before(until) && !s.isIdle(); {
		time.Sleep(idlePollInterval)
	}
	_ = s.mux.Close()
}

// isIdle reports whether the session has no open stream and no pending call.
func (s *session) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := s.mux.NumStreams()
	if s.sharedStream != nil && !s.sharedStream.isClosed() {
		if s.sharedStream.hasPendingCalls() {
			return false
		}
		streams--
	}
	return streams <= 0
}

func (p *Pool) dial(addr string) (*session, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDial, err)
	}
	if p.tls != nil {
		secure := tls.Client(conn, p.tls())
		if err := handshakeTLS(context.Background(), secure); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("%w: %w", ErrDial, err)
		}
		conn = secure
	}
	mux, err := yamux.Client(newCorkConn(conn), muxConfig(clientKeepAlive))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: start session: %w", ErrDial, err)
	}
	peer, err := p.exchangeHello(mux)
	if err != nil {
		_ = mux.Close()
		if refused := alertError(conn); refused != nil {
			err = refused
		}
		return nil, fmt.Errorf("%w: handshake: %w", ErrDial, err)
	}
	return &session{addr: addr, mux: mux, peer: peer}, nil
}

func (p *Pool) exchangeHello(mux *yamux.Session) (*wirepb.Hello, error) {
	conn, err := mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	s := newStream(conn)
	if err := s.Reply(&wirepb.Frame{}, p.newHello()); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	f, err := s.Receive()
	if err != nil {
		return nil, fmt.Errorf("wait for hello: %w", err)
	}
	if r := f.GetRefused(); r != nil {
		return nil, NewRefusedError(r)
	}
	peer := f.GetHello()
	if peer.GetProtocol() != ProtocolVersion {
		return nil, fmt.Errorf("peer has protocol version %d, want %d: %w", peer.GetProtocol(), ProtocolVersion, ErrProtocol)
	}
	return peer, nil
}

func muxConfig(keepAlive time.Duration) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}
