// Package tracer configures OpenTelemetry tracing with one span per hop.
//
// The trace context is propagated between processes in W3C format, in HTTP headers
// and in the trace map of a frame. Spans are exported over OTLP/HTTP only if an
// endpoint is set; the context is propagated in any case.
//
// # Usage
//
//	tr, err := tracer.New(ctx, tracer.Config{Role: "entry", Instance: name})
//	defer tr.Shutdown(ctx)
//
//	ctx, span := tr.Start(ctx, "reserve")
//	defer span.End()
//	frame.Trace = tracer.Inject(ctx)
//
// and at the receiver
//
//	ctx = tracer.Extract(ctx, frame.GetTrace())
package tracer

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.43.0"
	api "go.opentelemetry.io/otel/trace"

	"daisylane/internal/checker"
)

const namespace = "daisylane"

var propagator = propagation.TraceContext{}

// Config identifies the process and configures the export of its spans.
type Config struct {
	Role     string  `toml:"-"`
	Instance string  `toml:"-"`
	Centre   string  `toml:"-"`
	Region   string  `toml:"-"`
	Endpoint string  `toml:"endpoint"` // OTLP/HTTP URL, empty for no export
	Ratio    float64 `toml:"ratio"`    // sampling ratio of traces that start in this process, 0 to 1
}

// Check validates the settings.
func (c Config) Check() error {
	var f checker.Validator
	checker.Range(&f, "ratio", c.Ratio, 0, 1)
	if c.Endpoint != "" {
		u, err := url.Parse(c.Endpoint)
		f.Require(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), "endpoint", "is %q, want a URL like http://127.0.0.1:4318/v1/traces", c.Endpoint)
	}
	return f.Err()
}

// Tracer creates spans. It is safe for concurrent use.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   api.Tracer
}

// New starts tracing. Without an endpoint no spans are recorded.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	opts := []trace.TracerProviderOption{trace.WithResource(newResource(cfg))}
	if cfg.Endpoint == "" {
		opts = append(opts, trace.WithSampler(trace.NeverSample()))
	} else {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		if err != nil {
			return nil, fmt.Errorf("start export of traces to %s: %w", cfg.Endpoint, err)
		}
		opts = append(opts, trace.WithBatcher(exporter), trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(cfg.Ratio))))
	}
	provider := trace.NewTracerProvider(opts...)
	return &Tracer{provider, provider.Tracer(namespace)}, nil
}

func newResource(cfg Config) *resource.Resource {
	return resource.NewWithAttributes(
		semconv.SchemaURL,
		semconv.ServiceNamespace(namespace),
		semconv.ServiceName(cfg.Role),
		semconv.ServiceInstanceID(cfg.Instance),
		semconv.CloudAvailabilityZone(cfg.Centre),
		semconv.CloudRegion(cfg.Region),
	)
}

// Start starts a span.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, api.Span) {
	return t.tracer.Start(ctx, name, api.WithAttributes(attrs...))
}

// Handler wraps an HTTP handler so that each request has a span in the caller's trace.
func (t *Tracer) Handler(h http.Handler, name string) http.Handler {
	return otelhttp.NewHandler(h, name, otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(propagator))
}

// Transport wraps an HTTP transport so that each request has a span, whose context is
// sent to the server.
func (t *Tracer) Transport(rt http.RoundTripper) http.RoundTripper {
	return otelhttp.NewTransport(rt, otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(propagator))
}

// Shutdown exports the remaining spans and stops tracing.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop tracing: %w", err)
	}
	return nil
}

// Inject returns the trace context as the trace map of a frame, or nil if ctx has no
// trace.
func Inject(ctx context.Context) map[string]string {
	if !api.SpanContextFromContext(ctx).IsValid() {
		return nil
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier
}

// Extract returns a context that continues the trace in the trace map of a frame.
func Extract(ctx context.Context, m map[string]string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier(m))
}
