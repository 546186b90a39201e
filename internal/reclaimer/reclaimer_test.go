package reclaimer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisylane/internal/admitter"
	"daisylane/internal/budgeter"
	"daisylane/internal/recoverer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "13", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func reservation(n uint64) budgeter.Reservation {
	return budgeter.Reservation{Holder: "h", Number: n, Budget: "acme", Tokens: 10}
}

func want(t *testing.T, step string, got []Action, actions ...Action) {
	t.Helper()
	if g, w := fmt.Sprintf("%#v", got), fmt.Sprintf("%#v", actions); len(got)+len(actions) > 0 && g != w {
		t.Errorf("%s: actions = %s, want %s", step, g, w)
	}
}

// newRevoking returns a reclaimer that has asked two sides to revoke reservation 1.
func newRevoking(t *testing.T, release string) *Reclaimer {
	t.Helper()
	r := New(Config{ReleasePolicy: release, ExpiryMargin: time.Second})
	r.ReservationOpened(start, reservation(1), time.Second)
	r.ReservationOpened(start, reservation(2), time.Minute)
	want(t, "before the margin", r.Tick(start.Add(1900*time.Millisecond)))
	want(t, "expired", r.Tick(start.Add(2*time.Second)), Publish{Table{Below: 2}})
	want(t, "published", r.TablePublished(), ListSides{})
	want(t, "listed", r.SidesListed(start.Add(2*time.Second), []string{"s1", "s2"}),
		Revoke{"s1", 2, []uint64{1}}, Revoke{"s2", 2, []uint64{1}})
	return r
}

// Guards against a release while a side still runs the request or has not answered,
// and against a release after the reservation was settled by its charge.
func TestReleaseAfterAnswers(t *testing.T) {
	r := newRevoking(t, recoverer.ReleaseGone)
	want(t, "response without open requests", r.RevokeAnswered("s1", []uint64{1}, nil))
	want(t, "running there", r.RevokeAnswered("s2", []uint64{1}, []uint64{1}))
	want(t, "too early to ask", r.Tick(start.Add(6*time.Second)))
	want(t, "asked again", r.Tick(start.Add(7*time.Second)), Revoke{"s2", 2, []uint64{1}})
	want(t, "billed", r.RevokeAnswered("s2", []uint64{1}, nil), Release{reservation(1)})

	r = newRevoking(t, recoverer.ReleaseGone)
	r.ReservationConcluded(1)
	want(t, "settled by the charge", append(r.RevokeAnswered("s1", []uint64{1}, nil), r.RevokeAnswered("s2", []uint64{1}, nil)...))
	if len(r.PendingSides()) != 0 {
		t.Errorf("waiting for %v after the charge", r.PendingSides())
	}
}

// Guards against a release after too short an absence of a side or without the required
// confirmation by the operator, and against tokens that stay withheld after both.
func TestReleaseForGoneSide(t *testing.T) {
	for _, release := range []string{recoverer.ReleaseGone, recoverer.ReleaseOperator} {
		r := newRevoking(t, release)
		want(t, "response without open requests", r.RevokeAnswered("s1", []uint64{1}, nil))
		now := start.Add(10 * time.Second)
		want(t, "absent", r.InstancesListed(now, []string{"s1"}))
		want(t, "back", r.InstancesListed(now.Add(80*time.Second), []string{"s1", "s2"}))
		want(t, "absent again", r.InstancesListed(now.Add(85*time.Second), nil))
		want(t, "short absence", r.InstancesListed(now.Add(174*time.Second), nil))
		now = now.Add(176 * time.Second)
		if release == recoverer.ReleaseOperator {
			want(t, "not confirmed", r.InstancesListed(now, nil))
			if !r.NeedsConfirmation(now) {
				t.Error("the missing confirmation is not reported")
			}
			r.ConfirmGone("s2")
		}
		want(t, "gone", r.InstancesListed(now, nil), Release{reservation(1)})
	}
}

// Guards against more than one round of platform calls per interval, and against a failed
// call that is never retried.
func TestRounds(t *testing.T) {
	r := New(Config{ReleasePolicy: recoverer.ReleaseGone, ExpiryMargin: time.Second})
	for n := uint64(1); n <= 3; n++ {
		r.ReservationOpened(start, reservation(n), time.Duration(n)*time.Second)
	}
	want(t, "first", r.Tick(start.Add(2*time.Second)), Publish{Table{Below: 2}})
	r.CallFailed()
	want(t, "within the interval", r.Tick(start.Add(11*time.Second)))
	want(t, "all at once", r.Tick(start.Add(12*time.Second)), Publish{Table{Below: 4}})
	r.TablePublished()
	want(t, "no sides", r.SidesListed(start, nil), Release{reservation(1)}, Release{reservation(2)}, Release{reservation(3)})
}

// fleet is a holder with sides, each with a real admitter. Messages wait in lists and
// are delivered in any order, more than once or not at all.
type fleet struct {
	t              *rapid.T
	now            time.Time
	r              *Reclaimer
	sides          map[string]*admitter.Admitter // alive
	members        []string                      // registered, including crashed ones
	table          Table
	next           uint64
	pendingRuns    []uint64 // sent and not delivered
	pendingRevokes []Revoke // sent and not delivered
	pendingAnswers []pendingAnswer
	platformCalls  []Action // platform calls in flight
	released       map[uint64]bool
}

type pendingAnswer struct {
	side        string
	asked, open []uint64
}

func (f *fleet) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Revoke:
			f.pendingRevokes = append(f.pendingRevokes, a)
		case Release:
			f.released[a.Reservation.Number] = true
			f.check(a.Reservation.Number)
		default:
			f.platformCalls = append(f.platformCalls, a)
		}
	}
}

// check fails the test if a side runs or can still run the request of a released
// reservation.
func (f *fleet) check(number uint64) {
	for name, s := range f.sides {
		if len(s.UnsettledReservations("h", []uint64{number})) > 0 {
			f.t.Fatalf("reservation %d is released while side %s has its request", number, name)
		}
	}
}

func (f *fleet) run(name string, number uint64) {
	id := fmt.Sprint(number)
	actions := f.sides[name].Admit(f.now, admitter.Request{
		ID: id, Deadline: f.now.Add(time.Hour),
		Reservation: admitter.Reservation{Holder: "h", Number: number, Tokens: 10},
	})
	for _, a := range actions {
		if s, ok := a.(admitter.Start); ok && s.ID == id && f.released[number] {
			f.t.Fatalf("side %s runs the request of reservation %d after its release", name, number)
		}
	}
}

func (f *fleet) register(name string) {
	f.sides[name] = admitter.New(admitter.Limits{Slots: 2, Queue: 2})
	f.members = append(f.members, name)
}

// loadTable is the second step of a registration: the side loads the table, then admits
// requests.
func (f *fleet) loadTable(s *admitter.Admitter) {
	if !s.Registered() {
		s.Revoke("h", f.table.Below, f.table.Numbers)
		s.Register(nil)
	}
}

func draw[T any](t *rapid.T, list *[]T) (T, bool) {
	var zero T
	if len(*list) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	v := (*list)[i]
	if rapid.IntRange(0, 4).Draw(t, "repeat") > 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	return v, true
}

func (f *fleet) finishPlatformCall() {
	if len(f.platformCalls) == 0 {
		return
	}
	a := f.platformCalls[0]
	f.platformCalls = f.platformCalls[1:]
	lost := rapid.IntRange(0, 4).Draw(f.t, "lost") == 0
	switch a := a.(type) {
	case Publish:
		f.table = a.Table // written even if the response is lost
		if !lost {
			f.perform(f.r.TablePublished())
		}
	case ListSides:
		if !lost {
			f.perform(f.r.SidesListed(f.now, f.members))
		}
	}
	if lost {
		f.r.CallFailed()
	}
}

func (f *fleet) randomStep() {
	names := make([]string, 0, len(f.sides))
	for name := range f.sides {
		names = append(names, name)
	}
	slices.Sort(names)
	name := ""
	if len(names) > 0 {
		name = rapid.SampledFrom(names).Draw(f.t, "side")
	}
	switch k := rapid.IntRange(0, 99).Draw(f.t, "step"); {
	case k < 8:
		f.next++
		f.r.ReservationOpened(f.now, reservation(f.next), time.Duration(rapid.IntRange(1, 30).Draw(f.t, "left"))*time.Second)
		f.pendingRuns = append(f.pendingRuns, f.next)
	case k < 30 && name != "":
		if n, ok := draw(f.t, &f.pendingRuns); ok {
			f.run(name, n)
		}
	case k < 40 && name != "":
		for n := range f.next {
			f.sides[name].End(f.now, fmt.Sprint(n+1), admitter.Usage{Output: 1})
		}
	case k < 48 && name != "":
		for _, c := range f.sides[name].UnbilledCharges("") {
			if f.released[c.Reservation.Number] {
				f.t.Fatalf("charge for released reservation %d", c.Reservation.Number)
			}
			f.r.ReservationConcluded(c.Reservation.Number)
			f.sides[name].RemoveCharge(c.ID)
		}
	case k < 62:
		if a, ok := draw(f.t, &f.pendingRevokes); ok && f.sides[a.Side] != nil {
			f.sides[a.Side].Revoke("h", a.Below, a.Numbers)
			f.pendingAnswers = append(f.pendingAnswers, pendingAnswer{a.Side, a.Numbers, f.sides[a.Side].UnsettledReservations("h", a.Numbers)})
		}
	case k < 76:
		if a, ok := draw(f.t, &f.pendingAnswers); ok {
			f.perform(f.r.RevokeAnswered(a.side, a.asked, a.open))
		}
	case k < 85:
		f.finishPlatformCall()
	case k < 92:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(f.t, "seconds")) * time.Second)
		f.perform(f.r.Tick(f.now))
		f.perform(f.r.InstancesListed(f.now, names))
	case k < 95:
		f.register(fmt.Sprintf("s%d", len(f.members)+1))
	case k < 98 && name != "":
		f.loadTable(f.sides[name])
	case name != "":
		delete(f.sides, name)
	}
}

// Guards against tokens that are released while a side can still run their request,
// over random schedules of lost, duplicated and reordered messages and of sides that
// start or crash.
func TestNoReleaseWhileRunnable(t *testing.T) {
	releases := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			t: t, now: start, sides: make(map[string]*admitter.Admitter), released: make(map[uint64]bool),
			r: New(Config{ReleasePolicy: recoverer.ReleaseGone, ExpiryMargin: time.Second, RoundInterval: 2 * time.Second}),
		}
		f.register("s1")
		f.loadTable(f.sides["s1"])
		for range 900 {
			f.randomStep()
		}
		for name, s := range f.sides {
			f.loadTable(s)
			for n := range f.released {
				f.run(name, n)
			}
		}
		releases += len(f.released)
	})
	if releases == 0 {
		t.Error("no reservation was released in any schedule")
	}
	t.Logf("%d releases", releases)
}
