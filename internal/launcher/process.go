package launcher

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"daisylane/internal/acceptor"
	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/gatekeeper"
	"daisylane/internal/holder"
	"daisylane/internal/locator"
	"daisylane/internal/logger"
	"daisylane/internal/recorder"
	"daisylane/internal/relayer"
	"daisylane/internal/reporter"
	"daisylane/internal/router"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
	"daisylane/internal/tracer"
	"daisylane/internal/waiter"
	"daisylane/internal/warden"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	registerRetryInterval = time.Second
	cleanupTimeout        = 5 * time.Second

	// memoryLimitRatio is the part of the machine's memory that the heap may fill before
	// the garbage collector runs more often.
	memoryLimitRatio = 0.7
	// reportInterval is how often the gauges of held memory are updated.
	reportInterval = time.Second
)

// clientLimits are the limits of callers. All headers of the interface have some hundred bytes.
var clientLimits = acceptor.Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

// ErrSealed means that a successor sealed the journal and took over the budget
// shards while this process was paused. A new process must replace it.
var ErrSealed = errors.New("journal sealed by a successor; start a new process")

var errAborted = errors.New("aborted")

// process is a running entry.
type process struct {
	cfg         Settings
	instance    string
	log         zerolog.Logger
	trace       *tracer.Tracer
	metrics     *reporter.Reporter
	platform    *storer.Client
	credentials *credentialer.Credentials // nil without TLS
	members     *locator.Locator
	pool        *connector.Pool
	peerServer  *connector.Server
	bundles     *syncer.Syncer
	relay       *relayer.Relayer
	holder      *holder.Holder
	router      *router.Router
	balancer    *balancer
	admission   *admissionController
	guard       *warden.Warden
	warnings    *recorder.Recorder
	decisionLog *decisionLog

	httpServer *acceptor.Server
	memory     *acceptor.Memory
	peerLn     net.Listener
	httpLn     net.Listener
	sealedBy   chan string
	failures   chan error
	aborted    chan struct{} // closed to end without a graceful shutdown, as in a crash
}

// Run runs an entry until the context ends and then shuts it down gracefully. Log
// events are written to out.
func Run(ctx context.Context, cfg Settings, out io.Writer) error {
	p, err := build(ctx, cfg, out)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func build(ctx context.Context, cfg Settings, out io.Writer) (*process, error) {
	p := &process{cfg: cfg, instance: watcher.NewInstanceName(cfg.Name), sealedBy: make(chan string, 1), failures: make(chan error, 4), aborted: make(chan struct{}), admission: newAdmissionController(cfg.Limits.Inflight), decisionLog: newDecisionLog()}
	steps := []struct {
		name string
		run  func(context.Context, io.Writer) error
	}{
		{"set up logs, metrics and traces", p.setUpTelemetry},
		{"listen", p.listen},
		{"set up sessions", p.setUpSessions},
		{"set up bundles", p.setUpBundles},
		{"start holder", p.startHolder},
		{"set up router", p.setUpRouter},
	}
	for _, step := range steps {
		if err := step.run(ctx, out); err != nil {
			return nil, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return p, nil
}

func (p *process) setUpTelemetry(ctx context.Context, out io.Writer) error {
	log, err := logger.New(out, p.cfg.Level)
	if err != nil {
		return err
	}
	p.log = log.With().Str("instance", p.instance).Logger()
	p.metrics = reporter.New(map[string]string{"instance": p.cfg.Name}, reporter.FlushInterval, func(err error) {
		p.log.Error().Err(err).Msg("metric dropped")
	})
	trace := p.cfg.Trace
	trace.Role, trace.Instance, trace.Centre, trace.Region = watcher.Entry, p.instance, p.cfg.Centre, p.cfg.Region
	p.trace, err = tracer.New(ctx, trace)
	return err
}

func (p *process) listen(context.Context, io.Writer) error {
	var err error
	if p.peerLn, err = net.Listen("tcp", p.cfg.Listen.Peer); err != nil {
		return err
	}
	p.httpLn, err = net.Listen("tcp", p.cfg.Listen.HTTP)
	return err
}

func (p *process) self() watcher.Member {
	addr := p.cfg.Listen.Advertise
	if addr == "" {
		addr = p.peerLn.Addr().String()
	}
	return watcher.Member{Name: p.instance, Role: watcher.Entry, Centre: p.cfg.Centre, Region: p.cfg.Region, Addr: addr}
}

func (p *process) hello() *wirepb.Hello {
	m := &wirepb.Hello{
		Protocol: connector.ProtocolVersion, Instance: p.instance, Role: watcher.Entry,
		Centre: p.cfg.Centre, Region: p.cfg.Region,
	}
	if p.bundles != nil {
		m.Bundle = p.bundles.Head().Version
	}
	return m
}

func (p *process) setUpSessions(context.Context, io.Writer) error {
	p.platform = storer.New(p.cfg.Platform, storer.WithName(p.cfg.Name),
		storer.WithObserver(func(t http.RoundTripper) http.RoundTripper { return reporter.Transport(p.metrics.Scope(), t) }))
	p.guard = warden.New(warningStore{p.platform}, warden.WithLog(p.log), warden.WithScope(p.metrics.Scope()))
	p.warnings = recorder.New(warningStore{p.platform}, p.log, p.guard.Groups()...)
	p.guard.OnChange(p.warnings.Wake)
	p.members = locator.New(p.platform, p.self(), locator.WithLogger(p.log), locator.WithWarnings(p.warnings))
	for _, peer := range p.cfg.Peers {
		p.members.Add(watcher.Member{Name: peer.Name, Role: watcher.Entry, Centre: peer.Centre, Region: peer.Region, Addr: peer.Addr})
	}
	if err := p.loadCredentials(); err != nil {
		return err
	}
	poolOpts := []connector.PoolOption{connector.WithDialResult(p.members.RecordDial)}
	serverOpts := []connector.ServerOption{connector.WithErrorHandler(func(peer string, err error) {
		p.log.Debug().Str("peer", peer).Err(err).Msg("stream failed")
	})}
	if p.credentials != nil {
		poolOpts = append(poolOpts, connector.WithClientTLS(p.credentials.Client(watcher.Entry, watcher.Side)))
		serverOpts = append(serverOpts, connector.WithServerTLS(p.credentials.Server(watcher.Entry, watcher.Side, credentialer.RoleOperator)))
	}
	p.pool = connector.NewPool(p.hello, poolOpts...)
	p.peerServer = connector.NewServer(p.hello, serverOpts...)
	return nil
}

func (p *process) loadCredentials() error {
	var err error
	p.credentials, err = p.cfg.TLS.Load(credentialer.WithLoadError(func(err error) {
		p.log.Warn().Err(err).Msg("certificate reload failed; the previous certificates stay in use")
	}))
	return err
}

func (p *process) startHolder(context.Context, io.Writer) error {
	b := p.cfg.Budgets
	cfg := holder.Config{
		Instance: p.instance, Region: p.cfg.Region, Regions: p.cfg.Regions,
		Shards: b.Shards, JournalSlots: b.Slots, MarkAheadFraction: b.Ahead, ReleasePolicy: b.Release, FoldInterval: b.Fold.Std(), FlushInterval: b.Flush.Std(),
	}
	p.relay = relayer.New(p.platform, p.instance, relayer.WithLogger(p.log))
	var err error
	p.holder, err = holder.New(cfg, p.platform, p.members, p.pool, holder.WithRelay(p.relay),
		holder.WithLogger(p.log), holder.WithScope(p.metrics.Scope()),
		holder.WithSealedHandler(func(sealer string) { p.sealedBy <- sealer }))
	if err != nil {
		return err
	}
	p.holder.Serve(p.peerServer)
	return nil
}

func (p *process) setUpRouter(context.Context, io.Writer) error {
	p.setUpMemory()
	p.balancer = newBalancer(p.members)
	p.router = router.New(holder.NewClient(p.holder, p.members, p.pool), p.balancer, p.pool, p.index,
		router.WithLogger(p.log), router.WithScope(p.metrics.Scope()), router.WithTracer(p.trace),
		router.WithAdmissionController(p.admission), router.WithDecisionLog(p.decisionLog), router.WithGuard(p.guard),
		router.WithMemory(p.memory),
		// Until the registrations are read, no target is known and every request
		// would be refused.
		router.WithReady(p.members.Ready),
		router.WithVersion(func() uint64 { return p.bundles.Head().Version }))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	mux.Handle("/", p.trace.Handler(p.router.Handler(), "caller"))
	// Descriptors for sessions with other processes, files and the platform stay free.
	p.httpServer = acceptor.New(mux, clientLimits, acceptor.WithDescriptors(acceptor.Descriptors(p.cfg.Limits.Descriptors)*3/4, 1),
		acceptor.WithLog(p.log), acceptor.WithMetrics(p.metrics.Scope()), acceptor.WithRelief(p.memory.Relieve))
	p.registerOperatorHandlers()
	return nil
}

// setUpMemory limits the memory for bodies, and the heap if the settings give a limit.
func (p *process) setUpMemory() {
	machine := int64(p.cfg.Limits.Memory) << 20
	if machine > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(machine)))
	} else if machine = acceptor.MachineMemory(); machine == 0 {
		machine = math.MaxInt64 / 2 // not known
	}
	p.memory = acceptor.NewMemory(gatekeeper.MemoryLimit(machine), acceptor.WithScope(p.metrics.Scope()))
}

// reportMemory updates the gauges of held memory until the context ends.
func (p *process) reportMemory(ctx context.Context) {
	waiter.Every(ctx, reportInterval, func(time.Time) { p.memory.Report() })
}

func (p *process) run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var loops sync.WaitGroup
	loops.Go(func() { p.reportFailure(p.peerServer.Serve(runCtx, p.peerLn)) })
	loops.Go(func() { p.reportFailure(p.httpServer.Serve(p.httpLn)) })
	loops.Go(func() { p.members.Run(runCtx) })
	loops.Go(func() { p.warnings.Run(runCtx) })
	loops.Go(func() { p.register(runCtx) })
	loops.Go(func() { p.reportFailure(p.bundles.Run(runCtx)) })
	loops.Go(func() { p.updatePeers(runCtx) })
	loops.Go(func() { p.relay.Run(runCtx) })
	loops.Go(func() { p.admission.run(runCtx) })
	loops.Go(func() { p.resizeAdmission(runCtx) })
	loops.Go(func() { p.reportMemory(runCtx) })
	p.log.Info().Str("http", p.httpLn.Addr().String()).Str("peer", p.peerLn.Addr().String()).Msg("started")

	var err error
	select {
	case <-ctx.Done():
	case sealer := <-p.sealedBy:
		err = fmt.Errorf("stopped by %s: %w", sealer, ErrSealed)
	case err = <-p.failures:
	case <-p.aborted:
		err = errAborted
	}
	if errors.Is(err, errAborted) {
		p.closeAbruptly()
	} else {
		p.stop(runCtx)
	}
	cancel()
	_ = p.peerServer.Close()
	_ = p.pool.Close()
	loops.Wait()
	_ = p.metrics.Close()
	p.shutdownTracer()
	return err
}

func (p *process) reportFailure(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.failures <- err
	}
}

// register retries the registration until it succeeds, so that other processes
// find a process that was started during a platform outage once the outage ends.
func (p *process) register(ctx context.Context) {
	for {
		err := p.members.Register(ctx)
		if err == nil {
			return
		}
		p.log.Warn().Err(err).Msg("registration failed; retrying")
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetryInterval):
		}
	}
}
