package starter

import (
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

// Guards against entries that serve no request with a prepaid budget any more, because those
// that would have to know of its grants have left for good: in order or not, one after the
// other or at once, until few or one are left; and against an entry that comes later and
// counts those that left before.
func TestLastEntriesServe(t *testing.T) {
	const (
		recovery = 3 * time.Second // after the last one has left
		calls    = 20
	)
	tests := []struct {
		name   string
		size   int
		left   int
		leave  func(f *fleet, callers ...string)
		atOnce bool
	}{
		{"in order, one after the other", 4, 1, (*fleet).stop, false},
		{"killed, one after the other", 4, 1, (*fleet).killSome, false},
		{"killed at once", 4, 1, (*fleet).killSome, true},
		{"two of six, killed at once", 6, 2, (*fleet).killSome, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 0, 2, func(int, platformtest.Request) platformtest.Response {
				return platformtest.Response{Events: 4}
			})
			f.store.StartEras()
			for range tt.size {
				f.startEntry()
			}
			served := func(callers []string) (n int) {
				for i := range calls {
					if f.send(callers[i%len(callers)], "a1").whole {
						n++
					}
					time.Sleep(20 * time.Millisecond)
				}
				return n
			}
			served(f.callers)
			time.Sleep(recovery)
			if n := served(f.callers); n < calls*9/10 {
				t.Fatalf("%d of %d requests served by all entries", n, calls)
			}
			leaving := f.callers[tt.left:]
			f.callers = f.callers[:tt.left]
			if tt.atOnce {
				tt.leave(f, leaving...)
			} else {
				for _, addr := range leaving {
					tt.leave(f, addr)
				}
			}
			served(f.callers)
			time.Sleep(recovery)
			if n := served(f.callers); n < calls*9/10 {
				t.Errorf("%d of %d requests served by the entries that are left", n, calls)
			}
			f.startEntry()
			f.killSome(f.callers[:tt.left]...)
			f.callers = f.callers[tt.left:]
			served(f.callers)
			time.Sleep(recovery)
			if n := served(f.callers); n < calls*9/10 {
				t.Errorf("%d of %d requests served by an entry that came later", n, calls)
			}
		})
	}
}
