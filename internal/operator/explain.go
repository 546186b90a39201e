package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

type explain struct {
	env  *env
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true" description:"request id, as in the answer to the caller"`
	} `positional-args:"true"`
}

func newExplain(env *env) any { return &explain{env: env} }

// Execute implements [flags.Commander].
func (c *explain) Execute([]string) error {
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
	var known []answer
	unreachable := 0
	for _, a := range askAll[*wirepb.Records](ctx, pool, list, c.Args.Request, &wirepb.Explain{Request: c.Args.Request}) {
		var refused *connector.RefusedError
		switch {
		case a.err == nil && hasRecords(a.Report):
			known = append(known, a)
		case a.err != nil && !errors.As(a.err, &refused):
			unreachable++
		}
	}
	if len(known) == 0 && unreachable > 0 {
		return fmt.Errorf("request %s is not known to the processes that answered, %d did not answer", c.Args.Request, unreachable)
	}
	if len(known) == 0 {
		return fmt.Errorf("request %s: %w, records are kept for a limited time", c.Args.Request, errAbsent)
	}
	return c.env.print(known, func(w io.Writer) { printRecords(w, known) })
}

func hasRecords(report json.RawMessage) bool {
	text := compact(report)
	return text != "null" && text != "[]" && text != "no report"
}

func printRecords(w io.Writer, known []answer) {
	for _, a := range known {
		line(w, "%s %s:", a.Role, a.Name)
		var records []json.RawMessage
		if json.Unmarshal(a.Report, &records) != nil {
			records = []json.RawMessage{a.Report}
		}
		for _, r := range records {
			line(w, "  %s", compact(r))
		}
	}
}
