package starter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// arrivals records which requests reached a runner, and when runners crashed.
type arrivals struct {
	mu      sync.Mutex
	at      map[string][]time.Time // by request ID
	crashes []time.Time
}

func (a *arrivals) add(req platformtest.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := req.Header.Get("Daisylane-Attempt-Id")
	a.at[id] = append(a.at[id], time.Now())
}

// crashed records a crash. The runner starts again a second later, with another ID.
func (a *arrivals) crashed(f *fleet, runner int) {
	r := f.runners[runner]
	r.mu.Lock()
	down := r.down
	r.down = true
	r.mu.Unlock()
	if down {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes = append(a.crashes, time.Now())
	n := len(a.crashes)
	time.AfterFunc(time.Second, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.down = false
		if err := r.runner.Restart(); err != nil {
			f.t.Error(err)
			return
		}
		f.store.Delete(platform.KindRunners, r.id)
		r.id = fmt.Sprintf("i-%d-%d", runner, n)
		f.store.Put(platform.KindRunners, r.id, r.runner.Registration(r.service, "a"))
	})
}

// Guards against requests with a prompt part that crashes targets, from any caller at
// any instance and one after the other, reaching target after target, also through
// instances that saw no crash, through retries and through an instance that starts later;
// and against refusing requests that share the caller and the other parts.
func TestCrashingPart(t *testing.T) {
	const deadly = "dead"
	a := &arrivals{at: make(map[string][]time.Time)}
	var f *fleet
	f = startFleet(t, 3, 9, func(runner int, req platformtest.Request) platformtest.Response {
		a.add(req)
		response := platformtest.Response{Events: 4, Pause: 10 * time.Millisecond, Delay: 30 * time.Millisecond}
		if strings.Contains(req.Header.Get("Daisylane-Prompt-Prefix"), deadly) {
			a.crashed(f, runner)
			response.Crash = true
		}
		return response
	})
	var mu sync.Mutex
	var bad, sound []fleetCall
	var wg sync.WaitGroup
	phase := func(d time.Duration, withDeadly bool) {
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(50 * time.Millisecond)
			for _, parts := range [][]string{{"a1", "b1"}, {"a1", "b2"}, {"a1", deadly, "b1"}} {
				isBad := len(parts) == 3
				if isBad && (!withDeadly || i%2 > 0) {
					continue
				}
				to := f.callers[i%len(f.callers)] // read before another entry is added
				wg.Go(func() {
					c := f.send(to, parts...)
					mu.Lock()
					defer mu.Unlock()
					if isBad {
						bad = append(bad, c)
					} else {
						sound = append(sound, c)
					}
				})
			}
		}
	}
	phase(time.Second, false)
	phase(2*stableWindow, true)
	f.startEntry()
	phase(3*time.Second, true)
	wg.Wait()

	if len(a.crashes) < 2 {
		t.Fatalf("%d runners crashed, the test needs more", len(a.crashes))
	}
	last := a.crashes[min(len(a.crashes), 5)-1]
	reached := 0
	for _, c := range bad {
		for _, at := range a.at[c.id] {
			if len(a.crashes) >= 5 && c.sentAt.After(last.Add(stableWindow)) && at.After(last.Add(stableWindow)) {
				reached++
			}
		}
	}
	if reached > 3 {
		t.Errorf("%d requests with the deadly part reached runners later than %v after the fifth crash, allowed are 3; %d runners crashed", reached, stableWindow, len(a.crashes))
	}
	served := func(from, to time.Time) (n, of int) {
		for _, c := range sound {
			if c.sentAt.After(from) && c.sentAt.Before(to) {
				of++
				if c.events == 4 && len(a.at[c.id]) == 1 {
					n++
				}
			}
		}
		return n, of
	}
	before, ofBefore := served(time.Time{}, a.crashes[0])
	after, ofAfter := served(last.Add(2*stableWindow), time.Now())
	if ofBefore < 20 || ofAfter < 20 || after*ofBefore*2 < before*ofAfter {
		t.Errorf("sound requests served at the first attempt: %d of %d before the first crash, %d of %d after the last one that counts", before, ofBefore, after, ofAfter)
	}
	for i, c := range bad {
		if len(a.at[c.id]) > 1 {
			t.Errorf("request %d with the deadly part was sent to %d targets", i, len(a.at[c.id]))
		}
		if c.status == 503 && c.after == "" {
			t.Errorf("request %d with the deadly part was refused without a time to come back", i)
		}
	}
	refused, shown := 0, 0
	for _, out := range f.logs {
		for line := range strings.Lines(out.String()) {
			var l struct{ Msg, Outcome, Part string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "request" && l.Outcome == "crashing" {
				refused++
				if l.Part == deadly {
					shown++
				}
			}
		}
	}
	if refused == 0 || shown != refused {
		t.Errorf("%d requests refused for their part, %d of them with the part in the log", refused, shown)
	}
	t.Logf("%d runners crashed; %d requests with the deadly part, %d sound ones", len(a.crashes), len(bad), len(sound))
}
