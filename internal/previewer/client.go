package previewer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"daisylane/internal/verifier"
)

var (
	// ErrUnreachable means that no instance answers at the socket.
	ErrUnreachable = errors.New("the instance does not answer")
	// ErrInvalid means that the instance does not accept the query.
	ErrInvalid = errors.New("the instance refused the query")
)

// Ask sends a query to the instance at a socket.
func Ask(ctx context.Context, socket string, q Query) (Report, error) {
	var report Report
	data, err := json.Marshal(q)
	if err != nil {
		return report, fmt.Errorf("encode query: %w", err)
	}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", socket)
	}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://instance"+queryPath, bytes.NewReader(data))
	if err != nil {
		return report, fmt.Errorf("ask instance: %w", err)
	}
	res, err := verifier.NewTransport(transport).RoundTrip(req)
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, socket, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return report, fmt.Errorf("%w at %s: %w", ErrUnreachable, socket, err)
	}
	if res.StatusCode != http.StatusOK {
		return report, fmt.Errorf("%w: %s", ErrInvalid, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, fmt.Errorf("decode report: %w", err)
	}
	return report, nil
}
