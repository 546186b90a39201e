package registrar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const pool = "pool"

// fleet is several instances that share lists of versions and notes through a store. The
// lists reach the other instances with a delay.
type fleet struct {
	now       time.Time
	delay     time.Duration
	interval  time.Duration // between two writes of notes of an instance
	era       int64
	serving   []string
	instances []*Registrar
	lists     map[string]Stored
	notes     map[int]Notes
	version   uint64
	inFlight  []listed
	away      bool // the store does not answer
	writes    int
}

// listed is a list on its way to the instances.
type listed struct {
	at     time.Time
	stored Stored
}

func newFleet(n int, serving ...string) *fleet {
	f := &fleet{now: time.Now(), delay: 200 * time.Millisecond, interval: max(500*time.Millisecond, time.Duration(n)*time.Second/80), serving: serving, lists: make(map[string]Stored), notes: make(map[int]Notes)}
	f.instances = make([]*Registrar, n)
	for i := range n {
		f.start(i)
	}
	f.run(3 * time.Second)
	return f
}

// start starts an instance, which knows nothing but the store.
func (f *fleet) start(i int) {
	r := New(f.now)
	r.SetEra(f.era)
	r.ObserveList(f.now, f.stored(), false)
	f.instances[i] = r
}

func (f *fleet) stored() (list []Stored) {
	for _, s := range f.lists {
		list = append(list, s)
	}
	return list
}

// restart kills all instances and starts them again.
func (f *fleet) restart() {
	f.run(10 * time.Millisecond)
	for i := range f.instances {
		f.start(i)
	}
	f.run(time.Second)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for len(f.inFlight) > 0 && !f.inFlight[0].at.After(f.now) && !f.away {
			for _, r := range f.instances {
				r.Observe(f.now, f.inFlight[0].stored.Version, f.inFlight[0].stored.Record)
			}
			f.inFlight = f.inFlight[1:]
		}
		for i, r := range f.instances {
			r.SetServing(f.now, pool, f.serving)
			f.store(i, r)
		}
	}
}

// store makes the writes of an instance that are due.
func (f *fleet) store(i int, r *Registrar) {
	for _, w := range r.Due(f.now) {
		current := f.lists[w.Name]
		switch {
		case f.away:
			r.Failed(w)
			continue
		case current.Version != w.Version:
			r.Failed(w)
			r.Observe(f.now, current.Version, current.Record)
			continue
		}
		f.writes++
		f.version++
		f.lists[w.Name] = Stored{Record: w.Record, Version: f.version}
		f.inFlight = append(f.inFlight, listed{f.now.Add(f.delay), f.lists[w.Name]})
		r.Written(f.now, w, f.version)
	}
	n, due := r.NotesDue(f.now, f.interval)
	if due && f.away {
		r.NotesFailed()
	} else if due {
		f.writes++
		f.notes[i] = n
		r.NotesWritten(n)
	}
}

// begin begins a stream at an instance and returns its origin, or false if it may not
// begin anywhere.
func (f *fleet) begin(i int, id string) (Origin, bool) {
	r := f.instances[i]
	var fits []string
	for _, v := range r.Versions(pool) {
		if slices.Contains(f.serving, v) {
			fits = append(fits, v)
		}
	}
	if len(fits) == 0 {
		r.Hasten(f.now, pool)
		return Origin{}, false
	}
	o := Origin{pool, fits[rand.IntN(len(fits))]}
	r.Begin(id, o)
	return o, true
}

// find looks for the origin of a stream at an instance, as an archiver does.
func (f *fleet) find(i int, id string) (Origin, bool) {
	r := f.instances[i]
	if o, ok := r.Lookup(id); ok {
		return o, true
	}
	if f.away {
		return Origin{}, false
	}
	r.SetEra(f.era)
	if current := f.lists[pool]; current.Version > 0 {
		r.Observe(f.now, current.Version, current.Record)
	}
	if v, ok := r.Only(pool); ok {
		return Origin{pool, v}, true
	}
	var list []Notes
	for _, n := range f.notes {
		list = append(list, n)
	}
	r.ObserveNotes(list)
	return r.Lookup(id)
}

// Guards against a stream that goes on at another version than the one that began it,
// whichever instances died or were slow to learn of versions, while they are released, have
// just left or come back; and against streams that are not gone on with although their
// version serves. Sizes of the fleet are 2, 4 and 300.
func TestOriginOfStreams(t *testing.T) {
	for _, n := range []int{2, 4, 300} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			f := newFleet(n, "v1")
			wrong, found, takenUp, begun, sent := 0, 0, 0, 0, 0
			type running struct {
				id string
				at int
				o  Origin
			}
			var streams []running
			// takeUp looks for streams at other instances. Those that still run there broke off
			// without the instance noticing.
			takeUp := func(alive bool) {
				for _, s := range streams {
					if alive {
						f.instances[s.at].End(f.now, s.id, true)
					}
				}
				f.run(100 * time.Millisecond)
				for _, s := range streams {
					o, ok := f.find(rand.IntN(n), s.id)
					if ok && o != s.o {
						wrong++
					}
					if alive {
						if takenUp++; ok {
							found++
						}
					}
				}
				streams = nil
			}
			for step, serving := range [][]string{{"v1"}, {"v1", "v1.1"}, {"v1.1"}, {"v1.1", "v1.2"}, {"v1", "v1.2"}, {"v1.3"}} {
				f.serving = serving
				for i := range 60 {
					f.run(50 * time.Millisecond)
					id, at := fmt.Sprint(step, "-", i), rand.IntN(n)
					sent++
					if o, ok := f.begin(at, id); ok {
						begun++
						streams = append(streams, running{id, at, o})
					}
					if len(streams) > 20 {
						takeUp(true)
					}
				}
				f.restart()
				takeUp(false)
			}
			if wrong > 0 {
				t.Errorf("%d streams would go on at a wrong version", wrong)
			}
			if found*2 < takenUp || begun*10 < sent*9 {
				t.Errorf("%d of %d streams began, and the origin of %d of %d is known", begun, sent, found, takenUp)
			}
			t.Logf("%d of %d streams began, the origin of %d of %d was found after they broke off; %d writes", begun, sent, found, takenUp, f.writes)
		})
	}
}

// Guards against streams that are not found after all instances died, although they were
// noted in time.
func TestOriginOutlastsInstances(t *testing.T) {
	f := newFleet(4, "v1", "v1.1")
	origins := make(map[string]Origin)
	for i := range 40 {
		id := fmt.Sprint(i)
		origins[id], _ = f.begin(i%4, id)
	}
	f.run(time.Second)
	f.restart()
	for id, want := range origins {
		if got, ok := f.find(rand.IntN(4), id); !ok || got != want {
			t.Fatalf("stream %s: %v, %t, want %v", id, got, ok, want)
		}
	}
}

// Guards against writes for streams on a day with one version.
func TestCalmDay(t *testing.T) {
	f := newFleet(4, "v1")
	f.writes = 0
	for i := range 200 {
		f.run(50 * time.Millisecond)
		id := fmt.Sprint(i)
		if _, ok := f.begin(i%4, id); !ok {
			t.Fatal("a stream may not begin")
		}
		f.instances[i%4].End(f.now, id, i%3 == 0)
	}
	if f.writes > 0 {
		t.Errorf("%d writes", f.writes)
	}
}

// Guards against a version that is taken for the only one because the list was restored
// from a copy without a later one, and against a list that is never trusted again.
func TestRestoredList(t *testing.T) {
	f := newFleet(3, "v1")
	copied := f.lists[pool]
	f.serving = []string{"v1", "v1.1"}
	f.run(2 * time.Second)
	f.serving = []string{"v1"}
	f.run(time.Second)
	f.era, f.version = f.era+1, copied.Version
	f.lists[pool] = copied
	f.start(0)
	if o, ok := f.find(0, "unknown"); ok {
		t.Errorf("a new process takes %v for the only origin", o)
	}
	for _, r := range f.instances[1:] {
		r.SetEra(f.era)
		r.ObserveList(f.now, f.stored(), true)
	}
	f.run(2 * time.Second)
	if list := f.lists[pool].Record; !list.Has("v1.1") || list.Era != f.era {
		t.Errorf("list after the restore is %+v", list)
	}
	f.run(2 * time.Minute)
	if o, ok := f.find(0, "unknown"); !ok || o.Version != "v1" {
		t.Errorf("long after the other version has left, the origin is %v, %t", o, ok)
	}
}

// Guards against notes that a restore of the store has lost and that no instance writes
// again.
func TestRestoredNotes(t *testing.T) {
	f := newFleet(2, "v1", "v1.1")
	want, _ := f.begin(0, "a")
	f.run(time.Second)
	clear(f.notes)
	f.era++
	for _, r := range f.instances {
		r.SetEra(f.era)
		r.ObserveList(f.now, f.stored(), true)
	}
	f.run(time.Second)
	f.restart()
	if got, ok := f.find(1, "a"); !ok || got != want {
		t.Errorf("origin %v, %t, want %v", got, ok, want)
	}
}

// Guards against a stream that goes on at another service, because each of the services
// that a route leads to has one version only.
func TestSharedRoute(t *testing.T) {
	f := newFleet(2, "v1")
	for _, r := range f.instances {
		r.SetShared(pool, true)
	}
	if o, ok := f.find(1, "unknown"); ok {
		t.Errorf("origin of an unknown stream: %v", o)
	}
	want, _ := f.begin(0, "a")
	f.run(time.Second)
	if got, ok := f.find(1, "a"); !ok || got != want {
		t.Errorf("origin %v, %t, want %v", got, ok, want)
	}
}

// Guards against a version that is taken off the list while streams may still run at it,
// and against one that stays for good.
func TestVersionLeaves(t *testing.T) {
	f := newFleet(3, "v1", "v1.1")
	f.serving = []string{"v1.1"}
	f.run(StaleTime + minLifetime - time.Second)
	if !f.lists[pool].Record.Has("v1") {
		t.Error("a version was taken off the list too early")
	}
	f.run(3 * minLifetime)
	if got := f.lists[pool].Record.Versions; !slices.Equal(got, []string{"v1.1"}) {
		t.Errorf("list is %v", got)
	}
}

// Guards against streams that begin at a version that the other instances don't know of,
// because the store did not take it.
func TestListBeforeStream(t *testing.T) {
	f := newFleet(2, "v1")
	f.away = true
	f.serving = []string{"v1.1"}
	f.run(3 * time.Second)
	if o, ok := f.begin(0, "a"); ok {
		t.Errorf("a stream began at %v while the store was away", o)
	}
	f.away = false
	f.run(time.Second)
	if _, ok := f.begin(0, "a"); !ok {
		t.Error("no stream begins after the store is back")
	}
}

// Guards against notes of a former process of an instance that its next process
// overwrites.
func TestAdoptedNotes(t *testing.T) {
	f := newFleet(1, "v1", "v1.1")
	want, _ := f.begin(0, "a")
	f.run(time.Second)
	former := f.notes[0]
	f.start(0)
	f.instances[0].Adopt(f.now, former)
	f.begin(0, "b")
	f.run(time.Second)
	f.start(0)
	if got, ok := f.find(0, "a"); !ok || got != want {
		t.Errorf("origin %v, %t, want %v", got, ok, want)
	}
}

// Guards against memory and notes that grow with callers who begin ever new streams, leave
// them, or name their attempts at length.
func TestBoundedNotes(t *testing.T) {
	f := newFleet(1, "v1", "v1.1")
	r := f.instances[0]
	for i := range 3 * maxNotes {
		id := fmt.Sprint("id", i)
		r.Begin(id, Origin{pool, "v1"})
		r.End(f.now, id, true)
	}
	r.Begin(string(make([]byte, 2*maxIDBytes)), Origin{pool, "v1"})
	f.run(time.Second)
	if len(r.streams) > maxNotes || f.notes[0].Check() != nil {
		t.Errorf("%d streams, notes: %v", len(r.streams), f.notes[0].Check())
	}
	f.run(r.KeepTime() + time.Second)
	if len(r.streams) > 0 {
		t.Errorf("%d streams are left", len(r.streams))
	}
}

// Guards against stored records that an instance of this or a later version cannot use.
func TestRecordCheck(t *testing.T) {
	tests := []struct {
		name  string
		check error
		valid bool
	}{
		{"list", Versions{Service: pool, Versions: []string{"v1", "v2"}}.Check(), true},
		{"no service", Versions{}.Check(), false},
		{"not sorted", Versions{Service: pool, Versions: []string{"v2", "v1"}}.Check(), false},
		{"twice", Versions{Service: pool, Versions: []string{"v1", "v1"}}.Check(), false},
		{"notes", Notes{Streams: []Note{{ID: "a"}}}.Check(), true},
		{"no id", Notes{Streams: []Note{{}}}.Check(), false},
		{"too many notes", Notes{Streams: slices.Repeat([]Note{{ID: "a"}}, maxNotes+1)}.Check(), false},
	}
	for _, tt := range tests {
		if (tt.check == nil) != tt.valid {
			t.Errorf("%s: %v", tt.name, tt.check)
		}
	}
}
