package forwarder

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Guards against events that are split or joined depending on the sizes of the reads,
// and against an incomplete event that is returned as a complete one.
func TestEvents(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []string
		err  error
	}{
		{"several", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"}, io.EOF},
		{"torn", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, ErrIncompleteEvent},
		{"none", "", nil, io.EOF},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 3, 1000} {
			t.Run(tt.name, func(t *testing.T) {
				var e eventBuffer
				r := &chunkReader{strings.NewReader(tt.body), size}
				for _, want := range tt.want {
					if got, err := e.next(r); err != nil || string(got) != want {
						t.Fatalf("got %q, %v, want %q", got, err, want)
					}
				}
				if _, err := e.next(r); !errors.Is(err, tt.err) {
					t.Errorf("got %v, want %v", err, tt.err)
				}
			})
		}
	}
}

type chunkReader struct {
	r io.Reader
	n int
}

func (p *chunkReader) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.n)]) }
