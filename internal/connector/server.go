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

// ProtocolVersion is the version of the frames. Sessions with another version are refused.
const ProtocolVersion = 1

// answer computes the answer to one call.
type answer func(ctx context.Context, f *wirepb.Frame) (proto.Message, error)

// maxCalls bounds the calls of one peer that are answered at the same time.
const maxCalls = 4096

// Handler answers one exchange. The stream is closed when it returns.
type Handler func(ctx context.Context, s *Stream, f *wirepb.Frame) error

// Server accepts sessions and runs the handlers of their streams.
type Server struct {
	identity Identity
	tls      func() *tls.Config
	fail     func(peer string, err error)
	handlers map[protoreflect.FullName]Handler
	answers  map[protoreflect.FullName]answer

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

// WithFailure reports failed handshakes and handlers.
func WithFailure(f func(peer string, err error)) ServerOption {
	return func(srv *Server) { srv.fail = f }
}

// NewServer returns a server without handlers.
func NewServer(identity Identity, opts ...ServerOption) *Server {
	srv := &Server{
		identity: identity,
		fail:     func(string, error) {},
		handlers: make(map[protoreflect.FullName]Handler),
		answers:  make(map[protoreflect.FullName]answer),
		sessions: make(map[*yamux.Session]struct{}),
	}
	for _, opt := range opts {
		opt(srv)
	}
	return srv
}

// On registers the handler for streams that start with a message of type M.
// Register all handlers before Serve.
func On[M proto.Message](srv *Server, h func(ctx context.Context, s *Stream, f *wirepb.Frame, m M) error) {
	var zero M
	name := zero.ProtoReflect().Descriptor().FullName()
	srv.handlers[name] = func(ctx context.Context, s *Stream, f *wirepb.Frame) error {
		return h(ctx, s, f, Unwrap(f).(M))
	}
}

// Answer registers a handler for calls, see [Call]. An error that is a
// [*RefusedError] is sent to the peer as it is; another error becomes a refusal
// with reason "internal".
func Answer[M, A proto.Message](srv *Server, h func(ctx context.Context, id string, m M) (A, error)) {
	var zero M
	name := zero.ProtoReflect().Descriptor().FullName()
	srv.answers[name] = func(ctx context.Context, f *wirepb.Frame) (proto.Message, error) {
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

// Close ends all sessions and waits for their handlers.
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
		if err := shake(ctx, secure); err != nil {
			srv.fail(peer, err)
			linger(conn)
			return
		}
		conn = secure
	}
	mux, err := yamux.Server(newCorkConn(conn), muxConfig(serverKeepAlive))
	if err != nil {
		_ = conn.Close()
		srv.fail(peer, fmt.Errorf("start session: %w", err))
		return
	}
	defer mux.Close()
	// A session that was accepted during Close is not among those that it ended.
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	srv.track(mux, true)
	defer srv.track(mux, false)

	var greeted atomic.Bool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			return
		}
		srv.wg.Go(func() { srv.serveStream(ctx, peer, conn, &greeted) })
	}
}

func (srv *Server) serveStream(ctx context.Context, peer string, conn net.Conn, greeted *atomic.Bool) {
	defer conn.Close()
	s := newStream(conn)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	f, err := s.Receive()
	if err != nil {
		srv.fail(peer, err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if !greeted.Load() {
		if err := srv.greet(s, f, greeted); err != nil {
			srv.fail(peer, err)
		}
		return
	}
	if _, ok := srv.answers[bodyName(f)]; ok {
		srv.serveCalls(ctx, peer, s, f)
		return
	}
	h, ok := srv.handlers[bodyName(f)]
	if !ok {
		_ = s.Refuse(f, &RefusedError{Reason: "frame", Text: fmt.Sprintf("no handler for %q", bodyName(f))})
		return
	}
	if err := h(ctx, s, f); err != nil {
		srv.fail(peer, err)
	}
}

// serveCalls answers the calls on a shared stream until the peer closes it.
func (srv *Server) serveCalls(ctx context.Context, peer string, s *Stream, f *wirepb.Frame) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	slots := make(chan struct{}, maxCalls)
	for {
		slots <- struct{}{}
		call := f
		wg.Go(func() {
			defer func() { <-slots }()
			if err := srv.answer(ctx, s, call); err != nil {
				srv.fail(peer, err)
			}
		})
		var err error
		if f, err = s.Receive(); err != nil {
			if !errors.Is(err, io.EOF) {
				srv.fail(peer, err)
			}
			return
		}
	}
}

// answer handles one call. The answer carries the sequence number and not the
// request id, which the caller knows.
func (srv *Server) answer(ctx context.Context, s *Stream, f *wirepb.Frame) error {
	var m proto.Message
	var err error
	if h, ok := srv.answers[bodyName(f)]; ok {
		m, err = h(ctx, f)
	} else {
		m = (&RefusedError{Reason: "frame", Text: fmt.Sprintf("%q is no call", bodyName(f))}).Message()
	}
	answer, wrapErr := Wrap("", m)
	if wrapErr != nil {
		return wrapErr
	}
	answer.Seq = f.GetSeq()
	if sendErr := s.Send(answer); sendErr != nil {
		return sendErr
	}
	return err
}

func (srv *Server) greet(s *Stream, f *wirepb.Frame, greeted *atomic.Bool) error {
	hello := f.GetHello()
	if hello.GetProtocol() != ProtocolVersion {
		text := fmt.Sprintf("protocol version %d is not supported, want %d", hello.GetProtocol(), ProtocolVersion)
		_ = s.Refuse(f, &RefusedError{Reason: "protocol", Text: text})
		return fmt.Errorf("handshake: %s: %w", text, ErrProtocol)
	}
	// The peer may open its next stream before Reply returns.
	greeted.Store(true)
	return s.Reply(f, srv.identity())
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
