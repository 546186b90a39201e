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
	// Silence on a stream is noticed by its user within seconds. Keep-alive only finds
	// sessions that nobody uses, and each ping costs control traffic.
	clientKeepAlive = time.Minute
	serverKeepAlive = 5 * time.Minute
	writeTimeout    = 5 * time.Second
	retireInterval  = time.Second
	maxRetireTime   = 15 * time.Minute // longer than any request
)

// Identity gives the Hello message of this process. It is called for each new
// session, so that the bundle version is current.
type Identity func() *wirepb.Hello

// Pool keeps one session per peer address. It is safe for concurrent use.
type Pool struct {
	identity Identity
	tls      func() *tls.Config
	dialed   func(addr string, err error)

	dials    singleflight.Group
	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

type session struct {
	addr string
	mux  *yamux.Session
	peer *wirepb.Hello

	mu     sync.Mutex
	shared *callStream // nil before the first call
}

// PoolOption configures a pool.
type PoolOption func(*Pool)

// WithClientTLS makes sessions use TLS. The function is called for each dial,
// so that renewed certificates take effect.
func WithClientTLS(cfg func() *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = cfg }
}

// WithDialResult reports the result of each dial, nil for success.
func WithDialResult(f func(addr string, err error)) PoolOption {
	return func(p *Pool) { p.dialed = f }
}

// NewPool returns an empty pool.
func NewPool(identity Identity, opts ...PoolOption) *Pool {
	p := &Pool{
		identity: identity,
		dialed:   func(string, error) {},
		sessions: make(map[string]*session),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Open returns a new stream to the peer at addr and dials if there is no open
// session. An error that wraps [ErrDial] means that nothing was sent.
func (p *Pool) Open(ctx context.Context, addr string) (*Stream, error) {
	s, err := p.session(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", addr, err)
	}
	conn, err := s.mux.OpenStream()
	if err == nil {
		return bindStream(conn, s), nil
	}
	p.forget(s)
	s, err = p.session(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", addr, err)
	}
	conn, err = s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w: %w", addr, ErrDial, err)
	}
	return bindStream(conn, s), nil
}

// Renew forgets the session of a stream that went silent, so that the next Open dials anew.
func (p *Pool) Renew(s *Stream) {
	if s.session != nil {
		p.forget(s.session)
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

func bindStream(conn net.Conn, s *session) *Stream {
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
		p.dialed(addr, err)
		if err != nil {
			return nil, err
		}
		return s, p.keep(s)
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

func (p *Pool) keep(s *session) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = s.mux.Close()
		return fmt.Errorf("%w: pool is closed", ErrDial)
	}
	p.sessions[s.addr] = s
	return nil
}

// forget makes the next Open dial anew. Streams that are open on the session
// can still end.
func (p *Pool) forget(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[s.addr] == s {
		delete(p.sessions, s.addr)
		go s.retire()
	}
}

// retire closes a forgotten session when its last stream has ended.
func (s *session) retire() {
	for until := time.Now().Add(maxRetireTime); time.Now().Before(until) && !s.idle(); {
		time.Sleep(retireInterval)
	}
	_ = s.mux.Close()
}

// idle reports whether no stream and no call is open.
func (s *session) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := s.mux.NumStreams()
	if s.shared != nil && !s.shared.isClosed() {
		if s.shared.isWaiting() {
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
		if err := shake(context.Background(), secure); err != nil {
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
	peer, err := p.greet(mux)
	if err != nil {
		_ = mux.Close()
		if refused := alert(conn); refused != nil {
			err = refused
		}
		return nil, fmt.Errorf("%w: handshake: %w", ErrDial, err)
	}
	return &session{addr: addr, mux: mux, peer: peer}, nil
}

func (p *Pool) greet(mux *yamux.Session) (*wirepb.Hello, error) {
	conn, err := mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	s := newStream(conn)
	if err := s.Reply(&wirepb.Frame{}, p.identity()); err != nil {
		return nil, fmt.Errorf("send hello: %w", err)
	}
	f, err := s.Receive()
	if err != nil {
		return nil, fmt.Errorf("await hello: %w", err)
	}
	if r := f.GetRefused(); r != nil {
		return nil, Refusal(r)
	}
	peer := f.GetHello()
	if peer.GetProtocol() != ProtocolVersion {
		return nil, fmt.Errorf("peer speaks protocol version %d, want %d: %w", peer.GetProtocol(), ProtocolVersion, ErrProtocol)
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
