package analyzer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"regexp"
	"strings"
	"time"
	"unicode/utf8"

	"daisylane/internal/receiver"
)

// dayLine is a log line with the fields of which a day is made.
type dayLine struct {
	Request
	Time         time.Time        `json:"time"`
	Msg          string           `json:"msg"`
	Instance     string           `json:"instance"`
	Error        string           `json:"error"`
	Direct       bool             `json:"direct"`
	Dropped      int              `json:"dropped"`
	DroppedLines int              `json:"dropped_lines"`
	Calls        map[string]int64 `json:"calls"`
	LostTokens   map[string]int64 `json:"lost_tokens"`
}

// decode reports false if the line has no event. Only in the lines of requests must all
// fields have the expected types; others have fields of the same name and other types.
func (l *dayLine) decode(text []byte) bool {
	var mismatch *json.UnmarshalTypeError
	err := json.Unmarshal(text, l)
	if err != nil && (!errors.As(err, &mismatch) || l.Msg == msgRequest) {
		return false
	}
	return l.Msg != "" && !l.Time.IsZero()
}

// dayReader collects what the first reading of a log yields. Its memory use is
// proportional to the number of requests and of seconds with events.
type dayReader struct {
	day        *Day
	from, to   time.Time
	names      map[string]string
	requests   []Request
	attempts   map[string]bool            // requests with attempts
	events     map[EventKind][]LogEvent   // the first of each kind, unsorted
	marks      map[string]map[int64]int64 // events by kind and second
	calls      map[string]map[int64]int64 // failed calls by name and second
	startCalls map[string]int64
	lost       map[string]int64
	returns    map[string]int64
	instances  map[string]*life
}

// life holds the starts and stops of one instance. Lines can be in any order, so that a
// kill is counted by comparing the numbers.
type life struct {
	starts, stops int
	started       time.Time // earliest
	first         time.Time // earliest line
}

func newDayReader() *dayReader {
	return &dayReader{
		day: &Day{}, names: make(map[string]string), attempts: make(map[string]bool), events: make(map[EventKind][]LogEvent),
		marks: make(map[string]map[int64]int64), calls: make(map[string]map[int64]int64), startCalls: make(map[string]int64),
		lost: make(map[string]int64), returns: make(map[string]int64), instances: make(map[string]*life),
	}
}

func (d *dayReader) read(r io.Reader) error {
	long, err := eachLine(r, func(text []byte) {
		start := bytes.IndexByte(text, '{')
		var line dayLine
		switch {
		case len(bytes.TrimSpace(text)) == 0:
		case start < 0 || !line.decode(text[start:]):
			d.day.Faults.Skipped++
		default:
			d.add(line)
		}
	})
	d.day.Faults.Skipped += long
	return err
}

// intern returns an equal string that is shared with other lines.
func (d *dayReader) intern(text string) string {
	if known, ok := d.names[text]; ok {
		return known
	}
	d.names[text] = text
	return text
}

func (d *dayReader) add(line dayLine) {
	at, name := line.Time, d.intern(line.Instance)
	if d.from.IsZero() || at.Before(d.from) {
		d.from = at
	}
	if at.After(d.to) {
		d.to = at
	}
	own := d.instances[name]
	if own == nil {
		own = &life{first: at}
		d.instances[name] = own
	}
	if at.Before(own.first) {
		own.first = at
	}
	switch line.Msg {
	case msgRequest:
		d.addRequest(line)
		return
	case msgAttempt:
		d.attempts[line.ID] = true
	case msgStarted:
		if own.starts++; own.started.IsZero() || at.Before(own.started) {
			own.started = at
		}
	case msgStopped:
		own.stops++
		d.day.Faults.Dropped += line.DroppedLines
	case msgLeftOut:
		d.day.Faults.LeftOut += line.Dropped
	case msgRecovered:
		addAll(d.lost, line.LostTokens)
		addAll(d.startCalls, line.Calls)
	case msgNotReturned:
		addAll(d.returns, map[string]int64{line.Account: line.Tokens})
	}
	if call := failedCall(line.Error); call != "" && line.Msg != msgAttempt {
		mark(d.calls, call, at)
	}
	if kind := eventKind(line); kind != "" {
		mark(d.marks, string(kind), at)
		if len(d.events[kind]) < maxEvents {
			d.events[kind] = append(d.events[kind], LogEvent{at, name, kind, d.intern(line.Msg), clip(line.Error)})
		} else {
			d.day.Omitted++
		}
	}
}

func (d *dayReader) addRequest(line dayLine) {
	r := line.Request
	r.ID, r.end, r.instance = strings.Clone(r.ID), line.Time, d.intern(line.Instance)
	for _, field := range []*string{&r.Route, &r.Account, &r.Service, &r.Target, &r.Budget, &r.Part, &r.Fingerprint} {
		*field = d.intern(*field)
	}
	r.Outcome = receiver.Cause(d.intern(string(r.Outcome)))
	d.requests = append(d.requests, r)
}

// addAll adds counts by name, without new names if there are too many.
func addAll(sum, counts map[string]int64) {
	for name, n := range counts {
		if _, ok := sum[name]; !ok && len(sum) >= maxNames {
			name = Others
		}
		sum[name] += n
	}
}

// mark counts an event in the second of its time.
func mark(counts map[string]map[int64]int64, name string, at time.Time) {
	if counts[name] == nil && len(counts) >= maxNames {
		name = Others
	}
	if counts[name] == nil {
		counts[name] = make(map[int64]int64)
	}
	counts[name][at.Unix()]++
}

// eventKind returns what a line means for its instance, or "".
func eventKind(line dayLine) EventKind {
	switch {
	case line.Msg == msgStarted:
		return EventStart
	case line.Msg == "stopping" || line.Msg == msgStopped:
		return EventStop
	case line.Msg == "budget store lost", strings.HasSuffix(line.Msg, " not followed"), strings.HasPrefix(line.Msg, "store was restored"),
		strings.HasPrefix(line.Msg, "too many instances were lost"), strings.HasPrefix(line.Msg, "cut off from the store"),
		line.Msg == "watcher of the store does not answer", line.Msg == "way to the store changed" && !line.Direct:
		return EventLost
	case line.Msg == "budget store regained", strings.HasSuffix(line.Msg, " followed again"), line.Msg == "way to the store changed":
		return EventRegained
	}
	return ""
}

// callPattern finds the call to the store in the text of an error, such as "put budgets
// a1: outcome of the write is uncertain".
var callPattern = regexp.MustCompile(`(?:^|: )((?:get|put|list|watch|delete) [a-z]{1,32})\b`)

// failedCall returns the call to the store that an error is about, or "".
func failedCall(text string) string {
	if match := callPattern.FindStringSubmatch(text); match != nil {
		return match[1]
	}
	return ""
}

// clip shortens a text for the page.
func clip(text string) string {
	text = strings.ToValidUTF8(text, "\uFFFD")
	if len(text) <= maxText {
		return strings.Clone(text)
	}
	n := maxText
	for !utf8.RuneStart(text[n]) {
		n--
	}
	return text[:n] + "..."
}
