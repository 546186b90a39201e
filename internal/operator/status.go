package operator

import (
	"context"
	"fmt"

	"daisylane/internal/connector"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

type status struct{ env *env }

func newStatus(env *env) any { return &status{env: env} }

// Execute implements [flags.Commander].
func (c *status) Execute([]string) error { return c.env.reach(c.run) }

func (c *status) run(ctx context.Context, pool *connector.Pool, list []watcher.Member) error {
	answers := askAll[*wirepb.Report](ctx, pool, list, "status", &wirepb.Status{})
	f := newFleet(answers)
	err := c.env.print(answers, f.print)
	if err == nil && len(f.silent) > 0 {
		err = fmt.Errorf("%d of %d processes did not answer", len(f.silent), len(answers))
	}
	return err
}
