package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"daisylane/internal/forwarder"
)

// Guards against an earlier refusal that a faulty target writes once more on a kept
// connection and that passes for the response to the next request, which has run: the
// caller would be told that it has not, or it would run at another target.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Daisylane-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	}
	whole := "HTTP/1.1 200 OK\r\nDaisylane-Attempt-Id: id-2\r\nContent-Length: 5\r\n\r\nhello"
	tests := []struct {
		name   string
		second string // what the target writes after the second request
		want   string // body of its response, empty: none
	}{
		{"before the response", refusal("Daisylane-Attempt-Id: id-1\r\n") + whole, "hello"},
		{"instead of the response", refusal("Daisylane-Attempt-Id: id-1\r\n"), ""},
		{"without an id", refusal("") + whole, "hello"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				br := bufio.NewReader(c)
				for _, answer := range []string{refusal("Daisylane-Attempt-Id: id-1\r\n"), tt.second} {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					fmt.Fprint(c, answer)
				}
			}()
			p := forwarder.New(requestID)
			first, err := p.Send(t.Context(), l.Addr().String(), request("id-1"))
			if err != nil || first.Status != http.StatusServiceUnavailable || first.Drain() != nil {
				t.Fatalf("first response %+v, %v", first, err)
			}
			first.Close()
			second, err := p.Send(t.Context(), l.Addr().String(), request("id-2"))
			if tt.want == "" {
				if err == nil || errors.Is(err, forwarder.ErrNotSent) {
					t.Errorf("response %+v, %v, want an error that does not say the request was not sent", second, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer second.Close()
			if body, err := io.ReadAll(second); err != nil || string(body) != tt.want || second.Status != http.StatusOK {
				t.Errorf("status %d, body %q, %v", second.Status, body, err)
			}
		})
	}
}
