package verifier_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"daisylane/internal/verifier"
	"daisylane/platform/platformtest"
)

// pieces is a connection on which a text arrives in pieces.
type pieces struct {
	net.Conn
	text *strings.Reader
	size int
}

func (p pieces) Read(b []byte) (int, error) { return p.text.Read(b[:min(len(b), p.size)]) }

// readPieces returns what a connection passes on of a text that arrives in pieces.
func readPieces(text string, size int, method string) (string, error) {
	c := verifier.NewConn(pieces{text: strings.NewReader(text), size: size})
	c.Expect(method)
	b, err := io.ReadAll(c)
	return string(b), err
}

// Guards against a verdict that depends on how the bytes of a response arrive, and against a
// line that is not allowed that is passed on.
func TestPieces(t *testing.T) {
	tests := []struct {
		answers []platformtest.Answer
		allowed bool
	}{
		{platformtest.SoundAnswers("", "hello"), true},
		{platformtest.ResetAnswers("", "hello"), true},
		{platformtest.ShortAnswers("", "hello"), true},
		{platformtest.StatusAnswers("", "hello"), false},
		{platformtest.NameAnswers("", "hello"), false},
		{platformtest.FramingAnswers("", "hello"), false},
	}
	for _, tt := range tests {
		for _, a := range tt.answers {
			first, _ := readPieces(a.Bytes, 1, http.MethodGet)
			for _, size := range []int{1, 2, 7, 4096} {
				got, err := readPieces(a.Bytes, size, http.MethodGet)
				if errors.Is(err, verifier.ErrMalformed) == tt.allowed || tt.allowed && got != a.Bytes {
					t.Errorf("%s in pieces of %d bytes: got %q, %v", a.Name, size, got, err)
				}
				if !strings.HasPrefix(first, got) || strings.HasSuffix(first, "\r\n\r\n") && !tt.allowed {
					t.Errorf("%s in pieces of %d bytes: passes on %q", a.Name, size, got)
				}
			}
		}
	}
}

// Guards against a body that is expected where the head ends the response, so that the next
// response on the connection is not checked.
func TestNoBody(t *testing.T) {
	tests := []struct{ head, method string }{
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", http.MethodHead},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", http.MethodHead},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n", http.MethodGet},
		{"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", http.MethodGet},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n", http.MethodGet},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.MethodGet},
	}
	for _, tt := range tests {
		if got, err := readPieces(tt.head+"HTTP/1.1 000 OK\r\n", 4096, tt.method); got != tt.head || !errors.Is(err, verifier.ErrMalformed) {
			t.Errorf("%q: got %q, %v", tt.head, got, err)
		}
	}
}
