package launcher

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/loader"
)

// Guards against double charges and long waits after a crash of the entry that holds
// the budget's shard, when callers retry at the other entry, and against tokens that
// stay granted to the dead entry after the takeover.
func TestKilledEntry(t *testing.T) {
	const releaseTime = 10 * time.Second
	f := newFixture(t)
	f.settleDelay = loader.Duration(admitter.SettleDelay)
	a, b := f.startStandardFleet(1_000_000)
	warm := testChat{"warm up", 20, false}
	var sum usageTotal
	if !warm.checkResponse(t, f.post(a, chatPath, warm.body())) {
		t.Fatal("no complete response before the crash")
	}
	sum.add(warm)
	victim, remaining := f.findHolder(a, b)

	var wg sync.WaitGroup
	for c := range concurrentCallers {
		for _, first := range []*testProcess{victim, remaining} {
			wg.Go(func() {
				tc := testChat{fmt.Sprintf("%s %d", first.name, c), 200, c%2 == 0}
				key := "key " + tc.prompt
				res := f.post(first, chatPath, tc.body(), keyHeader, key)
				for range 40 {
					if tc.checkResponse(t, res) {
						sum.add(tc)
						return
					}
					time.Sleep(100 * time.Millisecond) // as a client library does
					res = f.post(remaining, chatPath, tc.body(), keyHeader, key)
				}
				t.Errorf("no complete response to %q: status %d, %s", tc.prompt, res.status, res.body)
			})
		}
	}
	f.eventually("streams are open", func() bool {
		return victim.process.router.Inflight() >= concurrentCallers && remaining.process.router.Inflight() >= concurrentCallers
	})
	victim.kill()
	killedAt := time.Now()
	wg.Wait()
	f.waitSettled(sum.tokens)
	f.eventually("tokens are released", func() bool { return f.grantedTokens(victim.name) == 0 })
	if d := time.Since(killedAt); d > releaseTime {
		t.Errorf("released after %s, want %s", d, releaseTime)
	}
	if h, _ := f.findHolder(a, b); h != remaining {
		t.Errorf("%s still holds the budget", h.name)
	}
	if res := f.post(remaining, chatPath, chatBody("afterwards", false)); res.status != http.StatusOK {
		t.Errorf("after the takeover: %+v", res)
	}
}
