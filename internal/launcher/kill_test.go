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

// Guards against callers who pay twice or wait long after a crash of an entry,
// and against tokens that stay withheld after its takeover.
func TestKilledEntry(t *testing.T) {
	const releaseTime = 10 * time.Second
	f := newFixture(t)
	f.settle = loader.Duration(admitter.SettleDelay)
	a, b := f.standard(1_000_000)
	warm := question{"warm up", 20, false}
	var sum bill
	if !warm.check(t, f.post(a, chatPath, warm.body())) {
		t.Fatal("no answer before the crash")
	}
	sum.add(warm)
	dies, stays := f.holder(a, b)

	var wg sync.WaitGroup
	for c := range callers {
		for _, first := range []*running{dies, stays} {
			wg.Go(func() {
				q := question{fmt.Sprintf("%s %d", first.name, c), 200, c%2 == 0}
				key := "key " + q.prompt
				res := f.post(first, chatPath, q.body(), keyHeader, key)
				for range 40 {
					if q.check(t, res) {
						sum.add(q)
						return
					}
					time.Sleep(100 * time.Millisecond) // as a caller's client does
					res = f.post(stays, chatPath, q.body(), keyHeader, key)
				}
				t.Errorf("no answer to %q: status %d, %s", q.prompt, res.status, res.body)
			})
		}
	}
	f.eventually("streams are open", func() bool {
		return dies.process.router.Inflight() >= callers && stays.process.router.Inflight() >= callers
	})
	dies.kill()
	killed := time.Now()
	wg.Wait()
	f.settled(sum.tokens)
	f.eventually("tokens are released", func() bool { return f.granted(dies.name) == 0 })
	if d := time.Since(killed); d > releaseTime {
		t.Errorf("released after %s, want %s", d, releaseTime)
	}
	if h, _ := f.holder(a, b); h != stays {
		t.Errorf("%s still holds the budget", h.name)
	}
	if res := f.post(stays, chatPath, chat("afterwards", false)); res.status != http.StatusOK {
		t.Errorf("after the takeover: %+v", res)
	}
}
