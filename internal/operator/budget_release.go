package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"daisylane/internal/recoverer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

type budgetRelease struct {
	env  *env
	Args struct {
		Side string `positional-arg-name:"SIDE" required:"true" description:"instance name of the side, as 'status' shows it"`
	} `positional-args:"true"`
}

func newBudgetRelease(env *env) any { return &budgetRelease{env: env} }

type releaseConfirmation struct {
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
}

// Execute implements [flags.Commander].
func (c *budgetRelease) Execute([]string) error {
	p, cfg, err := c.env.platform()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.context()
	defer cancel()
	if err := checkGone(ctx, p, c.Args.Side); err != nil {
		return err
	}
	body, err := json.Marshal(releaseConfirmation{cfg.Author, time.Now().UTC()})
	if err != nil {
		return fmt.Errorf("encode confirmation: %w", err)
	}
	// On a conflict the confirmation already exists, which has the same effect.
	_, err = p.Put(ctx, recoverer.GonePrefix+c.Args.Side, body, 0)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return fmt.Errorf("confirm that %s is gone: %w, retry the command", c.Args.Side, err)
	}
	return c.env.print(map[string]string{"side": c.Args.Side}, func(w io.Writer) {
		printLine(w, "confirmed that %s is gone", c.Args.Side)
	})
}

// checkGone returns an error if the side is still in the instance list, because its
// requests could still be charged, or if no registration has its name.
func checkGone(ctx context.Context, p platformClient, side string) error {
	item, err := p.Get(ctx, watcher.Key(watcher.Side, side))
	if errors.Is(err, storer.ErrAbsent) {
		return fmt.Errorf("side %s: %w among the registrations, see 'daisylane status'", side, errAbsent)
	}
	if err != nil {
		return fmt.Errorf("read registration of %s: %w", side, err)
	}
	m, err := decodeMember(item)
	if err != nil {
		return err
	}
	instances, err := p.Instances(ctx)
	if err != nil {
		return fmt.Errorf("read instance list: %w", err)
	}
	for _, i := range instances {
		if i.Name == m.Name || i.Addr == m.Addr {
			return fmt.Errorf("side %s is still in the instance list with state %s, its work could still be charged", side, i.State)
		}
	}
	return nil
}
