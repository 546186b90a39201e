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
func (a *arrivals) crashed(f *fleet, runner int) { a.crashedFor(f, runner, time.Second, false) }

// crashedFor records a crash. The runner starts again after a time, if that is not negative,
// with its ID or with another one.
func (a *arrivals) crashedFor(f *fleet, runner int, down time.Duration, keepsID bool) {
	r := f.runners[runner]
	r.mu.Lock()
	wasDown := r.down
	r.down = true
	r.mu.Unlock()
	if wasDown {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.crashes = append(a.crashes, time.Now())
	n := len(a.crashes)
	if down < 0 {
		return
	}
	time.AfterFunc(down, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.down = false
		if err := r.runner.Restart(); err != nil {
			f.t.Error(err)
			return
		}
		registration := r.runner.Registration(r.service, "a")
		if registration["born"] = time.Now().UnixMilli(); !keepsID {
			f.store.Delete(platform.KindRunners, r.id)
			r.id = fmt.Sprintf("i-%d-%d", runner, n)
		}
		f.store.Put(platform.KindRunners, r.id, registration)
	})
}

// deadlyPart is the prompt part under which runners of a test crash.
const deadlyPart = "dead"

// Guards against requests with a prompt part that crashes targets, from any caller at
// any instance and one after the other, reaching target after target, also through
// instances that saw no crash, through retries and through an instance that starts later;
// and against refusing requests that share the caller and the other parts.
func TestCrashingPart(t *testing.T) {
	d := newPartTrial()
	d.f = startFleet(t, 3, 9, func(runner int, req platformtest.Request) platformtest.Response {
		d.a.add(req)
		response := platformtest.Response{Events: 4, Pause: 10 * time.Millisecond, Delay: 30 * time.Millisecond}
		if strings.Contains(req.Header.Get("Daisylane-Prompt-Prefix"), deadlyPart) {
			d.a.crashed(d.f, runner)
			response.Crash = true
		}
		return response
	})
	d.play()
	d.check(t)
	for i, c := range d.bad {
		if len(d.a.at[c.id]) > 1 {
			t.Errorf("request %d with the deadly part was sent to %d targets", i, len(d.a.at[c.id]))
		}
	}
}

// Guards against a part that crashes targets and is taken for sound because they end only
// after some events of the answer, or with an answer that the end of its connection
// completes, or are back before anything refuses a connection, or never come back.
func TestCrashingPartAfterEvents(t *testing.T) {
	tests := []struct {
		name    string
		after   int // events
		framed  bool
		down    time.Duration
		keepsID bool
	}{
		{"second event", 2, true, time.Second, false},
		{"last event", 4, true, time.Second, true},
		{"first event, unframed", 1, false, time.Second, false},
		{"last event, unframed", 4, false, time.Second, true},
		{"whole answer", 5, true, time.Second, true},
		{"back at once", 3, true, 0, true},
		{"back at once, unframed", 3, false, 0, true},
		{"back at once under another ID", 2, true, 0, false},
		{"never back", 2, true, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newPartTrial()
			d.f = startFleet(t, 3, 12, func(runner int, req platformtest.Request) platformtest.Response {
				d.a.add(req)
				response := platformtest.Response{Events: 4, Pause: 10 * time.Millisecond, Delay: 30 * time.Millisecond, CloseDelimited: !tt.framed}
				if strings.Contains(req.Header.Get("Daisylane-Prompt-Prefix"), deadlyPart) {
					response.Crash, response.CrashAfter = true, tt.after
					response.OnCrash = func() { d.a.crashedFor(d.f, runner, tt.down, tt.keepsID) }
				}
				return response
			})
			d.play()
			d.check(t)
		})
	}
}

// partTrial is the traffic of a test with a prompt part that crashes runners.
type partTrial struct {
	f *fleet
	a *arrivals

	mu         sync.Mutex
	bad, sound []fleetCall
	wg         sync.WaitGroup
}

func newPartTrial() *partTrial {
	return &partTrial{a: &arrivals{at: make(map[string][]time.Time)}}
}

// run sends requests for a while, to one entry after the other.
func (d *partTrial) run(lasts time.Duration, withDeadly bool) {
	for i, end := 0, time.Now().Add(lasts); time.Now().Before(end); i++ {
		time.Sleep(50 * time.Millisecond)
		for _, parts := range [][]string{{"a1", "b1"}, {"a1", "b2"}, {"a1", deadlyPart, "b1"}} {
			isBad := len(parts) == 3
			if isBad && (!withDeadly || i%2 > 0) {
				continue
			}
			to := d.f.callers[i%len(d.f.callers)] // read before another entry is added
			d.wg.Go(func() {
				c := d.f.send(to, parts...)
				d.mu.Lock()
				defer d.mu.Unlock()
				if isBad {
					d.bad = append(d.bad, c)
				} else {
					d.sound = append(d.sound, c)
				}
			})
		}
	}
}

// play sends sound requests, then deadly ones among them, also at an entry that starts later.
func (d *partTrial) play() {
	d.run(time.Second, false)
	d.run(2*stableWindow, true)
	d.f.startEntry()
	d.run(3*time.Second, true)
	d.wg.Wait()
}

// check checks that the part was found in time, that sound requests were served, and that
// refusals say why.
func (d *partTrial) check(t *testing.T) {
	t.Helper()
	a := d.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.crashes) < 2 {
		t.Fatalf("%d runners crashed, the test needs more", len(a.crashes))
	}
	last := a.crashes[min(len(a.crashes), 5)-1]
	reached := 0
	for _, c := range d.bad {
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
		for _, c := range d.sound {
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
	for i, c := range d.bad {
		if len(a.at[c.id]) > 2 {
			t.Errorf("request %d with the deadly part was sent to %d targets", i, len(a.at[c.id]))
		}
		if c.status == 503 && c.after == "" {
			t.Errorf("request %d with the deadly part was refused without a time to come back", i)
		}
	}
	refused, shown := 0, 0
	for _, out := range d.f.logs {
		for line := range strings.Lines(out.String()) {
			var l struct{ Msg, Outcome, Part string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "request" && l.Outcome == "crashing" {
				refused++
				if l.Part == deadlyPart {
					shown++
				}
			}
		}
	}
	if refused == 0 || shown != refused {
		t.Errorf("%d requests refused for their part, %d of them with the part in the log", refused, shown)
	}
	t.Logf("%d runners crashed; %d requests with the deadly part, %d sound ones", len(a.crashes), len(d.bad), len(d.sound))
}
