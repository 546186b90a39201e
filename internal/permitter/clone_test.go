package permitter

import (
	"testing"
	"time"

	"daisylane/internal/throttler"
)

// Guards against a question about targets that makes this instance ask for permits, which
// others then lack.
func TestCloneAsksForNothing(t *testing.T) {
	for _, cloned := range []bool{true, false} {
		f := newFleet(1, func(int) time.Time { return time.Now().Add(-time.Hour) })
		p, limit := f.instances[0], 100.0
		p.RecordLimit(throttler.Target{Service: "pool", ID: "i-0", Incarnation: 1}, time.Now(), &limit)
		for range 100 {
			p.RecordRequest("pool") // the more, the surer it asks
		}
		asked := p
		if cloned {
			asked = p.Clone()
		}
		closed := asked.AppendClosed(nil, time.Now(), "pool", 1)
		if due := p.state.AsksDue(time.Now()); len(closed) != 1 || len(due) > 0 == cloned || len(p.signal) > 0 == cloned {
			t.Errorf("cloned %t: %v closed, asks %v, %d signals", cloned, closed, due, len(p.signal))
		}
	}
}
