package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"daisylane/internal/loader"
)

const exitUsage = 2

type runCommand struct {
	JSON bool `long:"json" description:"print the report as JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"experiment file"`
	} `positional-args:"true"`
}

// Main runs a command line and returns the exit status.
func Main(args []string) int {
	parser := flags.NewNamedParser("prober", flags.Default)
	for _, c := range []struct {
		name, text string
		command    any
	}{
		{"run", "Run an experiment", &runCommand{}},
		{"check", "Print a report and fail if it shows a broken promise", &checkCommand{}},
		{"call", "Send one request and print the answer", &callCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.text, "", c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case !errors.As(err, &usage):
		return 1
	case usage.Type == flags.ErrHelp:
		return 0
	}
	return exitUsage
}

// Execute implements [flags.Commander].
func (c *runCommand) Execute([]string) error {
	exp, err := loader.Load(c.Args.File, Defaults)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := Run(ctx, exp)
	if err != nil {
		return err
	}
	if !c.JSON {
		return report.Write(os.Stdout)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
