package starter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/acceptor"
	"daisylane/internal/accountant"
	"daisylane/internal/archiver"
	"daisylane/internal/cacher"
	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/lender"
	"daisylane/internal/logger"
	"daisylane/internal/permitter"
	"daisylane/internal/quarantiner"
	"daisylane/internal/receiver"
	"daisylane/internal/recorder"
	"daisylane/internal/reporter"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
	"daisylane/internal/waiter"
	"daisylane/internal/warden"
	"daisylane/platform"
)

const (
	metricsPort = "9464"
	// gcPercent trades memory for CPU time: a loaded entry has 20 MB of live data.
	gcPercent = 300
	// memoryLimitRatio is the part of the instance's memory that the heap may fill
	// before the garbage collector runs more often.
	memoryLimitRatio = 0.7

	// tickInterval is the interval of connection sweeps, target expiry and relay updates.
	tickInterval = 250 * time.Millisecond
	// maxWarningInterval leaves most of the tolerated delay to a lost response.
	maxWarningInterval = 600 * time.Millisecond
	// usableRetryRatio is the part of the fleet's retry budget that the instances
	// use. The rest covers restarts and the sliding window.
	usableRetryRatio = 0.6
	// drainDelay is the time until the load balancer has seen two failed readiness
	// probes of a stopping instance.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the last writes.
	shutdownMargin = 700 * time.Millisecond
	// accountRetryBurst is how many retries of one account may come at once.
	accountRetryBurst = 10
	// arrivalTime is how long a request may take from its last check to its target: three
	// times the way between regions.
	arrivalTime = 120 * time.Millisecond
)

var errAborted = errors.New("aborted")

// entry is an entry process on the platform.
type entry struct {
	cfg            platform.Settings                 // as loaded at the start
	settings       atomic.Pointer[platform.Settings] // current, replaced by reloads
	path           string
	log            zerolog.Logger
	logWriter      *logger.AsyncWriter
	store          *platform.Store
	watches        *cacher.Cache
	paths          *paths
	accounting     *accountant.Accountant
	warnings       *recorder.Recorder
	guard          *warden.Warden
	streams        *archiver.Archiver
	permits        *permitter.Permitter
	dispatcher     *receiver.Dispatcher
	receiver       *receiver.Receiver
	pool           *forwarder.Pool
	metrics        *reporter.Reporter
	callers        *acceptor.Server
	memory         *acceptor.Memory
	targetsListed  atomic.Bool // the targets were listed at least once
	targetsLost    atomic.Bool // the store does not respond to watches of targets
	ends           *ends
	startedAt      time.Time
	aborted        chan struct{} // closed to end without a graceful shutdown, as in a crash
	servers        []*acceptor.Server
	stopping       atomic.Bool
	streamServices map[string]map[string]time.Time // services of each route with streams that may be resumed; used by tick only
	relayInputs    struct {                        // inputs of the last relay list; used by tick only
		rosterVersion int64
		table         *resolver.Table
	}
}

func newEntry(cfg platform.Settings, path string, log zerolog.Logger, lines *logger.AsyncWriter) *entry {
	debug.SetGCPercent(gcPercent)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// The fleet's retry ratio is set by applyLimits below.
	retries := retrier.New(source, retrier.WithRefusalsCounted(),
		retrier.WithRatios(0, 1), retrier.WithBursts(1, accountRetryBurst))
	e := &entry{
		cfg: cfg, path: path, log: log, startedAt: time.Now(), logWriter: lines, aborted: make(chan struct{}), streamServices: make(map[string]map[string]time.Time),
		paths: newPaths(cfg.Store.Addr, log),
	}
	e.ends = newEnds(e)
	e.pool = forwarder.New(platform.RequestID, forwarder.WithObserver(e.ends))
	e.settings.Store(&cfg)
	e.metrics = reporter.New(map[string]string{"instance": cfg.Name}, reporter.FlushInterval, func(err error) {
		log.Error().Err(err).Msg("metric dropped")
	})
	e.store = platform.NewStore(cfg.Store.Addr, e.paths, platform.WithObserver(func(t http.RoundTripper) http.RoundTripper {
		return reporter.Transport(e.metrics.Scope(), t, reporter.WithStoreCalls(platform.CallTags))
	}))
	peerAddr := net.JoinHostPort(cfg.Addr, cfg.PeerPort())
	directory := cacher.NewDirectory(cfg.Centre, peerAddr)
	peers := lender.NewClient(lender.WithTransport(directory.Transport))
	e.accounting = accountant.New(e.store, cfg.Name+"-"+cfg.Addr, peerAddr, peers, log, accountant.WithScope(e.metrics.Scope()))
	changeWait := follower.WatchWait(cfg.ChangeDelay())
	warningInterval, warningWait := warningTimes(cfg.WarningDelay())
	e.memory = acceptor.NewMemory(0, acceptor.WithScope(e.metrics.Scope()))
	shared := []cacher.Option{
		cacher.WithMemory(e.memory),
		cacher.WithClock(accountant.BootClock), cacher.WithLog(log), cacher.WithScope(e.metrics.Scope()),
		cacher.WithKind(platform.KindConfig, changeWait), cacher.WithKind(platform.KindRunners, changeWait), cacher.WithKind(recorder.Kind, warningInterval+warningWait), cacher.WithInterval(recorder.Kind, warningInterval),
	}
	opts := []receiver.DispatcherOption{}
	if delay, ok := cfg.EvacuateDelay(); ok {
		shared = append(shared, cacher.WithKind(platform.KindEvacuations, evacuationWait(delay)))
		opts = append(opts, receiver.WithEvacuations())
	}
	e.watches = cacher.New(e.store, e.accounting, directory, shared...)
	e.permits = permitter.New(cfg.Name+"-"+cfg.Addr, e.accounting, peers,
		permitter.WithLog(log), permitter.WithScope(e.metrics.Scope()),
		permitter.WithStaleTime(follower.StaleTime(cfg.ChangeDelay())))
	opts = append(opts, receiver.WithLimits(e.permits))
	e.dispatcher = receiver.NewDispatcher(chooser.Place{Centre: cfg.Centre, Region: cfg.Region}, cfg.Regions, retries, opts...)
	e.applyLimits(cfg)
	e.guard = warden.New(e.store, warden.WithLog(log), warden.WithScope(e.metrics.Scope()), warden.WithFleetSize(e.accounting.InstanceCount))
	e.streams = archiver.New(e.store, cfg.Name+"-"+cfg.Addr, archiver.WithLog(log), archiver.WithFleetSize(e.accounting.InstanceCount))
	e.warnings = recorder.New(e.store, log, append(e.guard.Groups(), e.permits.Group(), e.streams.Group())...)
	e.guard.OnChange(e.warnings.Wake)
	e.permits.OnChange(e.warnings.Wake)
	e.streams.OnChange(e.warnings.Wake)
	e.warnings.OnSync(func(time.Time) {
		e.streams.RecordContact(e.watches.Contact(recorder.Kind))
		e.permits.RecordInTouch(e.watches.Contact(recorder.Kind))
	})
	e.receiver = receiver.New(platform.Codec{}, e.dispatcher, e.accounting, e.pool, receiver.WithMemory(e.memory),
		receiver.WithLog(log), receiver.WithGuard(e.guard), receiver.WithStreams(e.streams), receiver.WithScope(e.metrics.Scope()), receiver.WithPreviews(e.previews()))
	e.callers = e.newServer(e.receiver, clientLimits(resolver.Limits{}), acceptor.WithDescriptors(descriptorShares(cfg.Limits.Descriptors).callers, 2), acceptor.WithRelief(e.memory.Relieve))
	e.applyClientLimits()
	return e
}

// evacuationWait returns how long a watch of evacuations waits, given the time within which an
// evacuation must take effect.
func evacuationWait(delay time.Duration) time.Duration {
	return follower.WatchWait(max(delay-arrivalTime, time.Millisecond)) // 0 would be unlimited
}

// warningTimes returns the least time between watches of warnings, and how long one waits, given
// the delay that is tolerated. Crashes and their answers are written by many instances within a
// second; each write would end the watches of all data centres.
func warningTimes(delay time.Duration) (interval, wait time.Duration) {
	both := follower.WatchWait(delay)
	interval = min(both/4, maxWarningInterval)
	return interval, both - interval
}

// run serves until the context ends, then shuts down gracefully.
func (e *entry) run(ctx context.Context, reload <-chan os.Signal) error {
	e.log.Info().Str("centre", e.cfg.Centre).Str("region", e.cfg.Region).
		Str("store", e.cfg.Store.Addr).Msg("started")
	failed := make(chan error, 4)
	if err := e.listen(failed); err != nil {
		return err
	}
	defer e.servePreviews()()
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if err := e.accounting.Run(work); err != nil {
			failed <- err
		}
	}()
	wait := follower.WithWait(follower.WatchWait(e.cfg.ChangeDelay()))
	go e.watches.Run(work)
	go follower.New(e.watches, platform.KindConfig, &configHandler{e: e}, wait).Run(work)
	go follower.New(e.watches, platform.KindRunners, &targetHandler{e: e}, wait).Run(work)
	if delay, ok := e.cfg.EvacuateDelay(); ok {
		go follower.New(e.watches, platform.KindEvacuations, &evacuationHandler{e: e}, follower.WithWait(evacuationWait(delay))).Run(work)
	}
	_, warningWait := warningTimes(e.cfg.WarningDelay())
	go follower.New(e.watches, recorder.Kind, e.warnings, follower.WithWait(warningWait)).Run(work)
	go e.warnings.Run(work)
	go e.permits.Run(work)
	go e.streams.Run(work)
	go e.tick(work)
	go e.watchSettings(work, reload)
	select {
	case <-ctx.Done():
		return e.stop(cancel)
	case <-e.aborted:
		e.closeAbruptly()
		return errAborted
	case err := <-failed:
		return err
	}
}

// closeAbruptly closes all listeners and connections.
func (e *entry) closeAbruptly() {
	for _, s := range e.servers {
		_ = s.Close()
	}
}

// listen opens the listeners for callers, readiness probes, peers and metrics, and
// starts their servers.
func (e *entry) listen(failed chan<- error) error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, e.handleReadiness)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", e.metrics.Handler())
	peers := e.watches.Handler(lender.Handler(e.accounting, lender.WithPermits(e.permits)))
	descriptors := descriptorShares(e.cfg.Limits.Descriptors)
	list := []struct {
		addr   string
		server *acceptor.Server
	}{
		{e.cfg.Listen.Callers, e.callers},
		{e.cfg.Listen.Ready, e.newServer(ready, serviceLimits, acceptor.WithDescriptors(maxProbes, 1))},
		{net.JoinHostPort(e.cfg.Addr, e.cfg.PeerPort()), e.newServer(peers, serviceLimits, acceptor.WithDescriptors(descriptors.peers, 1))},
		{net.JoinHostPort(e.cfg.Addr, metricsPort), e.newServer(metrics, serviceLimits, acceptor.WithDescriptors(maxProbes, 1))},
	}
	for _, s := range list {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.addr, err)
		}
		e.servers = append(e.servers, s.server)
		go func() {
			if err := s.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", s.addr, err)
			}
		}()
	}
	return nil
}

// handleReadiness responds to the load balancer's readiness probe: 503 while this
// instance takes no new connections.
func (e *entry) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.targetsListed.Load() || e.receiver.Table() == nil || !e.accounting.Ready() || !e.guard.Ready() || !e.streams.Ready() || !e.dispatcher.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tick runs the periodic work: target expiry, retry limits, idle connections,
// relay updates and probes of the direct path to the store.
func (e *entry) tick(ctx context.Context) {
	waiter.Every(ctx, tickInterval, func(now time.Time) {
		var gone []follower.Target
		e.dispatcher.WithRoster(func(r *follower.Roster) {
			r.Expire(now)
			gone = r.TakeGone()
			if e.targetsListed.Load() {
				e.permits.ForgetUnlisted(r.Has)
			}
		})
		for _, target := range gone {
			e.forgetTarget(target)
		}
		if _, ok := e.cfg.EvacuateDelay(); ok {
			e.changeEvacuations(func(ev *restrictor.Evacuations) { ev.Expire(now) })
		}
		e.permits.Tick(ctx, now)
		instances := e.accounting.InstanceCount()
		e.dispatcher.SetBurst(e.settings.Load().Bounds.RetryReserve * usableRetryRatio / float64(max(1, instances)))
		e.pool.CloseExpired(now)
		e.updateRelays()
		e.updateStreams()
		e.memory.Report()
		if path, due := e.paths.probe(ctx); due {
			// The Done function of the path records the result.
			go func() { _ = e.store.Probe(path) }()
		}
	})
}

// updateRelays sets the relays of the store paths when the targets or the routing
// table have changed.
func (e *entry) updateRelays() {
	var version int64
	e.dispatcher.WithRoster(func(r *follower.Roster) { version = r.Version() })
	table := e.receiver.Table()
	if table == nil || version == e.relayInputs.rosterVersion && table == e.relayInputs.table {
		return
	}
	e.relayInputs.rosterVersion, e.relayInputs.table = version, table
	e.paths.setRelays(e.relayAddrs(table))
}

// updateStreams tells which software versions serve the routes whose streams may be
// resumed.
func (e *entry) updateStreams() {
	table := e.receiver.Table()
	if table == nil || !e.targetsListed.Load() {
		return
	}
	now, keep, shared := time.Now(), e.streams.KeepTime(), make(map[string]bool)
	maps.DeleteFunc(e.streamServices, func(_ string, services map[string]time.Time) bool {
		maps.DeleteFunc(services, func(_ string, at time.Time) bool { return now.Sub(at) > keep })
		return len(services) == 0
	})
	var longest time.Duration
	for _, r := range table.Routes() {
		if !r.Resumable {
			continue
		}
		longest = max(longest, r.Timeout)
		services := e.servicesLately(now, r)
		for name := range services {
			shared[name] = shared[name] || len(services) > 1
		}
	}
	e.streams.SetLifetime(longest)
	for name, shared := range shared {
		if s, ok := table.Service(name); ok {
			e.streams.SetServing(name, e.dispatcher.Versions(s, restrictor.Places{}), shared)
		}
	}
}

// servicesLately returns the services at which streams of a route may have begun, with the
// time when the route last led there.
func (e *entry) servicesLately(now time.Time, r resolver.Route) map[string]time.Time {
	key := r.Host + r.Prefix
	services, ok := e.streamServices[key]
	if !ok {
		services = make(map[string]time.Time)
		e.streamServices[key] = services
	}
	for _, s := range r.Shares {
		if s.Weight > 0 {
			services[s.Service] = now
		}
	}
	return services
}

// relayAddrs returns the addresses of the relays beside the targets of engine
// services, those of this instance's region first.
func (e *entry) relayAddrs(table *resolver.Table) []string {
	var local, remote []string
	e.dispatcher.WithRoster(func(r *follower.Roster) {
		for _, s := range table.Services() {
			if s.Engine == nil {
				continue
			}
			for _, t := range r.Ready(s.Name) {
				host, _, err := net.SplitHostPort(t.Addr)
				if err != nil {
					continue
				}
				addr := net.JoinHostPort(host, e.cfg.PeerPort())
				if e.cfg.Regions[t.Centre] == e.cfg.Region {
					local = append(local, addr)
				} else {
					remote = append(remote, addr)
				}
			}
		}
	})
	return append(local, remote...)
}

// forgetTarget removes the dispatcher's state and the connections of a removed target.
func (e *entry) forgetTarget(t follower.Target) {
	e.dispatcher.Forget(t.ID)
	e.forgetCold(t)
	e.pool.CloseIdle(t.Addr)
	if !t.Leaving {
		e.guard.RecordLapse(quarantiner.Target{ID: t.ID, Incarnation: t.Incarnation})
	}
	e.log.Info().Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Msg("target gone")
}

// stop fails the readiness probes so that the load balancer sends no new
// connections, finishes the requests in flight and returns the unused tokens.
func (e *entry) stop(cancel func()) error {
	started := time.Now()
	e.stopping.Store(true)
	e.log.Info().Int64("inflight", e.receiver.InFlight()).Msg("stopping")
	// http.Server.SetKeepAlivesEnabled would close idle connections at once, also one on
	// which a request is just being read.
	e.receiver.Drain()
	deadline := started.Add(e.settings.Load().Grace() - shutdownMargin)
	// A request that arrives later could not finish within the grace period. Until then
	// requests on open connections need tokens, and peers may borrow them.
	time.AfterFunc(drainDelay, func() {
		e.receiver.Close()
		e.accounting.Stop()
	})
	for time.Now().Before(deadline) && (time.Since(started) < drainDelay || e.receiver.InFlight() > 0) {
		time.Sleep(tickInterval / 5)
	}
	ctx, cancelShutdown := context.WithDeadline(context.Background(), started.Add(e.settings.Load().Grace()-shutdownMargin/2))
	defer cancelShutdown()
	e.receiver.Close() // nothing is passed on from a connection that Shutdown takes for idle
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Int64("inflight", e.receiver.InFlight()).Err(err).Msg("requests did not finish in time")
	}
	cancel()
	if err := e.streams.Close(ctx); err != nil {
		e.log.Warn().Err(err).Msg("notes of streams not stored; callers cannot take these streams up while versions are mixed")
	}
	if err := e.accounting.Close(ctx); err != nil {
		e.log.Warn().Err(err).Msg("tokens not returned; the next process of this instance takes them over")
	}
	e.log.Info().Int64("dropped_lines", e.logWriter.Dropped()).Msg("stopped")
	return nil
}
