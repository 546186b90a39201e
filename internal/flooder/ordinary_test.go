package flooder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against ordinary clients that meet a limit on the smallest machine: a hundred at
// once, each with the largest body, again and again on kept connections.
func TestOrdinaryClientsAtOnce(t *testing.T) {
	const clients, requests = 100, 5
	e := startPlatform(t, 2*clients)
	transport := &http.Transport{MaxIdleConnsPerHost: clients}
	defer transport.CloseIdleConnections()
	body := strings.Repeat("a", SmallBytes)
	for range requests {
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				if err := send(transport, e.callers, body, fmt.Sprint("id-", i)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	e.Verify(t, bounds, &Flood{requests: clients * requests}, e.ordinaryRequest)
}

// send sends a request at a pace of 100 KB a second.
func send(transport http.RoundTripper, addr, body, id string) error {
	r, w := io.Pipe()
	go func() {
		for s := body; len(s) > 0; {
			n := min(len(s), 10_000)
			if _, err := io.WriteString(w, s[:n]); err != nil {
				return // the request has ended
			}
			s = s[n:]
			time.Sleep(100 * time.Millisecond)
		}
		_ = w.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/look/7", r)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = "a.example", int64(len(body))
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Daisylane-Attempt-Id", id)
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.Copy(io.Discard, res.Body)
	if err == nil && (answer != answerBytes || res.StatusCode != http.StatusOK) {
		err = fmt.Errorf("status %d, %d bytes", res.StatusCode, answer)
	}
	return err
}

// Guards against limits of the configuration that are not kept, or are kept too strictly: it
// arrives after the listener is open.
func TestConfiguredLimits(t *testing.T) {
	e := startPlatform(t, 8)
	tests := []struct {
		name   string
		header int // bytes
		pause  time.Duration
		status int
	}{
		{"largest header", 16_384, 0, http.StatusOK},
		{"header over the limit", 16_384 + 5000, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"opened early", 500, 4 * time.Second, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			time.Sleep(tt.pause)
			r := Request{Path: "/look/7", Header: []string{"Api-Key: k1", "Daisylane-Attempt-Id: id-1"}}
			rest := tt.header - len(r.head("X-Filler: ", "Content-Length: 1")+"\r\n")
			if err := write(c, r.head("X-Filler: "+strings.Repeat("a", rest), "Content-Length: 1")+"\r\na"); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != tt.status {
				t.Errorf("got %v, %v, want %d", res, err, tt.status)
			}
		})
	}
}
