package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/analyzer"
	"daisylane/internal/previewer"
	"daisylane/internal/receiver"
)

// preview holds the options that describe a request that is not sent.
type preview struct {
	Socket     string   `long:"socket" value-name:"PATH" description:"ask the instance with this socket, in the directory that its setting listen.operator names, where a request would be sent now; the request is not sent"`
	Request    string   `long:"request" value-name:"FILE" description:"the request as JSON, - for standard input; the options below override its fields"`
	Host       string   `long:"host" description:"host of the request"`
	Path       string   `long:"path" description:"path of the request, with its query"`
	Method     string   `long:"method" description:"method of the request (default: POST)"`
	Key        string   `long:"key" description:"key of the client account; one in FILE is not seen by other users"`
	Model      string   `long:"model" description:"model that the request names"`
	Parts      []string `long:"part" value-name:"ID:TOKENS" description:"a part of the prompt in its order, ID in hexadecimal digits; may be repeated"`
	Prompt     int64    `long:"prompt" value-name:"TOKENS" description:"tokens of the prompt (default: those of its parts)"`
	Output     int64    `long:"output" value-name:"TOKENS" description:"limit of the output tokens"`
	Timeout    string   `long:"timeout" value-name:"DURATION" description:"time that the caller gives, as 1.5s"`
	Idempotent string   `long:"idempotent" choice:"yes" choice:"no" description:"what the caller takes the request for; only the route decides about it"`
}

// explainPreview prints where an instance would send a request.
func (c *explain) explainPreview() error {
	if c.Args.Request != "" {
		return fmt.Errorf("%w: --socket asks about a request that was not sent, so it has no id", errUsage)
	}
	q, err := c.query()
	if err != nil {
		return err
	}
	ctx, cancel := c.env.context()
	defer cancel()
	report, err := previewer.Ask(ctx, c.Socket, q)
	if err != nil {
		return err
	}
	return c.env.print(report, func(w io.Writer) { printPreview(w, report) })
}

// query returns the request that the file and the options describe.
func (p preview) query() (previewer.Query, error) {
	var q previewer.Query
	if p.Request != "" {
		if err := readQuery(p.Request, &q); err != nil {
			return q, err
		}
	}
	q.Host, q.Path, q.Method = cmp.Or(p.Host, q.Host), cmp.Or(p.Path, q.Path), cmp.Or(p.Method, q.Method)
	q.Key, q.Model = cmp.Or(p.Key, q.Key), cmp.Or(p.Model, q.Model)
	q.Prompt, q.Output = cmp.Or(p.Prompt, q.Prompt), cmp.Or(p.Output, q.Output)
	if len(p.Parts) > 0 {
		q.Parts = nil
	}
	for _, text := range p.Parts {
		part, err := parsePart(text)
		if err != nil {
			return q, err
		}
		q.Parts = append(q.Parts, part)
	}
	if p.Timeout != "" {
		d, err := time.ParseDuration(p.Timeout)
		if err != nil {
			return q, fmt.Errorf("%w: --timeout: %w", errUsage, err)
		}
		q.Timeout = d.Milliseconds()
	}
	if p.Idempotent != "" {
		yes := p.Idempotent == "yes"
		q.Idempotent = &yes
	}
	if err := q.Check(); err != nil {
		return q, fmt.Errorf("%w: %w", errUsage, err)
	}
	return q, nil
}

// readQuery decodes the request in a file.
func readQuery(name string, q *previewer.Query) error {
	var data []byte
	var err error
	if name == stdinName {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return fmt.Errorf("%w: read request: %w", errUsage, err)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(q); err != nil {
		return fmt.Errorf("%w: decode request %s: %w", errUsage, name, err)
	}
	return nil
}

func parsePart(text string) (previewer.Part, error) {
	id, tokens, _ := strings.Cut(text, ":")
	var part previewer.Part
	if err := part.ID.UnmarshalText([]byte(id)); err != nil {
		return part, fmt.Errorf("%w: --part %q: %w", errUsage, text, err)
	}
	var err error
	if part.Tokens, err = strconv.Atoi(tokens); err != nil {
		return part, fmt.Errorf("%w: --part %q: %w", errUsage, text, err)
	}
	return part, nil
}

func printPreview(w io.Writer, r previewer.Report) {
	if r.Route.Refuses() {
		printLine(w, "%s\n", refusalSentence(r.Instance, "", r.Route))
		printSteps(w, []previewer.Step{r.Route})
		return
	}
	for i, s := range r.Services {
		if i > 0 {
			printLine(w, "")
		}
		printLine(w, "%s\n", previewSentence(r.Instance, s, len(r.Services) > 1))
		printSteps(w, append([]previewer.Step{r.Route}, s.Steps...))
		if len(s.Candidates) > 0 {
			printLine(w, "")
			printCandidates(w, s.Candidates)
		}
	}
}

// previewSentence says what would be done with the request at a service.
func previewSentence(instance string, s previewer.Service, several bool) string {
	where := ""
	if several {
		where = fmt.Sprintf(" at service %s (weight %d)", s.Name, s.Weight)
	}
	for _, step := range s.Steps {
		if step.Refuses() && step.Wait == 0 {
			return refusalSentence(instance, where, step)
		}
	}
	for _, step := range s.Steps {
		if step.Refuses() {
			text := fmt.Sprintf("Instance %s would hold the request now%s for up to %d ms at step %s (%s), until that changes, or else refuse it with %d", instance, where, step.Wait, step.Step, step.Verdict, step.Status)
			if s.Target != "" {
				text += fmt.Sprintf("; then it would go to target %s", s.Target)
			}
			return text + "."
		}
	}
	return fmt.Sprintf("Instance %s would send the request now to target %s of service %s.", instance, s.Target, s.Name)
}

func refusalSentence(instance, where string, s previewer.Step) string {
	text := fmt.Sprintf("Instance %s would refuse the request now%s, with %d at step %s (%s)", instance, where, s.Status, s.Step, s.Verdict)
	if _, reason, ok := strings.Cut(receiver.Meanings[receiver.Cause(s.Verdict)], ", "); ok {
		text += ": " + reason
	}
	return text + "."
}

func printSteps(w io.Writer, steps []previewer.Step) {
	var rows [][]string
	for _, s := range steps {
		details := analyzer.FormatFields(s.Details)
		if s.Wait > 0 {
			details = strings.TrimSpace(fmt.Sprintf("wait=%d %s", s.Wait, details))
		}
		if s.After > 0 {
			details = strings.TrimSpace(fmt.Sprintf("after=%d %s", s.After, details))
		}
		if s.Error != "" {
			details = strings.TrimSpace(fmt.Sprintf("%s error=%q", details, s.Error))
		}
		rows = append(rows, []string{s.Step, s.Verdict, cmp.Or(details, "-")})
	}
	printTable(w, "STEP VERDICT DETAILS", rows)
}

func printCandidates(w io.Writer, list []previewer.Candidate) {
	var rows [][]string
	for _, c := range list {
		state := cmp.Or(c.Reason, "eligible")
		if c.Left > 0 {
			state += fmt.Sprintf(" (%d ms)", c.Left)
		}
		if c.Chosen {
			state = "chosen"
			if c.Reason != "" {
				state += ", " + c.Reason
			}
		}
		row := []string{c.Target, c.Addr, c.Centre, cmp.Or(c.Version, "-"), state, "-", "-", "-", "-", "-", "-", "-"}
		if e := c.Estimate; e != nil {
			prefix := "no"
			if e.Prefix {
				prefix = "yes"
			}
			row = append(row[:5], number(e.Wait), number(e.Backlog), number(e.Cost), strconv.FormatInt(e.Cached, 10), prefix, strconv.Itoa(e.Running), strconv.Itoa(e.Waiting))
		}
		rows = append(rows, row)
	}
	printTable(w, "TARGET ADDR CENTRE VERSION STATE WAIT BACKLOG COST CACHED PREFIX RUNNING WAITING", rows)
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }
