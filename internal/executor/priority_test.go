package executor

import (
	"math"
	"testing"
)

// Guards against priorities with which an engine runs a request of lower worth first,
// and against priorities outside the 32-bit range that engines accept.
func TestEnginePriority(t *testing.T) {
	worths := []float64{math.Inf(-1), -1, 0, math.SmallestNonzeroFloat64, 1e-9, 0.5, 0.99, 1, 1.01, 2, 2.02, 1e9, math.MaxFloat64, math.Inf(1)}
	last := math.MaxInt32
	for i, w := range worths {
		p := enginePriority(w)
		if p > last || i > 3 && p == last || p < math.MinInt32 {
			t.Errorf("worth %v: priority %d after %d", w, p, last)
		}
		last = p
	}
	if p := enginePriority(1); p != 0 {
		t.Errorf("worth 1: priority %d, want 0", p)
	}
	if p := enginePriority(math.NaN()); p != maxPriority {
		t.Errorf("worth NaN: priority %d, want the lowest", p)
	}
}

// Guards against a caller that sets the engine priority of its request in the body.
func TestPriorityOfCaller(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 1, nil)
	f := startModelSide(t, e, &fakePlatform{})
	m := runFrame(1, 100)
	m.GetRun().Worth = 4
	m.GetRun().Payload = []byte(`{"priority":-1000000,"messages":[]}`)
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", m), allFrames)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.bodies) != 1 || e.bodies[0]["priority"] != -200.0 {
		t.Errorf("bodies = %v, want priority -200", e.bodies)
	}
}
