package launcher

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"daisylane/internal/loader"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitReplaced = 3 // the shards were taken over, start a new process
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "entry"
	parser.LongDescription = "Serves callers over HTTP and routes their requests to targets. SIGTERM stops it gracefully."
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, "entry:", err)
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
	err = Run(ctx, cfg, stderr)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ErrSealed):
		_, _ = fmt.Fprintln(stderr, "entry:", err)
		return exitReplaced
	default:
		_, _ = fmt.Fprintln(stderr, "entry:", err)
		return exitFailure
	}
}
