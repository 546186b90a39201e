package quarantiner

import (
	"maps"
	"slices"
	"time"

	"daisylane/internal/recorder"
)

// model is several instances that share records through a store. Records reach the other
// instances with a delay.
type model[R recorder.Record, Q recorder.Records[R]] struct {
	now       time.Time
	delay     time.Duration
	instances []Q
	records   map[string]recorder.Stored[R]
	version   uint64
	inFlight  []event[R]
	step      time.Duration
	crashed   int // targets that have crashed
	writes    int
}

// event is a change of a record on its way to the instances.
type event[R recorder.Record] struct {
	at      time.Time
	name    string
	stored  recorder.Stored[R]
	removed bool
}

func newModel[R recorder.Record, Q recorder.Records[R]](n int, delay time.Duration, start func() Q) model[R, Q] {
	f := model[R, Q]{now: time.Now(), delay: delay, step: 10 * time.Millisecond, records: make(map[string]recorder.Stored[R])}
	for range n {
		f.instances = append(f.instances, start())
	}
	return f
}

// list returns the records of the store.
func (f *model[R, Q]) list() []recorder.Stored[R] { return slices.Collect(maps.Values(f.records)) }

// put makes a conditional write and reports whether it was done.
func (f *model[R, Q]) put(w recorder.Write[R]) (recorder.Stored[R], bool) {
	f.writes++
	if current := f.records[w.Name]; current.Version != w.Version {
		return current, false
	}
	f.version++
	s := recorder.Stored[R]{Record: w.Record, Version: f.version}
	if f.records[w.Name] = s; w.Remove {
		delete(f.records, w.Name)
	}
	f.inFlight = append(f.inFlight, event[R]{f.now.Add(f.delay), w.Name, s, w.Remove})
	return s, true
}

// run lets time pass.
func (f *model[R, Q]) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(f.step) {
		for len(f.inFlight) > 0 && !f.inFlight[0].at.After(f.now) {
			e := f.inFlight[0]
			f.inFlight = f.inFlight[1:]
			for _, q := range f.instances {
				if e.removed {
					q.ObserveRemoved(e.name, e.stored.Version)
				} else {
					q.Observe(f.now, e.stored.Version, e.stored.Record)
				}
			}
		}
		for _, q := range f.instances {
			for _, w := range q.Due(f.now) {
				s, ok := f.put(w)
				switch {
				case ok:
					q.Written(f.now, w, s.Version)
				case s.Version == 0:
					q.Gone(w)
				default:
					q.Failed(w)
					q.Observe(f.now, s.Version, s.Record)
				}
			}
		}
	}
}

// claim makes the write of a trial and reports whether it was done.
func (f *model[R, Q]) claim(q Q, w recorder.Write[R], end func()) bool {
	s, ok := f.put(w)
	if s.Version > 0 {
		q.Observe(f.now, s.Version, s.Record)
	}
	end()
	return ok
}
