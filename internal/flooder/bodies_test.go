package flooder

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Guards against bodies of legal size that fill the memory of the machine if they come at once,
// and that keep the entry from serving afterwards.
func TestLargestBodiesAtOnce(t *testing.T) {
	for _, clients := range []int{20, 40} {
		t.Run(fmt.Sprint(clients), func(t *testing.T) {
			e := startPlatform(t, 2*clients)
			body := strings.Repeat("a", maxBodyBytes)
			answers := make([]string, clients)
			begin := make(chan struct{})
			var wg sync.WaitGroup
			for i := range clients {
				wg.Go(func() {
					<-begin
					answers[i] = answerTo(e.callers, body, fmt.Sprint("id-", i))
				})
			}
			close(begin)
			wg.Wait()
			count := make(map[string]int)
			for _, a := range answers {
				count[a]++
			}
			t.Logf("answers: %v", count)
			e.Verify(t, bounds, &Flood{requests: clients}, e.ordinaryRequest)
		})
	}
}

// answerTo sends a body at once and returns the status of the answer, or that there was none: a
// client that is refused may still be writing.
func answerTo(addr, body, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+slowPath, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Host = "a.example"
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Daisylane-Attempt-Id", id)
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return "none"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "cut off"
	}
	return res.Status
}
