package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"daisylane/internal/allotter"
)

type budgetShow struct {
	env  *env
	Args struct {
		Budget string `positional-arg-name:"BUDGET" required:"true"`
	} `positional-args:"true"`
}

func newBudgetShow(env *env) any { return &budgetShow{env: env} }

type budgetReport struct {
	Name     string                    `json:"name"`
	Shard    int                       `json:"shard"`
	Topped   int64                     `json:"topped"`
	Settled  int64                     `json:"settled"`
	Free     int64                     `json:"free"`     // tokens not granted to a holder
	Withheld int64                     `json:"withheld"` // tokens granted to previous holders
	Grants   map[string]allotter.Grant `json:"grants"`
	Holders  map[string]string         `json:"holders"` // instance by region
}

// Execute implements [flags.Commander].
func (c *budgetShow) Execute([]string) error {
	p, cfg, err := c.env.platform()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.context()
	defer cancel()
	name := c.Args.Budget
	shard, _, err := readShard(ctx, p, shardOf(cfg, name))
	if err != nil {
		return err
	}
	b, ok := shard.Budgets[name]
	if !ok {
		return fmt.Errorf("budget %s: %w, it has no top-up yet", name, errAbsent)
	}
	r := budgetReport{
		Name: name, Shard: shard.Number, Topped: b.ToppedUp, Settled: b.Settled, Free: b.Free(),
		Withheld: shard.Withheld(name), Grants: b.Grants, Holders: make(map[string]string),
	}
	for region, tenure := range shard.Holders {
		r.Holders[region] = tenure.Instance
	}
	return c.env.print(r, r.print)
}

func (r budgetReport) print(w io.Writer) {
	printLine(w, "%s (shard %d): topped %d, settled %d, free %d, withheld %d", r.Name, r.Shard, r.Topped, r.Settled, r.Free, r.Withheld)
	for _, instance := range slices.Sorted(maps.Keys(r.Grants)) {
		g := r.Grants[instance]
		printLine(w, "  grant %s in %s: allotted %d, marked %d, folded %d", instance, g.Region, g.Allotted, g.Mark, g.Folded)
	}
	for _, region := range slices.Sorted(maps.Keys(r.Holders)) {
		printLine(w, "  holder in %s: %s", region, r.Holders[region])
	}
}
