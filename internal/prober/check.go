package prober

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// errViolation is returned if the report shows a violated guarantee.
var errViolation = errors.New("guarantee violated")

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"report in JSON"`
	} `positional-args:"true"`
}

// Execute implements [flags.Commander]. It prints the report and fails if the
// responses, runs and refusals contradict each other.
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
	return rep.Violation()
}

// Violation returns an error that names the first guarantee that the report shows as
// violated, or nil. Requests that ran without a response violate none, as their
// callers were told that the outcome is unknown.
func (r Report) Violation() error {
	f := r.Findings
	counts := []struct {
		name string
		n    int
	}{
		{"responses with wrong content", f.WrongContent},
		{"requests that ran though reported as not run", f.RanThoughNotRun},
		{"responses without a run", f.CompletedWithoutRun},
		{"responses with wrong usage", f.UsageMismatch},
		{"service calls that ran twice", f.ServiceReruns},
	}
	for _, c := range counts {
		if c.n > 0 {
			return fmt.Errorf("%d %s: %w", c.n, c.name, errViolation)
		}
	}
	completed := 0
	for _, p := range r.Phases {
		completed += p.Outcomes[OutcomeComplete]
	}
	if completed == 0 {
		return fmt.Errorf("no request got a complete response: %w", errViolation)
	}
	return nil
}
