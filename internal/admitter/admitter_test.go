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

func newRegisteredAdmitter(slots, queue int) *Admitter {
	a := New(Limits{Slots: slots, Queue: queue})
	a.Register(nil)
	return a
}

func describeActions(actions []Action) []string {
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
	if !slices.Equal(describeActions(got), want) {
		t.Errorf("%s: actions = %v, want %v", step, describeActions(got), want)
	}
}

// Guards against starting queued requests in the wrong order, and against queuing
// requests that cannot start in time, would be cut off at their deadline or exceed the
// queue limit.
func TestQueueOrderAndRefusals(t *testing.T) {
	a := newRegisteredAdmitter(1, 2)
	wantActions(t, "free slot", a.Admit(start, request(1, 1, time.Minute)), "q1 start")
	wantActions(t, "too late to finish", a.Admit(start, request(8, 1, 1500*time.Millisecond)), "q8 deadline")
	wantActions(t, "wait", a.Admit(start, request(2, 1, time.Minute)))
	wantActions(t, "worth", a.Admit(start, request(3, 2, time.Minute)))
	wantActions(t, "full", a.Admit(start, request(4, 1, 2*time.Minute)), "q4 overload")
	wantActions(t, "displace", a.Admit(start, request(5, 1, 30*time.Second)), "q2 overload")
	wantActions(t, "too late to start", a.Admit(start, request(6, 1, 500*time.Millisecond)), "q6 deadline")
	wantActions(t, "higher worth", a.End(start.Add(time.Second), "q1", Usage{}), "q3 start")
	wantActions(t, "passed deadline", a.Tick(start.Add(31*time.Second)), "q5 deadline", "q1 settle")
	wantActions(t, "more slots", a.SetLoad(start, Load{Slots: 2}))
	wantActions(t, "second slot", a.Admit(start, request(7, 1, time.Minute)), "q7 start")
}

// Guards against a long queue at one side while other sides have free slots: it
// must refuse requests above half its slots, so that routers send them elsewhere.
func TestQueueLimitIsHalfTheSlots(t *testing.T) {
	a := newRegisteredAdmitter(8, 64)
	for n := range 12 {
		if got := a.Admit(start, request(n, 1, time.Minute)); n < 8 != (len(got) == 1) {
			t.Errorf("request %d: actions = %v, want 8 started and 4 queued", n, describeActions(got))
		}
	}
	wantActions(t, "queue limit reached", a.Admit(start, request(12, 1, 2*time.Minute)), "q12 overload")
}

// Guards against a charge that is settled too early, while a delivery is in flight or
// not again after a failed delivery, and against a charge above its reservation.
func TestChargeIsSettledAndRetried(t *testing.T) {
	a := newRegisteredAdmitter(1, 1)
	a.Admit(start, request(1, 1, time.Minute))
	wantActions(t, "within the reservation", a.RecordUsage("q1", Usage{Prompt: 4, Output: 6}))
	wantActions(t, "above the reservation", a.RecordUsage("q1", Usage{Prompt: 4, Output: 7}), "q1 stop")
	wantActions(t, "stopped only once", a.RecordUsage("q1", Usage{Prompt: 4, Output: 8}))
	a.End(start, "q1", Usage{Prompt: 4, Output: 8})
	if c := a.UnbilledCharges("h1"); len(c) != 1 || c[0].Tokens != 10 {
		t.Errorf("unbilled = %v, want 10 tokens", c)
	}
	wantActions(t, "before the settle delay", a.Tick(start.Add(SettleDelay-1)))
	wantActions(t, "due", a.Tick(start.Add(SettleDelay)), "q1 settle")
	wantActions(t, "delivery in flight", a.Tick(start.Add(time.Minute)))
	a.SettleFailed(start, "q1")
	wantActions(t, "first retry", a.Tick(start.Add(minSettleInterval)), "q1 settle")
	a.SettleFailed(start, "q1")
	wantActions(t, "backoff", a.Tick(start.Add(minSettleInterval)))
	wantActions(t, "known request", a.Admit(start, request(1, 1, time.Minute)), "q1 duplicate")
	wantActions(t, "used reservation", a.Admit(start, Request{ID: "q2", Deadline: start.Add(time.Minute), Reservation: request(1, 1, 0).Reservation}), "q2 duplicate")
	a.RemoveCharge("q1")
	wantActions(t, "billed", a.Tick(start.Add(time.Minute)))
}

// Guards against tokens that stay reserved longer than needed after a holder crashed: no
// router reports the charges of a closed holder as durable, so the side must
// settle them without delay.
func TestChargeOfClosedHolderIsDueAtOnce(t *testing.T) {
	a := newRegisteredAdmitter(1, 1)
	a.Admit(start, request(1, 1, time.Minute))
	a.CloseHolder("h1")
	a.End(start, "q1", Usage{Prompt: 4, Output: 6})
	wantActions(t, "without delay", a.Tick(start), "q1 settle")
}

// Guards against admitting requests of a closed holder, during a drain or before
// registration, in any order of events. Also guards against requests without a decision
// or with two, against using more slots than there are, and against queued requests
// while a slot is free.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Limits{Slots: 2, Queue: 3})
		now, next := start, 0
		requests, running, queued := map[string]Request{}, map[string]bool{}, map[string]bool{}
		isClosed, draining, isRegistered := map[string]bool{}, false, false
		apply := func(actions []Action) {
			for _, act := range actions {
				switch act := act.(type) {
				case Start:
					if !queued[act.ID] || draining || !isRegistered || isClosed[requests[act.ID].Reservation.Holder] || !now.Before(requests[act.ID].Deadline) {
						t.Fatalf("%s was started but must not run", act.ID)
					}
					delete(queued, act.ID)
					running[act.ID] = true
				case Refuse:
					if !queued[act.ID] {
						t.Fatalf("%s was refused but was not queued", act.ID)
					}
					delete(queued, act.ID)
				}
			}
			if len(running) > 2 || len(queued) > 3 {
				t.Fatalf("%d running, %d queued, want at most 2 and 3", len(running), len(queued))
			}
			if len(queued) > 0 && len(running) < 2 {
				t.Fatalf("%d requests are queued while a slot is free", len(queued))
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
				apply(a.CloseHolder(holder))
				for id := range running {
					found := slices.ContainsFunc(a.RunningRequests(holder), func(r Request) bool { return r.ID == id })
					if found != (requests[id].Reservation.Holder == holder) {
						t.Fatalf("running requests of %s are wrong for %s", holder, id)
					}
				}
			case 2:
				draining = true
				apply(a.Drain())
			case 3:
				draining = false
				a.Undrain()
			case 4, 5:
				for id := range running {
					delete(running, id)
					apply(a.End(now, id, Usage{Output: 3}))
					break
				}
			case 6:
				apply(a.Tick(now))
			default:
				next++
				r := request(next, float64(rapid.IntRange(1, 3).Draw(t, "worth")), 0)
				r.Reservation.Holder = holder
				r.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "seconds")) * time.Second)
				requests[r.ID], queued[r.ID] = r, true
				apply(a.Admit(now, r))
			}
			if a.OpenCount() != len(running)+len(queued) {
				t.Fatalf("%d running, %d queued, but open count = %d", len(running), len(queued), a.OpenCount())
			}
		}
	})
}

// Guards against running a queued or later request whose reservation was revoked, and
// against UnsettledReservations omitting a reservation with a running request or an
// unbilled charge.
func TestRevokedReservationsDoNotRun(t *testing.T) {
	a := newRegisteredAdmitter(1, 4)
	for n := 1; n <= 4; n++ {
		a.Admit(start, request(n, 1, time.Minute))
	}
	a.End(start, "q1", Usage{Output: 3}) // starts q2
	wantActions(t, "queued", a.Revoke("h1", 0, []uint64{1, 2, 3}), "q3 revoked")
	if got := a.UnsettledReservations("h1", []uint64{1, 2, 3}); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("unsettled = %v, want the unbilled 1 and the running 2", got)
	}
	wantActions(t, "listed", a.Admit(start, request(3, 1, time.Minute)), "q3 revoked")
	wantActions(t, "below", a.Revoke("h1", 4, nil))
	a.Revoke("h1", 2, nil) // a delayed older call must not lower the bound
	wantActions(t, "no longer listed", a.Admit(start, request(3, 1, time.Minute)), "q3 revoked")
	other := request(3, 1, time.Minute)
	other.Reservation.Holder = "h2"
	wantActions(t, "other holder", a.Admit(start, other))
	a.End(start, "q2", Usage{Output: 3})
	a.RemoveCharge("q1")
	a.RemoveCharge("q2")
	if got := a.UnsettledReservations("h1", []uint64{1, 2, 3}); len(got) != 0 {
		t.Errorf("unsettled = %v after the charges are durable", got)
	}
}
