package connector

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// shake completes the TLS handshake, so that its error is reported and not only
// the end of the session above it.
func shake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	return nil
}

// Limits of the wait for a peer to close a refused connection.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 64 << 10
)

// linger closes a connection after a failed handshake. Closing it with unread
// data would reset it, and the reset can overtake the alert that tells the peer
// why its certificate was refused.
func linger(conn net.Conn) {
	defer conn.Close()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
}

// alert returns the error that ended the reading side of a closed TLS
// connection. In TLS 1.3 a peer refuses a client's certificate only after the
// client's handshake, and the session above it drops the reason.
func alert(conn net.Conn) error {
	c, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	var op *net.OpError
	if _, err := c.Read(make([]byte, 1)); errors.As(err, &op) && op.Op == "remote error" {
		return fmt.Errorf("%w, check role, CA and validity of the own certificate", err)
	}
	return nil
}
