// Package invoker implements the main functions of the binaries: it parses command
// lines, loads settings and maps errors to exit codes.
//
// # Usage
//
// A process that runs until it receives a signal:
//
//	os.Exit(invoker.Process(invoker.Program[Settings]{
//		Name: "side", Text: "Runs requests at one target.", Defaults: Defaults(), Run: Run,
//	}, os.Args[1:], os.Stdout, os.Stderr))
//
// A binary with commands, which implement [flags.Commander]:
//
//	os.Exit(invoker.Commands("prober", []invoker.Command{{"run", "Run an experiment", &runCommand{}}}, os.Args[1:]))
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
	OK      = 0
	Failure = 1
	Usage   = 2
)

// Program is a process that runs with settings until its context ends.
type Program[T checker.Checker] struct {
	Name     string
	Text     string // description for --help
	Defaults T      // settings used where the file has none
	Run      func(ctx context.Context, cfg T, log io.Writer) error
	Codes    map[error]int // exit codes of errors other than Failure
}

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" required:"true" description:"settings file in TOML"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Process loads the settings of a program, runs it until it ends or receives SIGTERM
// or SIGINT, and returns the exit code.
func Process[T checker.Checker](p Program[T], args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name, parser.LongDescription = p.Name, p.Text
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(stdout, err)
			return OK
		}
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return Usage
	}
	cfg, err := loader.Load(opts.Settings, p.Defaults)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return Usage
	}
	if opts.Check {
		_, _ = fmt.Fprintf(stdout, "%s: valid\n", opts.Settings)
		return OK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, cfg, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return p.exitCode(err)
	}
	return OK
}

func (p Program[T]) exitCode(err error) int {
	for known, code := range p.Codes {
		if errors.Is(err, known) {
			return code
		}
	}
	return Failure
}

// Command is a subcommand of a binary.
type Command struct {
	Name  string
	Text  string
	Value flags.Commander // executes the command; its tagged fields are the options
}

// Commands runs the subcommand that args select, and returns the exit code.
func Commands(name string, table []Command, args []string) int {
	parser := flags.NewNamedParser(name, flags.Default)
	for _, c := range table {
		if _, err := parser.AddCommand(c.Name, c.Text, "", c.Value); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return Failure
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return OK
	case !errors.As(err, &usage):
		return Failure
	case usage.Type == flags.ErrHelp:
		return OK
	default:
		return Usage
	}
}
