package launcher

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const concurrentCallers = 6

// startLoad sends concurrent requests to an entry until the given function returns
// true, and sums the usage. Every response must be complete.
func (f *fixture) startLoad(r *testProcess, name string, total *usageTotal, until func() bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range concurrentCallers {
		wg.Go(func() {
			for n := 0; !until(); n++ {
				tc := testChat{fmt.Sprintf("%s %d-%d", name, c, n), 60 + 20*c, c%2 == 0}
				res := f.post(r, chatPath, tc.body())
				if !tc.checkResponse(f.t, res) {
					f.t.Errorf("%s: response to %q: status %d, %s", r.name, tc.prompt, res.status, res.body)
					return
				}
				total.add(tc)
			}
		})
	}
	return &wg
}

func (r *testProcess) isReady() bool {
	res, err := http.Get(r.url + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against a graceful shutdown under load that interrupts requests, loses
// charges, keeps tokens granted to the stopped entry or delays the takeover of its
// shard by the other entry.
func TestStopUnderLoad(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(1_000_000)
	var sum usageTotal
	warm := testChat{"warm up", 20, false}
	if !warm.checkResponse(t, f.post(a, chatPath, warm.body())) {
		t.Fatal("no complete response before the stop")
	}
	sum.add(warm)
	stopping, remaining := f.findHolder(a, b)

	done := make(chan struct{})
	ended := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	stoppingLoad := f.startLoad(stopping, "leaving", &sum, func() bool { return !stopping.isReady() })
	remainingLoad := f.startLoad(remaining, "staying", &sum, ended)
	f.eventually("both entries are busy", func() bool {
		return stopping.process.router.Inflight() >= concurrentCallers && remaining.process.router.Inflight() >= concurrentCallers-1
	})
	if err := stopping.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	stoppingLoad.Wait()
	before := time.Now()
	after := testChat{"after the stop", 20, true}
	if !after.checkResponse(t, f.post(remaining, chatPath, after.body())) {
		t.Error("the other entry does not serve after the stop")
	}
	if d := time.Since(before); d > time.Second {
		t.Errorf("the other entry served after %s", d)
	}
	sum.add(after)
	close(done)
	remainingLoad.Wait()
	f.waitSettled(sum.tokens)
	if n := f.grantedTokens(stopping.name); n != 0 {
		t.Errorf("%d tokens are still granted to the stopped entry", n)
	}
	if h, _ := f.findHolder(a, b); h != remaining {
		t.Errorf("%s still holds the budget", h.name)
	}
}
