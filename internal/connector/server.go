package connector

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"daisylane/internal/wirepb"
)

// ProtocolVersion is the version of the frame protocol. Sessions with another version
// are refused.
const ProtocolVersion = 1

// callHandler returns the response to one call.
type callHandler func(ctx context.Context, f *wirepb.Frame) (proto.Message, error)

// maxConcurrentCalls bounds the calls of one call stream that are handled concurrently.
const maxConcurrentCalls = 4096

// Handler serves one exchange. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream, f *wirepb.Frame) error

// Server accepts sessions and runs the handlers for their streams.
type Server struct {
	newHello       HelloFunc
	tls            func() *tls.Config
	onError        func(peer string, err error)
	streamHandlers map[protoreflect.FullName]Handler
	callHandlers   map[protoreflect.FullName]callHandler

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	wg       sync.WaitGroup
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithServerTLS makes the server accept only TLS sessions. The function is
// called for each session, so that renewed certificates take effect.
func WithServerTLS(cfg func() *tls.Config) ServerOption {
	return func(srv *Server) { srv.tls = cfg }
}

// WithErrorHandler sets a callback for the errors of handshakes, streams and handlers.
func WithErrorHandler(f func(peer string, err error)) ServerOption {
	return func(srv *Server) { srv.onError = f }
}

// NewServer returns a server without handlers.
func NewServer(hello HelloFunc, opts ...ServerOption) *Server {
	srv := &Server{
		newHello:       hello,
		onError:        func(string, error) {},
		streamHandlers: make(map[protoreflect.FullName]Handler),
		callHandlers:   make(map[protoreflect.FullName]callHandler),
		sessions:       make(map[*yamux.Session]struct{}),
	}
	for _, opt := range opts {
		opt(srv)
	}
	return srv
}

// HandleStream registers the handler for streams whose first frame has a message of type M.
// Register all handlers before Serve.
func HandleStream[M proto.Message](srv *Server, h func(ctx context.Context, s *Stream, f *wirepb.Frame, m M) error) {
	var zero M
	name := zero.ProtoReflect().Descriptor().FullName()
	srv.streamHandlers[name] = func(ctx context.Context, s *Stream, f *wirepb.Frame) error {
		return h(ctx, s, f, Unwrap(f).(M))
	}
}

// HandleCall registers the handler for calls with a message of type M, see [Call]. A
// [*RefusedError] is sent to the peer unchanged; any other error becomes a refusal
// with reason "internal".
func HandleCall[M, A proto.Message](srv *Server, h func(ctx context.Context, id string, m M) (A, error)) {
	var zero M
	name := zero.ProtoReflect().Descriptor().FullName()
	srv.callHandlers[name] = func(ctx context.Context, f *wirepb.Frame) (proto.Message, error) {
		a, err := h(ctx, f.GetId(), Unwrap(f).(M))
		if err == nil {
			return a, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) {
			return refused.Message(), nil
		}
		return (&RefusedError{Reason: "internal", Text: err.Error()}).Message(), err
	}
}

// Serve accepts sessions until the context ends or the listener is closed.
func (srv *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		srv.wg.Go(func() { srv.serveConn(ctx, conn) })
	}
}

// Close closes all sessions and waits for their handlers.
func (srv *Server) Close() error {
	srv.mu.Lock()
	for mux := range srv.sessions {
		_ = mux.Close()
	}
	srv.mu.Unlock()
	srv.wg.Wait()
	return nil
}

func (srv *Server) serveConn(ctx context.Context, conn net.Conn) {
	peer := conn.RemoteAddr().String()
	if srv.tls != nil {
		secure := tls.Server(conn, srv.tls())
		if err := handshakeTLS(ctx, secure); err != nil {
			srv.onError(peer, err)
			drainAndClose(conn)
			return
		}
		conn = secure
	}
	mux, err := yamux.Server(newCorkConn(conn), muxConfig(serverKeepAlive))
	if err != nil {
		_ = conn.Close()
		srv.onError(peer, fmt.Errorf("start session: %w", err))
		return
	}
	defer mux.Close()
	// Close does not see a session that is accepted while it runs, so the end of the
	// context closes that session.
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	srv.track(mux, true)
	defer srv.track(mux, false)

	var helloDone atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			return
		}
		srv.wg.Go(func() { srv.serveStream(ctx, peer, conn, &helloDone) })
	}
}

func (srv *Server) serveStream(ctx context.Context, peer string, conn net.Conn, helloDone *atomic.Bool) {
	defer conn.Close()
	s := newStream(conn)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	f, err := s.Receive()
	if err != nil {
		srv.onError(peer, err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if !helloDone.Load() {
		if err := srv.handleHello(s, f, helloDone); err != nil {
			srv.onError(peer, err)
		}
		return
	}
	if _, ok := srv.callHandlers[bodyName(f)]; ok {
		srv.serveCalls(ctx, peer, s, f)
		return
	}
	h, ok := srv.streamHandlers[bodyName(f)]
	if !ok {
		_ = s.Refuse(f, &RefusedError{Reason: "frame", Text: fmt.Sprintf("no handler for %q", bodyName(f))})
		return
	}
	if err := h(ctx, s, f); err != nil {
		srv.onError(peer, err)
	}
}

// serveCalls handles the calls on a call stream until the peer closes it.
func (srv *Server) serveCalls(ctx context.Context, peer string, s *Stream, f *wirepb.Frame) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		slots <- struct{}{}
		call := f
		wg.Go(func() {
			defer func() { <-slots }()
			if err := srv.serveCall(ctx, s, call); err != nil {
				srv.onError(peer, err)
			}
		})
		var err error
		if f, err = s.Receive(); err != nil {
			if !errors.Is(err, io.EOF) {
				srv.onError(peer, err)
			}
			return
		}
	}
}

// serveCall handles one call. The response carries the sequence number but not the
// request id, which the caller already knows.
func (srv *Server) serveCall(ctx context.Context, s *Stream, f *wirepb.Frame) error {
	var m proto.Message
	var err error
	if h, ok := srv.callHandlers[bodyName(f)]; ok {
		m, err = h(ctx, f)
	} else {
		m = (&RefusedError{Reason: "frame", Text: fmt.Sprintf("%q is no call", bodyName(f))}).Message()
	}
	response, wrapErr := Wrap("", m)
	if wrapErr != nil {
		return wrapErr
	}
	response.Seq = f.GetSeq()
	if sendErr := s.Send(response); sendErr != nil {
		return sendErr
	}
	return err
}

func (srv *Server) handleHello(s *Stream, f *wirepb.Frame, helloDone *atomic.Bool) error {
	hello := f.GetHello()
	if hello.GetProtocol() != ProtocolVersion {
		text := fmt.Sprintf("protocol version %d is not supported, want %d", hello.GetProtocol(), ProtocolVersion)
		_ = s.Refuse(f, &RefusedError{Reason: "protocol", Text: text})
		return fmt.Errorf("handshake: %s: %w", text, ErrProtocol)
	}
	// Set before Reply, because the peer may open its next stream before Reply returns.
	helloDone.Store(true)
	return s.Reply(f, srv.newHello())
}

func (srv *Server) track(mux *yamux.Session, open bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if open {
		srv.sessions[mux] = struct{}{}
		return
	}
	delete(srv.sessions, mux)
}
