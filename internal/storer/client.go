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
)

const (
	defaultTimeout = 2 * time.Second
	idlePerHost    = 16
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	url     string
	name    string
	timeout time.Duration
	http    *http.Client
}

// Option configures a client.
type Option func(*Client)

// WithName sets the name that the client gives in the header X-Client.
func WithName(name string) Option {
	return func(c *Client) { c.name = name }
}

// WithTimeout sets the time limit of each call. A watch has this in addition to its wait.
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

// New returns a client of the platform at url, for example "http://10.0.0.1:8000".
func New(url string, opts ...Option) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = idlePerHost
	t.Proxy = nil
	c := &Client{
		url:     strings.TrimSuffix(url, "/"),
		timeout: defaultTimeout,
		http:    &http.Client{Transport: t},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get returns an object, or [ErrAbsent].
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	res, err := c.read(ctx, objectPath(key), c.timeout, MaxBodyBytes)
	if err != nil {
		return Item{Key: key}, fmt.Errorf("get %s: %w", key, err)
	}
	version, err := parseTag(res.tag)
	if err != nil {
		return Item{Key: key}, fmt.Errorf("get %s: %w", key, err)
	}
	return Item{Key: key, Version: version, Body: res.body}, nil
}

// Put writes an object if its current version is the given one, and returns the
// new version. Version 0 creates the object.
func (c *Client) Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error) {
	if len(body) > MaxBodyBytes {
		return 0, fmt.Errorf("put %s: %d bytes: %w", key, len(body), ErrTooLarge)
	}
	res, err := c.write(ctx, http.MethodPut, key, body, version)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	next, err := parseTag(res.tag)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUncertain, err)
	}
	return next, nil
}

// Delete removes an object if its current version is the given one.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	if _, err := c.write(ctx, http.MethodDelete, key, nil, version); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// List returns the objects whose keys start with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	page, err := c.page(ctx, "/objects?"+url.Values{"prefix": {prefix}}.Encode(), c.timeout)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return page.Items, nil
}

// Watch waits up to the given time for changes after a revision. It returns the
// changed objects, a deleted one with version 0, and the revision to pass next.
// After revision 0 it returns all objects.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	page, err := c.page(ctx, "/watch?"+query.Encode(), wait+c.timeout)
	if err != nil {
		return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
	}
	return page.Items, page.Revision, nil
}

// Instances returns the platform's instance list, which lags behind.
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

// Settled reports whether an error of a write says for certain that nothing took effect.
func Settled(err error) bool {
	return err != nil && !errors.Is(err, ErrUncertain)
}

func (c *Client) page(ctx context.Context, path string, timeout time.Duration) (Page, error) {
	res, err := c.read(ctx, path, timeout, maxPageBytes)
	if err != nil {
		return Page{}, err
	}
	return decode[Page](res.body)
}

// Escapes each part of the key, so that the slashes stay path separators.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}
