package operator

import (
	"context"
	"fmt"
	"io"

	"daisylane/internal/connector"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

type targetDrain struct {
	env  *env
	Undo bool `long:"undo" description:"return the target to service"`
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"true" description:"name of a target, or instance name of its side"`
	} `positional-args:"true"`
}

func newTargetDrain(env *env) any { return &targetDrain{env: env} }

// Execute implements [flags.Commander].
func (c *targetDrain) Execute([]string) error { return c.env.withProcesses(c.run) }

func (c *targetDrain) run(ctx context.Context, pool *connector.Pool, list []watcher.Member) error {
	var done []string
	for _, m := range list {
		if m.Role != watcher.Side || m.Target != c.Args.Target && m.Name != c.Args.Target {
			continue
		}
		if err := c.drain(ctx, pool, m); err != nil {
			return err
		}
		done = append(done, m.Name)
	}
	if len(done) == 0 {
		return fmt.Errorf("target %s: %w among the registered sides, see 'daisylane status'", c.Args.Target, errAbsent)
	}
	return c.env.print(map[string]any{"sides": done, "undo": c.Undo}, func(w io.Writer) {
		for _, name := range done {
			if c.Undo {
				printLine(w, "%s is in service again", name)
			} else {
				printLine(w, "%s takes no new work, running work is finished", name)
			}
		}
	})
}

func (c *targetDrain) drain(ctx context.Context, pool *connector.Pool, m watcher.Member) error {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	if _, err := connector.Call[*wirepb.Drained](ctx, pool, m.Addr, "", &wirepb.Drain{Undo: c.Undo}); err != nil {
		return fmt.Errorf("drain %s at %s: %w, retry the command", m.Name, m.Addr, err)
	}
	return nil
}
