// Package starter builds the entry and side processes for the users' platform and
// runs them until SIGTERM.
//
// # Usage
//
//	os.Exit(starter.RunEntry(os.Args[1:], os.Stdout, os.Stderr))
package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"daisylane/internal/accountant"
	"daisylane/internal/invoker"
	"daisylane/internal/logger"
	"daisylane/internal/tunneler"
	"daisylane/platform"
)

// PlatformFlag is the flag that runs an entry or a side on the users' platform.
const PlatformFlag = "--platform"

// exitReplaced is the exit code of a process that a newer process of the same
// instance has replaced.
const exitReplaced = 3

// logQueueLines is the capacity of the log queue. It holds one second of log lines
// of a fully loaded instance, at two lines per request.
const logQueueLines = 512

type options struct {
	Platform bool   `long:"platform" description:"run on the users' platform with its settings"`
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the platform (default: the file that the platform provides)"`
	Level    string `long:"level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// program describes a process that runs on the users' platform.
type program struct {
	name        string
	description string
	check       func(platform.Settings) error
	run         func(ctx context.Context, cfg platform.Settings, opts options, log zerolog.Logger, lines *logger.AsyncWriter) error
}

// RunEntry runs an entry and returns its exit code.
func RunEntry(args []string, stdout, stderr io.Writer) int {
	return program{
		name: "entry", description: "Serves callers on the users' platform. SIGTERM stops it gracefully, SIGHUP reloads the settings.",
		check: platform.Settings.CheckEntry, run: serveEntry,
	}.main(args, stdout, stderr)
}

// RunSide runs the relay beside a target and returns its exit code. The relay
// forwards calls of entries to the store.
func RunSide(args []string, stdout, stderr io.Writer) int {
	return program{
		name: "side", description: "Relays calls of entries to the store of the users' platform. SIGTERM stops it.",
		check: platform.Settings.Check, run: serveRelay,
	}.main(args, stdout, stderr)
}

func (p program) main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.LongDescription = p.name, p.description
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return invoker.ExitOK
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return invoker.ExitUsage
	}
	if opts.Settings == "" {
		opts.Settings = platform.SettingsPath()
	}
	cfg, err := platform.LoadSettings(opts.Settings)
	if err == nil {
		err = p.check(cfg)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return invoker.ExitUsage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return invoker.ExitOK
	}
	return p.start(cfg, opts, stdout, stderr)
}

func (p program) start(cfg platform.Settings, opts options, stdout, stderr io.Writer) int {
	lines := logger.NewAsyncWriter(stdout, logQueueLines)
	defer lines.Close()
	log, err := logger.New(lines, opts.Level)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return invoker.ExitUsage
	}
	log = log.With().Str("instance", cfg.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = p.run(ctx, cfg, opts, log, lines)
	switch {
	case err == nil:
		return invoker.ExitOK
	case errors.Is(err, accountant.ErrReplaced):
		log.Error().Err(err).Msg("process replaced by a newer one of this instance")
		return exitReplaced
	}
	log.Error().Err(err).Msg("process failed")
	return invoker.ExitFailure
}

func serveEntry(ctx context.Context, cfg platform.Settings, opts options, log zerolog.Logger, lines *logger.AsyncWriter) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return newEntry(cfg, opts.Settings, log, lines).run(ctx, reload)
}

func serveRelay(ctx context.Context, cfg platform.Settings, _ options, log zerolog.Logger, _ *logger.AsyncWriter) error {
	signal.Ignore(syscall.SIGHUP) // a side uses no setting that can change at run time
	addr := net.JoinHostPort(cfg.Addr, cfg.PeerPort())
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	log.Info().Str("listen", addr).Str("store", cfg.Store.Addr).Msg("started")
	defer log.Info().Msg("stopped")
	if err := tunneler.New(cfg.Store.Addr, log).Serve(ctx, l); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}
