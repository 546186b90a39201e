package operator

import (
	"io"

	"daisylane/internal/bundler"
)

type bundleCheck struct {
	env  *env
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func newBundleCheck(env *env) any { return &bundleCheck{env: env} }

// Execute implements [flags.Commander].
func (c *bundleCheck) Execute([]string) error {
	b, _, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	_, chunks, err := bundler.Split(b)
	if err != nil {
		return err
	}
	result := struct {
		Accounts int `json:"accounts"`
		Budgets  int `json:"budgets"`
		Targets  int `json:"targets"`
		Chunks   int `json:"chunks"`
	}{len(b.Accounts), len(b.Budgets), len(b.Targets), len(chunks)}
	return c.env.print(result, func(w io.Writer) {
		printLine(w, "%s: valid, %d accounts, %d budgets, %d targets in %d chunks",
			c.Args.File, result.Accounts, result.Budgets, result.Targets, result.Chunks)
	})
}
