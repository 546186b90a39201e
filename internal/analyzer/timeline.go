package analyzer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"daisylane/internal/receiver"
)

// Timeline returns the log lines of a request, and the latest state changes of its
// instance before the end of the request.
func (l *Log) Timeline(id string) (Timeline, error) {
	var own []Line
	for _, line := range l.Lines {
		if line.Text("id") == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return Timeline{}, fmt.Errorf("request %s: %w", id, ErrUnknown)
	}
	last := own[len(own)-1]
	lines := append(l.stateBefore(last), own...)
	lines = append(lines, l.crashesBefore(last)...)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := Timeline{ID: id, Summary: summary(last)}
	for _, line := range lines {
		s.Events = append(s.Events, Event{line, last.Time.Sub(line.Time)})
	}
	return s, nil
}

// stateBefore returns the latest state change of each kind that the process logged
// before the end of a request. Changes of targets other than the request's are ignored.
func (l *Log) stateBefore(end Line) []Line {
	latest := make(map[string]Line)
	for _, line := range l.Lines {
		if line.Msg == msgStarted && line.Instance == end.Instance && !line.Time.After(end.Time) {
			clear(latest) // the state of an earlier process was lost with the restart
		}
		if line.isStateOf(end) {
			latest[stateKinds[line.Msg]] = line
		}
	}
	var lines []Line
	for _, kind := range slices.Sorted(maps.Keys(latest)) {
		lines = append(lines, latest[kind])
	}
	return lines
}

// isStateOf reports whether a line is a state change that belongs to the timeline of a
// request, unless a later one of the same kind or a start follows.
func (l Line) isStateOf(end Line) bool {
	kind, ok := stateKinds[l.Msg]
	switch {
	case !ok, l.Instance != end.Instance, l.Time.After(end.Time):
		return false
	case l.Text("id") == end.Text("id"): // already included as a line of the request
		return false
	case !lastingKinds[kind] && end.Time.Sub(l.Time) > maxStateAge:
		return false
	case quarantineFields[kind] != "":
		return l.sharesField(end, quarantineFields[kind])
	}
	return kind != "target" || l.Text("target") == end.Text("target")
}

// sharesField reports whether two lines have a field with the same text.
func (l Line) sharesField(other Line, name string) bool {
	return l.Text(name) != "" && l.Text(name) == other.Text(name)
}

// crashesBefore returns the latest attempts of any instance under which a target crashed
// and that have the prompt part or the fingerprint for which a request was refused.
func (l *Log) crashesBefore(end Line) []Line {
	var lines []Line
	for _, line := range l.Lines {
		if line.isCrashOf(end) {
			lines = append(lines, line)
		}
	}
	return lines[max(0, len(lines)-maxCrashes):]
}

// isCrashOf reports whether a line is an attempt under which a target crashed and that
// has the prompt part or the fingerprint for which a request was refused.
func (l Line) isCrashOf(end Line) bool {
	list, reason := "parts", end.Text(fieldPart)
	if reason == "" {
		list, reason = "fingerprints", end.Text(fieldFingerprint)
	}
	values, _ := l.Fields[list].([]any)
	crashed, _ := l.Fields["crashed"].(bool)
	return reason != "" && crashed && slices.Contains(values, any(reason)) && !l.Time.After(end.Time)
}

// summary returns a sentence that describes the outcome of the request.
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
