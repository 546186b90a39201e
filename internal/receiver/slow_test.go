package receiver_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/platform/platformtest"
)

// Guards against cutting a slow but sound stream, also while its target is missing from
// the list because it was only silent for a while.
func TestSlowStream(t *testing.T) {
	f := start(t, []platformtest.Response{{Events: 4, Pause: 200 * time.Millisecond}})
	time.AfterFunc(300*time.Millisecond, func() {
		f.dispatcher.WithRoster(func(r *follower.Roster) { r.SetList(time.Now(), nil) })
	})
	res, body, err := f.call(t, "/plan/7", "x", map[string]string{"Daisylane-Deadline-Ms": "2000"})
	if err != nil || res.StatusCode != http.StatusOK || strings.Count(body, "data:") != 4 {
		t.Errorf("got %v, %q, %v", res, body, err)
	}
	if f.runs() != 1 {
		t.Errorf("the request ran %d times", f.runs())
	}
}

// Guards against a stream that never ends because its target still sends a byte now and
// then.
func TestStalledStream(t *testing.T) {
	addr := platformtest.Listen(t, func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nDaisylane-Attempt-Id: id-1\r\nDaisylane-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: ")
		for err == nil {
			_, err = io.WriteString(c, "a")
			time.Sleep(30 * time.Millisecond)
		}
	})
	url := startFor(t, addr)
	began := time.Now()
	if succeeds(t, url+"/plan/7") {
		t.Error("stalled stream looks complete")
	}
	if took := time.Since(began); took < 800*time.Millisecond || took > 1400*time.Millisecond {
		t.Errorf("stalled stream ended after %v, the deadline is 900 ms", took)
	}
}

// Guards against a plain response that is cut off, or thrown away and asked for again, although
// it advances; and against waiting for one that has stalled as long as the caller does.
func TestSlowPlainResponse(t *testing.T) {
	slow := func(bytes, pieces int, pause time.Duration) platformtest.Response {
		return platformtest.Response{Body: strings.Repeat("a", bytes), Pieces: pieces, Pause: pause}
	}
	tests := []struct {
		name     string
		response platformtest.Response
		whole    bool
		runs     int
	}{
		{"advances", slow(10_000, 8, 80*time.Millisecond), true, 1},
		{"advances, more than is buffered", slow(600_000, 8, 80*time.Millisecond), true, 1},
		{"stalls", slow(10_000, 2, 700*time.Millisecond), false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, []platformtest.Response{tt.response}, []platformtest.Response{tt.response})
			began := time.Now()
			res, body, err := f.call(t, "/look/7", "x", nil)
			if whole := err == nil && res.StatusCode == http.StatusOK && len(body) == len(tt.response.Body); whole != tt.whole || f.runs() != tt.runs {
				t.Errorf("whole %v after %d runs and %v, want %v after %d", whole, f.runs(), time.Since(began), tt.whole, tt.runs)
			}
		})
	}
}

// Guards against a stream that is thrown away and asked for again although its first event is
// arriving, and against waiting as long as the caller does for one that has stalled before it.
func TestSlowFirstEvent(t *testing.T) {
	tests := []struct {
		name   string
		pieces int // of the first event, one each 100 ms
		whole  bool
	}{
		{"advances", 9, true},
		{"stalls", 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int64
			addr := platformtest.Listen(t, func(c net.Conn) {
				if n, err := c.Read(make([]byte, 4096)); n == 0 || err != nil {
					return
				}
				runs.Add(1)
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nDaisylane-Attempt-Id: id-1\r\nDaisylane-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				for i := 0; i < tt.pieces && err == nil; i++ {
					time.Sleep(100 * time.Millisecond)
					_, err = io.WriteString(c, "8\r\ndata: a\n\r\n")
				}
				if tt.whole && err == nil {
					_, err = io.WriteString(c, "1\r\n\n\r\n0\r\n\r\n")
				}
				for err == nil {
					_, err = c.Read(make([]byte, 1)) // until the entry closes
				}
			})
			began := time.Now()
			whole := succeedsWithin(t, startFor(t, addr)+"/report/7", "4000")
			if took := time.Since(began); whole != tt.whole || runs.Load() != 1 || took > 3*time.Second {
				t.Errorf("whole %v after %d runs and %v, want %v after 1", whole, runs.Load(), took, tt.whole)
			}
		})
	}
}

// Guards against a plain response that is cut off because its caller pauses: its target can
// not go on meanwhile.
func TestSlowCaller(t *testing.T) {
	const size = 16 << 20 // more than the buffers of two connections
	f := start(t, []platformtest.Response{{Body: strings.Repeat("a", size)}})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.URL+"/look/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Daisylane-Attempt-Id", "id-1")
	req.Header.Set("Api-Key", "key-1")
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	time.Sleep(450 * time.Millisecond) // the entry gives up a silent target after 300 ms
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil || f.runs() != 1 {
		t.Errorf("%d bytes of %d after %d runs: %v", n, size, f.runs(), err)
	}
}

// Guards against a request that is given up and sent to another target while its body is still
// on the way: it would not arrive there sooner.
func TestSlowUpload(t *testing.T) {
	const size = 4 << 20
	var connections atomic.Int64
	addr := platformtest.Listen(t, func(c net.Conn) {
		connections.Add(1)
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // what is buffered here has arrived
		left := size
		for buf := make([]byte, 128<<10); left > 0; time.Sleep(16 * time.Millisecond) {
			n, err := io.ReadFull(c, buf[:min(left, len(buf))])
			if left -= n; err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nDaisylane-Attempt-Id: id-1\r\nDaisylane-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok")
		_, _ = c.Read(make([]byte, 4096)) // the rest
	})
	f := start(t)
	f.receiver.SetTable(tableWith(t, 2, size, time.Second))
	f.dispatcher.WithRoster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "i-0", Service: "booking", Addr: addr, Centre: "a", Slots: 8})
	})
	res, body, err := f.call(t, "/look/7", strings.Repeat("a", size), nil)
	if err != nil || res.StatusCode != http.StatusOK || body != "ok" || connections.Load() != 1 {
		t.Errorf("got %v, %q, %v after %d connections", res, body, err, connections.Load())
	}
}
