package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

const (
	headerID       = "X-Request-Id"
	headerKey      = "Idempotency-Key"
	headerReplayed = "Idempotent-Replayed"
	headerTimeout  = "Request-Timeout" // seconds until the caller gives up
	headerWorth    = "Request-Worth"   // at most the account's worth

	defaultTimeout = 60 * time.Second
	maxTimeout     = 10 * time.Minute
	maxBodyBytes   = 2 << 20
	maxKeyBytes    = 256

	// settleTimeout bounds the attempts to settle after the answer was
	// delivered. The side settles on its own if the router does not.
	settleTimeout = 30 * time.Second
)

// Budgets reserves and settles tokens and keeps the claims of non-idempotent calls.
type Budgets interface {
	Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error)
	Settle(ctx context.Context, m *wirepb.Settle) error
	Claim(ctx context.Context, id string, m *wirepb.Claim, home string) (*wirepb.Claimed, error)
	Conclude(ctx context.Context, id string, m *wirepb.Conclude, home string) error
}

// Tracer starts the spans of a request.
type Tracer interface {
	Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span)
}

type noTracer struct{}

func (noTracer) Start(ctx context.Context, _ string, _ ...attribute.KeyValue) (context.Context, trace.Span) {
	return ctx, noop.Span{}
}

// Router answers the requests of callers.
type Router struct {
	budgets Budgets
	targets Targets
	pool    *connector.Pool
	index   func() *bundler.Index

	version func() uint64
	ready   func() bool
	limits  Limits
	records Records
	log     zerolog.Logger
	scope   tally.Scope
	tracer  Tracer

	stopping atomic.Bool
	inflight atomic.Int64
	tasks    sync.WaitGroup // settlements and outcomes that outlive their request
}

// Option configures a router.
type Option func(*Router)

// WithLogger sets the logger. The default discards events.
func WithLogger(log zerolog.Logger) Option { return func(r *Router) { r.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option { return func(r *Router) { r.scope = scope } }

// WithRecords sets where decisions are recorded for the explain command.
func WithRecords(records Records) Option { return func(r *Router) { r.records = records } }

// WithTracer sets the tracer of the spans. The default records none.
func WithTracer(t Tracer) Option { return func(r *Router) { r.tracer = t } }

// WithVersion sets the source of the version of the bundle in force, which goes
// to the sides with each request.
func WithVersion(f func() uint64) Option { return func(r *Router) { r.version = f } }

// WithReady sets a further condition for reporting ready.
func WithReady(f func() bool) Option { return func(r *Router) { r.ready = f } }

// WithLimits sets the limits per account. The default has none.
func WithLimits(limits Limits) Option { return func(r *Router) { r.limits = limits } }

// New returns a router. The index function returns the bundle in force, or nil
// before the first one is adopted.
func New(budgets Budgets, targets Targets, pool *connector.Pool, index func() *bundler.Index, opts ...Option) *Router {
	r := &Router{
		budgets: budgets,
		targets: targets,
		pool:    pool,
		index:   index,
		version: func() uint64 { return 0 },
		ready:   func() bool { return true },
		limits:  noLimits{},
		records: noRecords{},
		log:     zerolog.Nop(),
		scope:   tally.NoopScope,
		tracer:  noTracer{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", r.authenticated(r.serveChat))
	mux.Handle("GET /v1/models", r.authenticated(r.serveModels))
	mux.Handle("/services/{service}/{path...}", r.authenticated(r.serveService))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	return mux
}

// Stop makes the router report not ready. Requests still get served until the
// listener is closed, because the balancer learns of the stop with a delay.
func (r *Router) Stop() { r.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (r *Router) Stopping() bool { return r.stopping.Load() }

// Wait waits until all settlements are durable or given up.
func (r *Router) Wait() { r.tasks.Wait() }

func (r *Router) background(f func()) { r.tasks.Go(f) }

// count records the outcome of a request, for a service or, if empty, none.
func (r *Router) count(service, outcome string) {
	r.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter(reporter.Requests).Inc(1)
}

// Inflight returns the number of requests that are being served.
func (r *Router) Inflight() int64 { return r.inflight.Load() }

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || r.index() == nil || !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
