package verifier

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport announces the requests of its base to their connections.
type transport struct{ base http.RoundTripper }

// NewTransport makes the connections of t check the responses, and returns what sends requests
// through them. It must be called before the first use of t. The connections speak HTTP/1.1.
func NewTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", addr, err)
		}
		return NewConn(c), nil
	}
	t.ForceAttemptHTTP2 = false
	cfg := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", addr, err)
		}
		return startTLS(ctx, c, cfg, addr)
	}
	return transport{t}
}

// startTLS makes a connection to addr one over TLS.
func startTLS(ctx context.Context, c net.Conn, cfg *tls.Config, addr string) (net.Conn, error) {
	if cfg = cfg.Clone(); cfg == nil {
		cfg = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	cfg.NextProtos = []string{"http/1.1"}
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	secure := tls.Client(c, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("start TLS with %s: %w", addr, err)
	}
	return NewConn(secure), nil
}

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Expect(req.Method)
		}
	}}
	return t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
