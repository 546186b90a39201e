package analyzer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"daisylane/internal/receiver"
)

// Story returns the lines of a request and the latest changes of what the
// instance believed before its end.
func (l *Log) Story(id string) (Story, error) {
	var own []Line
	for _, line := range l.Lines {
		if line.Text("id") == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return Story{}, fmt.Errorf("request %s: %w", id, ErrUnknown)
	}
	last := own[len(own)-1]
	lines := append(l.before(last), own...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := Story{ID: id, Summary: summary(last)}
	for _, line := range lines {
		s.Events = append(s.Events, Event{line, last.Time.Sub(line.Time)})
	}
	return s, nil
}

// before returns the latest change of each kind in the process before the end of
// a request. Of targets, only changes of the request's own one count.
func (l *Log) before(end Line) []Line {
	latest := make(map[string]Line)
	for _, line := range l.Lines {
		kind, ok := beliefs[line.Msg]
		if line.Msg == msgStarted && line.Instance == end.Instance && !line.Time.After(end.Time) {
			clear(latest) // what a former process believed is gone
		}
		switch {
		case !ok, line.Instance != end.Instance, line.Time.After(end.Time):
		case line.Text("id") == end.Text("id"): // listed anyway
		case kind != "configuration" && kind != "process" && end.Time.Sub(line.Time) > storyTime:
		case kind == "target" && line.Text("target") != end.Text("target"):
		default:
			latest[kind] = line
		}
	}
	var lines []Line
	for _, line := range latest {
		lines = append(lines, line)
	}
	return lines
}

// summary says in a sentence what became of the request.
func summary(end Line) string {
	r, ok := end.request()
	if !ok {
		return "The request has not ended, or its instance was killed."
	}
	text := cmp.Or(receiver.Meanings[r.Outcome], "ended as "+string(r.Outcome))
	var b strings.Builder
	fmt.Fprintf(&b, "After %d ms request %s %s", r.Took, r.ID, text)
	if r.Budget != "" {
		fmt.Fprintf(&b, "; it asked for %d tokens of account %s, of whose %d prepaid tokens %d seemed left", r.Asked, r.Account, r.Prepaid, r.Left)
	}
	b.WriteString(".")
	return b.String()
}
