package throttler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	window = 4 * time.Second // in which arrivals are counted
	step   = 10 * time.Millisecond
	delay  = 40 * time.Millisecond // of an ask and its reply
)

// reply is a grant on its way.
type reply struct {
	at       time.Time
	instance int
	target   string
	grant    Grant
}

// fleet is several instances, the first of which is the home of all targets. They share
// records at once.
type fleet struct {
	now       time.Time
	instances []*Throttle
	replies   []reply
	version   uint64
	stored    map[string]Stored
	asks      int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Now(), stored: make(map[string]Stored)}
	for range n {
		f.instances = append(f.instances, New())
	}
	return f
}

// tick lets one step pass: replies arrive, asks are answered, records are stored.
func (f *fleet) tick() {
	f.now = f.now.Add(step)
	for len(f.replies) > 0 && !f.replies[0].at.After(f.now) {
		r := f.replies[0]
		f.replies = f.replies[1:]
		f.instances[r.instance].Granted(f.now, r.target, r.grant)
	}
	for i, t := range f.instances {
		for _, a := range t.AsksDue(f.now) {
			a.Instance = fmt.Sprint(i)
			f.asks++
			f.replies = append(f.replies, reply{f.now.Add(delay), i, a.Target, f.instances[0].Grant(f.now, a)})
		}
		for _, w := range t.Due(f.now) {
			f.store(t, w)
		}
	}
}

// store makes a conditional write and tells all instances.
func (f *fleet) store(t *Throttle, w Write) {
	current := f.stored[w.Name]
	switch {
	case current.Version == w.Version:
		f.version++
		f.stored[w.Name] = Stored{Record: w.Record, Version: f.version}
		if w.Remove {
			delete(f.stored, w.Name)
		}
		t.Written(f.now, w, f.version)
		for _, other := range f.instances {
			if w.Remove {
				other.ObserveRemoved(w.Name, f.version)
			} else {
				other.Observe(f.now, f.version, w.Record)
			}
		}
	case current.Version == 0:
		t.Gone(w)
	default:
		t.Failed(w)
		t.Observe(f.now, current.Version, current.Record)
	}
}

// send sends a request of an instance if a target is open, and returns the target.
func (f *fleet) send(instance int, targets []Target, limit map[string]*float64) (string, bool) {
	t := f.instances[instance]
	t.RecordRequest(f.now, targets[0].Service)
	closed := make(map[string]bool)
	for _, id := range t.AppendClosed(nil, f.now, targets[0].Service, len(targets)) {
		closed[id] = true
	}
	for _, i := range rand.Perm(len(targets)) {
		if id := targets[i].ID; !closed[id] {
			t.Take(f.now, id)
			t.RecordLimit(f.now, targets[i], f.now, limit[id])
			return id, true
		}
	}
	return "", false
}

func pool(n int) (targets []Target) {
	for i := range n {
		targets = append(targets, Target{Service: "pool", ID: fmt.Sprint("i-", i)})
	}
	return targets
}

// Guards against a target that gets several times its limit because each instance keeps
// it alone or saves permits up, in small and large fleets, with even and uneven load;
// and against leaving most of the limit unused.
func TestLimitOfFleet(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		perSecond float64 // limit of each of two targets
		load      float64 // requests a second
		uneven    bool
	}{
		{"2 instances", 2, 1, 30, false},
		{"2 instances, high limit", 2, 40, 150, false},
		{"4 instances, uneven", 4, 10, 60, true},
		{"300 instances", 300, 1, 300, false},
		{"300 instances, high limit", 300, 40, 600, false},
		{"300 instances, uneven", 300, 5, 100, true},
		{"no requests wanted", 4, 0, 40, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, targets := newFleet(tt.instances), pool(2)
			limits := map[string]*float64{"i-0": &tt.perSecond, "i-1": &tt.perSecond}
			var arrived []time.Time
			begun := f.now
			for f.now.Sub(begun) < 30*time.Second {
				f.tick()
				for range int(tt.load*step.Seconds() + rand.Float64()) {
					at := rand.IntN(tt.instances)
					if tt.uneven && rand.IntN(3) > 0 {
						at = tt.instances - 1
					}
					if id, ok := f.send(at, targets, limits); ok && id == "i-0" && f.now.Sub(begun) > window {
						arrived = append(arrived, f.now)
					}
				}
			}
			most := 0
			for i := range arrived {
				n := 0
				for _, at := range arrived[i:] {
					if at.Sub(arrived[i]) < window {
						n++
					}
				}
				most = max(most, n)
			}
			if allowed := int(1.5*tt.perSecond*window.Seconds()) + 5; most > allowed {
				t.Errorf("%d requests in %v, allowed are %d", most, window, allowed)
			}
			mean := float64(len(arrived)) / 26
			if mean < tt.perSecond/2 || mean == 0 {
				t.Errorf("%.2f requests a second reach a target that takes %.2f", mean, tt.perSecond)
			}
			t.Logf("limit %.1f: mean %.2f a second, at most %d in %v, %d asks", tt.perSecond, mean, most, window, f.asks)
		})
	}
}

// Guards against an instance that goes past a limit of which only others have been told,
// a limit that outlasts the wish of the target, and one that a response which was on its
// way before ends.
func TestLimitIsShared(t *testing.T) {
	f, targets := newFleet(3), pool(1)
	one := 1.0
	sentBefore := f.now
	f.instances[1].RecordLimit(f.now, targets[0], f.now, &one)
	for range 50 {
		f.tick()
	}
	for i, in := range f.instances {
		if in.Limits()["i-0"] != 1 {
			t.Errorf("instance %d does not know the limit", i)
		}
	}
	restarted := New()
	restarted.ObserveList(f.now, []Stored{f.stored["i-0"]}, false)
	if restarted.Limits()["i-0"] != 1 {
		t.Error("a new process does not know the limit")
	}
	f.instances[1].RecordLimit(f.now, targets[0], sentBefore.Add(-time.Second), nil)
	if f.instances[1].Limits()["i-0"] != 1 {
		t.Error("an older response ended the limit")
	}
	f.instances[2].RecordLimit(f.now, targets[0], f.now.Add(time.Millisecond), nil)
	f.tick()
	for i, in := range f.instances {
		if len(in.Limits()) > 0 {
			t.Errorf("instance %d keeps a limit that the target no longer names", i)
		}
	}
	if len(f.stored) > 0 {
		t.Error("the record of an ended limit is left")
	}
}

// Guards against losing limits with a store that goes back to an older copy, and against
// the limit of an earlier incarnation or of a target that is gone.
func TestLimitLasts(t *testing.T) {
	one, two := 1.0, 2.0
	start := func() (*fleet, *Throttle) {
		f := newFleet(2)
		f.instances[0].RecordLimit(f.now, pool(1)[0], f.now, &one)
		for range 50 {
			f.tick()
		}
		return f, f.instances[0]
	}
	t.Run("restore", func(t *testing.T) {
		f, in := start()
		f.stored, f.version = make(map[string]Stored), 0
		for _, in := range f.instances {
			in.ObserveList(f.now, nil, true)
		}
		for range 50 {
			f.tick()
		}
		if in.Limits()["i-0"] != 1 || len(f.stored) != 1 {
			t.Error("the limit was lost")
		}
	})
	t.Run("incarnation", func(t *testing.T) {
		f, in := start()
		again := pool(1)[0]
		again.Incarnation = 7
		in.RecordLimit(f.now, again, f.now, &two)
		for range 50 {
			f.tick()
		}
		if got := f.stored["i-0"].Record; got.Incarnation != 7 || f.instances[1].Limits()["i-0"] != 2 {
			t.Errorf("the limit of the new incarnation is not in force: %+v", got)
		}
	})
	t.Run("gone", func(t *testing.T) {
		f, in := start()
		wait := func(d time.Duration) {
			for range int(d / step) {
				f.tick()
			}
		}
		in.Forget(f.now, "i-0")
		wait(keepGone - time.Second)
		if in.Limits()["i-0"] != 1 {
			t.Error("the limit of a target whose registration may come back has ended")
		}
		in.RecordLimit(f.now, pool(1)[0], f.now, &one)
		wait(keepGone + removeDelay)
		if in.Limits()["i-0"] != 1 {
			t.Error("the limit of a target that has come back has ended")
		}
		in.Forget(f.now, "i-0")
		wait(keepGone + removeDelay + time.Second)
		if len(f.stored) > 0 || len(f.instances[1].targets) > 0 {
			t.Error("the limit of a target that is gone is left")
		}
	})
}

// Guards against state that grows with targets that come and go.
func TestBoundedState(t *testing.T) {
	in, now, one := New(), time.Now(), 1.0
	for i := range 2 * maxTargets {
		target := Target{Service: "pool", ID: fmt.Sprint("i-", i)}
		in.RecordLimit(now, target, now, &one)
		in.Grant(now, Ask{Service: "pool", Target: target.ID, Instance: fmt.Sprint(i), Permits: 1})
		for j := range 3 {
			in.Grant(now, Ask{Service: "pool", Target: "i-0", Instance: fmt.Sprint(i, j), Permits: 1})
		}
	}
	if len(in.targets) > maxTargets || len(in.buckets) > maxTargets || len(in.buckets["i-0"].askers) > maxAskers {
		t.Errorf("%d targets, %d buckets, %d askers", len(in.targets), len(in.buckets), len(in.buckets["i-0"].askers))
	}
	in.Grant(now.Add(2*time.Minute), Ask{Service: "pool", Target: "other", Permits: 1})
	if len(in.buckets) > 1 {
		t.Errorf("%d buckets are left after two minutes", len(in.buckets))
	}
}
