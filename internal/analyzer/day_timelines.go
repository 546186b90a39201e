package analyzer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// candidate collects the lines for the timeline of one request.
type candidate struct {
	end     Line // has the fields of the request that decide which lines belong to it
	own     []Line
	omitted int
	state   map[string]Line // latest by kind
	started Line            // latest start of the instance
	crashes []Line          // the latest ones
}

func newCandidate(r Request) *candidate {
	fields := map[string]any{"id": r.ID, "target": r.Target, fieldPart: r.Part, fieldFingerprint: r.Fingerprint}
	return &candidate{end: Line{Time: r.end, Instance: r.instance, Fields: fields}, state: make(map[string]Line)}
}

// readTimelines reads the log again for the lines of the selected requests.
func (s *dayBuilder) readTimelines(r io.Reader) error {
	var list []*candidate
	byID := make(map[string][]*candidate)
	byInstance := make(map[string][]*candidate)
	for _, i := range s.selected {
		c := newCandidate(s.requests[i])
		list = append(list, c)
		byID[s.requests[i].ID] = append(byID[s.requests[i].ID], c)
		byInstance[c.end.Instance] = append(byInstance[c.end.Instance], c)
	}
	if len(list) == 0 {
		return nil
	}
	_, err := eachLine(r, func(text []byte) {
		start := bytes.IndexByte(text, '{')
		var head struct {
			ID, Msg, Instance string
			Crashed           bool
		}
		if start < 0 || json.Unmarshal(text[start:], &head) != nil {
			return
		}
		own, isState := byID[head.ID], stateKinds[head.Msg] != ""
		if len(own) == 0 && !isState && !head.Crashed {
			return
		}
		line, ok := parse(text)
		if !ok {
			return
		}
		for _, c := range own {
			c.addOwn(line)
		}
		if isState {
			for _, c := range byInstance[line.Instance] {
				c.addState(line)
			}
		}
		if head.Crashed {
			for _, c := range list {
				c.addCrash(line)
			}
		}
	})
	if err != nil {
		return err
	}
	for k, i := range s.selected {
		s.day.Timelines = append(s.day.Timelines, s.timeline(i, list[k]))
	}
	return nil
}

// addOwn keeps a line of the request. The line of its end is always kept.
func (c *candidate) addOwn(line Line) {
	switch {
	case len(c.own) < maxOwnLines:
		c.own = append(c.own, line)
	case line.Msg == msgRequest && line.Time.Equal(c.end.Time):
		c.own[len(c.own)-1] = line
		c.omitted++
	default:
		c.omitted++
	}
}

func (c *candidate) addState(line Line) {
	if line.Msg == msgStarted && !line.Time.After(c.end.Time) && !line.Time.Before(c.started.Time) {
		c.started = line
	}
	if kind := stateKinds[line.Msg]; line.isStateOf(c.end) && !line.Time.Before(c.state[kind].Time) {
		c.state[kind] = line
	}
}

func (c *candidate) addCrash(line Line) {
	if !line.isCrashOf(c.end) || line.Text("id") == c.end.Text("id") {
		return
	}
	at, _ := slices.BinarySearchFunc(c.crashes, line.Time, func(l Line, t time.Time) int {
		if l.Time.After(t) {
			return 1
		}
		return -1
	})
	c.crashes = slices.Insert(c.crashes, at, line)
	c.crashes = c.crashes[max(0, len(c.crashes)-maxCrashes):]
}

// timeline returns the timeline of a request from the lines that belong to it.
func (s *dayBuilder) timeline(i int, c *candidate) DayTimeline {
	r := &s.requests[i]
	lines := []Line{c.started} // before the other lines of the same time, which it would void
	for _, line := range c.state {
		if line.Msg != msgStarted {
			lines = append(lines, line)
		}
	}
	lines = append(append(lines, c.own...), c.crashes...)
	lines = slices.DeleteFunc(lines, func(l Line) bool { return l.Msg == "" })
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t, err := (&Log{Lines: lines}).Timeline(r.ID)
	if err != nil {
		t.Summary = "The log has changed while it was read: " + err.Error() + "."
	}
	one := DayTimeline{
		Request: r.ID, Cause: r.Outcome, Account: r.Account, Service: r.Service, Time: r.end,
		Unfounded: s.isUnfounded(i), Unused: s.unused[i], Summary: t.Summary, Omitted: c.omitted,
	}
	if s.isLate(r) {
		one.Cause = LateCause
	}
	for _, e := range t.Events {
		one.Rows = append(one.Rows, TimelineRow{e.Before, e.Instance, e.Msg, clip(FormatFields(e.Fields))})
	}
	return one
}

// FormatFields formats fields as key=value pairs, sorted by key.
func FormatFields(fields map[string]any) string {
	var list []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		value := fmt.Sprint(fields[key])
		if strings.ContainsAny(value, " \t\n\"=") {
			value = fmt.Sprintf("%q", value)
		}
		list = append(list, key+"="+value)
	}
	return strings.Join(list, " ")
}
