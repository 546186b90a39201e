package reporter

import (
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
}

// Transport returns an HTTP transport that records metrics of calls to the platform.
func Transport(scope tally.Scope, base http.RoundTripper) http.RoundTripper {
	return transport{base, scope}
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
	return res, err
}
