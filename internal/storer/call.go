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
	tag    string
	body   []byte
}

// read makes a call without effect. Every failure to get an answer is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, timeout time.Duration, limit int64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return response{}, err
	}
	httpRes, err := c.http.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer httpRes.Body.Close()
	res, err := receive(httpRes, limit)
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch {
	case res.status == http.StatusOK:
		return res, nil
	case res.status == http.StatusNotFound:
		return response{}, ErrAbsent
	case res.status >= http.StatusInternalServerError:
		return response{}, fmt.Errorf("%w: %s", ErrUnavailable, res.text())
	}
	return response{}, res.refusal()
}

// write makes a conditional call. Once it has a connection, a missing answer is ErrUncertain.
func (c *Client) write(ctx context.Context, method, key string, body []byte, version uint64) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.request(ctx, method, objectPath(key), body)
	if err != nil {
		return response{}, err
	}
	if version == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", formatTag(version))
	}
	httpRes, err := c.http.Do(req)
	switch {
	case err != nil && sent.Load():
		return response{}, fmt.Errorf("%w: %w", ErrUncertain, err)
	case err != nil:
		return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer httpRes.Body.Close()
	res, err := receive(httpRes, MaxBodyBytes)
	switch {
	case res.status == http.StatusOK || res.status == http.StatusNoContent:
		return res, nil
	case res.status == http.StatusPreconditionFailed && err != nil:
		return response{}, fmt.Errorf("%w: conflict without body: %w", ErrUnavailable, err)
	case res.status == http.StatusPreconditionFailed:
		return response{}, res.conflict(key)
	case res.status == http.StatusNotFound:
		return response{}, ErrAbsent
	case res.status == http.StatusServiceUnavailable:
		return response{}, fmt.Errorf("%w: %s", ErrUnavailable, res.text())
	case res.status >= http.StatusInternalServerError:
		return response{}, fmt.Errorf("%w: %s", ErrUncertain, res.text())
	}
	return response{}, res.refusal()
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: build request: %w", ErrInvalid, err)
	}
	if c.name != "" {
		req.Header.Set("X-Client", c.name)
	}
	return req, nil
}

func receive(res *http.Response, limit int64) (response, error) {
	out := response{status: res.StatusCode, tag: res.Header.Get("ETag")}
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

// conflict returns version 0 for an answer without tag, which means that the key is absent.
func (r response) conflict(key string) error {
	if r.tag == "" {
		return &ConflictError{Key: key}
	}
	version, err := parseTag(r.tag)
	if err != nil {
		return err
	}
	return &ConflictError{Key: key, Version: version, Body: r.body}
}

// refusal maps the 4xx statuses that reads and writes share.
func (r response) refusal() error {
	switch r.status {
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrUnavailable, r.text())
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return fmt.Errorf("%w: %s", ErrInvalid, r.text())
}

func (r response) text() string {
	body := r.body[:min(len(r.body), maxErrorBytes)]
	return strings.TrimSpace(fmt.Sprintf("status %d %s", r.status, body))
}
