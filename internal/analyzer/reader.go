package analyzer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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
	long, err := eachLine(r, func(text []byte) {
		if line, ok := parse(text); ok {
			log.Lines = append(log.Lines, line)
		} else if len(bytes.TrimSpace(text)) > 0 {
			log.Skipped++
		}
	})
	if err != nil {
		return nil, err
	}
	log.Skipped += long
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return log, nil
}

// eachLine calls f with each line; its argument is valid until f returns. It leaves out
// lines longer than maxLineBytes and returns their number.
func eachLine(r io.Reader, f func(text []byte)) (long int, err error) {
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := b.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = b.ReadSlice('\n')
			}
			text = nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return long, fmt.Errorf("read log: %w", err)
		}
		f(text)
		if err != nil {
			return long, nil
		}
	}
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
