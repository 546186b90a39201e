package admitter

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func request(n int, worth float64, wait time.Duration) Request {
	return Request{
		ID: fmt.Sprintf("q%d", n), Deadline: start.Add(wait), Worth: worth,
		Reservation: Reservation{Holder: "h1", Number: uint64(n), Tokens: 10},
	}
}

func registered(slots, queue int) *Admitter {
	a := New(Limits{Slots: slots, Queue: queue})
	a.Register(nil)
	return a
}

func reasons(actions []Action) []string {
	var list []string
	for _, act := range actions {
		switch act := act.(type) {
		case Start:
			list = append(list, act.ID+" start")
		case Refuse:
			list = append(list, act.ID+" "+string(act.Reason))
		case Stop:
			list = append(list, act.ID+" stop")
		case Settle:
			list = append(list, act.Charge.ID+" settle")
		}
	}
	return list
}

func wantActions(t *testing.T, step string, got []Action, want ...string) {
	t.Helper()
	if !slices.Equal(reasons(got), want) {
		t.Errorf("%s: actions = %v, want %v", step, reasons(got), want)
	}
}

// Guards against a wrong order of the queue and against requests that wait
// although they cannot start in time, would be cut off at their deadline or the
// queue is full.
func TestQueue(t *testing.T) {
	a := registered(1, 2)
	wantActions(t, "free slot", a.Run(start, request(1, 1, time.Minute)), "q1 start")
	wantActions(t, "too late to end", a.Run(start, request(8, 1, 1500*time.Millisecond)), "q8 deadline")
	wantActions(t, "wait", a.Run(start, request(2, 1, time.Minute)))
	wantActions(t, "worth", a.Run(start, request(3, 2, time.Minute)))
	wantActions(t, "full", a.Run(start, request(4, 1, 2*time.Minute)), "q4 overload")
	wantActions(t, "displace", a.Run(start, request(5, 1, 30*time.Second)), "q2 overload")
	wantActions(t, "too late to start", a.Run(start, request(6, 1, 500*time.Millisecond)), "q6 deadline")
	wantActions(t, "higher worth", a.Ended(start.Add(time.Second), "q1", Usage{}), "q3 start")
	wantActions(t, "passed deadline", a.Tick(start.Add(31*time.Second)), "q5 deadline", "q1 settle")
	wantActions(t, "more slots", a.Report(start, Load{Slots: 2}))
	wantActions(t, "second slot", a.Run(start, request(7, 1, time.Minute)), "q7 start")
}

// Guards against a long queue at one side while others have free slots.
func TestQueueIsShort(t *testing.T) {
	a := registered(8, 64)
	for n := range 12 {
		if got := a.Run(start, request(n, 1, time.Minute)); n < 8 != (len(got) == 1) {
			t.Errorf("request %d: actions = %v, want 8 to start and 4 to wait", n, reasons(got))
		}
	}
	wantActions(t, "half the slots wait", a.Run(start, request(12, 1, 2*time.Minute)), "q12 overload")
}

// Guards against a charge that is settled too early, too often or not again
// after a failure, and against one above its reservation.
func TestCharge(t *testing.T) {
	a := registered(1, 1)
	a.Run(start, request(1, 1, time.Minute))
	wantActions(t, "within", a.Meter("q1", Usage{Prompt: 4, Output: 6}))
	wantActions(t, "over", a.Meter("q1", Usage{Prompt: 4, Output: 7}), "q1 stop")
	wantActions(t, "once", a.Meter("q1", Usage{Prompt: 4, Output: 8}))
	a.Ended(start, "q1", Usage{Prompt: 4, Output: 8})
	if c := a.Unbilled("h1"); len(c) != 1 || c[0].Tokens != 10 {
		t.Errorf("unbilled = %v, want 10 tokens", c)
	}
	wantActions(t, "early", a.Tick(start.Add(SettleDelay-1)))
	wantActions(t, "due", a.Tick(start.Add(SettleDelay)), "q1 settle")
	wantActions(t, "on its way", a.Tick(start.Add(time.Minute)))
	a.SettleFailed(start, "q1")
	wantActions(t, "first retry", a.Tick(start.Add(settleInterval)), "q1 settle")
	a.SettleFailed(start, "q1")
	wantActions(t, "backoff", a.Tick(start.Add(settleInterval)))
	wantActions(t, "known", a.Run(start, request(1, 1, time.Minute)), "q1 duplicate")
	wantActions(t, "used reservation", a.Run(start, Request{ID: "q2", Deadline: start.Add(time.Minute), Reservation: request(1, 1, 0).Reservation}), "q2 duplicate")
	a.Billed("q1")
	wantActions(t, "billed", a.Tick(start.Add(time.Minute)))
}

// Guards against tokens that stay withheld after the crash of a holder: no
// router of a closed holder reports its charges as durable.
func TestChargeOfClosedHolder(t *testing.T) {
	a := registered(1, 1)
	a.Run(start, request(1, 1, time.Minute))
	a.Close("h1")
	a.Ended(start, "q1", Usage{Prompt: 4, Output: 6})
	wantActions(t, "at once", a.Tick(start), "q1 settle")
}

// Guards against work that is admitted for a closed holder, during a drain or
// before registration, in any order of events, and against a request that gets
// two decisions, none, or more slots than there are.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Limits{Slots: 2, Queue: 3})
		now, next := start, 0
		open, running, waiting := map[string]Request{}, map[string]bool{}, map[string]bool{}
		isClosed, draining, isRegistered := map[string]bool{}, false, false
		take := func(actions []Action) {
			for _, act := range actions {
				switch act := act.(type) {
				case Start:
					if !waiting[act.ID] || draining || !isRegistered || isClosed[open[act.ID].Reservation.Holder] || !now.Before(open[act.ID].Deadline) {
						t.Fatalf("%s must not start", act.ID)
					}
					delete(waiting, act.ID)
					running[act.ID] = true
				case Refuse:
					if !waiting[act.ID] {
						t.Fatalf("%s is refused and does not wait", act.ID)
					}
					delete(waiting, act.ID)
				}
			}
			if len(running) > 2 || len(waiting) > 3 {
				t.Fatalf("%d run, %d wait", len(running), len(waiting))
			}
			if len(waiting) > 0 && len(running) < 2 {
				t.Fatalf("%d requests wait while a slot is free", len(waiting))
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			holder := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "holder")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				a.Register([]string{"h3"})
				isRegistered, isClosed["h3"] = true, true
			case 1:
				isClosed[holder] = true
				take(a.Close(holder))
				for id := range running {
					found := slices.ContainsFunc(a.Open(holder), func(r Request) bool { return r.ID == id })
					if found != (open[id].Reservation.Holder == holder) {
						t.Fatalf("open requests of %s are wrong for %s", holder, id)
					}
				}
			case 2:
				draining = true
				take(a.Drain())
			case 3:
				draining = false
				a.Undrain()
			case 4, 5:
				for id := range running {
					delete(running, id)
					take(a.Ended(now, id, Usage{Output: 3}))
					break
				}
			case 6:
				take(a.Tick(now))
			default:
				next++
				r := request(next, float64(rapid.IntRange(1, 3).Draw(t, "worth")), 0)
				r.Reservation.Holder = holder
				r.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "seconds")) * time.Second)
				open[r.ID], waiting[r.ID] = r, true
				take(a.Run(now, r))
			}
			if a.OpenCount() != len(running)+len(waiting) {
				t.Fatalf("%d run, %d wait, open = %d", len(running), len(waiting), a.OpenCount())
			}
		}
	})
}

// Guards against waiting or later work of a revoked reservation being run, and
// against running or unbilled work missing from the answer.
func TestRevoke(t *testing.T) {
	a := registered(1, 4)
	for n := 1; n <= 4; n++ {
		a.Run(start, request(n, 1, time.Minute))
	}
	a.Ended(start, "q1", Usage{Output: 3}) // starts q2
	wantActions(t, "waiting", a.Revoke("h1", 0, []uint64{1, 2, 3}), "q3 revoked")
	if got := a.Unsettled("h1", []uint64{1, 2, 3}); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("unsettled = %v, want the unbilled 1 and the running 2", got)
	}
	wantActions(t, "listed", a.Run(start, request(3, 1, time.Minute)), "q3 revoked")
	wantActions(t, "below", a.Revoke("h1", 4, nil))
	a.Revoke("h1", 2, nil) // an older call that comes late
	wantActions(t, "no longer listed", a.Run(start, request(3, 1, time.Minute)), "q3 revoked")
	other := request(3, 1, time.Minute)
	other.Reservation.Holder = "h2"
	wantActions(t, "other holder", a.Run(start, other))
	a.Ended(start, "q2", Usage{Output: 3})
	a.Billed("q1")
	a.Billed("q2")
	if got := a.Unsettled("h1", []uint64{1, 2, 3}); len(got) != 0 {
		t.Errorf("unsettled = %v after the charges are durable", got)
	}
}
