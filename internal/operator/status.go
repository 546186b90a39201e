package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

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
	unreachable := 0
	for _, a := range answers {
		if a.err != nil {
			unreachable++
		}
	}
	err = c.env.print(answers, func(w io.Writer) {
		for _, a := range answers {
			a.print(w)
		}
		line(w, "%d processes, %d unreachable", len(answers), unreachable)
	})
	if err == nil && unreachable > 0 {
		err = fmt.Errorf("%d of %d processes did not answer", unreachable, len(answers))
	}
	return err
}

func (a answer) print(w io.Writer) {
	text := a.Error
	if a.err == nil {
		text = compact(a.Report)
	}
	line(w, "%s %s %s %s: %s", a.Role, a.Name, a.Centre, a.Addr, text)
}

func compact(data json.RawMessage) string {
	var buf bytes.Buffer
	if err := json.Compact(&buf, data); err != nil {
		return "no report"
	}
	return buf.String()
}
