// Package invoker implements the main functions of the binaries: it parses command
// lines, loads settings and maps errors to exit codes.
//
// # Usage
//
// A process that runs until it receives a signal:
//
//	os.Exit(invoker.RunProcess(invoker.Program[Settings]{
//		Name: "side", Description: "Runs requests at one target.", Defaults: Defaults(), Run: Run,
//	}, os.Args[1:], os.Stdout, os.Stderr))
//
// A binary with commands, which implement [flags.Commander]:
//
//	table := []invoker.Command{{"run", "Run an experiment", &runCommand{}}}
//	os.Exit(invoker.RunCommand("prober", table, os.Args[1:]))
package invoker

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

// Exit codes common to all binaries.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Program is a process that runs with settings until its context ends.
type Program[T checker.Checker] struct {
	Name        string
	Description string // description for --help
	Defaults    T      // settings used where the file has none
	Run         func(ctx context.Context, cfg T, log io.Writer) error
	ExitCodes   map[error]int // exit codes of errors other than ExitFailure
}

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// RunProcess loads the settings of a program, runs it until it ends or receives
// SIGTERM or SIGINT, and returns the exit code.
func RunProcess[T checker.Checker](p Program[T], args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.LongDescription = p.Name, p.Description
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return ExitOK
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	cfg, err := loader.Load(opts.Settings, p.Defaults)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, cfg, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return p.exitCode(err)
	}
	return ExitOK
}

func (p Program[T]) exitCode(err error) int {
	for known, code := range p.ExitCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return ExitFailure
}

// Command is a subcommand of a binary.
type Command struct {
	Name        string
	Description string
	Commander   flags.Commander // executes the command; its tagged fields are the options
}

// RunCommand runs the subcommand that args select, and returns the exit code.
func RunCommand(name string, table []Command, args []string) int {
	parser := flags.NewNamedParser(name, flags.Default)
	for _, c := range table {
		if _, err := parser.AddCommand(c.Name, c.Description, "", c.Commander); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &usage):
		return ExitFailure
	case usage.Type == flags.ErrHelp:
		return ExitOK
	default:
		return ExitUsage
	}
}
