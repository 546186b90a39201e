// Package tunneler relays connections to one address. A relay runs beside a
// target, where it often still reaches the store when an entry does not.
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
	dialTime   = 400 * time.Millisecond // a connect within the fleet takes 40 ms
	idleTime   = 30 * time.Second       // without a byte in either direction; a watch waits for less
	maxTunnels = 256                    // at once, four for each of 64 entries
	bufferSize = 16 << 10
)

// Relay passes connections on to one address.
type Relay struct {
	addr  string
	log   zerolog.Logger
	slots chan struct{}
}

// New returns a relay to an address.
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
			r.log.Warn().Err(err).Msg("connection not accepted")
			time.Sleep(dialTime / 4)
			continue
		}
		select {
		case r.slots <- struct{}{}:
			go func() {
				defer func() { <-r.slots }()
				r.tunnel(ctx, conn)
			}()
		default:
			r.log.Warn().Str("from", conn.RemoteAddr().String()).Int("tunnels", maxTunnels).Msg("relay is full")
			_ = conn.Close()
		}
	}
}

// tunnel passes bytes both ways until one side ends.
func (r *Relay) tunnel(ctx context.Context, in net.Conn) {
	defer in.Close()
	d := net.Dialer{Timeout: dialTime}
	out, err := d.DialContext(ctx, "tcp", r.addr)
	if err != nil {
		r.log.Warn().Err(err).Str("from", in.RemoteAddr().String()).Msg("relayed address not reached")
		return
	}
	defer out.Close()
	r.log.Info().Str("from", in.RemoteAddr().String()).Str("to", r.addr).Msg("relaying")
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { pass(out, in) })
	wg.Go(func() { pass(in, out) })
	wg.Wait()
}

// pass copies bytes one way and ends both connections with the first that ends.
func pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, bufferSize)
	for {
		if from.SetReadDeadline(time.Now().Add(idleTime)) != nil {
			return
		}
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
