package executor

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a crash on any bytes of an engine, against events that depend
// on how the bytes are split, and against a resume offset inside an event.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"a\":1}\n\ndata: [DONE]\n\n")
	f.Add(": comment\r\nevent: x\r\ndata: a\r\ndata: b\r\n\r\n\r\ndata:[DONE]")
	f.Add("data: cut")
	f.Fuzz(func(t *testing.T, text string) {
		whole := newEventReader(strings.NewReader(text))
		bytewise := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
		for {
			got, err := whole.next()
			again, errAgain := bytewise.next()
			if !bytes.Equal(got, again) || (err == nil) != (errAgain == nil) || whole.consumed != bytewise.consumed {
				t.Fatalf("%q, %v and %q, %v", got, err, again, errAgain)
			}
			if err != nil || string(got) == doneEvent {
				return
			}
			rest := newEventReader(strings.NewReader(text[whole.consumed:]))
			next, _ := rest.next()
			want, _ := newEventReaderAt(text, whole.consumed).next()
			if !bytes.Equal(next, want) || whole.consumed > int64(len(text)) {
				t.Fatalf("at byte %d: %q, want %q", whole.consumed, next, want)
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
