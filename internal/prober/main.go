package prober

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"daisylane/internal/invoker"
	"daisylane/internal/loader"
)

type runCommand struct {
	JSON bool `long:"json" description:"print the report as JSON"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"experiment file"`
	} `positional-args:"true"`
}

// Main runs a command line and returns the exit status.
func Main(args []string) int {
	return invoker.RunCommand("prober", []invoker.Command{
		{Name: "run", Description: "Run an experiment", Commander: &runCommand{}},
		{Name: "check", Description: "Print a report and fail if it shows a violated guarantee", Commander: &checkCommand{}},
		{Name: "call", Description: "Send one request and print the response", Commander: &callCommand{}},
	}, args)
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
