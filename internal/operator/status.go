package operator

import (
	"fmt"

	"daisylane/internal/wirepb"
)

type status struct{ env *env }

func newStatus(env *env) any { return &status{env: env} }

// Execute implements [flags.Commander].
func (c *status) Execute([]string) error {
	p, pool, err := c.env.connect()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := c.env.context()
	defer cancel()
	list, err := members(ctx, p)
	if err != nil {
		return err
	}
	answers := askAll[*wirepb.Report](ctx, pool, list, "status", &wirepb.Status{})
	f := newFleet(answers)
	err = c.env.print(answers, f.print)
	if err == nil && len(f.silent) > 0 {
		err = fmt.Errorf("%d of %d processes did not answer", len(f.silent), len(answers))
	}
	return err
}
