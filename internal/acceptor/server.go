// Package acceptor serves HTTP to clients that nobody controls: it bounds their connections,
// headers, bodies and what is buffered for them. What to give up is decided by package
// gatekeeper.
//
// # Usage
//
//	s := acceptor.New(handler, acceptor.Limits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, acceptor.WithDescriptors(2000, 2))
//	go s.Serve(listener)
//	s.SetLimits(limits) // from now on, for new connections
//	s.Shutdown(ctx)
package acceptor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/gatekeeper"
	"daisylane/internal/reporter"
)

const (
	// socketBuffer bounds what the kernel buffers for a connection in each direction; it
	// takes up to twice as much. 100 KB pass at once, and a link of 10 Mbit/s with a round
	// trip of 100 ms stays full.
	socketBuffer = 128 << 10
	// drainTime is how long the rest of a body that nobody reads may take, so that the
	// connection can be used again.
	drainTime = 2 * time.Second
	// acceptPause is the pause after a failed accept, as there are no descriptors left.
	acceptPause = 20 * time.Millisecond
	// warnInterval bounds the log lines about given up connections.
	warnInterval = 10 * time.Second
)

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	MaxHeaderBytes int           // net/http takes 4 KiB more
	HeaderTimeout  time.Duration // from the first byte of a header
	IdleTimeout    time.Duration // without a request, also of a new connection
	RequestTimeout time.Duration // of a whole request and of its answer, 0: the handler sets it
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	handler http.Handler
	relieve func()
	log     zerolog.Logger
	scope   tally.Scope

	connsMu sync.Mutex
	conns   *gatekeeper.Connections
	closed  int // connections given up since the last log line
	warned  time.Time

	mu       sync.Mutex
	limits   Limits
	current  *generation
	former   []*generation // replaced ones that still have connections
	listener net.Listener
	ended    bool
}

// generation is a server with certain limits. Those of net/http can't change.
type generation struct {
	http  *http.Server
	conns chan net.Conn
	done  chan struct{}
	addr  net.Addr
	once  sync.Once

	// Guarded by the lock of the server.
	open  int  // connections
	ended bool // it takes no further ones
}

// Accept implements [net.Listener].
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr implements [net.Listener].
func (g *generation) Addr() net.Addr { return g.addr }

// Option changes a setting of a [Server].
type Option func(*Server)

// WithDescriptors bounds the descriptors of connections, 0 for no bound. perRequest is how many
// a connection with a request needs: 2 if the request goes on to a target.
func WithDescriptors(n, perRequest int) Option {
	return func(s *Server) { s.conns = gatekeeper.NewConnections(n, perRequest) }
}

// WithRelief sets what gives up requests that are not read whole, if all connections are
// active.
func WithRelief(relieve func()) Option { return func(s *Server) { s.relieve = relieve } }

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(s *Server) { s.log = log } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(s *Server) { s.scope = scope } }

// New returns a server.
func New(h http.Handler, l Limits, opts ...Option) *Server {
	s := &Server{handler: h, limits: l, relieve: func() {}, conns: gatekeeper.NewConnections(0, 1), log: zerolog.Nop(), scope: tally.NoopScope}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetDescriptors changes the bound of descriptors.
func (s *Server) SetDescriptors(n int) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.conns.SetLimit(n)
}

// SetLimits changes the limits of connections that are accepted from now on. Open ones keep
// theirs.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limits {
		return
	}
	s.limits = l
	if s.current != nil && !s.ended {
		s.former = append(s.former, s.current)
		_ = s.current.Close() // never fails
		s.current = s.startGeneration()
	}
}

// startGeneration starts a server with the current limits. The caller must hold the lock.
func (s *Server) startGeneration() *generation {
	g := &generation{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	g.http = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), MaxHeaderBytes: s.limits.MaxHeaderBytes,
		ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		ReadTimeout: s.limits.RequestTimeout, WriteTimeout: s.limits.RequestTimeout,
		ConnState: func(c net.Conn, state http.ConnState) {
			s.recordState(c, state)
			s.countOpen(g, state)
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() {
		_ = g.http.Serve(g) // ends with the generation
		s.mu.Lock()
		defer s.mu.Unlock()
		g.ended = true
		s.dropEnded(g)
	}()
	return g
}

// countOpen follows the number of connections of a generation.
func (s *Server) countOpen(g *generation, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		g.open++
	case http.StateClosed, http.StateHijacked:
		g.open--
		s.dropEnded(g)
	}
}

// dropEnded forgets a generation that has ended and has no connections left. The caller must
// hold the lock.
func (s *Server) dropEnded(g *generation) {
	if g.ended && g.open == 0 {
		s.former = slices.DeleteFunc(s.former, func(f *generation) bool { return f == g })
	}
}

type connKey struct{}

// serveHTTP serves a request unless its connection was given up before it arrived.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok {
		if c.givenUp.Load() {
			panic(http.ErrAbortHandler)
		}
		c.bodyWhole = false
		if !r.ProtoAtLeast(1, 1) {
			defer c.resetAborted()
		}
	}
	s.handler.ServeHTTP(w, r)
	if r.ContentLength != 0 && (!ok || !c.bodyWhole) {
		// net/http reads the rest of a body that the handler has left.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
	}
}

// Serve accepts connections until the server is closed. It returns [http.ErrServerClosed].
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		_ = l.Close()
		return http.ErrServerClosed
	}
	s.listener = l
	s.current = s.startGeneration()
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if err != nil {
			if s.isEnded() {
				return http.ErrServerClosed
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept: %w", err)
			}
			s.warn(err)
			time.Sleep(acceptPause)
			continue
		}
		s.accept(c)
	}
}

func (s *Server) isEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// accept hands a new connection to the current server, or closes it.
func (s *Server) accept(raw net.Conn) {
	s.mu.Lock()
	g, limits := s.current, s.limits
	s.mu.Unlock()
	c := &conn{Conn: raw, headerTimeout: limits.HeaderTimeout}
	c.silent.Store(true)
	if t, ok := raw.(*net.TCPConn); ok {
		c.tcp = t
		_ = t.SetReadBuffer(socketBuffer) // the system's own sizes remain if it refuses
		_ = t.SetWriteBuffer(socketBuffer)
	}
	_ = raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // fails only if the client has gone
	c.entry.Owner = c
	s.connsMu.Lock()
	victims, ok := s.conns.Open(&c.entry)
	s.giveUp(victims)
	if !ok {
		s.countClosed(1)
	}
	s.connsMu.Unlock()
	if !ok {
		_ = raw.Close()
		s.relieve()
		return
	}
	select {
	case g.conns <- c:
	case <-g.done:
		if !s.isEnded() {
			s.handToNext(c)
			return
		}
		s.forget(c)
		_ = raw.Close()
	}
}

// handToNext hands a connection to the server that has followed the one of its accept.
func (s *Server) handToNext(c *conn) {
	s.mu.Lock()
	g := s.current
	s.mu.Unlock()
	select {
	case g.conns <- c:
	case <-g.done:
		s.forget(c)
		_ = c.Conn.Close()
	}
}

func (s *Server) forget(c *conn) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.conns.Close(&c.entry)
}

// recordState follows the connections of net/http.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	switch state {
	case http.StateActive:
		s.giveUp(s.conns.Activate(&c.entry))
	case http.StateIdle:
		s.conns.Idle(&c.entry)
	case http.StateClosed, http.StateHijacked:
		s.conns.Close(&c.entry)
	}
}

// giveUp closes idle connections. The caller must hold the lock of the connections, so that
// none of them becomes active meanwhile without notice.
func (s *Server) giveUp(victims []*gatekeeper.Connection) {
	for _, v := range victims {
		if c, ok := v.Owner.(*conn); ok {
			c.givenUp.Store(true)
			_ = c.Conn.Close() // it may have ended already
		}
	}
	s.countClosed(len(victims))
}

// countClosed counts connections that were given up, and logs them from time to time. The
// caller must hold the lock of the connections.
func (s *Server) countClosed(n int) {
	if n == 0 {
		return
	}
	s.scope.Counter(reporter.ClosedConnections).Inc(int64(n))
	s.closed += n
	if now := time.Now(); now.Sub(s.warned) > warnInterval {
		s.log.Warn().Int("connections", s.closed).Int("descriptors", s.conns.Descriptors()).Msg("limit of descriptors reached; closing connections of clients")
		s.closed, s.warned = 0, now
	}
}

// warn logs a failed accept, at most once in warnInterval.
func (s *Server) warn(err error) {
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	if now := time.Now(); now.Sub(s.warned) > warnInterval {
		s.log.Warn().Err(err).Msg("accept failed; retrying")
		s.warned = now
	}
}

// end stops accepting and returns the servers.
func (s *Server) end() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.listener != nil {
		_ = s.listener.Close() // may be closed already
	}
	all := slices.Clone(s.former)
	if s.current != nil {
		all = append(all, s.current)
	}
	return all
}

// Shutdown stops accepting, closes idle connections, and waits until no request is left.
func (s *Server) Shutdown(ctx context.Context) error {
	var wg sync.WaitGroup
	all := s.end()
	errs := make([]error, len(all))
	for i, g := range all {
		wg.Go(func() { errs[i] = g.http.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	var errs []error
	for _, g := range s.end() {
		errs = append(errs, g.http.Close())
	}
	return errors.Join(errs...)
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	tcp           *net.TCPConn
	entry         gatekeeper.Connection
	headerTimeout time.Duration
	silent        atomic.Bool // no byte has arrived
	givenUp       atomic.Bool
	bodyWhole     bool // of the present request; used by its handler only
}

// resetAborted is deferred while a response of version 1.0 is written. If the handler panics to
// abort it, the server closes the connection, which in order would look like its end.
func (c *conn) resetAborted() {
	v := recover()
	if v == nil {
		return
	}
	if c.tcp != nil {
		_ = c.tcp.SetLinger(0) // fails if the client has gone
	}
	panic(v)
}

// markWhole records that a handler has read the body of its request.
func markWhole(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.bodyWhole = true
	}
}

// Read implements [net.Conn]. The time for the header of the first request begins with its
// first byte: a client may open a connection early.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.silent.Load() && c.silent.CompareAndSwap(true, false) && c.headerTimeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout)) // the next read shows its error
	}
	return n, err
}

// SetReadDeadline implements [net.Conn]. A connection that is silent keeps its idle timeout.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.silent.Load() && time.Until(t) > 0 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite lets net/http end a connection so that the client can still read the response.
func (c *conn) CloseWrite() error {
	if c.tcp == nil {
		return errors.ErrUnsupported
	}
	return c.tcp.CloseWrite()
}
