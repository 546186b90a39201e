package tracer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	api "go.opentelemetry.io/otel/trace"
)

// Guards against a trace context that is lost between two processes, with and
// without export of spans.
func TestPropagation(t *testing.T) {
	var exported atomic.Int64
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "reserve") {
			exported.Add(1)
		}
	}))
	defer collector.Close()
	for _, endpoint := range []string{"", collector.URL + "/v1/traces"} {
		tr, err := New(t.Context(), Config{Role: "entry", Instance: "entry-1", Endpoint: endpoint, Ratio: 1})
		if err != nil {
			t.Fatal(err)
		}
		ctx, span := tr.Start(t.Context(), "reserve")
		got := api.SpanContextFromContext(Extract(t.Context(), Inject(ctx)))
		if got.TraceID() != span.SpanContext().TraceID() || got.SpanID() != span.SpanContext().SpanID() {
			t.Errorf("endpoint %q: got %v, want %v", endpoint, got, span.SpanContext())
		}
		span.End()
		if err := tr.Shutdown(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if exported.Load() != 1 {
		t.Errorf("%d exports, want 1", exported.Load())
	}
	if Inject(t.Context()) != nil || api.SpanContextFromContext(Extract(t.Context(), nil)).IsValid() {
		t.Error("a trace is extracted although there is none")
	}
}
