package assembler

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "12", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// Guards against a response that counts as complete although frames are missing,
// surplus, changed or of another request.
func TestEnd(t *testing.T) {
	sent := NewSendBuffer(100)
	for _, data := range []string{"a", "b"} {
		if _, err := sent.Append([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name       string
		frames     []string
		id         string
		count, sum uint64
		want       error
	}{
		{"complete", []string{"a", "b"}, "q", 2, sent.Checksum(), nil},
		{"missing frame", []string{"a"}, "q", 2, sent.Checksum(), ErrGap},
		{"surplus frame", []string{"a", "b", "c"}, "q", 2, sent.Checksum(), ErrFrameCount},
		{"changed bytes", []string{"a", "x"}, "q", 2, sent.Checksum(), ErrChecksum},
		{"other request", []string{"a", "b"}, "p", 2, sent.Checksum(), ErrWrongRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewResponse("q")
			for i, data := range tt.frames {
				if ok, err := r.AcceptData("q", uint64(i+1), []byte(data)); !ok || err != nil {
					t.Fatal(ok, err)
				}
			}
			if err := r.AcceptEnd(tt.id, tt.count, tt.sum); !errors.Is(err, tt.want) || r.IsComplete() != (tt.want == nil) {
				t.Errorf("err = %v, want %v", err, tt.want)
			}
		})
	}
	r := NewResponse("q")
	if _, err := r.AcceptData("p", 1, []byte("a")); !errors.Is(err, ErrWrongRequest) || r.Offset() != 0 {
		t.Errorf("err = %v, want ErrWrongRequest", err)
	}
	if err := r.AcceptEnd("q", 0, NewSendBuffer(1).Checksum()); err != nil {
		t.Error(err)
	}
	if _, err := r.AcceptData("q", 1, []byte("a")); !errors.Is(err, ErrDataAfterEnd) {
		t.Errorf("err = %v, want ErrDataAfterEnd", err)
	}
}

// Guards against frames that are lost or delivered twice when a stream breaks at any
// point and the response is resumed, with a buffer that is smaller than the response.
func TestResumption(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, r := NewSendBuffer(rapid.IntRange(8, 40).Draw(t, "limit")), NewResponse("q")
		var want, got bytes.Buffer
		frames := rapid.IntRange(0, 60).Draw(t, "frames")
		for i := 0; i < frames; {
			data := fmt.Appendf(nil, "<%d>", i)
			if _, err := b.Append(data); err == nil {
				want.Write(data)
				i++
			} else if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "read") {
				readFrames(t, b, r, &got, r.Offset(), rapid.IntRange(0, 9).Draw(t, "break"))
			}
			if rapid.IntRange(0, 5).Draw(t, "late") == 0 && r.Offset() > 0 {
				// A stream of an earlier attempt delivers a frame again.
				if ok, err := r.AcceptData("q", r.Offset(), []byte("x")); ok || err != nil {
					t.Fatalf("duplicate: deliver = %v, err = %v", ok, err)
				}
			}
		}
		for r.Offset() < b.Count() {
			readFrames(t, b, r, &got, r.Offset(), 10)
		}
		if err := r.AcceptEnd("q", b.Count(), b.Checksum()); err != nil || !bytes.Equal(got.Bytes(), want.Bytes()) {
			t.Fatalf("err = %v, got %q, want %q", err, got.Bytes(), want.Bytes())
		}
	})
}

// readFrames delivers up to limit buffered frames from an offset and marks them as sent.
func readFrames(t *rapid.T, b *SendBuffer, r *Response, got *bytes.Buffer, offset uint64, limit int) {
	frames, err := b.FramesFrom(offset)
	if err != nil {
		t.Fatal(err)
	}
	for i, f := range frames {
		if i >= limit {
			return
		}
		deliver, err := r.AcceptData("q", f.Seq, f.Data)
		if err != nil || !deliver {
			t.Fatalf("frame %d: deliver = %v, err = %v", f.Seq, deliver, err)
		}
		got.Write(f.Data)
		b.MarkSent(f.Seq)
	}
}

// Guards against a silent gap when a reader resumes from an offset whose frames were
// dropped from the buffer.
func TestDropped(t *testing.T) {
	b := NewSendBuffer(4)
	for i := range 6 {
		if _, err := b.Append([]byte("ab")); err != nil {
			t.Fatal(err)
		}
		b.MarkSent(uint64(i + 1))
	}
	if _, err := b.FramesFrom(3); !errors.Is(err, ErrDropped) {
		t.Errorf("err = %v, want ErrDropped", err)
	}
	if _, err := b.FramesFrom(7); !errors.Is(err, ErrOffsetBeyondEnd) {
		t.Errorf("err = %v, want ErrOffsetBeyondEnd", err)
	}
	if p, err := b.FramesFrom(4); err != nil || len(p) != 2 || p[0].Seq != 5 {
		t.Errorf("frames = %v, err = %v", p, err)
	}
}
