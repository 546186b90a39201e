package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/fencer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	// orderTimeout is longer than a side's timeout for its engine.
	orderTimeout     = 40 * time.Second
	maxFenceAttempts = 20
	reasonStale      = "stale"
	fenceRetryWait   = 50 * time.Millisecond
)

type targetOrder struct {
	env     *env
	Model   string `long:"model" description:"model to load or unload"`
	Adapter string `long:"adapter" description:"adapter of the model"`
	Version string `long:"version" description:"version of the model or adapter"`
	Role    string `long:"role" description:"new role, for an order of kind role"`
	Number  uint64 `long:"number" description:"resend the order that was given this number"`
	Args    struct {
		Target string `positional-arg-name:"TARGET" required:"true" description:"name of a target, or instance name of its side"`
		Kind   string `positional-arg-name:"KIND" required:"true" description:"load, unload or role"`
	} `positional-args:"true"`
}

func newTargetOrder(env *env) any { return &targetOrder{env: env} }

// Execute implements [flags.Commander].
func (c *targetOrder) Execute([]string) error {
	o := fencer.Order{Kind: c.Args.Kind, Model: c.Model, Adapter: c.Adapter, Version: c.Version, Role: c.Role}
	if err := o.Check(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	cfg, err := c.env.settings()
	if err != nil {
		return err
	}
	p, pool, err := c.env.connect()
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := c.env.context()
	defer cancel()
	sides, err := c.sides(ctx, p)
	if err != nil {
		return err
	}
	target, number := sides[0].Target, c.Number
	if number == 0 {
		if number, err = allocateNumber(ctx, p, target, o, cfg.Author); err != nil {
			return err
		}
	}
	var done []string
	for _, m := range sides {
		if err := sendOrder(ctx, pool, m, o, number); err != nil {
			return err
		}
		done = append(done, m.Name)
	}
	return c.env.print(map[string]any{"sides": done, "number": number}, func(w io.Writer) {
		for _, name := range done {
			printLine(w, "%s carried out order %d", name, number)
		}
	})
}

// sides returns the registered sides of the target, or an error if there are none.
func (c *targetOrder) sides(ctx context.Context, p platformClient) ([]watcher.Member, error) {
	list, err := listMembers(ctx, p)
	if err != nil {
		return nil, err
	}
	var sides []watcher.Member
	for _, m := range list {
		if m.Role == watcher.Side && (m.Target == c.Args.Target || m.Name == c.Args.Target) {
			sides = append(sides, m)
		}
	}
	if len(sides) == 0 {
		return nil, fmt.Errorf("target %s: %w among the registered sides, see 'daisylane status'", c.Args.Target, errAbsent)
	}
	return sides, nil
}

// allocateNumber allocates the next fencing number of a target. If the response to an
// update is lost and another operator updates the object before it is read back, the
// number of the lost update is skipped.
func allocateNumber(ctx context.Context, p platformClient, target string, o fencer.Order, author string) (uint64, error) {
	key, id := fencer.Key(target), rand.Text()
	for range maxFenceAttempts {
		item, err := p.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrAbsent) {
			return 0, fmt.Errorf("read the newest order to %s: %w", target, err)
		}
		var fence fencer.Fence
		if err == nil {
			if fence, err = checker.Decode[fencer.Fence](item.Body); err != nil {
				return 0, fmt.Errorf("newest order to %s: %w", target, err)
			}
		}
		if fence.ID == id {
			return fence.Number, nil // the previous attempt succeeded, but its response was lost
		}
		next := fence.Next(o, id, author, time.Now().UTC())
		body, err := checker.Encode(next)
		if err != nil {
			return 0, fmt.Errorf("encode order: %w", err)
		}
		_, err = p.Put(ctx, key, body, item.Version)
		switch {
		case err == nil:
			return next.Number, nil
		case !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain):
			return 0, fmt.Errorf("allocate a number for the order to %s: %w, retry the command", target, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(fenceRetryWait):
		}
	}
	return 0, fmt.Errorf("allocate a number for the order to %s: %w, other operators send orders too, retry the command", target, errConflict)
}

func sendOrder(ctx context.Context, pool *connector.Pool, m watcher.Member, o fencer.Order, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := connector.Call[*wirepb.Ordered](ctx, pool, m.Addr, "", &wirepb.Order{
		Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role, Number: number, Target: m.Target,
	})
	var refused *connector.RefusedError
	if errors.As(err, &refused) && refused.Reason == reasonStale {
		return fmt.Errorf("order %d to %s: %w: %w; send the order again without --number if it still applies", number, m.Name, errConflict, err)
	}
	if err != nil {
		return fmt.Errorf("order %d to %s at %s: %w, retry the command with --number %d", number, m.Name, m.Addr, err, number)
	}
	return nil
}
