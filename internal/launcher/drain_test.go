package launcher

import (
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

// Guards against work for a leaving side while the instance list still shows it
// as live, and against requests that fail because of that.
func TestDrainWithLaggingList(t *testing.T) {
	f := newFixture(t)
	a, b := f.standard(1_000_000)
	f.fake.Set(faker.PlatformFaults{Lag: faker.Ptr(loader.Duration(30 * time.Second))})
	for _, e := range f.engines {
		e.Set(faker.EngineFaults{Slow: faker.Ptr(7.0)})
	}
	long := questions("long", 1, 250)
	wait := f.ask(a, long)
	leaves := f.busiest(long)
	var sum bill
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
	loads := []interface{ Wait() }{f.load(a, "a", &sum, over), f.load(b, "b", &sum, over)}
	engine := f.engines[leaves]
	f.eventually("the side is busy", func() bool { return len(engine.Runs()) > callers })
	drained = time.Now()
	f.sides[leaves].cancel()
	f.eventually("the side refuses work", func() bool {
		n := len(engine.Runs())
		time.Sleep(300 * time.Millisecond)
		return len(engine.Runs()) == n
	})
	n := len(engine.Runs())
	if d := time.Since(drained); d > 3*time.Second {
		t.Errorf("new work until %s after the drain", d)
	}
	if err := f.sides[leaves].stop(); err != nil {
		t.Errorf("stop of the side: %v", err)
	}
	close(stopped)
	for _, l := range loads {
		l.Wait()
	}
	tokens, failed := f.checkAnswers(long, wait())
	if len(failed) > 0 || len(engine.Runs()) != n {
		t.Errorf("failed by type: %v, %d runs, %d after the drain", failed, len(engine.Runs()), n)
	}
	f.settled(sum.tokens + tokens)
}
