package warden_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/follower"
	"daisylane/internal/quarantiner"
	"daisylane/internal/recorder"
	"daisylane/internal/warden"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// watchWait is a little more than a watch waits for a change.
const watchWait = 4500 * time.Millisecond

// start starts an instance that shares its records through a store.
func start(t *testing.T, addr string) *warden.Warden {
	t.Helper()
	store := platform.NewStore(addr, platformtest.Direct{Addr: addr, Limit: 300 * time.Millisecond})
	w := warden.New(store)
	r := recorder.New(store, zerolog.Nop(), w.Groups()...)
	w.OnChange(r.Wake)
	go r.Run(t.Context())
	go follower.New(store, recorder.Kind, r).Run(t.Context())
	platformtest.Eventually(t, "records are read", w.Ready)
	return w
}

// answerWhole records an answer of a target that does not end. What a target has answered
// does not count before that: it may end after any event.
func answerWhole(w *warden.Warden, s quarantiner.Subject) {
	w.RecordWhole(quarantiner.Target{ID: "i-9"}, time.Now(), s)
}

// Guards against crashes that get lost when instances write the same record at the same
// time, when responses of the store are lost or it is away for a moment, and when it is
// restored from a copy without them; against an answer that only one instance notices,
// and against an object that cannot be read.
func TestSharedQuarantine(t *testing.T) {
	type quarantined struct {
		name    string
		subject quarantiner.Subject
		answer  func(*warden.Warden, quarantiner.Subject)
	}
	kinds := []quarantined{
		{"part", quarantiner.Subject{Service: "pool", Parts: []uint64{1, 0xdead, 3}}, answerWhole},
		{"request", quarantiner.Subject{Service: "pool", Requests: []quarantiner.Fingerprint{2, 4}}, answerWhole},
	}
	faults := []struct {
		name   string
		faults platformtest.Faults // while the crashes are recorded
	}{
		{name: "store in order"},
		{name: "lost responses", faults: platformtest.Faults{DropWriteResponse: true}},
		{name: "late writes", faults: platformtest.Faults{WriteDelay: 500 * time.Millisecond}},
		{name: "silent store", faults: platformtest.Faults{Unresponsive: true}},
		{name: "refusing store", faults: platformtest.Faults{Status: 503}},
	}
	for _, tt := range faults {
		for _, kind := range kinds {
			t.Run(kind.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				testSharedQuarantine(t, tt.faults, kind.subject, kind.answer)
			})
		}
	}
}

func testSharedQuarantine(t *testing.T, faults platformtest.Faults, subject quarantiner.Subject, answer func(*warden.Warden, quarantiner.Subject)) {
	s, addr := platformtest.Start(t)
	s.StartEras()
	s.Put(recorder.Kind, "part.pool.zzz", map[string]any{"service": 7})
	empty := s.Copy()
	instances := []*warden.Warden{start(t, addr), start(t, addr), start(t, addr)}
	outcomes := func(want quarantiner.Outcome) func() bool {
		return func() bool {
			for _, w := range instances {
				if w.Check(subject).Outcome != want {
					return false
				}
			}
			return true
		}
	}
	s.SetFaults(faults)
	var wg sync.WaitGroup
	for i, w := range instances {
		wg.Go(func() {
			w.RecordCrash(quarantiner.Report{Service: "pool", Target: fmt.Sprint("i-", i), Begun: true, Parts: subject.Parts, Requests: subject.Requests}, true)
		})
	}
	wg.Wait()
	time.AfterFunc(time.Second, func() { s.SetFaults(platformtest.Faults{}) })
	platformtest.Eventually(t, "three crashes, one at each instance, lead to a quarantine", outcomes(quarantiner.Quarantined))
	s.Restore(empty)
	time.Sleep(500 * time.Millisecond)
	instances = append(instances, start(t, addr))
	platformtest.Eventually(t, "the quarantine outlasts a restore of the store", outcomes(quarantiner.Quarantined))
	removed := func() bool { return s.Count(recorder.Kind) == 1 } // the one that cannot be read
	platformtest.Eventually(t, "answers at one instance end it everywhere", func() bool {
		// One answer counts against the crashes that the instance knows then.
		answer(instances[1], subject)
		return outcomes(quarantiner.Allowed)() && removed()
	})
	time.Sleep(watchWait) // until the last instance has noticed the restore
	if !outcomes(quarantiner.Allowed)() {
		t.Error("the quarantine is back")
	}
	platformtest.Eventually(t, "the records stay removed", removed)
}

// Guards against an end of a target that does not count, because it is known only after the
// attempts, or because its last answer looked whole.
func TestLateEnd(t *testing.T) {
	parts, sentAt := []uint64{1, 0xdead, 3}, time.Now()
	subject := quarantiner.Subject{Service: "pool", Parts: parts}
	tests := []struct {
		name   string
		record func(w *warden.Warden, t quarantiner.Target)
		want   quarantiner.Outcome
	}{
		{"started again", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordFailure(quarantiner.Report{Service: "pool", Target: t.ID, Incarnation: t.Incarnation, Begun: true, Parts: parts}, false)
			w.RecordEnd(t)
		}, quarantiner.Quarantined},
		{"known before the attempt failed", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordEnd(t)
			w.RecordFailure(quarantiner.Report{Service: "pool", Target: t.ID, Incarnation: t.Incarnation, Begun: true, Parts: parts}, false)
		}, quarantiner.Quarantined},
		{"registration lapsed", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordFailure(quarantiner.Report{Service: "pool", Target: t.ID, Incarnation: t.Incarnation, Begun: true, Parts: parts}, false)
			w.RecordLapse(t)
		}, quarantiner.Quarantined},
		{"after a whole answer", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordWhole(t, sentAt, subject)
			w.RecordEnd(t)
		}, quarantiner.Quarantined},
		{"before the answer was known", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordEnd(t)
			w.RecordWhole(t, sentAt, subject)
		}, quarantiner.Quarantined},
		{"broken answers, no end", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordFailure(quarantiner.Report{Service: "pool", Target: t.ID, Incarnation: t.Incarnation, Begun: true, Parts: parts}, false)
		}, quarantiner.Allowed},
		{"waiting requests", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordCrash(quarantiner.Report{Service: "pool", Target: t.ID, Incarnation: t.Incarnation, Parts: parts}, false)
		}, quarantiner.Allowed},
		{"answers again under the same registration", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordEnd(quarantiner.Target{ID: t.ID})
			w.RecordWhole(quarantiner.Target{ID: t.ID}, time.Now(), subject)
		}, quarantiner.Allowed},
		{"ends after answers that it outlived", func(w *warden.Warden, t quarantiner.Target) {
			w.RecordWhole(t, sentAt, subject)
			time.Sleep(700 * time.Millisecond)
			w.RecordEnd(t)
		}, quarantiner.Allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s, addr := platformtest.Start(t)
			s.StartEras()
			w := start(t, addr)
			for i := range 5 {
				tt.record(w, quarantiner.Target{ID: "i-1", Incarnation: int64(i)})
			}
			if v := w.Check(subject); v.Outcome != tt.want || tt.want == quarantiner.Quarantined && v.Key.Part != 0xdead {
				t.Errorf("verdict %+v, want %s", v, tt.want)
			}
		})
	}
}
