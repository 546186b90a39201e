package launcher

import (
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

// Guards against sending requests to a draining side because the lagging
// instance list still shows it as live, and against requests that fail during the
// drain.
func TestDrainWithLaggingList(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(1_000_000)
	f.fakePlatform.SetFaults(faker.PlatformFaults{InstanceLag: faker.Ptr(loader.Duration(30 * time.Second))})
	for _, e := range f.engines {
		e.SetFaults(faker.EngineFaults{Slowdown: faker.Ptr(7.0)})
	}
	long := testChats("long", 1, 250)
	wait := f.sendAll(a, long)
	draining := f.waitForBusiestEngine(long)
	var sum usageTotal
	var drained time.Time
	stopped := make(chan struct{})
	over := func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}
	loads := []interface{ Wait() }{f.startLoad(a, "a", &sum, over), f.startLoad(b, "b", &sum, over)}
	engine := f.engines[draining]
	f.eventually("the side is busy", func() bool { return len(engine.Runs()) > concurrentCallers })
	drained = time.Now()
	f.sides[draining].cancel()
	f.eventually("the side refuses requests", func() bool {
		n := len(engine.Runs())
		time.Sleep(300 * time.Millisecond)
		return len(engine.Runs()) == n
	})
	n := len(engine.Runs())
	if d := time.Since(drained); d > 3*time.Second {
		t.Errorf("new requests until %s after the start of the drain", d)
	}
	if err := f.sides[draining].stop(); err != nil {
		t.Errorf("stop of the side: %v", err)
	}
	close(stopped)
	for _, l := range loads {
		l.Wait()
	}
	tokens, failed := f.checkResponses(long, wait())
	if len(failed) > 0 || len(engine.Runs()) != n {
		t.Errorf("failures by type: %v, %d runs, %d after the drain", failed, len(engine.Runs()), n)
	}
	f.waitSettled(sum.tokens + tokens)
}
