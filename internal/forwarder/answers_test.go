package forwarder_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"daisylane/internal/forwarder"
	"daisylane/platform/platformtest"
)

// Guards against bytes that are returned as a complete response although they are none, against
// complete ones that are not returned, and against a connection that is kept after a broken
// one. An early answer meets a request that is larger than the buffers of its connection.
func TestAnswers(t *testing.T) {
	large := []byte(strings.Repeat("x", 16<<20))
	platformtest.CheckAnswers(t, idHeader+": ID\r\n", "hello", func(t *testing.T, addr string, a platformtest.Answer) (string, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		p, req := forwarder.New(requestID), request("id-1")
		if a.Early {
			req.Body = large
		}
		res, err := p.Send(ctx, addr, req)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(res)
		if res.Close(); err != nil && p.HasIdle(addr) {
			t.Error("the connection of a broken response is kept")
		}
		return string(body), err
	})
}
