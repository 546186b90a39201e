package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"daisylane/internal/executor"
	"daisylane/internal/watcher"
)

// event is a record about a request, with the process that wrote it.
type event struct {
	Time     time.Time      `json:"time"`
	Step     string         `json:"step"`
	Decision string         `json:"decision"`
	Reason   string         `json:"reason"`
	Details  map[string]any `json:"details"`
	process  string
}

// entryRecords is the report of an entry.
type entryRecords struct {
	Records []event `json:"records"`
	Dropped int     `json:"dropped"` // number of records dropped over the limit
}

// timeline holds the records of all processes about a request, sorted by time. The
// order is approximate, because the clocks of the processes can differ.
type timeline struct {
	request string
	events  []event
	dropped int
}

func newTimeline(request string, known []processReply) (timeline, error) {
	t := timeline{request: request}
	for _, reply := range known {
		report, err := decodeRecords(reply)
		if err != nil {
			return t, fmt.Errorf("records of %s: %w", reply.Name, err)
		}
		for _, e := range report.Records {
			e.process = reply.Name
			t.events = append(t.events, e)
		}
		t.dropped += report.Dropped
	}
	slices.SortStableFunc(t.events, func(a, b event) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func decodeRecords(reply processReply) (entryRecords, error) {
	var report entryRecords
	if reply.Role == watcher.Side {
		var records []executor.Record
		if err := decodeJSONNumbers(reply.Report, &records); err != nil {
			return report, err
		}
		for _, r := range records {
			report.Records = append(report.Records, sideEvent(r))
		}
		return report, nil
	}
	err := decodeJSONNumbers(reply.Report, &report)
	return report, err
}

// decodeJSONNumbers decodes JSON with numbers as [json.Number], because a float64
// prints large token counts with an exponent.
func decodeJSONNumbers(data json.RawMessage, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// sideEvent converts a side's record. Its text is split into decision, reason and
// explanation.
func sideEvent(r executor.Record) event {
	parts := strings.SplitN(r.Text, ": ", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	e := event{Time: r.Time, Step: "run", Decision: parts[0], Reason: strings.TrimSuffix(parts[1], ":")}
	if parts[2] != "" {
		e.Details = map[string]any{"text": parts[2]}
	}
	return e
}

func (e event) detail(key string) string {
	if v, ok := e.Details[key]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// last returns the last event of a step that has one of the decisions, or any
// decision if none are given.
func (t timeline) last(step string, decisions ...string) (event, bool) {
	for _, e := range slices.Backward(t.events) {
		if e.Step == step && (len(decisions) == 0 || slices.Contains(decisions, e.Decision)) {
			return e, true
		}
	}
	return event{}, false
}
