package executor

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/fencer"
	"daisylane/internal/reclaimer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	progressInterval = time.Second
	tickInterval     = 100 * time.Millisecond
	loadInterval     = time.Second
	// A successor sends Close to each registered side. Polling only covers lost Close
	// requests, and each poll costs a call to the platform.
	closureInterval      = time.Minute
	registerInterval     = time.Second
	platformTimeout      = 5 * time.Second
	settleTimeout        = 15 * time.Second // longer than the longest flush interval of a journal
	retentionPeriod      = 60 * time.Second
	shutdownPollInterval = 20 * time.Millisecond
)

// ChargeSettler delivers charges to the holders of their reservations.
type ChargeSettler interface {
	// Settle returns nil once the charge is durable.
	Settle(ctx context.Context, charge admitter.Charge) error
}

// Registry stores the registration of the side and returns what the side must know
// about holders and orders.
type Registry interface {
	Register(ctx context.Context, m watcher.Member) error
	// ClosedHolders returns the names of the closed holders.
	ClosedHolders(ctx context.Context) ([]string, error)
	// Revocations returns the revoked reservations by holder.
	Revocations(ctx context.Context) (map[string]reclaimer.Table, error)
	// LatestOrderNumber returns the number of the newest order to a target, 0 if there is none.
	LatestOrderNumber(ctx context.Context, target string) (uint64, error)
	Deregister(ctx context.Context, m watcher.Member) error
}

// SpanStarter starts trace spans.
type SpanStarter interface {
	Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span)
}

type noopSpanStarter struct{}

func (noopSpanStarter) Start(ctx context.Context, _ string, _ ...attribute.KeyValue) (context.Context, trace.Span) {
	return ctx, trace.SpanFromContext(ctx)
}

// Side runs the requests of routers at one target.
type Side struct {
	cfg            Settings
	instance       string
	registry       Registry
	settler        ChargeSettler
	log            zerolog.Logger
	scope          tally.Scope
	spans          SpanStarter
	pooledClient   *http.Client // for load requests, and to resume and cancel streams
	unpooledClient *http.Client // for routers' requests and orders: a new connection each, see newClient
	admission      *admission
	accessPolicy   AccessPolicy   // nil: all accounts may use the target
	engineFencing  EngineFencing  // nil: no engine enforces fencing numbers
	orderFencer    *fencer.Fencer // used by the admission actor
	crashes        *crashDetector
	extraHandlers  func(*connector.Server)

	tasks   sync.WaitGroup // running requests, charge deliveries and the deregistration
	readers atomic.Int64   // streams that are sending a response

	mu             sync.Mutex
	jobs           map[string]*job
	loadReportedAt time.Time // time of the last load report
}

// Option configures a side.
type Option func(*Side)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Side) { s.log = log } }

// WithScope sets the scope in which the side reports its metrics.
func WithScope(scope tally.Scope) Option { return func(s *Side) { s.scope = scope } }

// WithTracer makes the side record a span for each request that it runs.
func WithTracer(spans SpanStarter) Option { return func(s *Side) { s.spans = spans } }

// WithInstance sets the instance name. By default it is the configured name with a
// random suffix.
func WithInstance(name string) Option { return func(s *Side) { s.instance = name } }

// New returns a side. It does nothing until Serve is called.
func New(cfg Settings, registry Registry, settler ChargeSettler, opts ...Option) (*Side, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	s := &Side{
		cfg:            cfg,
		instance:       watcher.NewInstanceName(cfg.Name),
		registry:       registry,
		settler:        settler,
		log:            zerolog.Nop(),
		scope:          tally.NoopScope,
		spans:          noopSpanStarter{},
		pooledClient:   newClient(false),
		unpooledClient: newClient(true),
		admission:      newAdmission(admitter.Limits{Slots: cfg.Limits.Slots, Queue: cfg.Limits.Queue, Settle: cfg.Limits.SettleDelay.Std()}),
		orderFencer:    fencer.New(),
		crashes:        newCrashDetector(cfg.Target.URL),
		jobs:           make(map[string]*job),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Instance returns the name of the instance.
func (s *Side) Instance() string { return s.instance }

// helloFunc returns a function that builds the Hello message of an instance.
func (s Settings) helloFunc(instance string) connector.HelloFunc {
	return func() *wirepb.Hello {
		return &wirepb.Hello{
			Protocol: connector.ProtocolVersion,
			Instance: instance,
			Role:     watcher.Side,
			Centre:   s.Centre,
			Region:   s.Region,
		}
	}
}

// Serve registers the side and serves routers until ctx ends, then shuts down
// gracefully: it refuses new requests, waits for running requests, delivers charges
// and deregisters. It must be called only once.
func (s *Side) Serve(ctx context.Context, ln net.Listener) error {
	defer s.admission.stop()
	srv, err := s.newServer()
	if err != nil {
		return err
	}
	member := s.registration(ln.Addr().String())
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	served := make(chan error, 1)
	go func() { served <- srv.Serve(inner, ln) }()
	loops.Go(func() { s.loop(inner, tickInterval, s.tick) })
	if s.cfg.Target.Kind == KindModel {
		loops.Go(func() { s.loop(inner, loadInterval, s.pollLoad) })
	}
	ctx, stopRegistration := context.WithCancel(ctx)
	defer stopRegistration()
	registered := make(chan struct{})
	loops.Go(func() {
		defer close(registered)
		s.registerWithRetry(ctx, member)
		s.loop(ctx, closureInterval, s.pollClosures)
	})

	select {
	case <-ctx.Done():
		<-registered
		s.shutDown(inner, member)
	case err = <-served:
		served <- nil
	}
	stopRegistration()
	cancel()
	_ = srv.Close()
	s.cancelJobs()
	loops.Wait()
	s.tasks.Wait()
	if e := <-served; e != nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *Side) newServer() (*connector.Server, error) {
	opts := []connector.ServerOption{connector.WithErrorHandler(func(peer string, err error) {
		s.log.Debug().Str("peer", peer).Err(err).Msg("stream failed")
	})}
	credentials, err := s.cfg.TLS.Load(credentialer.WithLoadError(func(err error) {
		s.log.Warn().Err(err).Msg("certificate reload failed; the previous certificates stay in use")
	}))
	if err != nil {
		return nil, fmt.Errorf("load TLS files: %w", err)
	}
	if credentials != nil {
		opts = append(opts, connector.WithServerTLS(credentials.Server(watcher.Entry, credentialer.RoleOperator)))
	}
	srv := connector.NewServer(s.cfg.helloFunc(s.instance), opts...)
	s.registerHandlers(srv)
	return srv, nil
}

// loop calls f at each interval until ctx ends.
func (s *Side) loop(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// tick advances the admission state, updates the gauges and deletes expired jobs.
func (s *Side) tick(context.Context) {
	now := time.Now()
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Tick(now) }))
	s.updateGauges()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.expired(now) {
			delete(s.jobs, id)
		}
	}
}

// applyActions performs the actions that the admission state returned.
func (s *Side) applyActions(actions []admitter.Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case admitter.Start:
			if j := s.job(act.ID); j != nil {
				s.tasks.Go(func() { s.execute(j) })
			}
		case admitter.Refuse:
			s.refuse(act)
		case admitter.Stop:
			if j := s.job(act.ID); j != nil {
				j.cancel(errLimit)
			}
		case admitter.Settle:
			s.tasks.Go(func() { s.settle(act.Charge) })
		}
	}
}

// refuse refuses a job. The job is kept so that a router that resumes it receives the
// refusal; a new Run replaces it.
func (s *Side) refuse(act admitter.Refuse) {
	j := s.job(act.ID)
	if j == nil {
		return
	}
	j.refuse(&connector.RefusedError{Reason: string(act.Reason), Text: act.Text, RetryAfter: act.RetryAfter, Load: s.loadMessage()})
	s.countRefusal(string(act.Reason))
	s.log.Info().Str("request", act.ID).Str("reason", string(act.Reason)).Msg("request refused")
}

func (s *Side) job(id string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// addJob stores a job. It returns false if there is already a job with the same id
// that was not refused.
func (s *Side) addJob(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.jobs[j.id]; known != nil && !known.isRefused() {
		return false
	}
	s.jobs[j.id] = j
	return true
}

// loadMessage returns the current load for frames to routers.
func (s *Side) loadMessage() *wirepb.Load {
	var load admitter.Load
	var leaving bool
	s.admission.do(func(a *admitter.Admitter) { load, leaving = a.Load(), a.Draining() })
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &wirepb.Load{
		Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		Cache: load.Cache, Leaving: leaving,
	}
	if !s.loadReportedAt.IsZero() {
		m.Age = uint64(time.Since(s.loadReportedAt).Milliseconds())
	}
	return m
}
