package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const service = "pool"

// fleet is several instances that share the records of prompt parts.
type fleet struct {
	model[Record, *Quarantine]
}

func newFleet(n int, delay time.Duration) *fleet {
	return &fleet{newModel[Record](n, delay, New)}
}

// crash ends a target that was about to answer a request of an instance.
func (f *fleet) crash(instance int, trial bool, parts ...uint64) {
	f.crashed++
	f.instances[instance].RecordCrash(f.now, Report{
		Service: service, Target: fmt.Sprint("i-", f.crashed), Begun: true, Trial: trial, Parts: append(parts, f.own()),
	})
}

func (f *fleet) answer(instance int, parts ...uint64) {
	f.instances[instance].RecordAnswer(f.now, service, append(parts, f.own()))
}

// own returns a part that no other request has.
func (f *fleet) own() uint64 { return rand.Uint64() }

func (f *fleet) check(instance int, parts ...uint64) Outcome {
	return f.instances[instance].Check(f.now, service, append(parts, f.own())).Outcome
}

// admit sends a request if that is allowed, and reports whether it is a trial.
func (f *fleet) admit(instance int, parts ...uint64) (sent, trial bool) {
	q := f.instances[instance]
	v := q.Check(f.now, service, append(parts, f.own()))
	if v.Outcome != TrialDue {
		return v.Outcome == Allowed, false
	}
	w, ok := q.BeginTrial(v.Key)
	if !ok {
		return false, false
	}
	ok = f.claim(q, w, func() { q.EndClaim(v.Key) })
	return ok, ok
}

const (
	common = uint64(iota + 1) // first part of all requests
	deadly                    // crashes targets
	other                     // shared by sound requests and some deadly ones
	fourth
)

// Guards against a part that ends target after target because each instance sees few of
// the crashes, and against refusing requests that share all other parts with it. Sizes of
// the fleet are 2, 4 and 300; requests come at any instance, and later parts of the
// deadly requests are common ones too.
func TestDeadlyPart(t *testing.T) {
	for _, n := range []int{2, 4, 300} {
		for _, perSecond := range []int{2, 10} {
			t.Run(fmt.Sprintf("%d instances, %d a second", n, perSecond), func(t *testing.T) {
				f := newFleet(n, 200*time.Millisecond)
				soundRefused, soundSent, late := 0, 0, 0
				begun := f.now
				for i := range 600 { // a minute
					f.run(100 * time.Millisecond)
					for range 6 {
						at := rand.IntN(n)
						soundSent++
						if sent, _ := f.admit(at, common, other); !sent {
							soundRefused++
							continue
						}
						f.answer(at, common, other)
					}
					if i%(10/perSecond) > 0 {
						continue
					}
					at := rand.IntN(n)
					sent, trial := f.admit(at, common, deadly, other)
					if !sent {
						continue
					}
					if f.crash(at, trial, common, deadly, other); f.now.Sub(begun) > 10*time.Second {
						late++
					}
				}
				if f.crashed > 9 || late > 1 {
					t.Errorf("%d targets crashed, %d of them after the first 10 s", f.crashed, late)
				}
				if soundRefused > soundSent/100 {
					t.Errorf("%d of %d sound requests refused", soundRefused, soundSent)
				}
				t.Logf("%d crashes, %d writes of the fleet, %d of %d sound requests refused", f.crashed, f.writes, soundRefused, soundSent)
			})
		}
	}
}

// Guards against taking the loss of many targets at once, or crashes of targets at
// random, for the fault of a prompt part.
func TestUnrelatedCrashes(t *testing.T) {
	t.Run("together", func(t *testing.T) {
		f := newFleet(4, 100*time.Millisecond)
		for i := range 40 {
			f.instances[i%4].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", i), Parts: []uint64{common, f.own()}})
		}
		f.run(time.Second)
		if f.check(0, common) != Allowed {
			t.Error("a part is in quarantine after one loss of power")
		}
	})
	t.Run("at random", func(t *testing.T) {
		f := newFleet(4, 100*time.Millisecond)
		for i := range 300 {
			f.run(100 * time.Millisecond)
			f.answer(i%4, common, other)
			if i%7 == 0 {
				f.crash(rand.IntN(4), false, common, other)
			}
			if got := f.check(i%4, common, other); got != Allowed {
				t.Fatalf("step %d: %s", i, got)
			}
		}
		f.run(time.Minute)
		if got := len(f.instances[0].entries); got > 2 {
			t.Errorf("%d records are left of crashes that no part caused", got)
		}
	})
}

// Guards against blaming a part that some instance has seen answered before, when one that
// nobody has seen answered was at the same crashes.
func TestKnownPartIsNotBlamed(t *testing.T) {
	f := newFleet(3, 50*time.Millisecond)
	f.answer(2, common, other)
	for range 3 {
		f.run(2 * time.Second)
		f.crash(0, false, common, deadly, other)
	}
	f.run(2 * time.Second)
	for i := range f.instances {
		if f.check(i, common, deadly) == Allowed || f.check(i, common, other) != Allowed {
			t.Errorf("instance %d blames the wrong part: deadly %s, other %s", i, f.check(i, common, deadly), f.check(i, common, other))
		}
	}
}

// Guards against blaming a part of requests that only waited at the targets that crashed,
// even if they are as many and the part is the more special one.
func TestWaitingPartIsNotBlamed(t *testing.T) {
	f := newFleet(2, 50*time.Millisecond)
	for range crashThreshold {
		f.run(time.Second)
		f.crash(0, false, common, deadly)
		f.instances[1].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Parts: []uint64{common, fourth, other, f.own()}})
	}
	f.run(time.Second)
	for i := range f.instances {
		if f.check(i, common, deadly) == Allowed || f.check(i, common, fourth, other) != Allowed {
			t.Errorf("instance %d: deadly part %s, waiting part %s", i, f.check(i, common, deadly), f.check(i, common, fourth, other))
		}
	}
}

// Guards against as many crashes again when a route moves to another service whose targets
// crash under the part as well, and against a quarantine at a service that answers it.
func TestOtherService(t *testing.T) {
	const second, third = "second", "third"
	f := newFleet(2, 50*time.Millisecond)
	f.instances[1].RecordAnswer(f.now, third, []uint64{deadly, f.own()})
	for range crashThreshold {
		f.run(time.Second)
		f.crash(0, false, common, deadly)
	}
	f.run(time.Second)
	outcome := func(service string, parts ...uint64) Outcome {
		return f.instances[0].Check(f.now, service, append(parts, f.own())).Outcome
	}
	if outcome(second, common, deadly) != Allowed {
		t.Error("the part is in quarantine at a service whose targets it has not crashed")
	}
	for _, service := range []string{second, third} {
		f.instances[1].RecordCrash(f.now, Report{Service: service, Target: "i-" + service, Begun: true, Parts: []uint64{common, deadly, f.own()}})
	}
	f.run(time.Second)
	if outcome(second, common, deadly) == Allowed || outcome(second, common, other) != Allowed {
		t.Errorf("after one crash at another service: deadly part %s, other %s", outcome(second, common, deadly), outcome(second, common, other))
	}
	if outcome(third, common, deadly) != Allowed {
		t.Error("the part is in quarantine at a service that has answered it")
	}
}

// Guards against a quarantine that never ends, trials by several instances at once, trials
// that come as often although they fail, and a quarantine that ends at one instance only.
func TestTrials(t *testing.T) {
	f := newFleet(5, 50*time.Millisecond)
	for range 3 {
		f.run(time.Second)
		f.crash(0, false, common, deadly)
	}
	f.run(time.Second)
	trials := func(d time.Duration, fails bool) (n int) {
		for end := f.now.Add(d); f.now.Before(end); f.run(100 * time.Millisecond) {
			for i := range f.instances {
				sent, trial := f.admit(i, common, deadly)
				if !trial {
					if sent && fails {
						t.Fatal("a request was sent that is no trial")
					}
					continue
				}
				n++
				if fails {
					f.crash(i, true, common, deadly)
				} else {
					f.answer(i, common, deadly)
				}
			}
		}
		return n
	}
	for i, tt := range []struct {
		d    time.Duration
		want int
	}{{firstPause - 2*time.Second, 0}, {3 * time.Second, 1}, {2*firstPause - 4*time.Second, 0}, {6 * time.Second, 1}} {
		if got := trials(tt.d, true); got != tt.want {
			t.Errorf("phase %d: %d trials, want %d", i, got, tt.want)
		}
	}
	if got := trials(4*firstPause+2*time.Second, false); got != 1 {
		t.Errorf("%d trials until one was answered, want 1", got)
	}
	for i := range f.instances {
		if f.check(i, common, deadly) != Allowed {
			t.Errorf("instance %d keeps the part in quarantine after an answer", i)
		}
	}
	if len(f.records) > 0 {
		t.Errorf("%d records are left in the store", len(f.records))
	}
}

// Guards against a quarantine that a start of an instance, a store that goes back to an
// older copy or a lost history ends.
func TestQuarantineLasts(t *testing.T) {
	start := func(t *testing.T) *fleet {
		f := newFleet(3, 50*time.Millisecond)
		for i := range 3 {
			f.run(time.Second)
			f.crash(i, false, common, deadly)
		}
		f.run(time.Second)
		return f
	}
	t.Run("restart", func(t *testing.T) {
		f := start(t)
		f.instances[1] = New()
		f.instances[1].ObserveList(f.now, f.list(), false)
		if f.check(1, common, deadly) == Allowed {
			t.Error("the part is not in quarantine at a new process")
		}
	})
	t.Run("restore", func(t *testing.T) {
		f := start(t)
		f.records, f.version = make(map[string]Stored), 1
		for _, q := range f.instances {
			q.ObserveList(f.now, nil, true)
		}
		f.run(2 * time.Second)
		f.instances[0] = New()
		f.instances[0].ObserveList(f.now, f.list(), false)
		if f.check(0, common, deadly) == Allowed || f.check(1, common, deadly) == Allowed {
			t.Error("a restore of the store ended the quarantine")
		}
	})
	t.Run("list", func(t *testing.T) {
		f := start(t)
		f.instances[0].ObserveList(f.now, f.list(), false)
		if f.check(0, common, deadly) == Allowed {
			t.Error("a list ended the quarantine")
		}
	})
}

// Guards against a quarantine that ends and comes back, because a write from before the
// answer is done late, or an instance that has not noticed a restore of the store yet
// stores the record again.
func TestReleaseLasts(t *testing.T) {
	f := newFleet(3, 50*time.Millisecond)
	for i := range 3 {
		f.run(time.Second)
		f.crash(i, false, common, deadly)
	}
	f.run(time.Second)
	k := Key{service, deadly}
	late := Write{Name: k.Name(), Record: f.records[k.Name()].Record}
	f.answer(1, common, deadly)
	f.run(time.Second)
	if _, ok := f.put(late); !ok {
		t.Fatal("the record was not removed")
	}
	f.run(time.Second)
	for i := range f.instances {
		if f.check(i, common, deadly) != Allowed {
			t.Errorf("instance %d keeps the part in quarantine", i)
		}
	}
	if len(f.records) > 0 {
		t.Error("the record is left")
	}
	for range highThreshold {
		f.run(time.Second)
		f.crash(0, false, common, deadly)
	}
	f.run(time.Second)
	if f.check(0, common, deadly) == Allowed {
		t.Error("new crashes do not count after a release")
	}
}

// Guards against memory and records that grow with callers who vary everything.
func TestBoundedState(t *testing.T) {
	f := newFleet(2, 10*time.Millisecond)
	q := f.instances[0]
	for i := range 3 * maxAnswered {
		f.now = f.now.Add(time.Second)
		q.RecordAnswer(f.now, service, []uint64{f.own(), f.own(), f.own()})
		q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", i), Begun: true, Parts: []uint64{f.own(), f.own(), f.own()}})
		if i%100 == 0 {
			f.run(50 * time.Millisecond)
		}
	}
	f.step = time.Second
	f.run(suspicionTime + time.Minute)
	if n := len(q.answered.newer) + len(q.answered.older); n > 2*maxAnswered {
		t.Errorf("%d parts are remembered as answered, allowed are %d", n, 2*maxAnswered)
	}
	if len(q.entries) > 0 || len(f.records) > 0 {
		t.Errorf("%d entries and %d records are left after %v", len(q.entries), len(f.records), suspicionTime)
	}
	for i := range 2 * maxRecords {
		for range crashThreshold {
			f.crash(0, false, uint64(1<<50+i))
		}
	}
	if len(q.entries) > maxRecords {
		t.Errorf("%d entries, allowed are %d", len(q.entries), maxRecords)
	}
}

// Guards against a deadly part that is not recorded because a large loss of targets, or
// callers with ever new parts, have filled all records.
func TestFullRecords(t *testing.T) {
	f := newFleet(2, 10*time.Millisecond)
	for i := range maxRecords {
		f.instances[0].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("junk-", i), Begun: true, Parts: []uint64{f.own(), f.own()}})
	}
	f.run(time.Second)
	for range crashThreshold {
		f.run(time.Second)
		f.crash(0, false, common, deadly)
	}
	f.run(time.Second)
	if f.check(0, common, deadly) == Allowed || f.check(1, common, deadly) == Allowed {
		t.Error("a deadly part is not in quarantine")
	}
	if n := len(f.records); n > maxRecords {
		t.Errorf("%d records, allowed are %d", n, maxRecords)
	}
}

// Guards against a stored record that an instance of this or a later version cannot use.
func TestRecordCheck(t *testing.T) {
	valid := Record{Service: service, Part: "dead", Depth: 1}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
	tests := []struct {
		name   string
		change func(*Record)
	}{
		{"no service", func(r *Record) { r.Service = "" }},
		{"part is no number", func(r *Record) { r.Part = "xyz" }},
		{"negative depth", func(r *Record) { r.Depth = -1 }},
		{"too many crashes", func(r *Record) { r.Crashes = slices.Repeat([]Crash{{}}, maxCrashes+1) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := valid
			tt.change(&r)
			if r.Check() == nil {
				t.Errorf("%+v passes", r)
			}
		})
	}
}
