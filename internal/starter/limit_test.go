package starter

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

// limitWindow is the span in which the arrivals at a limited target are counted.
const limitWindow = 4 * time.Second

// allowedIn returns how many requests may reach a target with a limit in limitWindow.
func allowedIn(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// maxInWindow returns the largest number of times within limitWindow.
func maxInWindow(times []time.Time) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a target that gets more requests than the limit that it names because
// each instance keeps the limit by itself, or none does, or an instance that has just
// started, a retry or a resumed stream goes past it; against a limit that outlasts the
// target's wish; and against refusing requests that other targets can serve.
func TestTargetLimit(t *testing.T) {
	const limit, limited, runners = 2, 0, 4
	var mu sync.Mutex
	var named time.Time // when the target first named its limit
	var lifted bool
	var reached []time.Time
	f := startFleet(t, 3, runners, func(runner int, _ platformtest.Request) platformtest.Response {
		response := platformtest.Response{Events: 4, Delay: 20 * time.Millisecond}
		mu.Lock()
		defer mu.Unlock()
		if runner != limited {
			return response
		}
		reached = append(reached, time.Now())
		if !named.IsZero() && !lifted {
			response.Limit = "2.0"
		}
		return response
	})
	var calls []fleetCall
	var wg sync.WaitGroup
	phase := func(d time.Duration) {
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(25 * time.Millisecond)
			to := f.callers[i%len(f.callers)] // read before another entry is added
			wg.Go(func() {
				// Parts that differ spread the requests evenly over the targets.
				c := f.send(to, "a1", strconv.FormatInt(f.nextID.Add(1), 16))
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
		}
	}
	arrivals := func(from, to time.Time) (list []time.Time) {
		mu.Lock()
		defer mu.Unlock()
		for _, at := range reached {
			if at.After(from) && at.Before(to) {
				list = append(list, at)
			}
		}
		return list
	}
	begun := time.Now()
	phase(2 * time.Second)
	before := len(arrivals(begun, time.Now()))
	mu.Lock()
	named = time.Now()
	mu.Unlock()
	phase(stableWindow + limitWindow/2)
	f.startEntry()
	phase(limitWindow)
	mu.Lock()
	lifted = true
	mu.Unlock()
	end := time.Now()
	phase(2 * stableWindow)
	wg.Wait()

	if before < 8 {
		t.Fatalf("%d requests reached the target before it named a limit, the test needs more", before)
	}
	during := arrivals(named.Add(stableWindow), end)
	if n := maxInWindow(during); n > allowedIn(limit) {
		t.Errorf("%d requests within %v reached a target with a limit of %d a second, allowed are %d", n, limitWindow, limit, allowedIn(limit))
	}
	if least := int(0.4 * limit * end.Sub(named.Add(stableWindow)).Seconds()); len(during) < least {
		t.Errorf("%d requests reached the target while it named a limit of %d a second, want %d or more", len(during), limit, least)
	}
	if after := len(arrivals(end.Add(stableWindow), time.Now())); after < before/2 {
		t.Errorf("%d requests reached the target after the end of its limit, %d in the same time before", after, before)
	}
	served := 0
	for _, c := range calls {
		if c.events == 4 {
			served++
		}
	}
	if served < len(calls)*98/100 {
		t.Errorf("%d of %d requests were served, though three targets had no limit", served, len(calls))
	}
	var shown bool
	for _, out := range f.logs {
		for line := range strings.Lines(out.String()) {
			var l struct{ Msg, Target string }
			shown = shown || json.Unmarshal([]byte(line), &l) == nil && l.Msg == "target limited" && l.Target == f.runners[limited].id
		}
	}
	if !shown {
		t.Error("no instance logged the limit")
	}
	t.Logf("%d arrivals before, %d under the limit (%d within %v), %d of %d served", before, len(during), maxInWindow(during), limitWindow, served, len(calls))
}

// Guards against refusing requests at once, or keeping them until their deadline, although
// the limits of all targets together cover the load.
func TestAllTargetsLimited(t *testing.T) {
	const limit, runners = 10, 3
	var mu sync.Mutex
	reached := make([][]time.Time, runners)
	f := startFleet(t, 3, runners, func(runner int, _ platformtest.Request) platformtest.Response {
		mu.Lock()
		defer mu.Unlock()
		reached[runner] = append(reached[runner], time.Now())
		return platformtest.Response{Events: 2, Limit: "10"}
	})
	run := func(perSecond int, d time.Duration) (calls []fleetCall) {
		var wg sync.WaitGroup
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(time.Second / time.Duration(perSecond))
			to := f.callers[i%len(f.callers)] // read before another entry is added
			wg.Go(func() {
				c := f.send(to, "a1", string(rune('0'+i%8)))
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
		}
		wg.Wait()
		return calls
	}
	served := func(calls []fleetCall) (n int) {
		for _, c := range calls {
			if c.events == 2 {
				n++
			} else if c.after == "" {
				t.Errorf("a request was refused with status %d and no time to come back", c.status)
			}
		}
		return n
	}
	run(18, 2*time.Second)
	within := run(18, 4*time.Second)
	if n := served(within); n < len(within)*9/10 {
		t.Errorf("%d of %d requests served, though the limits cover all", n, len(within))
	}
	beyond := run(90, 4*time.Second)
	if n := served(beyond); n < limit*runners*4/2 {
		t.Errorf("%d of %d requests served at three times the limits, want %d", n, len(beyond), limit*runners*4/2)
	}
	for i, list := range reached {
		if n := maxInWindow(list); n > allowedIn(limit) {
			t.Errorf("%d requests within %v reached target %d, allowed are %d", n, limitWindow, i, allowedIn(limit))
		}
	}
	t.Logf("%d of %d served below the limits, %d of %d above", served(within), len(within), served(beyond), len(beyond))
}
