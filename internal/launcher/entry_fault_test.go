package launcher

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

const callers = 6

// load keeps an entry busy with streams until the entry reports not ready, and
// adds up the whole answers. Every answer must be whole.
func (f *fixture) load(r *running, name string, b *bill, until func() bool) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := 0; !until(); n++ {
				q := question{fmt.Sprintf("%s %d-%d", name, c, n), 60 + 20*c, c%2 == 0}
				res := f.post(r, chatPath, q.body())
				if !q.check(f.t, res) {
					f.t.Errorf("%s: answer to %q: status %d, %s", r.name, q.prompt, res.status, res.body)
					return
				}
				b.add(q)
			}
		})
	}
	return &wg
}

func (r *running) isReady() bool {
	res, err := http.Get(r.url + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against a planned stop that cuts off requests, loses charges, keeps
// tokens back or leaves the other entry without a holder.
func TestStopUnderLoad(t *testing.T) {
	f := newFixture(t)
	a, b := f.standard(1_000_000)
	var sum bill
	warm := question{"warm up", 20, false}
	if !warm.check(t, f.post(a, chatPath, warm.body())) {
		t.Fatal("no answer before the stop")
	}
	sum.add(warm)
	stops, stays := f.holder(a, b)

	done := make(chan struct{})
	ended := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	leaving := f.load(stops, "leaving", &sum, func() bool { return !stops.isReady() })
	staying := f.load(stays, "staying", &sum, ended)
	f.eventually("both entries are busy", func() bool {
		return stops.process.router.Inflight() >= callers && stays.process.router.Inflight() >= callers-1
	})
	if err := stops.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
	leaving.Wait()
	before := time.Now()
	after := question{"after the stop", 20, true}
	if !after.check(t, f.post(stays, chatPath, after.body())) {
		t.Error("the other entry does not serve after the stop")
	}
	if d := time.Since(before); d > time.Second {
		t.Errorf("the other entry served after %s", d)
	}
	sum.add(after)
	close(done)
	staying.Wait()
	f.settled(sum.tokens)
	if n := f.granted(stops.name); n != 0 {
		t.Errorf("%d tokens are still granted to the stopped entry", n)
	}
	if h, _ := f.holder(a, b); h != stays {
		t.Errorf("%s still holds the budget", h.name)
	}
}
