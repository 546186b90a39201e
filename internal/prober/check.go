package prober

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// errBroken means that the report shows a broken promise.
var errBroken = errors.New("a promise was broken")

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"report in JSON"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander]. It prints the report and fails if answers,
// runs and refusals contradict each other.
func (c *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	var rep Report
	if err := json.Unmarshal(data, &rep); err != nil {
		return fmt.Errorf("decode report %s: %w", c.Args.File, err)
	}
	if err := rep.Write(os.Stdout); err != nil {
		return err
	}
	return rep.Broken()
}

// Broken returns an error that names the promises that a run has broken, or nil.
// Requests that ran without an answer are no breach: their callers were told that
// the outcome is unknown.
func (r Report) Broken() error {
	f := r.Findings
	counts := []struct {
		name string
		n    int
	}{
		{"answers with another content", f.Wrong},
		{"requests reported as not run that ran", f.Untruthful},
		{"answers without a run", f.Missing},
		{"answers with another usage", f.Usage},
		{"service calls that ran twice", f.Twice},
	}
	for _, c := range counts {
		if c.n > 0 {
			return fmt.Errorf("%d %s: %w", c.n, c.name, errBroken)
		}
	}
	answered := 0
	for _, p := range r.Phases {
		answered += p.Outcomes[Whole]
	}
	if answered == 0 {
		return fmt.Errorf("no request was answered: %w", errBroken)
	}
	return nil
}
