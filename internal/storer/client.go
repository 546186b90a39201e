package storer

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/verifier"
)

const (
	defaultTimeout      = 2 * time.Second
	maxIdleConnsPerHost = 16
	maxHeadBytes        = 64 << 10 // of a response, with the 1xx responses before it
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	name    string
	timeout time.Duration
	http    *http.Client
}

// Option configures a client.
type Option func(*Client)

// WithName sets the client name that is sent in the X-Client header.
func WithName(name string) Option {
	return func(c *Client) { c.name = name }
}

// WithTimeout sets the timeout of each call. For a watch it is added to the wait.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithObserver wraps the HTTP transport, for example to count calls.
func WithObserver(wrap func(http.RoundTripper) http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = wrap(c.http.Transport) }
}

// New returns a client for the platform at url, for example "http://10.0.0.1:8000".
func New(url string, opts ...Option) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	t.MaxResponseHeaderBytes = maxHeadBytes
	t.Proxy = nil
	c := &Client{
		baseURL: strings.TrimSuffix(url, "/"),
		timeout: defaultTimeout,
		http:    &http.Client{Transport: verifier.NewTransport(t)},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get returns an object, or [ErrAbsent] if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	res, err := c.read(ctx, objectPath(key), c.timeout, MaxBodyBytes)
	if err != nil {
		return Item{Key: key}, fmt.Errorf("get %s: %w", key, err)
	}
	version, err := parseETag(res.etag)
	if err != nil {
		return Item{Key: key}, fmt.Errorf("get %s: %w", key, err)
	}
	return Item{Key: key, Version: version, Body: res.body}, nil
}

// Put writes an object if its current version equals the given one, and returns the
// new version. With version 0 the object must not exist yet.
func (c *Client) Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error) {
	if len(body) > MaxBodyBytes {
		return 0, fmt.Errorf("put %s: %d bytes: %w", key, len(body), ErrTooLarge)
	}
	res, err := c.write(ctx, http.MethodPut, key, body, version)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	next, err := parseETag(res.etag)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUncertain, err)
	}
	return next, nil
}

// Delete removes an object if its current version equals the given one.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	if _, err := c.write(ctx, http.MethodDelete, key, nil, version); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List returns the objects whose keys start with the prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	page, err := c.getPage(ctx, "/objects?"+url.Values{"prefix": {prefix}}.Encode(), c.timeout)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return page.Items, nil
}

// Watch waits up to the given time for changes after a revision. It returns the
// changed objects, where version 0 means deleted, and the revision to pass to the
// next call. For revision 0 it returns all objects.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	page, err := c.getPage(ctx, "/watch?"+query.Encode(), wait+c.timeout)
	if err != nil {
		return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return page.Items, page.Revision, nil
}

// Instances returns the platform's instance list, which can be out of date.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	res, err := c.read(ctx, "/instances", c.timeout, maxPageBytes)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	list, err := decode[instances](res.body)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return list, nil
}

// HadNoEffect reports whether the error of a write means for certain that the write
// had no effect.
func HadNoEffect(err error) bool {
	return err != nil && !errors.Is(err, ErrUncertain)
}

func (c *Client) getPage(ctx context.Context, path string, timeout time.Duration) (Page, error) {
	res, err := c.read(ctx, path, timeout, maxPageBytes)
	if err != nil {
		return Page{}, err
	}
	return decode[Page](res.body)
}

// objectPath escapes each segment of the key, so that slashes stay path separators.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}
