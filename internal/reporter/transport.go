package reporter

import (
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// transport counts and times the calls of the platform client.
type transport struct {
	base  http.RoundTripper
	scope tally.Scope
	tags  func(*http.Request) map[string]string // of [StoreCalls], nil: not counted by kind
}

// TransportOption changes a setting of [Transport].
type TransportOption func(*transport)

// WithStoreCalls also counts the calls by what they are for. The function returns the tags
// of [StoreCalls] but the result; it must return few different ones.
func WithStoreCalls(tags func(*http.Request) map[string]string) TransportOption {
	return func(t *transport) { t.tags = tags }
}

// Transport returns an HTTP transport that records metrics of calls to the platform.
func Transport(scope tally.Scope, base http.RoundTripper, opts ...TransportOption) http.RoundTripper {
	t := transport{base: base, scope: scope}
	for _, o := range opts {
		o(&t)
	}
	return t
}

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	kind := "read"
	switch {
	case strings.HasPrefix(req.URL.Path, "/watch"), strings.HasPrefix(req.URL.RawQuery, "watch="):
		kind = "watch"
	case req.Method != http.MethodGet:
		kind = "write"
	}
	began := time.Now()
	res, err := t.base.RoundTrip(req)
	result := "failed"
	if err == nil {
		result = strconv.Itoa(res.StatusCode)
	}
	t.scope.Tagged(map[string]string{"kind": kind, "result": result}).Counter(PlatformCalls).Inc(1)
	t.scope.Tagged(map[string]string{"kind": kind}).Histogram(PlatformCallSeconds, SecondsBuckets).RecordDuration(time.Since(began))
	if t.tags != nil {
		tags := maps.Clone(t.tags(req))
		tags["result"] = resultOf(res, err)
		t.scope.Tagged(tags).Counter(StoreCalls).Inc(1)
	}
	return res, err
}

// resultOf returns the result of a call as a tag: refused calls are priced as well, and
// conflicts tell how many instances write the same object.
func resultOf(res *http.Response, err error) string {
	switch {
	case err != nil:
		return "failed"
	case res.StatusCode < http.StatusBadRequest:
		return "done"
	case res.StatusCode == http.StatusConflict:
		return "conflict"
	}
	return "refused"
}
