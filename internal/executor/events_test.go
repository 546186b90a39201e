package executor

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a panic on malformed engine output, against events that depend on how
// the bytes are split across reads, and against a resume offset within an event, with
// which the resumed stream would start in the middle of it.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"a\":1}\n\ndata: [DONE]\n\n")
	f.Add(": comment\r\nevent: x\r\ndata: a\r\ndata: b\r\n\r\n\r\ndata:[DONE]")
	f.Add("data: cut")
	f.Fuzz(func(t *testing.T, text string) {
		atOnce := newEventReader(strings.NewReader(text))
		bytewise := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
		for {
			got, err := atOnce.next()
			again, errAgain := bytewise.next()
			if !bytes.Equal(got, again) || (err == nil) != (errAgain == nil) || atOnce.consumed != bytewise.consumed {
				t.Fatalf("%q, %v and %q, %v", got, err, again, errAgain)
			}
			if err != nil || string(got) == doneEvent {
				return
			}
			rest := newEventReader(strings.NewReader(text[atOnce.consumed:]))
			next, _ := rest.next()
			want, _ := newEventReaderAt(text, atOnce.consumed).next()
			if !bytes.Equal(next, want) || atOnce.consumed > int64(len(text)) {
				t.Fatalf("at byte %d: %q, want %q", atOnce.consumed, next, want)
			}
		}
	})
}

func newEventReaderAt(text string, offset int64) *eventReader {
	e := newEventReader(strings.NewReader(text))
	for e.consumed < offset {
		if _, err := e.next(); err != nil {
			return e
		}
	}
	return e
}
