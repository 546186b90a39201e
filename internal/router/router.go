package router

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"daisylane/internal/acceptor"
	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/logger"
	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	headerTimeout        = "Request-Timeout" // in seconds
	headerWorth          = "Request-Worth"   // admission priority, capped at the account's

	defaultTimeout         = 60 * time.Second
	maxTimeout             = 10 * time.Minute
	maxBodyBytes           = 2 << 20
	maxIdempotencyKeyBytes = 256

	// settleTimeout limits the retries of a settlement after the response was
	// delivered. The side settles on its own if the router does not.
	settleTimeout = 30 * time.Second
)

// Budgets reserves and settles tokens and stores the claims of non-idempotent calls.
type Budgets interface {
	Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error)
	Settle(ctx context.Context, m *wirepb.Settle) error
	Claim(ctx context.Context, id string, m *wirepb.Claim, home string) (*wirepb.Claimed, error)
	Conclude(ctx context.Context, id string, m *wirepb.Conclude, home string) error
}

// Guard knows which requests end targets, on behalf of the fleet.
type Guard interface {
	Suspects() bool
	Check(s quarantiner.Subject) quarantiner.Verdict
	// Admit is Check right before a request is sent. It makes the request a trial if one
	// is due.
	Admit(ctx context.Context, s quarantiner.Subject) quarantiner.Verdict
	RecordWhole(t quarantiner.Target, sentAt time.Time, s quarantiner.Subject)
	RecordCrash(r quarantiner.Report, about bool)
}

// Tracer starts the tracing spans of a request.
type Tracer interface {
	Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span)
}

type nopTracer struct{}

func (nopTracer) Start(ctx context.Context, _ string, _ ...attribute.KeyValue) (context.Context, trace.Span) {
	return ctx, noop.Span{}
}

// Router serves the requests of callers.
type Router struct {
	budgets  Budgets
	balancer Balancer
	pool     *connector.Pool
	index    func() *bundler.Index

	version   func() uint64
	ready     func() bool
	admission AdmissionController
	guard     Guard
	decisions DecisionLog
	log       zerolog.Logger
	scope     tally.Scope
	tracer    Tracer
	memory    *acceptor.Memory

	faultLines logger.LineLimit

	stopping atomic.Bool
	inFlight atomic.Int64
	tasks    sync.WaitGroup // settlements and claim outcomes that continue after the response
}

// Option configures a router.
type Option func(*Router)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log zerolog.Logger) Option { return func(r *Router) { r.log = log } }

// WithScope sets the metrics scope. By default no metrics are reported.
func WithScope(scope tally.Scope) Option { return func(r *Router) { r.scope = scope } }

// WithDecisionLog sets the log of routing decisions that the explain command reads.
func WithDecisionLog(l DecisionLog) Option { return func(r *Router) { r.decisions = l } }

// WithTracer sets the tracer. By default no spans are recorded.
func WithTracer(t Tracer) Option { return func(r *Router) { r.tracer = t } }

// WithGuard sets what keeps requests away from targets that end under them.
func WithGuard(g Guard) Option { return func(r *Router) { r.guard = g } }

// WithVersion sets the function that returns the version of the active bundle.
// Each request to a side carries it.
func WithVersion(f func() uint64) Option { return func(r *Router) { r.version = f } }

// WithReady adds a condition to the readiness check.
func WithReady(f func() bool) Option { return func(r *Router) { r.ready = f } }

// WithAdmissionController sets the admission control. By default every request is admitted.
func WithAdmissionController(c AdmissionController) Option {
	return func(r *Router) { r.admission = c }
}

// WithMemory sets the account of request bodies. By default they are not bounded in sum.
func WithMemory(m *acceptor.Memory) Option { return func(r *Router) { r.memory = m } }

// New returns a router. The index function returns the active bundle, or nil
// before the first one is activated.
func New(budgets Budgets, balancer Balancer, pool *connector.Pool, index func() *bundler.Index, opts ...Option) *Router {
	r := &Router{
		budgets:   budgets,
		balancer:  balancer,
		pool:      pool,
		index:     index,
		version:   func() uint64 { return 0 },
		ready:     func() bool { return true },
		admission: unlimitedAdmission{},
		guard:     quarantiner.NoGuard{},
		decisions: nopDecisionLog{},
		log:       zerolog.Nop(),
		scope:     tally.NoopScope,
		tracer:    nopTracer{},
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.memory == nil {
		r.memory = acceptor.NewMemory(math.MaxInt64)
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

// Stop makes the readiness check fail. Requests are still served until the
// listener is closed, because the external load balancer notices with a delay.
func (r *Router) Stop() { r.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (r *Router) Stopping() bool { return r.stopping.Load() }

// Wait blocks until all background settlements and claim outcomes are durable or have timed out.
func (r *Router) Wait() { r.tasks.Wait() }

func (r *Router) runInBackground(f func()) { r.tasks.Go(f) }

// countRequest counts a request by outcome. The service may be empty.
func (r *Router) countRequest(service, outcome string) {
	r.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter(reporter.Requests).Inc(1)
}

// Inflight returns the number of requests in flight.
func (r *Router) Inflight() int64 { return r.inFlight.Load() }

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || r.index() == nil || !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
