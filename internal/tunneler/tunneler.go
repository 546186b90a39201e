// Package tunneler is a TCP proxy to one address. It runs as a relay beside a target,
// from where the store is often still reachable when an entry cannot reach it.
//
// # Usage
//
//	err := tunneler.New(storeAddr, log).Serve(ctx, listener)
package tunneler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/verifier"
)

const (
	// dialTimeout is ten times the 40 ms that a connect within the fleet takes.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes a connection when one direction carries no byte for this long. A
	// watch waits for less.
	idleTimeout = 30 * time.Second
	// maxTunnels bounds the concurrent connections: four for each of 64 entries.
	maxTunnels = 256
	bufferSize = 16 << 10
)

// Relay forwards TCP connections to one address.
type Relay struct {
	addr  string
	log   zerolog.Logger
	slots chan struct{}
}

// New returns a relay that forwards connections to addr.
func New(addr string, log zerolog.Logger) *Relay {
	return &Relay{addr: addr, log: log, slots: make(chan struct{}, maxTunnels)}
}

// Serve accepts connections until the context ends.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept: %w", err)
		case err != nil:
			r.log.Warn().Err(err).Msg("accept failed; retrying")
			time.Sleep(dialTimeout / 4)
			continue
		}
		select {
		case r.slots <- struct{}{}:
			go func() {
				defer func() { <-r.slots }()
				r.relayConnection(ctx, conn)
			}()
		default:
			r.log.Warn().Str("from", conn.RemoteAddr().String()).Int("tunnels", maxTunnels).Msg("connection limit of the relay reached; closing the connection")
			_ = conn.Close()
		}
	}
}

// relayConnection copies bytes in both directions until one end closes its connection.
func (r *Relay) relayConnection(ctx context.Context, accepted net.Conn) {
	in := verifier.NewConn(accepted)
	defer in.Close()
	d := net.Dialer{Timeout: dialTimeout}
	dialled, err := d.DialContext(ctx, "tcp", r.addr)
	if err != nil {
		r.log.Warn().Err(err).Str("from", in.RemoteAddr().String()).Msg("relayed address not reachable")
		return
	}
	out := verifier.NewConn(dialled)
	defer out.Close()
	r.log.Info().Str("from", in.RemoteAddr().String()).Str("to", r.addr).Msg("relaying connection")
	stop := context.AfterFunc(ctx, func() { reset(in); reset(out) })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(out, in) })
	wg.Go(func() { copyOneWay(in, out) })
	wg.Wait()
}

// copyOneWay copies bytes in one direction. It closes both connections when from ends, and
// resets both when either one fails or from receives nothing for idleTimeout: a response
// that has no length would look complete if its connection were closed in order.
func copyOneWay(to, from *verifier.Conn) {
	if err := copyUntilEnd(to, from); err != nil && !errors.Is(err, net.ErrClosed) {
		reset(to)
		reset(from)
		return
	}
	_, _ = to.Close(), from.Close() // the other direction may have closed them
}

// copyUntilEnd copies bytes until from ends.
func copyUntilEnd(to, from net.Conn) error {
	buf := make([]byte, bufferSize)
	for {
		if err := from.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		n, err := from.Read(buf)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return fmt.Errorf("write: %w", writeErr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read: %w", err)
		}
	}
}

// reset closes a connection so that its other end sees that it did not end in order.
func reset(c *verifier.Conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if it is closed already
	}
	_ = c.Close()
}
