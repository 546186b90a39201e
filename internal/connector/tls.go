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

// handshakeTLS runs the TLS handshake explicitly. Otherwise a handshake error would
// only show up as a closed yamux session.
func handshakeTLS(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	return nil
}

// Limits of the wait for the peer to close a connection after a failed handshake.
const (
	closeDrainTimeout  = time.Second
	maxCloseDrainBytes = 64 << 10
)

// drainAndClose closes a connection after a failed handshake. It first discards unread
// data: closing a connection with unread data sends a TCP reset, which can arrive
// before the TLS alert that tells the peer why its certificate was refused.
func drainAndClose(conn net.Conn) {
	defer conn.Close()
	writer, ok := conn.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(closeDrainTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxCloseDrainBytes)
}

// alertError returns the TLS alert that a peer sent before it closed the connection,
// or nil. In TLS 1.3 a server refuses a client certificate only after the handshake
// has completed on the client, and yamux drops the reason.
func alertError(conn net.Conn) error {
	c, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	var op *net.OpError
	if _, err := c.Read(make([]byte, 1)); errors.As(err, &op) && op.Op == "remote error" {
		return fmt.Errorf("%w, check role, CA and validity of the local certificate", err)
	}
	return nil
}
