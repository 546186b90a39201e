package starter

import (
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// evacuateDelay is evacuate_ms in the settings of these fleets.
const evacuateDelay = 2500 * time.Millisecond

// arrival is a request that reached a runner.
type arrival struct {
	centre string
	at     time.Time
}

// evacuated is a fleet under load whose data centres are evacuated.
type evacuated struct {
	*located
	mu       sync.Mutex
	arrivals []arrival
	calls    []fleetCall
}

// startEvacuated starts a fleet with runners in all data centres and 50 requests a second until
// the function is called that it returns.
func startEvacuated(t *testing.T, edit func(bounds map[string]any)) (f *evacuated, end func()) {
	t.Helper()
	f = &evacuated{located: startLocated(t, edit)}
	for _, centre := range []string{"a", "b", "c"} {
		arrive := func(r platformtest.Response) func() platformtest.Response {
			return func() platformtest.Response {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.arrivals = append(f.arrivals, arrival{centre, time.Now()})
				return r
			}
		}
		f.add("s1", centre, arrive(platformtest.Response{Events: 3, Pause: 30 * time.Millisecond}))
		f.add("s2", centre, arrive(platformtest.Response{Body: "ok"}))
	}
	f.configure(4, routeTo("engine", "s1", "streaming", `,"resumable":true`)+","+routeTo("plain", "s2", "idempotent", ""), `{"name":"t1","api_keys":["k1"]}`)
	f.startEntry()
	f.startEntry()
	callers, stop, done := f.callers, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for i := 0; ; i++ {
			select {
			case <-stop:
				wg.Wait()
				return
			case <-time.After(20 * time.Millisecond):
			}
			wg.Go(func() {
				c := f.post(callers[i/2%2], []string{"/engine/1", "/plain/1"}[i%2], "body")
				f.mu.Lock()
				defer f.mu.Unlock()
				f.calls = append(f.calls, c)
			})
		}
	}()
	return f, func() { close(stop); <-done }
}

// in returns how many requests arrived in a data centre, and how many sent then failed, without
// those refused as evacuated.
func (f *evacuated) in(centre string, from, to time.Time) (arrived, failed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.centre == centre && a.at.After(from) && a.at.Before(to) {
			arrived++
		}
	}
	for _, c := range f.calls {
		if c.sentAt.After(from) && c.sentAt.Before(to) && !c.whole && c.cause != "evacuated" {
			failed++
		}
	}
	return arrived, failed
}

// lastOutside returns how long after a time the last request arrived in another data centre
// than the open ones.
func (f *evacuated) lastOutside(open string, from time.Time) (last time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if !strings.Contains(open, a.centre) {
			last = max(last, a.at.Sub(from))
		}
	}
	return last
}

// Guards against a request that reaches an evacuated data centre later than evacuate_ms after
// the evacuation, with an object of any content, while the store is away or its history is
// gone, after it was restored, or at an instance that has just started; against a data centre
// that stays closed after that; and against requests that fail or are refused without need.
func TestEvacuation(t *testing.T) {
	f, end := startEvacuated(t, func(bounds map[string]any) { bounds["evacuate_ms"] = evacuateDelay.Milliseconds() })
	f.store.StartEras()
	evacuate := func(centre string, content any) { f.store.Put(platform.KindEvacuations, centre, content) }
	withdraw := func(centres ...string) {
		for _, c := range centres {
			f.store.Delete(platform.KindEvacuations, c)
		}
	}
	// check waits until a change must be in force, and for a second more. Only open data centres
	// may get requests then, and the one of the entries gets some if it is open.
	check := func(what, open string) {
		t.Helper()
		changed := time.Now()
		time.Sleep(evacuateDelay)
		from := time.Now()
		time.Sleep(time.Second)
		arrived := 0
		for _, centre := range []string{"a", "b", "c"} {
			n, failed := f.in(centre, from, time.Now())
			if arrived += n; n > 0 && !strings.Contains(open, centre) || n == 0 && centre == "a" && strings.Contains(open, centre) || failed > 0 {
				t.Errorf("%s: %d requests reached data centre %s, open are %q; %d failed", what, n, centre, open, failed)
			}
		}
		t.Logf("%s: last request to a closed data centre %v after the change", what, f.lastOutside(open, changed))
		if arrived == 0 && open != "" {
			t.Errorf("%s: no request reached a target", what)
		}
	}
	check("before", "abc")
	start := time.Now() // streams may begin a moment after an instance is ready
	evacuate("a", map[string]any{})
	check("evacuated", "bc")
	evacuate("b", "no object")
	evacuate("unknown", []int{1})
	check("odd content", "c")
	f.store.SetFaults(platformtest.Faults{Unresponsive: true})
	check("store away", "c")
	withdraw("a")
	f.store.SetFaults(platformtest.Faults{})
	check("withdrawn while the store was away", "ac")
	earlier := f.store.Copy()
	evacuate("a", map[string]any{})
	f.store.Compact()
	check("history gone", "c")
	f.store.Restore(earlier)
	check("restored from a copy before the evacuation", "c")
	evacuate("c", nil)
	check("all evacuated", "")
	f.startEntry()
	for range 10 {
		began := time.Now()
		if c := f.post(f.callers[2], "/engine/1", "body"); c.status != 503 || c.cause != "evacuated" || c.after == "" || time.Since(began) > 500*time.Millisecond {
			t.Errorf("all evacuated: new instance answers %d %q, Retry-After %q after %v", c.status, c.cause, c.after, time.Since(began))
		}
	}
	withdraw("a", "b", "c")
	check("all withdrawn", "abc")
	end()
	if n, failed := f.in("a", start, time.Now()); n == 0 || failed > 0 {
		t.Errorf("%d of %d requests failed in other ways than refused as evacuated", failed, len(f.calls))
	}
}

// Guards against evacuations that matter where the settings don't say so.
func TestNoEvacuations(t *testing.T) {
	f, end := startEvacuated(t, nil)
	f.store.Put(platform.KindEvacuations, "a", map[string]any{})
	from := time.Now().Add(time.Second)
	time.Sleep(2 * time.Second)
	end()
	if n, failed := f.in("a", from, time.Now()); n == 0 || failed > 0 {
		t.Errorf("%d requests reached the data centre, %d failed", n, failed)
	}
	for call, n := range f.store.CallsByKind() {
		if strings.HasSuffix(call, " "+platform.KindEvacuations) {
			t.Errorf("%d calls to %s", n, call)
		}
	}
}
