package analyzer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLineBytes is the maximum length of a line in bytes. The lines of requests are
// shorter than 1 kB.
const maxLineBytes = 1 << 20

// Read parses a log.
func Read(r io.Reader) (*Log, error) {
	log := &Log{}
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if line, ok := parse(scan.Bytes()); ok {
			log.Lines = append(log.Lines, line)
		} else if len(bytes.TrimSpace(scan.Bytes())) > 0 {
			log.Skipped++
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, nil
}

// parse decodes a line. It reports false if the line has no event.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	raw := bytes.Clone(text[start:])
	line := Line{raw: raw}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&line.Fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Msg, line.Instance = at, line.Text("msg"), line.Text("instance")
	for _, name := range []string{"time", "msg", "instance", "level"} {
		delete(line.Fields, name)
	}
	return line, line.Msg != ""
}

// request decodes the line written at the end of a request. It reports false for
// other lines.
func (l Line) request() (Request, bool) {
	if l.Msg != msgRequest {
		return Request{}, false
	}
	var r Request
	if err := json.Unmarshal(l.raw, &r); err != nil {
		return Request{}, false
	}
	r.end = l.Time
	return r, true
}
