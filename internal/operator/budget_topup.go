package operator

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/checker"
	"daisylane/internal/storer"
)

const (
	// maxWriteAttempts is high because holders update shard objects often, and each of
	// their updates can cause a conflict.
	maxWriteAttempts = 40
	maxRetryDelay    = 50 * time.Millisecond
)

type budgetTopUp struct {
	env      *env
	ID       string `long:"id" value-name:"ID" description:"top-up id; repeat a failed top-up with the same id and --issued, so that it counts once"`
	IssuedAt int64  `long:"issued" value-name:"SECONDS" description:"time of the first attempt, in seconds since 1970"`
	Args     struct {
		Budget string `positional-arg-name:"BUDGET" required:"true"`
		Tokens int64  `positional-arg-name:"TOKENS" required:"true"`
	} `positional-args:"true"`
}

func newBudgetTopUp(env *env) any { return &budgetTopUp{env: env} }

type topUp struct {
	Budget string `json:"budget"`
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Issued int64  `json:"issued"`
	Topped int64  `json:"topped"` // sum of all top-ups of the budget
}

// Execute implements [flags.Commander].
func (c *budgetTopUp) Execute([]string) error {
	p, cfg, err := c.env.platform()
	if err != nil {
		return err
	}
	t := topUp{Budget: c.Args.Budget, ID: c.ID, Tokens: c.Args.Tokens, Issued: c.IssuedAt}
	if t.Tokens <= 0 {
		return fmt.Errorf("%w: a top-up needs more than 0 tokens", errUsage)
	}
	if (t.ID == "") != (t.Issued == 0) {
		return fmt.Errorf("%w: --id and --issued belong together", errUsage)
	}
	if t.ID == "" {
		t.ID, t.Issued = crand.Text(), time.Now().Unix()
	}
	ctx, cancel := c.env.context()
	defer cancel()
	budget, err := applyTopUp(ctx, p, shardOf(cfg, t.Budget), t)
	if err != nil {
		return fmt.Errorf("top up %s: %w; repeat it with --id %s --issued %d", t.Budget, err, t.ID, t.Issued)
	}
	t.Topped = budget.ToppedUp
	return c.env.print(t, func(w io.Writer) {
		printLine(w, "%s: added %d tokens, %d in all (top-up %s)", t.Budget, t.Tokens, t.Topped, t.ID)
	})
}

// applyTopUp adds the top-up to the shard object. After a conflict or an uncertain
// write it reads the object and retries. This is idempotent: a top-up whose id the
// shard already has is not added again.
func applyTopUp(ctx context.Context, p platformClient, number int, t topUp) (allotter.Budget, error) {
	var last error
	for range maxWriteAttempts {
		shard, version, err := readShard(ctx, p, number)
		if err != nil {
			return allotter.Budget{}, err
		}
		if _, done := shard.Budgets[t.Budget].TopUps[t.ID]; done {
			return shard.Budgets[t.Budget], nil
		}
		if shard, err = shard.WithTopUp(t.Budget, t.ID, t.Tokens, t.Issued, time.Now().Unix()); err != nil {
			return allotter.Budget{}, err
		}
		body, err := checker.Encode(shard)
		if err != nil {
			return allotter.Budget{}, err
		}
		_, last = p.Put(ctx, shardKey(number), body, version)
		if last == nil {
			return shard.Budgets[t.Budget], nil
		}
		if !errors.Is(last, storer.ErrConflict) && !errors.Is(last, storer.ErrUncertain) {
			return allotter.Budget{}, last
		}
		time.Sleep(rand.N(maxRetryDelay))
	}
	return allotter.Budget{}, fmt.Errorf("%w: shard %d was changed during each of %d attempts: %w", errConflict, number, maxWriteAttempts, last)
}
