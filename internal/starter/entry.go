package starter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/accountant"
	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/lender"
	"daisylane/internal/logger"
	"daisylane/internal/receiver"
	"daisylane/internal/reporter"
	"daisylane/internal/resolver"
	"daisylane/internal/retrier"
	"daisylane/internal/waiter"
	"daisylane/platform"
)

const (
	metricsPort = "9464"
	// gcPercent trades memory for processor time: a loaded entry has 20 MB of live data.
	gcPercent   = 300
	memoryShare = 0.7 // of the instance's memory that the heap may fill before it is collected more often

	tickTime      = 250 * time.Millisecond  // connections, lapsed targets, relays
	retryPart     = 0.6                     // of the common retry budget that the instances use; the rest covers restarts and the sliding window
	noticeTime    = 2500 * time.Millisecond // until the balancer has seen two failed probes of an instance that stops
	endMargin     = 700 * time.Millisecond  // of the grace period, kept for the last writes
	idleTimeout   = 5 * time.Minute         // of callers' connections; the configuration's limit is shorter for them
	readTimeout   = 10 * time.Second        // for the head of a request
	maxHeaderSize = 64 << 10
	accountRetry  = 10 // retries of one account that may come at once
)

// entry is a process on the platform.
type entry struct {
	cfg      platform.Settings                 // of the start
	settings atomic.Pointer[platform.Settings] // in force
	path     string
	log      zerolog.Logger
	lines    *logger.Async
	store    *platform.Store
	paths    *paths
	money    *accountant.Accountant
	dispatch *receiver.Dispatch
	receiver *receiver.Receiver
	pool     *forwarder.Pool
	metrics  *reporter.Reporter
	callers  *http.Server
	listed   atomic.Bool // the targets are known
	stopping atomic.Bool
	relayed  struct { // what the relays were listed from; used by tick only
		roster int64
		table  *resolver.Table
	}
}

func newEntry(cfg platform.Settings, path string, log zerolog.Logger, lines *logger.Async) *entry {
	debug.SetGCPercent(gcPercent)
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	retries := retrier.New(source, retrier.WithRefusalsCounted(),
		retrier.WithShares(0, 1), retrier.WithBursts(1, accountRetry)) // the share is applied below
	e := &entry{
		cfg: cfg, path: path, log: log, lines: lines,
		paths: newPaths(cfg.Store.Addr, log),
		pool:  forwarder.New(platform.RequestID),
	}
	e.settings.Store(&cfg)
	e.metrics = reporter.New(map[string]string{"instance": cfg.Name}, reporter.FlushInterval, func(err error) {
		log.Error().Err(err).Msg("metric dropped")
	})
	e.store = platform.NewStore(cfg.Store.Addr, e.paths, platform.WithObserver(func(t http.RoundTripper) http.RoundTripper {
		return reporter.Transport(e.metrics.Scope(), t)
	}))
	e.dispatch = receiver.NewDispatch(chooser.Place{Centre: cfg.Centre, Region: cfg.Region}, cfg.Regions, retries)
	e.apply(cfg)
	e.money = accountant.New(e.store, cfg.Name+"-"+cfg.Addr, net.JoinHostPort(cfg.Addr, cfg.PeerPort()), lender.NewClient(), log)
	e.receiver = receiver.New(platform.Codec{}, e.dispatch, e.money, e.pool,
		receiver.WithLog(log), receiver.WithScope(e.metrics.Scope()))
	return e
}

// run serves until the context ends, then stops gracefully.
func (e *entry) run(ctx context.Context, reload <-chan os.Signal) error {
	e.log.Info().Str("centre", e.cfg.Centre).Str("region", e.cfg.Region).
		Str("store", e.cfg.Store.Addr).Msg("started")
	failed := make(chan error, 4)
	if err := e.listen(failed); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if err := e.money.Run(work); err != nil {
			failed <- err
		}
	}()
	go follower.New(e.store, platform.KindConfig, &configHandler{e: e}).Run(work)
	go follower.New(e.store, platform.KindRunners, &rosterHandler{e: e}).Run(work)
	go e.tick(work)
	go e.followSettings(work, reload)
	select {
	case <-ctx.Done():
		return e.stop(cancel)
	case err := <-failed:
		return err
	}
}

// listen opens the addresses for callers, for the balancer's probes and for metrics.
func (e *entry) listen(failed chan<- error) error {
	e.callers = &http.Server{
		Handler: e.receiver, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderSize,
		ErrorLog: nil,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, e.probe)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", e.metrics.Handler())
	list := []struct {
		addr   string
		server *http.Server
	}{
		{e.cfg.Listen.Callers, e.callers},
		{e.cfg.Listen.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: readTimeout}},
		{net.JoinHostPort(e.cfg.Addr, e.cfg.PeerPort()), &http.Server{Handler: lender.Handler(e.money), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout}},
		{net.JoinHostPort(e.cfg.Addr, metricsPort), &http.Server{Handler: metrics, ReadHeaderTimeout: readTimeout}},
	}
	for _, s := range list {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.addr, err)
		}
		go func() {
			if err := s.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s: %w", s.addr, err)
			}
		}()
	}
	return nil
}

// probe tells the balancer whether this instance takes new connections.
func (e *entry) probe(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.listed.Load() || e.receiver.Table() == nil || !e.money.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tick does what is due from time to time.
func (e *entry) tick(ctx context.Context) {
	waiter.Every(ctx, tickTime, func(now time.Time) {
		var gone []follower.Target
		e.dispatch.Roster(func(r *follower.Roster) { gone = r.Expire(now) })
		for _, g := range gone {
			e.forget(g, "lapsed")
		}
		n := e.money.Instances()
		e.dispatch.SetBurst(e.settings.Load().Bounds.RetryReserve * retryPart / float64(max(1, n)))
		e.pool.Sweep(now)
		e.updateRelays()
		if way, due := e.paths.probe(ctx); due {
			go func() { _ = e.store.Probe(way) }() // the way notes the result
		}
	})
}

// updateRelays tells the paths the relays beside the targets when the targets or
// the table have changed.
func (e *entry) updateRelays() {
	var version int64
	e.dispatch.Roster(func(r *follower.Roster) { version = r.Version() })
	table := e.receiver.Table()
	if table == nil || version == e.relayed.roster && table == e.relayed.table {
		return
	}
	e.relayed.roster, e.relayed.table = version, table
	e.paths.setRelays(e.relays(table))
}

// relays returns the addresses of the relays beside the targets of engine
// services, those of the own region first.
func (e *entry) relays(table *resolver.Table) []string {
	var near, far []string
	e.dispatch.Roster(func(r *follower.Roster) {
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
					near = append(near, addr)
				} else {
					far = append(far, addr)
				}
			}
		}
	})
	return append(near, far...)
}

// forget drops what is known of a target that is gone.
func (e *entry) forget(t follower.Target, reason string) {
	e.dispatch.Forget(t.ID)
	e.pool.Forget(t.Addr)
	e.log.Info().Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Str("reason", reason).Msg("target gone")
}

// stop lets the balancer see that this instance is not ready, finishes the
// requests in flight, then returns the tokens that are left.
func (e *entry) stop(cancel func()) error {
	began := time.Now()
	e.stopping.Store(true)
	e.log.Info().Int64("inflight", e.receiver.Inflight()).Msg("stopping")
	e.callers.SetKeepAlivesEnabled(false)
	e.money.Stop()
	end := began.Add(e.settings.Load().Grace() - endMargin)
	time.AfterFunc(noticeTime, e.receiver.Close) // what comes later could not end in time
	for time.Now().Before(end) && (time.Since(began) < noticeTime || e.receiver.Inflight() > 0) {
		time.Sleep(tickTime / 5)
	}
	ctx, done := context.WithDeadline(context.Background(), began.Add(e.settings.Load().Grace()-endMargin/2))
	defer done()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Warn().Int64("inflight", e.receiver.Inflight()).Err(err).Msg("requests did not finish in time")
	}
	cancel()
	if err := e.money.Close(ctx); err != nil {
		e.log.Warn().Err(err).Msg("tokens not returned, the next process of this instance has them")
	}
	e.log.Info().Int64("dropped_lines", e.lines.Dropped()).Msg("stopped")
	return nil
}
