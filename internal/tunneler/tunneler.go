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
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
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
func (r *Relay) relayConnection(ctx context.Context, in net.Conn) {
	defer in.Close()
	d := net.Dialer{Timeout: dialTimeout}
	out, err := d.DialContext(ctx, "tcp", r.addr)
	if err != nil {
		r.log.Warn().Err(err).Str("from", in.RemoteAddr().String()).Msg("relayed address not reachable")
		return
	}
	defer out.Close()
	r.log.Info().Str("from", in.RemoteAddr().String()).Str("to", r.addr).Msg("relaying connection")
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(out, in) })
	wg.Go(func() { copyOneWay(in, out) })
	wg.Wait()
}

// copyOneWay copies bytes in one direction. It closes both connections when either one
// ends, fails or receives nothing for idleTimeout.
func copyOneWay(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, bufferSize)
	for {
		if from.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		n, err := from.Read(buf)
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
