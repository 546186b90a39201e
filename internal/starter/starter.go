// Package starter assembles an entry that runs on the users' platform and runs
// it until SIGTERM.
//
// # Usage
//
//	os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"daisylane/internal/accountant"
	"daisylane/internal/invoker"
	"daisylane/internal/logger"
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

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.LongDescription = "entry", "Serves callers on the users' platform. SIGTERM stops it gracefully, SIGHUP reads the settings again."
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return invoker.OK
		}
		_, _ = fmt.Fprintf(stderr, "entry: %v\n", err)
		return invoker.Usage
	}
	if opts.Settings == "" {
		opts.Settings = platform.SettingsPath()
	}
	cfg, err := platform.LoadSettings(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return invoker.Usage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return invoker.OK
	}
	return run(cfg, opts, stdout, stderr)
}

func run(cfg platform.Settings, opts options, stdout, stderr io.Writer) int {
	async := logger.NewAsync(stdout, logLines)
	defer async.Close()
	log, err := logger.New(async, opts.Level)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "entry: %v\n", err)
		return invoker.Usage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	e := newEntry(cfg, opts.Settings, log, async)
	err = e.run(ctx, reload)
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
