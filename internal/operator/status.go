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
func (c *status) Execute([]string) error { return c.env.withProcesses(c.run) }

func (c *status) run(ctx context.Context, pool *connector.Pool, list []watcher.Member) error {
	replies := queryAll[*wirepb.Report](ctx, pool, list, "status", &wirepb.Status{})
	f := newFleet(replies)
	err := c.env.print(replies, f.print)
	if err == nil && len(f.unresponsive) > 0 {
		err = fmt.Errorf("%d of %d processes did not answer", len(f.unresponsive), len(replies))
	}
	return err
}
