// Package messenger carries JSON messages between instances over HTTP.
//
// # Usage
//
//	mux.HandleFunc("POST /note", messenger.Handle(4<<10, func(ctx context.Context, n Note) Reply { ... }))
//
//	client := messenger.NewClient(wrap)
//	reply, err := messenger.Post[Reply](ctx, client, "10.0.0.4:7340/note", 4<<10, note)
//
// Messages are validated on both sides, and limited in size. Each call has the timeout of its
// context.
package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/verifier"
)

const (
	// dialTimeout is three round trips between regions.
	dialTimeout      = 150 * time.Millisecond
	maxHeaderBytes   = 4 << 10
	idleConnsPerPeer = 4 // one watch for each kind of objects
	idleConnTimeout  = 20 * time.Second
)

// Handle returns a handler that decodes requests of at most limit bytes and encodes the
// responses. Those that implement [io.WriterTo] encode themselves.
func Handle[Req, Res checker.Checker](limit int64, serve func(context.Context, Req) Res) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		req, err := checker.Decode[Req](body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		res := serve(r.Context(), req)
		if own, ok := any(res).(io.WriterTo); ok {
			_, _ = own.WriteTo(w) // as below
			return
		}
		data, err := checker.Encode(res)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // a peer that has disconnected does not learn the response
	}
}

// NewClient returns a client that keeps idle connections to peers. wrap may add to its
// transport.
func NewClient(wrap func(http.RoundTripper) http.RoundTripper) *http.Client {
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: wrap(verifier.NewTransport(&http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnsPerPeer, IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}))}
}

// Post sends a request to a peer and decodes the response, of which at most limit bytes are
// read. url has no scheme.
func Post[Res checker.Checker](ctx context.Context, c *http.Client, url string, limit int64, v any) (reply Res, err error) {
	data, err := json.Marshal(v)
	if err != nil {
		return reply, fmt.Errorf("encode request to peer: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return reply, fmt.Errorf("create request: %w", err)
	}
	res, err := c.Do(req)
	if err != nil {
		return reply, fmt.Errorf("send request to peer: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, limit))
	if err != nil {
		return reply, fmt.Errorf("read response of peer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer responded with status %d: %s", res.StatusCode, bytes.TrimSpace(body))
	}
	reply, err = checker.Decode[Res](body)
	if err != nil {
		return reply, fmt.Errorf("decode response of peer: %w", err)
	}
	return reply, nil
}
