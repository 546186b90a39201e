// Package starter assembles the processes that run on the users' platform and
// runs them until SIGTERM.
//
// # Usage
//
//	os.Exit(starter.Entry(os.Args[1:], os.Stdout, os.Stderr))
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

// Flag selects this way to run an entry.
const Flag = "--platform"

// exitReplaced is the exit code after a newer process of this instance took over.
const exitReplaced = 3

// logLines is how many lines may wait to be written: a second of a fully loaded
// instance at two lines a request.
const logLines = 512

type options struct {
	Platform bool   `long:"platform" description:"run on the users' platform with the settings that it gives"`
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the platform, usually found by itself"`
	Level    string `long:"level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"level of the log"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// program is a process on the platform.
type program struct {
	name  string
	text  string
	check func(platform.Settings) error
	run   func(ctx context.Context, cfg platform.Settings, opts options, log zerolog.Logger, lines *logger.Async) error
}

// Entry runs an entry and returns its exit code.
func Entry(args []string, stdout, stderr io.Writer) int {
	return program{
		name: "entry", text: "Serves callers on the users' platform. SIGTERM stops it gracefully, SIGHUP reads the settings again.",
		check: platform.Settings.CheckEntry, run: runEntry,
	}.main(args, stdout, stderr)
}

// Side runs the relay beside a target and returns its exit code.
func Side(args []string, stdout, stderr io.Writer) int {
	return program{
		name: "side", text: "Relays calls of entries to the store of the users' platform. SIGTERM stops it.",
		check: platform.Settings.Check, run: runSide,
	}.main(args, stdout, stderr)
}

func (p program) main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.LongDescription = p.name, p.text
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return invoker.OK
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return invoker.Usage
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
		return invoker.Usage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return invoker.OK
	}
	return p.start(cfg, opts, stdout, stderr)
}

func (p program) start(cfg platform.Settings, opts options, stdout, stderr io.Writer) int {
	lines := logger.NewAsync(stdout, logLines)
	defer lines.Close()
	log, err := logger.New(lines, opts.Level)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.name, err)
		return invoker.Usage
	}
	log = log.With().Str("instance", cfg.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err = p.run(ctx, cfg, opts, log, lines)
	switch {
	case err == nil:
		return invoker.OK
	case errors.Is(err, accountant.ErrReplaced):
		log.Error().Err(err).Msg("replaced")
		return exitReplaced
	}
	log.Error().Err(err).Msg("failed")
	return invoker.Failure
}

func runEntry(ctx context.Context, cfg platform.Settings, opts options, log zerolog.Logger, lines *logger.Async) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return newEntry(cfg, opts.Settings, log, lines).run(ctx, reload)
}

func runSide(ctx context.Context, cfg platform.Settings, _ options, log zerolog.Logger, _ *logger.Async) error {
	signal.Ignore(syscall.SIGHUP) // nothing in use changes while the process runs
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
