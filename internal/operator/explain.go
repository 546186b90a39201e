package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"daisylane/internal/connector"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

type explain struct {
	env    *env
	Log    string        `long:"log" value-name:"FILE" description:"read a log file of entries on the users' platform, - for standard input; without REQUEST, print counts of refusals by cause"`
	Report string        `long:"report" value-name:"FILE" description:"write a page about the day of --log as one HTML file"`
	Late   time.Duration `long:"late" value-name:"DURATION" default:"1s" description:"with --report: answers whose first event comes later than that are late"`
	preview
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"request id, as in the response to the caller"`
	} `positional-args:"true"`
}

func newExplain(env *env) any { return &explain{env: env} }

// Execute implements [flags.Commander].
func (c *explain) Execute([]string) error {
	switch {
	case c.Report != "":
		return c.writeReport()
	case c.Log != "":
		return c.explainLog()
	case c.Socket != "":
		return c.explainPreview()
	case c.Args.Request == "":
		return fmt.Errorf("%w: name a REQUEST, or a log with --log, or an instance with --socket", errUsage)
	}
	return c.env.withProcesses(c.run)
}

func (c *explain) run(ctx context.Context, pool *connector.Pool, list []watcher.Member) error {
	var known []processReply
	unreachable := 0
	for _, reply := range queryAll[*wirepb.Records](ctx, pool, list, c.Args.Request, &wirepb.Explain{Request: c.Args.Request}) {
		var refused *connector.RefusedError
		switch {
		case reply.err == nil && hasRecords(reply.Report):
			known = append(known, reply)
		case reply.err != nil && !errors.As(reply.err, &refused):
			unreachable++
		}
	}
	if len(known) == 0 && unreachable > 0 {
		return fmt.Errorf("request %s is not known to the processes that answered, %d did not answer", c.Args.Request, unreachable)
	}
	if len(known) == 0 {
		return fmt.Errorf("request %s: %w, records are kept for a limited time", c.Args.Request, errAbsent)
	}
	t, err := newTimeline(c.Args.Request, known)
	if err != nil && !c.env.globals.JSON {
		return err
	}
	return c.env.print(known, func(w io.Writer) {
		t.print(w)
		if unreachable > 0 {
			printLine(w, "\n%d processes did not answer, so that records can be missing.", unreachable)
		}
	})
}

func hasRecords(report json.RawMessage) bool {
	text := compactJSON(report)
	return text != "null" && text != "[]" && text != "no report"
}

func compactJSON(data json.RawMessage) string {
	var buf bytes.Buffer
	if err := json.Compact(&buf, data); err != nil {
		return "no report"
	}
	return buf.String()
}
