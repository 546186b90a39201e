package storer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxPageBytes  = 256 << 20
	maxErrorBytes = 1 << 10
)

type response struct {
	status int
	etag   string
	body   []byte
}

// read makes a call that changes nothing. Any failure to get a response is reported as
// ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, limit int64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.newRequest(ctx, http.MethodGet, path, nil)
	if err != nil {
		return response{}, err
	}
	httpRes, err := c.http.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer httpRes.Body.Close()
	res, err := readResponse(httpRes, limit)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch {
	case res.status == http.StatusOK:
		return res, nil
	case res.status == http.StatusNotFound:
		return response{}, ErrAbsent
	case res.status >= http.StatusInternalServerError:
		return response{}, fmt.Errorf("%w: %s", ErrUnavailable, res.description())
	}
	return response{}, res.statusError()
}

// write makes a conditional write. Once a connection was obtained, the request may
// have been sent, so a missing response is reported as ErrUncertain.
func (c *Client) write(ctx context.Context, method, key string, body []byte, version uint64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := c.newRequest(ctx, method, objectPath(key), body)
	if err != nil {
		return response{}, err
	}
	if version == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", formatETag(version))
	}
	httpRes, err := c.http.Do(req)
	switch {
	case err != nil && gotConn.Load():
		return response{}, fmt.Errorf("%w: %w", ErrUncertain, err)
	case err != nil:
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer httpRes.Body.Close()
	res, err := readResponse(httpRes, MaxBodyBytes)
	switch {
	case err != nil:
		return response{}, fmt.Errorf("%w: %w", ErrUncertain, err)
	case res.status == http.StatusOK || res.status == http.StatusNoContent:
		return res, nil
	case res.status == http.StatusPreconditionFailed:
		return response{}, res.conflictError(key)
	case res.status == http.StatusNotFound:
		return response{}, ErrAbsent
	case res.status == http.StatusServiceUnavailable:
		return response{}, fmt.Errorf("%w: %s", ErrUnavailable, res.description())
	case res.status >= http.StatusInternalServerError:
		return response{}, fmt.Errorf("%w: %s", ErrUncertain, res.description())
	}
	return response{}, res.statusError()
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: build request: %w", ErrInvalid, err)
	}
	if c.name != "" {
		req.Header.Set("X-Client", c.name)
	}
	return req, nil
}

func readResponse(res *http.Response, limit int64) (response, error) {
	out := response{status: res.StatusCode, etag: res.Header.Get("ETag")}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return out, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return out, fmt.Errorf("read answer: over %d bytes", limit)
	}
	out.body = body
	return out, nil
}

// conflictError returns the error for a failed condition. A response without an ETag
// means that the key is absent, which is version 0.
func (r response) conflictError(key string) error {
	if r.etag == "" {
		return &ConflictError{Key: key}
	}
	version, err := parseETag(r.etag)
	if err != nil {
		return err
	}
	return &ConflictError{Key: key, Version: version, Body: r.body}
}

// statusError maps the statuses that reads and writes handle alike, mostly 4xx.
func (r response) statusError() error {
	switch r.status {
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrUnavailable, r.description())
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("%w: %s", ErrInvalid, r.description())
}

func (r response) description() string {
	body := r.body[:min(len(r.body), maxErrorBytes)]
	return strings.TrimSpace(fmt.Sprintf("status %d %s", r.status, body))
}
