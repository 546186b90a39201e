package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// crashFleet is several instances that share the crashes of targets.
type crashFleet struct {
	model[CrashRecord, *Crashes]
	parts uint64 // that one request has alone
}

func newCrashFleet(n int, delay time.Duration) *crashFleet {
	return &crashFleet{model: newModel[CrashRecord](n, delay, NewCrashes)}
}

// request returns the fingerprints of a plain request.
func request(body string) []Fingerprint {
	return Fingerprints(Content{Account: "t1", Method: "POST", URI: "/a", Body: []byte(body)})
}

// own returns the ID of a part that no other request has.
func (f *crashFleet) own() uint64 { f.parts++; return 1<<40 + f.parts }

// crash ends a target with requests of instances, by the number of the instance.
func (f *crashFleet) crash(requests map[int][]string) {
	f.crashed++
	for instance, list := range requests {
		for _, body := range list {
			f.instances[instance].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: request(body)})
		}
	}
}

// crashParts ends a target with a request of an instance that has the parts.
func (f *crashFleet) crashParts(instance int, service string, begun bool, parts ...uint64) {
	f.crashed++
	f.addParts(instance, service, begun, parts...)
}

// addParts adds a request with the parts to the last crash.
func (f *crashFleet) addParts(instance int, service string, begun bool, parts ...uint64) {
	f.instances[instance].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Begun: begun, About: true, Parts: append(parts, f.own())})
}

// partOutcome returns the outcome of a check of a request with the parts.
func (f *crashFleet) partOutcome(instance int, service string, parts ...uint64) Outcome {
	return f.instances[instance].Check(f.now, service, partFingerprints(append(parts, f.own()))).Outcome
}

// survive records an answer to a request with the parts.
func (f *crashFleet) survive(instance int, service string, parts ...uint64) {
	f.instances[instance].RecordSurvived(f.now, service, partFingerprints(append(parts, f.own())))
}

// admit sends a request if that is allowed, and reports whether it is a trial.
func (f *crashFleet) admit(instance int, ids []Fingerprint) (sent, trial bool) {
	q := f.instances[instance]
	v := q.Check(f.now, service, ids)
	if v.Outcome != TrialDue {
		return v.Outcome == Allowed, false
	}
	w, ok := q.BeginTrial(v.Fingerprint)
	if !ok {
		return false, false
	}
	ok = f.claim(q, w, func() { q.EndClaim(v.Fingerprint) })
	return ok, ok
}

func (f *crashFleet) outcome(instance int, body string) Outcome {
	return f.instances[instance].Check(f.now, service, request(body)).Outcome
}

// Guards against an equal request that ends target after target because each instance sees
// few of the crashes, and against refusing popular equal requests, or others that were at
// the same targets. Sizes of the fleet are 2, 4 and 300; requests come at any instance.
func TestEqualRequest(t *testing.T) {
	for _, n := range []int{2, 4, 300} {
		for _, perSecond := range []int{2, 10} {
			t.Run(fmt.Sprintf("%d instances, %d a second", n, perSecond), func(t *testing.T) {
				f := newCrashFleet(n, 200*time.Millisecond)
				soundRefused, soundSent, late := 0, 0, 0
				var third time.Time
				for i := range 600 { // a minute
					f.run(100 * time.Millisecond)
					at := rand.IntN(n)
					bodies := []string{"popular", "popular", fmt.Sprint("other", i%50), fmt.Sprint("own", i)}
					var sent []string
					for _, body := range bodies {
						soundSent++
						if ok, _ := f.admit(at, request(body)); ok {
							sent = append(sent, body)
						} else {
							soundRefused++
						}
					}
					if ok, _ := f.admit(at, request("deadly")); i%(10/perSecond) == 0 && ok {
						if f.crash(map[int][]string{at: append([]string{"deadly"}, sent...)}); f.crashed == 3 {
							third = f.now
						} else if f.crashed > 3 && f.now.Sub(third) > 4*time.Second {
							late++
						}
						continue
					}
					for _, body := range sent {
						f.instances[at].RecordAnswer(f.now, request(body))
					}
				}
				if f.crashed > 9 || late > 2 {
					t.Errorf("%d targets crashed, %d of them later than 4 s after the third", f.crashed, late)
				}
				if soundRefused > soundSent/100 {
					t.Errorf("%d of %d sound requests refused", soundRefused, soundSent)
				}
				t.Logf("%d crashes, %d late, %d writes of the fleet, %d of %d sound requests refused", f.crashed, late, f.writes, soundRefused, soundSent)
			})
		}
	}
}

// Guards against refusing sound requests because targets crash by chance, one after the
// other or all at once, and against records that stay after their requests were answered.
func TestCrashesByChance(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		f := newCrashFleet(4, 100*time.Millisecond)
		for i := range 200 {
			f.run(200 * time.Millisecond)
			at := i % 4
			if f.outcome(at, "popular") != Allowed || f.outcome(at, fmt.Sprint("rare", i%20)) != Allowed {
				t.Fatalf("step %d: a sound request is in quarantine", i)
			}
			if i%2 == 0 {
				f.crash(map[int][]string{at: {"popular", fmt.Sprint("rare", i%20)}, (at + 1) % 4: {"popular"}})
				continue
			}
			for _, body := range []string{"popular", fmt.Sprint("rare", (i-1)%20)} { // the retry
				f.instances[at].RecordAnswer(f.now, request(body))
			}
		}
		f.run(10 * time.Second)
		if len(f.records) > 0 {
			t.Errorf("%d records are left of requests that were answered", len(f.records))
		}
	})
	t.Run("all at once", func(t *testing.T) {
		f := newCrashFleet(4, 100*time.Millisecond)
		for range 40 {
			f.crash(map[int][]string{0: {"popular"}, 1: {"popular"}, 2: {"popular"}})
		}
		f.run(time.Second)
		f.instances[3].RecordAnswer(f.now, request("popular"))
		f.run(time.Second)
		for i := range f.instances {
			if f.outcome(i, "popular") != Allowed {
				t.Errorf("instance %d refuses a request that was answered since", i)
			}
		}
	})
}

// Guards against taking requests with different prompts for equal ones, and against missing
// a deadly one whose prompt changes.
func TestPrompts(t *testing.T) {
	f := newCrashFleet(2, 50*time.Millisecond)
	prompt := func(parts ...uint64) []Fingerprint {
		return Fingerprints(Content{Account: "t1", Method: "POST", URI: "/a", Body: []byte("deadly"), Parts: parts})
	}
	crash := func(ids []Fingerprint) {
		f.run(time.Second)
		f.crashed++
		f.instances[f.crashed%2].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: ids})
	}
	for range crashThreshold {
		crash(prompt(common, deadly))
	}
	f.run(time.Second)
	if f.instances[0].Check(f.now, service, prompt(common, deadly)).Outcome == Allowed || f.instances[0].Check(f.now, service, prompt(common, other)).Outcome != Allowed {
		t.Error("a request with another prompt is not told from the deadly one")
	}
	for range highThreshold {
		crash(prompt(common, rand.Uint64()))
	}
	f.run(time.Second)
	if f.instances[0].Check(f.now, service, prompt(common, other)).Outcome == Allowed {
		t.Error("the request comes with a prompt of its own each time and is not in quarantine")
	}
}

// Guards against trials by several instances at once, trials that come as often although
// they fail, more than three of them in ten minutes, and a quarantine that never ends or
// ends at one instance only.
func TestTrials(t *testing.T) {
	for _, tt := range []struct {
		name string
		ids  []Fingerprint
	}{{"request", request("deadly")}, {"part", partFingerprints([]uint64{common, deadly, fourth})}} {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFleet(5, 50*time.Millisecond)
			crash := func(i int) {
				f.crashed++
				f.instances[i].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: tt.ids})
			}
			for i := range 3 {
				f.run(time.Second)
				crash(i)
			}
			f.run(time.Second)
			trials := func(d time.Duration, fails bool) (n int) {
				for end := f.now.Add(d); f.now.Before(end); f.run(time.Second) {
					for i := range f.instances {
						sent, trial := f.admit(i, tt.ids)
						switch {
						case trial && fails:
							crash(i)
						case trial:
							f.instances[i].RecordAnswer(f.now, tt.ids)
						case sent && fails:
							t.Fatal("a request was sent that is no trial")
						}
						if trial {
							n++
						}
					}
				}
				return n
			}
			f.step = 50 * time.Millisecond
			for i, phase := range []struct {
				d    time.Duration
				want int
			}{{firstPause - 3*time.Second, 0}, {5 * time.Second, 1}, {4*firstPause - 6*time.Second, 0}, {10 * time.Second, 1}, {7 * time.Minute, 0}} {
				if got := trials(phase.d, true); got != phase.want {
					t.Errorf("phase %d: %d trials, want %d", i, got, phase.want)
				}
			}
			if got := trials(2*time.Minute, false); got != 1 {
				t.Errorf("%d trials until one was answered, want 1", got)
			}
			for i, q := range f.instances {
				if q.Check(f.now, service, tt.ids).Outcome != Allowed {
					t.Errorf("instance %d keeps the quarantine after an answer", i)
				}
			}
			if len(f.records) > 0 {
				t.Errorf("%d records are left in the store", len(f.records))
			}
		})
	}
}

// Guards against a request that may be healthy and waits for its trial as long as any other,
// and against trials without pause of what crashes targets because it lacks something.
func TestTrialOfHealthyRequest(t *testing.T) {
	f := newCrashFleet(2, 50*time.Millisecond)
	for range crashThreshold {
		f.run(time.Second)
		f.crashParts(0, service, true, common, deadly, other)
	}
	f.run(time.Second)
	if got := f.partOutcome(1, service, common, deadly, other); got != Quarantined {
		t.Errorf("a request like those at the crashes: %s", got)
	}
	for i, want := range []Outcome{TrialDue, TrialDue, Quarantined} {
		ids := partFingerprints([]uint64{other, f.own()})
		if i > 0 {
			f.run(healthyPause)
		}
		if got := f.instances[1].Check(f.now, service, ids).Outcome; got != want {
			t.Errorf("trial %d: %s, want %s", i, got, want)
		}
		if _, trial := f.admit(1, ids); trial {
			f.crashParts(1, service, true, other)
			f.run(time.Second)
		}
	}
}

// Guards against a quarantine that a start of all instances, a store that goes back to an
// older copy or a list of its records ends.
func TestRequestQuarantineLasts(t *testing.T) {
	start := func() *crashFleet {
		f := newCrashFleet(3, 50*time.Millisecond)
		for i := range 3 {
			f.run(time.Second)
			f.crash(map[int][]string{i: {"deadly"}})
		}
		f.run(time.Second)
		return f
	}
	tests := []struct {
		name   string
		change func(f *crashFleet)
	}{
		{"all instances start again", func(f *crashFleet) {
			for i := range f.instances {
				f.instances[i] = NewCrashes()
				f.instances[i].ObserveList(f.now, f.list(), false)
			}
		}},
		{"restore", func(f *crashFleet) {
			f.records, f.version = make(map[string]StoredCrash), 1
			for _, q := range f.instances {
				q.ObserveList(f.now, nil, true)
			}
			f.run(2 * time.Second)
			f.instances[0] = NewCrashes()
			f.instances[0].ObserveList(f.now, f.list(), false)
		}},
		{"list", func(f *crashFleet) { f.instances[0].ObserveList(f.now, f.list(), false) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start()
			tt.change(f)
			for i := range f.instances {
				if f.outcome(i, "deadly") == Allowed || f.outcome(i, "other") != Allowed {
					t.Errorf("instance %d: deadly request %s, other one %s", i, f.outcome(i, "deadly"), f.outcome(i, "other"))
				}
			}
		})
	}
}

// Guards against crashes that count again although the request was answered since, because
// a write from before the answer is done late, or an instance that has not noticed a restore
// of the store yet stores them again.
func TestAnswerLasts(t *testing.T) {
	tests := []struct {
		name   string
		others []string // requests at the same crashes that are not answered
	}{
		{name: "removed records"},
		{name: "records of other requests", others: []string{"other"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFleet(3, 50*time.Millisecond)
			for i := range 3 {
				f.run(time.Second)
				f.crash(map[int][]string{i: append([]string{"sound"}, tt.others...)})
			}
			f.run(time.Second)
			before := f.list()
			f.instances[1].RecordAnswer(f.now, request("sound"))
			f.run(time.Second)
			for _, s := range before {
				name := s.Record.Name()
				if _, ok := f.put(CrashWrite{Name: name, Record: s.Record, Version: f.records[name].Version}); !ok {
					t.Fatalf("late write to %s was not done", name)
				}
			}
			f.run(time.Second)
			for i := range f.instances {
				if f.outcome(i, "sound") != Allowed {
					t.Errorf("instance %d refuses a request that was answered since", i)
				}
			}
			for name, s := range f.records {
				if len(s.Record.Requests) == 0 || slices.Contains(s.Record.Requests, request("sound")[0]) {
					t.Errorf("record %s has requests %v", name, s.Record.Requests)
				}
			}
			for range crashThreshold {
				f.run(time.Second)
				f.crash(map[int][]string{0: {"sound"}})
			}
			f.run(time.Second)
			if f.outcome(0, "sound") == Allowed {
				t.Error("new crashes do not count after an answer")
			}
		})
	}
}

// Guards against memory and records that grow with callers who vary everything, and against
// a deadly request that is not recorded because such callers have filled all records.
func TestBoundedCrashes(t *testing.T) {
	f := newCrashFleet(2, 10*time.Millisecond)
	q := f.instances[0]
	for i := range 3 * maxCrashRecords {
		for j := range 2 * maxRequestsPerCrash {
			q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("junk-", i), Requests: request(fmt.Sprint(i, j))})
		}
		if i%50 == 0 {
			f.run(50 * time.Millisecond)
		}
	}
	f.run(time.Second)
	if n := len(f.records); n > maxCrashRecords || len(q.suspicions) > maxCrashRecords*maxRequestsPerCrash {
		t.Errorf("%d records of %d requests, allowed are %d of %d", n, len(q.suspicions), maxCrashRecords, maxCrashRecords*maxRequestsPerCrash)
	}
	for i := range 3 * maxAnswered {
		f.survive(0, service, uint64(i))
	}
	if n := len(q.answered.newer) + len(q.answered.older); n > 2*maxAnswered {
		t.Errorf("%d parts are remembered as answered, allowed are %d", n, 2*maxAnswered)
	}
	for range crashThreshold {
		f.run(time.Second)
		f.crashed++
		for j := range 2 * maxRequestsPerCrash {
			q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: request(fmt.Sprint("junk", f.crashed, j))})
			if j == maxRequestsPerCrash/2 {
				q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: request("deadly")})
			}
		}
	}
	f.run(time.Second)
	for i := range f.instances {
		if f.outcome(i, "deadly") == Allowed {
			t.Errorf("instance %d: a deadly request is not in quarantine", i)
		}
	}
	f.step = time.Second
	f.run(2*suspicionTime + time.Minute)
	if len(f.records) > crashThreshold {
		t.Errorf("%d records are left after %v", len(f.records), 2*suspicionTime)
	}
	f.step = time.Minute
	f.run(requestQuarantineTime)
	if len(f.records)+len(q.crashes)+len(q.suspicions)+len(q.quarantined) > 0 {
		t.Errorf("%d records, %d crashes and %d requests are left after %v", len(f.records), len(q.crashes), len(q.suspicions), requestQuarantineTime)
	}
}

// Guards against a panic of a request that comes when its quarantine has expired, and the
// removal of the records is not done yet.
func TestExpiringQuarantine(t *testing.T) {
	f := newCrashFleet(1, 10*time.Millisecond)
	for range crashThreshold {
		f.run(time.Second)
		f.crash(map[int][]string{0: {"deadly"}})
	}
	f.run(time.Second)
	q := f.instances[0]
	f.now = f.now.Add(2*suspicionTime + requestQuarantineTime)
	q.Due(f.now)
	f.now = f.now.Add(requestQuarantineTime)
	if due := q.Due(f.now); len(due)+len(f.records) == 0 {
		t.Error("nothing is left to remove, the test needs that")
	}
	if got := f.outcome(0, "deadly"); got != Allowed {
		t.Errorf("outcome %s after the quarantine has expired", got)
	}
}

// Guards against requests of different accounts, or that differ in one thing, with the same
// fingerprint.
func TestFingerprints(t *testing.T) {
	seen := make(map[Fingerprint]int)
	for i, c := range []Content{
		{Account: "a", Method: "GET", URI: "/x"},
		{Account: "b", Method: "GET", URI: "/x"},
		{Account: "a", Method: "DELETE", URI: "/x"},
		{Account: "a", Method: "GET", URI: "/x?y"},
		{Account: "a", Method: "GET", URI: "/x", Body: []byte("y")},
		{Account: "a", Method: "GET", URI: "/", Body: []byte("x")},
		{Account: "a", Method: "GET", URI: "/x", Body: []byte("z"), Parts: []uint64{1, 2}},
		{Account: "a", Method: "GET", URI: "/x", Body: []byte("w"), Parts: []uint64{1, 3}},
	} {
		for _, id := range Fingerprints(c) {
			if former, ok := seen[id]; ok {
				t.Errorf("requests %d and %d have the same fingerprint", former, i)
			}
			seen[id] = i
		}
	}
}

// Guards against a stored crash that an instance of this or a later version cannot use.
func TestCrashRecordCheck(t *testing.T) {
	valid := CrashRecord{Service: service, Target: "i-1", Requests: request("a")}
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
	for _, r := range []CrashRecord{
		{Target: "i-1"},
		{Service: service},
		valid.WithRequests(slices.Repeat(request("a"), 2)),
		valid.WithRequests(make([]Fingerprint, maxRequestsPerCrash+1)),
	} {
		if r.Check() == nil {
			t.Errorf("%+v passes", r)
		}
	}
	if name := valid.Name(); !strings.HasPrefix(name, service+".i-1.") {
		t.Errorf("name %q", name)
	}
}

// Guards against taking a part for sound because its targets end only when they have begun to
// answer, and against refusing the popular and the rare parts of sound requests that were at
// the same targets. Sizes of the fleet are 2, 4 and 300; requests come at any instance.
func TestDeadlyPartAfterEvents(t *testing.T) {
	for _, n := range []int{2, 4, 300} {
		for _, perSecond := range []int{1, 5} {
			t.Run(fmt.Sprintf("%d instances, %d a second", n, perSecond), func(t *testing.T) {
				f := newCrashFleet(n, 200*time.Millisecond)
				refused, sent, late := 0, 0, 0
				var fifth time.Time
				for i := range 600 { // a minute
					f.run(100 * time.Millisecond)
					at := rand.IntN(n)
					q := f.instances[at]
					var running [][]uint64
					for _, parts := range [][]uint64{{1, 2, f.own()}, {1, 3, f.own()}, {1, uint64(100 + i%50), f.own()}} {
						if sent++; q.Check(f.now, service, partFingerprints(parts)).Outcome == Quarantined {
							refused++
							continue
						}
						running = append(running, parts)
					}
					ids := partFingerprints([]uint64{1, 0xdead, 2, f.own()})
					if ok, _ := f.admit(at, ids); i > 50 && i%(10/perSecond) == 0 && ok {
						if f.crashed++; f.crashed == 5 {
							fifth = f.now
						} else if f.crashed > 5 && f.now.Sub(fifth) > 4*time.Second {
							late++
						}
						for _, parts := range append(running, []uint64{1, 0xdead, 2, f.own()}) {
							q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Begun: true, Parts: parts})
						}
						continue
					}
					for _, parts := range running {
						f.instances[at].RecordSurvived(f.now, service, partFingerprints(parts))
					}
				}
				if late > 2 {
					t.Errorf("%d targets crashed, %d of them later than 4 s after the fifth", f.crashed, late)
				}
				if refused > sent/100 {
					t.Errorf("%d of %d sound requests refused", refused, sent)
				}
				t.Logf("%d crashes, %d late, %d writes of the fleet, %d of %d sound requests refused", f.crashed, late, f.writes, refused, sent)
			})
		}
	}
}

// Guards against a quarantine of a popular part that is at all targets of a loss of power.
func TestPopularPartAtLossOfPower(t *testing.T) {
	f := newCrashFleet(4, 100*time.Millisecond)
	parts := []uint64{1, 2, 3}
	for _, q := range f.instances {
		q.ObserveList(f.now, nil, false)
		q.RecordSurvived(f.now, service, partFingerprints(parts))
	}
	f.run(2 * answeredRecently)
	for i := range 40 {
		f.crashed++
		f.instances[i%4].RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Begun: true, Parts: parts})
	}
	f.run(time.Second)
	for i, q := range f.instances {
		if q.Check(f.now, service, partFingerprints(parts)).Outcome != Allowed {
			t.Errorf("instance %d refuses the part", i)
		}
	}
}

// Guards against blaming the wrong part: one that some instance has seen answered, one of
// requests that only waited at the targets even if it is the more special one, one that is at
// all targets of a loss of power, or one that crashes by chance; and against blaming a part at
// a service whose targets it has not crashed.
func TestBlame(t *testing.T) {
	repeat := func(f *crashFleet, n int, crash func()) {
		for range n {
			f.run(time.Second)
			crash()
		}
		f.run(time.Second)
	}
	tests := []struct {
		name   string
		crash  func(f *crashFleet)
		blamed []uint64
		sound  []uint64
	}{
		{"answered before", func(f *crashFleet) {
			f.survive(2, service, common, other)
			repeat(f, 3, func() { f.crashParts(0, service, true, common, deadly, other) })
			f.survive(2, service, common, other)
			f.run(time.Second)
		}, []uint64{common, deadly}, []uint64{common, other}},
		{"answered at another service", func(f *crashFleet) {
			repeat(f, 3, func() {
				f.survive(0, "third", common, deadly)
				f.crashParts(0, service, true, common, deadly)
			})
		}, []uint64{common, deadly}, []uint64{other}},
		{"waiting", func(f *crashFleet) {
			repeat(f, 3, func() {
				f.crashParts(0, service, true, common, deadly)
				f.addParts(1, service, false, common, fourth, other)
			})
		}, []uint64{common, deadly}, []uint64{fourth, other}},
		{"only waiting", func(f *crashFleet) {
			repeat(f, 5, func() { f.crashParts(0, service, false, deadly) })
		}, []uint64{deadly}, []uint64{common}},
		{"loss of power", func(f *crashFleet) {
			for i := range 40 {
				f.crashParts(i%3, service, false, common)
			}
			f.run(time.Second)
		}, nil, []uint64{common}},
		{"by chance", func(f *crashFleet) {
			for i := range 300 {
				f.run(100 * time.Millisecond)
				f.survive(i%3, service, common, other)
				if i%7 == 0 {
					f.crashParts(rand.IntN(3), service, true, common, other)
				}
			}
			f.run(time.Minute)
			if n := len(f.records); n > 2 {
				t.Errorf("%d records are left of crashes that no part caused", n)
			}
		}, nil, []uint64{common, other}},
		{"other service", func(f *crashFleet) {
			repeat(f, 3, func() { f.crashParts(0, "second", true, common, deadly) })
		}, nil, []uint64{common, deadly}},
		{"other service, one crash", func(f *crashFleet) {
			repeat(f, 3, func() { f.crashParts(0, "second", true, common, deadly) })
			f.crashParts(1, service, true, common, deadly)
			f.run(time.Second)
		}, []uint64{common, deadly}, []uint64{common, other}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFleet(3, 50*time.Millisecond)
			for _, q := range f.instances {
				q.ObserveList(f.now, nil, false)
			}
			tt.crash(f)
			for i := range f.instances {
				if tt.blamed != nil && f.partOutcome(i, service, tt.blamed...) == Allowed {
					t.Errorf("instance %d: the deadly part is allowed", i)
				}
				if got := f.partOutcome(i, service, tt.sound...); got != Allowed {
					t.Errorf("instance %d: a sound part is %s", i, got)
				}
			}
		})
	}
}

// Guards against a healthy request that is at some of the crashes of a deadly one, is
// quarantined for them and stays so, as it is not sent any more, while the deadly one goes on
// crashing targets.
func TestDeadlyBesideHealthy(t *testing.T) {
	deadly, healthy := request("deadly"), request("healthy")
	tests := []struct {
		name    string
		before  int // crashes with the healthy one alone
		sent    int // deadly requests of this instance before it is the only one that is sent
		crashes int // with the deadly one alone, until it is quarantined
	}{
		{"more crashes", 0, 4, 1},
		{"fewer crashes", 3, 2, crashThreshold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newCrashFleet(1, 10*time.Millisecond)
			q := f.instances[0]
			crash := func(ids ...Fingerprint) {
				f.crashed++
				q.RecordCrash(f.now, Report{Service: service, Target: fmt.Sprint("i-", f.crashed), Requests: ids})
				f.run(time.Second)
			}
			for range tt.before {
				crash(healthy...)
			}
			for i := range 4 {
				crash(healthy[0], deadly[0])
				if i < tt.sent {
					q.RecordSent(Subject{Service: service, Requests: deadly})
				}
			}
			for range tt.crashes {
				q.RecordSent(Subject{Service: service, Requests: deadly})
				crash(deadly...)
			}
			if got := f.outcome(0, "deadly"); got == Allowed {
				t.Errorf("the deadly request is %s after %d crashes without the healthy one", got, tt.crashes)
			}
		})
	}
}

// Guards against a priced write of a crash that says what the record says already, as another
// instance has stored it in the meantime.
func TestKnownCrashIsNotWritten(t *testing.T) {
	waiting := Report{Service: service, Target: "i-1", About: true, Parts: []uint64{1, 2}}
	begun := Report{Service: service, Target: "i-1", Begun: true, Parts: []uint64{1, 2}}
	for _, tt := range []struct {
		name           string
		stored, report Report
		writes         int
	}{
		{"the same", begun, begun, 0},
		{"less, as the request waited", begun, waiting, 0},
		{"more, as the target had begun", waiting, begun, 1},
		{"another part", begun, Report{Service: service, Target: "i-1", Begun: true, Parts: []uint64{1, 3, 4}}, 1},
	} {
		for _, first := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, record known before %v", tt.name, first), func(t *testing.T) {
				now := time.Now()
				q := NewCrashes()
				stored := CrashRecord{Service: service, Target: "i-1", Requests: tt.stored.suspects()}
				if first {
					q.Observe(now, 1, stored)
				}
				q.RecordCrash(now, tt.report)
				q.Observe(now, 1, stored)
				if n := len(q.Due(now.Add(time.Second))); n != tt.writes {
					t.Errorf("%d writes, expected %d", n, tt.writes)
				}
			})
		}
	}
}
