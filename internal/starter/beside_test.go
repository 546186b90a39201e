package starter

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

// Guards against refusing healthy requests because they share parts of their prompts, their
// path or their account with a request, or a part, that crashes targets, and nothing was
// answered before; and against sending on what crashes targets. quarantiner.TestPoisonClass
// has the other cases.
func TestHealthyBesidePoison(t *testing.T) {
	sharedParts := []string{"a1", "b1"}
	tests := []struct {
		name       string
		path, body string   // of the poison; no body: one of its own each time
		parts      []string // nil: no prompt
		healthy    string   // path
		after      int      // events, before the target crashes
		down       time.Duration
	}{
		{"request", "/plan/bad", "bad", sharedParts, "/plan/7", 0, time.Second},
		{"request, after an event", "/plan/bad", "bad", sharedParts, "/plan/7", 1, time.Second},
		{"request, back at once", "/plan/bad", "bad", sharedParts, "/plan/7", 1, 0},
		{"request, after the whole answer", "/plan/bad", "bad", sharedParts, "/plan/7", 5, time.Second},
		{"part, never back", "/plan/7", "", []string{"a1", deadlyPart, "b1"}, "/plan/7", 1, -1},
		{"plain service", "/lookup/7", "bad", nil, "/lookup/7", 0, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &arrivals{at: make(map[string][]time.Time)}
			var f *fleet
			respond := func(runner int, req platformtest.Request) platformtest.Response {
				a.add(req)
				response := platformtest.Response{Delay: 30 * time.Millisecond}
				if tt.parts != nil {
					response.Events, response.Pause = 4, 10*time.Millisecond
				}
				if req.Body == "bad" || strings.Contains(req.Header.Get("Daisylane-Prompt-Prefix"), deadlyPart) {
					response.Crash, response.CrashAfter = true, tt.after
					response.OnCrash = func() { a.crashedFor(f, runner, tt.down, false) }
					if tt.after == 0 {
						response.OnCrash()
					}
				}
				return response
			}
			runners, plain := 9, 0
			if tt.parts == nil {
				runners, plain = plain, runners
			}
			f = startFleet(t, 3, runners, respond)
			for range plain {
				f.addRunner("s2", respond)
			}
			t.Parallel() // starts at once would take each other's ports
			var mu sync.Mutex
			var bad, healthy []fleetCall
			var wg sync.WaitGroup
			send := func(list *[]fleetCall, i int, path, body string, parts []string) {
				if parts != nil {
					parts = append(parts[:len(parts):len(parts)], fmt.Sprintf("%x", 1<<40+i))
				}
				wg.Go(func() {
					c := f.post(f.callers[i%len(f.callers)], path, body, parts...)
					mu.Lock()
					defer mu.Unlock()
					*list = append(*list, c)
				})
			}
			for i := range 240 { // 12 s
				if i%4 == 0 {
					body := tt.body
					if body == "" {
						body = fmt.Sprint("own ", i)
					}
					send(&bad, i*5/4, tt.path, body, tt.parts)
				}
				healthyParts := sharedParts
				if tt.parts == nil {
					healthyParts = nil
				}
				send(&healthy, 1000+i, tt.healthy, "good", healthyParts)
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
			a.mu.Lock()
			defer a.mu.Unlock()
			if len(a.crashes) < 3 {
				t.Fatalf("%d targets crashed, the test needs 3", len(a.crashes))
			}
			threshold := 5
			if tt.body != "" {
				threshold = 3
			}
			end, late := a.crashes[min(len(a.crashes), threshold)-1].Add(stableWindow), 0
			for _, c := range bad {
				for _, at := range a.at[c.id] {
					if c.sentAt.After(end) && at.After(end) {
						late++
					}
				}
			}
			settled := a.crashes[min(len(a.crashes), 5)-1].Add(2 * stableWindow)
			served, atFirst, of := 0, 0, 0
			for _, c := range healthy {
				if c.whole {
					served++
				}
				if c.sentAt.After(settled) {
					if of++; c.whole && len(a.at[c.id]) == 1 {
						atFirst++
					}
				}
			}
			t.Logf("%d targets crashed, %d of %d poison requests reached targets late; %d of %d healthy requests served, %d of %d of the settled ones at the first attempt", len(a.crashes), late, len(bad), served, len(healthy), atFirst, of)
			if late > 3 {
				t.Errorf("%d poison requests reached targets late, allowed are 3", late)
			}
			if of < 20 || atFirst*10 < of*9 {
				t.Errorf("%d of %d healthy requests served at the first attempt", atFirst, of)
			}
		})
	}
}
