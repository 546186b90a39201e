package receiver_test

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/receiver"
	"daisylane/internal/retrier"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// startEndless serves a target that sends a head, in which ID is replaced by the id of
// the request, and then a piece again and again until the caller closes. It returns
// the address and the number of connections that are still open.
func startEndless(t *testing.T, head, piece string) (addr string, open *atomic.Int64) {
	t.Helper()
	open = new(atomic.Int64)
	pieces := []byte(strings.Repeat(piece, 1+4096/len(piece)))
	addr = platformtest.Listen(t, func(c net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		id := "none"
		if _, rest, ok := strings.Cut(string(buf[:n]), "Daisylane-Attempt-Id: "); ok {
			id, _, _ = strings.Cut(rest, "\r\n")
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(head, "ID", id)); err != nil {
			return
		}
		for err == nil {
			_, err = c.Write(pieces)
		}
	})
	return addr, open
}

// Guards against a faulty target that sends bytes without end: they must not fill the
// memory of the instance, outlive the deadline of the request or reach the caller as a
// complete success.
func TestEndlessResponse(t *testing.T) {
	const (
		sealed   = "HTTP/1.1 200 OK\r\nDaisylane-Attempt-Id: ID\r\nDaisylane-Response-Seal: s\r\n"
		refused  = "HTTP/1.1 503 Busy\r\nDaisylane-Attempt-Id: ID\r\nDaisylane-Not-Executed: 1\r\n"
		callers  = 24
		deadline = 900 * time.Millisecond // of each request
		// maxGrowth is half of the memory of the smallest machine.
		maxGrowth = 56 << 20
	)
	tests := []struct {
		name, path, head, piece string
	}{
		{"header fields", "/look/7", "HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n"},
		{"header line", "/look/7", "HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
		{"no head at all", "/look/7", "", "a"},
		{"1xx responses", "/look/7", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"fields of a 1xx response", "/look/7", "HTTP/1.1 103 Early Hints\r\n", "Link: aaaaaaaaaaaaaaaa\r\n"},
		{"body with a length", "/look/7", sealed + "Content-Length: 900000000000\r\n\r\n", "a"},
		{"body without a length", "/look/7", sealed + "\r\n", "a"},
		{"chunks", "/look/7", sealed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"chunk extension", "/look/7", sealed + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailers", "/look/7", sealed + "Transfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n0\r\n", "X-Filler: aaaa\r\n"},
		{"body of a refusal", "/look/7", refused + "\r\n", "a"},
		{"body of a response to another request", "/look/7", strings.Replace(sealed, "ID", "other", 1) + "\r\n", "a"},
		{"event", "/plan/7", sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "a"},
		{"events", "/plan/7", sealed + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: a\n\n"},
		{"fields of an event", "/plan/7", sealed + "Content-Type: text/event-stream\r\n\r\n", "data: a\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, open := startEndless(t, tt.head, tt.piece)
			url := startFor(t, addr)
			runtime.GC()
			base := heapBytes()
			peak := base
			var complete, late atomic.Int64
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					began := time.Now()
					if succeeds(t, url+tt.path) {
						complete.Add(1)
					}
					if time.Since(began) > 2*deadline {
						late.Add(1)
					}
				})
			}
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(10 * time.Millisecond):
					peak = max(peak, heapBytes())
				}
			}
			if complete.Load() > 0 || late.Load() > 0 {
				t.Errorf("%d complete successes, %d responses long after the deadline", complete.Load(), late.Load())
			}
			if peak-base > maxGrowth {
				t.Errorf("heap grew by %d MB", (peak-base)>>20)
			}
			for end := time.Now().Add(time.Second); open.Load() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d connections to the target are still open", open.Load())
				}
			}
		})
	}
}

// startFor serves a receiver whose only target has the given address.
func startFor(t *testing.T, addr string) string {
	t.Helper()
	retries := retrier.New(rand.New(rand.NewPCG(1, 1)), retrier.WithRefusalsCounted())
	d := receiver.NewDispatcher(chooser.Place{Centre: "a"}, nil, retries)
	d.WithRoster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "i-0", Service: "booking", Addr: addr, Slots: 64})
		r.Put(follower.Target{ID: "i-1", Service: "engine", Addr: addr, Slots: 64})
	})
	r := receiver.New(platform.Codec{}, d, &budgets{}, forwarder.New(platform.RequestID))
	r.SetTable(table(t, 1))
	r.RecordContact(time.Now())
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s.URL
}

// succeeds sends a request with a deadline of 900 ms and reports whether it gets a complete
// success.
func succeeds(t *testing.T, url string) bool { return succeedsWithin(t, url, "900") }

// succeedsWithin is succeeds with a deadline in milliseconds.
func succeedsWithin(t *testing.T, url, deadline string) bool {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return false
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Daisylane-Attempt-Id": "id-1", "Api-Key": "key-1", "Daisylane-Deadline-Ms": deadline, "Daisylane-Token-Usage": "10,10",
	} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode < http.StatusMultipleChoices
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
