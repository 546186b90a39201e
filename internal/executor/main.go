package executor

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/invoker"
	"daisylane/internal/logger"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/tracer"
	"daisylane/internal/watcher"
)

const traceFlushTimeout = 5 * time.Second

// Main runs the side command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return invoker.RunProcess(invoker.Program[Settings]{
		Name:        "side",
		Description: "Runs requests of routers at one target. SIGTERM stops it gracefully.",
		Defaults:    Defaults(),
		Run:         Run,
	}, args, stdout, stderr)
}

// Run runs a side until ctx ends and then shuts it down gracefully. It writes the log
// to out.
func Run(ctx context.Context, cfg Settings, out io.Writer) error {
	instance := watcher.NewInstanceName(cfg.Name)
	log, err := logger.New(out, cfg.Level)
	if err != nil {
		return fmt.Errorf("set up logging: %w", err)
	}
	log = log.With().Str("instance", instance).Logger()
	trace := cfg.Trace
	trace.Role, trace.Instance, trace.Centre, trace.Region = watcher.Side, instance, cfg.Centre, cfg.Region
	spans, err := tracer.New(ctx, trace)
	if err != nil {
		return fmt.Errorf("set up tracing: %w", err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
		defer cancel()
		_ = spans.Shutdown(ctx)
	}()
	credentials, err := cfg.TLS.Load()
	if err != nil {
		return fmt.Errorf("load TLS files: %w", err)
	}
	platform := storer.New(cfg.Platform, storer.WithName(instance))
	registry := NewPlatformRegistry(platform)
	pool := cfg.newPool(instance, credentials)
	defer pool.Close()
	metrics := reporter.New(map[string]string{"instance": cfg.Name}, reporter.FlushInterval, func(err error) {
		log.Error().Err(err).Msg("metric dropped")
	})
	defer metrics.Close()
	opts := []Option{WithInstance(instance), WithLogger(log), WithTracer(spans), WithScope(metrics.Scope())}
	if len(cfg.Trust) > 0 {
		bundle, err := NewBundleSyncer(cfg, instance, pool, platform, log)
		if err != nil {
			return err
		}
		inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		go bundle.Run(inner)
		opts = append(opts, WithAccessPolicy(bundle), WithEngineFencing(bundle), WithHandlers(bundle.RegisterHandlers))
	}
	side, err := New(cfg, registry, NewRemoteSettler(pool, registry), opts...)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	if cfg.HTTP != "" {
		stop, err := serveHTTP(cfg.HTTP, side.Handler(metrics.Handler()), log)
		if err != nil {
			_ = ln.Close()
			return err
		}
		defer stop()
	}
	return side.Serve(ctx, ln)
}

// newPool returns the connection pool of an instance with these settings.
func (s Settings) newPool(instance string, credentials *credentialer.Credentials) *connector.Pool {
	var opts []connector.PoolOption
	if credentials != nil {
		opts = append(opts, connector.WithClientTLS(credentials.Client(watcher.Entry, watcher.Side)))
	}
	return connector.NewPool(s.helloFunc(instance), opts...)
}
