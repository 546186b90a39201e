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
	// A successor asks each registered side by itself. The poll only covers closures
	// whose request got lost, and each costs the platform a call.
	closureInterval  = time.Minute
	registerInterval = time.Second
	platformTimeout  = 5 * time.Second
	settleTimeout    = 15 * time.Second // covers the longest flush interval of a journal
	keepPeriod       = 60 * time.Second
	stopPoll         = 20 * time.Millisecond
)

// Holders delivers charges to the holders of reservations.
type Holders interface {
	// Settle returns nil after the charge is durable.
	Settle(ctx context.Context, charge admitter.Charge) error
}

// Registry makes the side known and gives the closed holders.
type Registry interface {
	Register(ctx context.Context, m watcher.Member) error
	Closures(ctx context.Context) ([]string, error)
	// Revocations returns the ended reservations by holder.
	Revocations(ctx context.Context) (map[string]reclaimer.Table, error)
	// Fence returns the number of the newest order to a target, 0 if there is none.
	Fence(ctx context.Context, target string) (uint64, error)
	Deregister(ctx context.Context, m watcher.Member) error
}

// Spans starts spans.
type Spans interface {
	Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span)
}

type noSpans struct{}

func (noSpans) Start(ctx context.Context, _ string, _ ...attribute.KeyValue) (context.Context, trace.Span) {
	return ctx, trace.SpanFromContext(ctx)
}

// Side runs requests at one target.
type Side struct {
	cfg       Settings
	instance  string
	registry  Registry
	holders   Holders
	log       zerolog.Logger
	scope     tally.Scope
	spans     Spans
	pooled    *http.Client // for load, resumption and cancellation
	single    *http.Client // for requests of routers: a connection per call, see newClient
	admission *admission
	rights    Rights         // nil: no check
	engines   Engines        // nil: no engine enforces fencing numbers
	fence     *fencer.Fencer // used by the admission actor
	handlers  func(*connector.Server)

	work  sync.WaitGroup // running requests and charges on their way
	reads atomic.Int64   // streams that read an answer

	mu       sync.Mutex
	jobs     map[string]*job
	reported time.Time // time of the last load report
}

// Option configures a side.
type Option func(*Side)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Side) { s.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option { return func(s *Side) { s.scope = scope } }

// WithTracer sets the tracer of request spans.
func WithTracer(spans Spans) Option { return func(s *Side) { s.spans = spans } }

// WithInstance sets the instance name instead of the configured name with a random incarnation.
func WithInstance(name string) Option { return func(s *Side) { s.instance = name } }

// New returns a side that does not serve yet.
func New(cfg Settings, registry Registry, holders Holders, opts ...Option) (*Side, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	s := &Side{
		cfg:       cfg,
		instance:  watcher.Incarnate(cfg.Name),
		registry:  registry,
		holders:   holders,
		log:       zerolog.Nop(),
		scope:     tally.NoopScope,
		spans:     noSpans{},
		pooled:    newClient(false),
		single:    newClient(true),
		admission: newAdmission(admitter.Limits{Slots: cfg.Limits.Slots, Queue: cfg.Limits.Queue, Settle: cfg.Limits.Settle.Std()}),
		fence:     fencer.New(),
		jobs:      make(map[string]*job),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Instance returns the name of the instance.
func (s *Side) Instance() string { return s.instance }

// identity gives the Hello message of an instance with these settings.
func (s Settings) identity(instance string) connector.Identity {
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

// Serve registers the side and serves routers until ctx ends, then stops
// gracefully: it refuses new work, finishes running requests, delivers charges
// and deregisters. It can be called once.
func (s *Side) Serve(ctx context.Context, ln net.Listener) error {
	defer s.admission.stop()
	srv, err := s.server()
	if err != nil {
		return err
	}
	member := s.member(ln.Addr().String())
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	served := make(chan error, 1)
	go func() { served <- srv.Serve(inner, ln) }()
	loops.Go(func() { s.loop(inner, tickInterval, s.tick) })
	if s.cfg.Target.Kind == Model {
		loops.Go(func() { s.loop(inner, loadInterval, s.pollLoad) })
	}
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	registered := make(chan struct{})
	loops.Go(func() {
		defer close(registered)
		s.register(ctx, member)
		s.loop(ctx, closureInterval, s.pollClosures)
	})

	select {
	case <-ctx.Done():
		<-registered
		s.stop(inner, member)
	case err = <-served:
		served <- nil
	}
	leave()
	cancel()
	_ = srv.Close()
	s.abort()
	loops.Wait()
	s.work.Wait()
	if e := <-served; e != nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (s *Side) server() (*connector.Server, error) {
	opts := []connector.ServerOption{connector.WithFailure(func(peer string, err error) {
		s.log.Debug().Str("peer", peer).Err(err).Msg("stream failed")
	})}
	credentials, err := s.cfg.TLS.Load(credentialer.WithFailure(func(err error) {
		s.log.Warn().Err(err).Msg("changed certificate files not loaded, the former ones stay in use")
	}))
	if err != nil {
		return nil, fmt.Errorf("load TLS files: %w", err)
	}
	if credentials != nil {
		opts = append(opts, connector.WithServerTLS(credentials.Server(watcher.Entry, credentialer.Operator)))
	}
	srv := connector.NewServer(s.cfg.identity(s.instance), opts...)
	s.handle(srv)
	return srv, nil
}

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

func (s *Side) tick(context.Context) {
	now := time.Now()
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Tick(now) }))
	s.gauge()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.expired(now) {
			delete(s.jobs, id)
		}
	}
}

// carryOut performs the actions of the admission state.
func (s *Side) carryOut(actions []admitter.Action) {
	for _, act := range actions {
		switch act := act.(type) {
		case admitter.Start:
			if j := s.job(act.ID); j != nil {
				s.work.Go(func() { s.execute(j) })
			}
		case admitter.Refuse:
			s.refuse(act)
		case admitter.Stop:
			if j := s.job(act.ID); j != nil {
				j.cancel(errLimit)
			}
		case admitter.Settle:
			s.work.Go(func() { s.settle(act.Charge) })
		}
	}
}

// refuse keeps the refused job for a router that resumes; a new Run replaces it.
func (s *Side) refuse(act admitter.Refuse) {
	j := s.job(act.ID)
	if j == nil {
		return
	}
	j.refuse(&connector.RefusedError{Reason: string(act.Reason), Text: act.Text, After: act.After, Load: s.load()})
	s.countRefusal(string(act.Reason))
	s.log.Info().Str("request", act.ID).Str("reason", string(act.Reason)).Msg("request refused")
}

func (s *Side) job(id string) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// add registers a job unless its id belongs to a request that was not refused.
func (s *Side) add(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.jobs[j.id]; known != nil && !known.isRefused() {
		return false
	}
	s.jobs[j.id] = j
	return true
}

func (s *Side) load() *wirepb.Load {
	var load admitter.Load
	var leaving bool
	s.admission.decide(func(a *admitter.Admitter) { load, leaving = a.Load(), a.Draining() })
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &wirepb.Load{
		Running: uint32(load.Running), Waiting: uint32(load.Waiting), Slots: uint32(load.Slots),
		Cache: load.Cache, Leaving: leaving,
	}
	if !s.reported.IsZero() {
		m.Age = uint64(time.Since(s.reported).Milliseconds())
	}
	return m
}
