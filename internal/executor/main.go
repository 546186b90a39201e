package executor

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/loader"
	"daisylane/internal/logger"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/tracer"
	"daisylane/internal/watcher"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const traceFlushTime = 5 * time.Second

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "side"
	parser.LongDescription = "Runs requests of routers at one target. SIGTERM stops it gracefully."
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, "side:", err)
		return exitUsage
	}
	cfg, err := loader.Load(opts.Settings, Defaults())
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := Run(ctx, cfg, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, "side:", err)
		return exitFailure
	}
	return exitOK
}

// Run runs a side until the context ends and then stops it gracefully. Log
// events go to out.
func Run(ctx context.Context, cfg Settings, out io.Writer) error {
	instance := watcher.Incarnate(cfg.Name)
	log, err := logger.New(out, cfg.Level)
	if err != nil {
		return fmt.Errorf("set up log: %w", err)
	}
	log = log.With().Str("instance", instance).Logger()
	trace := cfg.Trace
	trace.Role, trace.Instance, trace.Centre, trace.Region = watcher.Side, instance, cfg.Centre, cfg.Region
	spans, err := tracer.New(ctx, trace)
	if err != nil {
		return fmt.Errorf("set up traces: %w", err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTime)
		defer cancel()
		_ = spans.Shutdown(ctx)
	}()
	credentials, err := cfg.TLS.Load()
	if err != nil {
		return fmt.Errorf("load TLS files: %w", err)
	}
	platform := storer.New(cfg.Platform, storer.WithName(instance))
	registry := NewPlatformRegistry(platform)
	pool := cfg.pool(instance, credentials)
	defer pool.Close()
	metrics := reporter.New(map[string]string{"instance": cfg.Name}, reporter.FlushInterval, func(err error) {
		log.Error().Err(err).Msg("metric dropped")
	})
	defer metrics.Close()
	opts := []Option{WithInstance(instance), WithLogger(log), WithTracer(spans), WithScope(metrics.Scope())}
	if len(cfg.Trust) > 0 {
		bundle, err := NewBundle(cfg, instance, pool, platform, log)
		if err != nil {
			return err
		}
		inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		go bundle.Run(inner)
		opts = append(opts, WithRights(bundle), WithEngines(bundle), WithHandlers(bundle.Register))
	}
	side, err := New(cfg, registry, NewRemote(pool, registry), opts...)
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

func (s Settings) pool(instance string, credentials *credentialer.Credentials) *connector.Pool {
	var opts []connector.PoolOption
	if credentials != nil {
		opts = append(opts, connector.WithClientTLS(credentials.Client(watcher.Entry, watcher.Side)))
	}
	return connector.NewPool(s.identity(instance), opts...)
}
