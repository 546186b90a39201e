package operator

import (
	"io"

	"daisylane/internal/bundler"
)

type bundleDiff struct {
	env  *env
	Args struct {
		File  string `positional-arg-name:"FILE" required:"true"`
		Other string `positional-arg-name:"OTHER"`
	} `positional-args:"true"`
}

func newBundleDiff(env *env) any { return &bundleDiff{env: env} }

// Execute implements [flags.Commander].
func (c *bundleDiff) Execute([]string) error {
	before, after, err := c.bundles()
	if err != nil {
		return err
	}
	changes := bundler.Diff(before, after)
	return c.env.print(changes, func(w io.Writer) {
		printChanges(w, changes)
		if len(changes) == 0 {
			printLine(w, "no changes")
		}
	})
}

func (c *bundleDiff) bundles() (before, after bundler.Bundle, err error) {
	if after, _, err = readBundle(c.Args.File); err != nil {
		return before, after, err
	}
	if c.Args.Other != "" {
		before = after
		after, _, err = readBundle(c.Args.Other)
		return before, after, err
	}
	current, err := c.env.published()
	return current.bundle, after, err
}
