package starter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

// deadlyTrial is the traffic of a test with requests that crash the runners that run them.
type deadlyTrial struct {
	f *fleet
	a *arrivals

	mu      sync.Mutex
	crashes map[string][]time.Time // by what the deadly requests have in common
	deadly  map[string][]fleetCall
	sound   []fleetCall
	wg      sync.WaitGroup
}

// respond crashes the runner if the request is deadly.
func (d *deadlyTrial) respond(runner int, req platformtest.Request) platformtest.Response {
	d.a.add(req)
	response := platformtest.Response{Delay: 20 * time.Millisecond}
	if strings.HasPrefix(req.URI, "/plan/") {
		response.Events, response.Pause = 4, 10*time.Millisecond
	}
	if strings.HasPrefix(req.Body, "deadly") {
		time.Sleep(30 * time.Millisecond)
		d.mu.Lock()
		d.crashes[req.Body] = append(d.crashes[req.Body], time.Now())
		d.mu.Unlock()
		d.a.crashed(d.f, runner)
		response.Crash, response.Delay = true, 0
	}
	return response
}

// send sends a request in the background.
func (d *deadlyTrial) send(to, path, body string, parts ...string) {
	d.wg.Go(func() {
		c := d.f.post(to, path, body, parts...)
		d.mu.Lock()
		defer d.mu.Unlock()
		if strings.HasPrefix(body, "deadly") {
			d.deadly[body] = append(d.deadly[body], c)
		} else {
			d.sound = append(d.sound, c)
		}
	})
}

// run sends requests for a while, to one entry after the other: equal and different ones,
// and deadly ones with all but the last part of their prompt in common with sound ones.
func (d *deadlyTrial) run(lasts time.Duration, withDeadly bool) {
	for i, end := 0, time.Now().Add(lasts); time.Now().Before(end); i++ {
		time.Sleep(40 * time.Millisecond)
		to := d.f.callers[i%len(d.f.callers)]
		d.send(to, "/lookup/popular", "popular")
		d.send(to, "/lookup/popular", fmt.Sprint("other ", i))
		d.send(to, "/plan/popular", "popular", "a1", "b1", "c1")
		d.send(to, "/plan/popular", fmt.Sprint("other ", i), "a1", "b1", fmt.Sprintf("%x", 1<<40+i))
		if withDeadly && i%2 == 0 {
			d.send(to, "/lookup/popular", "deadly lookup")
			d.send(to, "/plan/popular", "deadly plan", "a1", "b1", "dd")
		}
	}
}

// served counts the sound requests that were sent in a span and answered.
func (d *deadlyTrial) served(from, to time.Time) (n, of int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.sound {
		if c.sentAt.After(from) && c.sentAt.Before(to) {
			of++
			if c.whole {
				n++
			}
		}
	}
	return n, of
}

// Guards against an equal request that ends runner after runner, at any instance, because
// crashes count against what requests share and not against the request: at services whose
// requests have no prompt, for the last part of a prompt, through retries, through an
// instance that starts later, and after all instances that saw the crashes have gone; and
// against refusing equal or other sound requests that were at the same runners.
func TestCrashingRequest(t *testing.T) {
	d := &deadlyTrial{a: &arrivals{at: make(map[string][]time.Time)}, crashes: make(map[string][]time.Time), deadly: make(map[string][]fleetCall)}
	d.f = startFleet(t, 0, 6, d.respond)
	for range 3 {
		d.f.addRunner("s2", d.respond)
	}
	for range 3 {
		d.f.startEntry()
	}
	begun := time.Now()
	d.run(time.Second, false)
	calm := time.Now()
	d.run(2*stableWindow, true)
	d.f.startEntry()
	d.run(2*time.Second, true)
	former := d.f.callers
	d.f.callers = nil
	d.f.startEntry()
	d.f.startEntry()
	d.f.stop(former...)
	replaced := time.Now()
	d.run(3*time.Second, true)
	d.wg.Wait()

	for name, calls := range d.deadly {
		crashes := d.crashes[name]
		if len(crashes) < 3 {
			t.Fatalf("%d runners ended under %q, the test needs more", len(crashes), name)
		}
		end, late := crashes[2].Add(stableWindow), 0
		for _, c := range calls {
			for _, at := range d.a.at[c.id] {
				if c.sentAt.After(end) && at.After(end) {
					late++
				}
			}
			if c.status == 503 && c.after == "" {
				t.Errorf("%q was refused without a time to come back", name)
			}
		}
		if late > 3 {
			t.Errorf("%q reached runners %d times later than %v after the third crash, allowed are 3; %d runners ended", name, late, stableWindow, len(crashes))
		}
		t.Logf("%q: %d requests, %d runners ended, %d arrivals too late", name, len(calls), len(crashes), late)
	}
	before, ofBefore := d.served(begun, calm)
	after, ofAfter := d.served(replaced, time.Now())
	if ofBefore < 20 || ofAfter < 20 || after*ofBefore*10 < before*ofAfter*9 {
		t.Errorf("sound requests served: %d of %d before the first crash, %d of %d at the end", before, ofBefore, after, ofAfter)
	}
	d.checkRefusals(t)
}

// checkRefusals checks that no sound request was refused as crashing, and that each refusal
// names what it was refused for.
func (d *deadlyTrial) checkRefusals(t *testing.T) {
	sound := make(map[string]bool)
	for _, c := range d.sound {
		sound[c.id] = true
	}
	refused, named, refusedSound := 0, 0, 0
	for _, out := range d.f.logs {
		for line := range strings.Lines(out.String()) {
			var l struct{ Msg, ID, Outcome, Fingerprint, Part string }
			if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "request" || l.Outcome != "crashing" {
				continue
			}
			refused++
			if l.Fingerprint+l.Part != "" {
				named++
			}
			if sound[l.ID] {
				refusedSound++
			}
		}
	}
	if refused == 0 || named != refused || refusedSound > len(d.sound)/100 {
		t.Errorf("%d requests refused as crashing, %d of them with the reason in the log, %d of %d sound ones among them", refused, named, refusedSound, len(d.sound))
	}
}
