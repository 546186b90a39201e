package archiver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/follower"
	"daisylane/internal/recorder"
	"daisylane/internal/registrar"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

const pool = "pool"

// instance is an archiver that shares records through a store.
type instance struct {
	*Archiver
	kill context.CancelFunc
}

// start starts an instance whose targets have the given versions.
func start(t *testing.T, addr, name string, versions ...string) instance {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store := platform.NewStore(addr, platformtest.Direct{Addr: addr, Limit: 300 * time.Millisecond})
	a := New(store, name)
	r := recorder.New(store, zerolog.Nop(), a.Group())
	a.OnChange(r.Wake)
	r.OnSync(a.RecordContact)
	go r.Run(ctx)
	go a.Run(ctx)
	go follower.New(store, recorder.Kind, r, follower.WithWait(time.Second)).Run(ctx)
	platformtest.Eventually(t, "records are read", a.Ready)
	a.SetServing(pool, versions, false)
	platformtest.Eventually(t, "the versions are listed", func() bool { return len(a.Versions(ctx, pool)) >= len(versions) })
	return instance{a, cancel}
}

// Guards against an origin that is lost because the responses of the store are, the store
// is away for a moment or the instance dies, and against one that is made up.
func TestOrigin(t *testing.T) {
	tests := []struct {
		name   string
		faults platformtest.Faults // for a second, while streams begin
		kill   bool                // all instances die after that
	}{
		{name: "store in order"},
		{name: "all instances die", kill: true},
		{name: "lost responses", faults: platformtest.Faults{DropWriteResponse: true}, kill: true},
		{name: "late writes", faults: platformtest.Faults{WriteDelay: 500 * time.Millisecond}, kill: true},
		{name: "silent store", faults: platformtest.Faults{Unresponsive: true}},
		{name: "refusing store", faults: platformtest.Faults{Status: 503}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s, addr := platformtest.Start(t)
			s.StartEras()
			list := []instance{start(t, addr, "e1", "v1", "v1.1"), start(t, addr, "e2", "v1", "v1.1")}
			s.SetFaults(tt.faults)
			for i, a := range list {
				for _, v := range []string{"v1", "v1.1"} {
					a.Begin(fmt.Sprint(i, v), registrar.Origin{Service: pool, Version: v})
				}
			}
			time.Sleep(time.Second)
			s.SetFaults(platformtest.Faults{})
			time.Sleep(time.Second)
			if tt.kill {
				for i, a := range list {
					a.kill()
					list[i] = start(t, addr, fmt.Sprint("e", i+1), "v1", "v1.1")
				}
				list[0].Begin("later", registrar.Origin{Service: pool, Version: "v1"})
				time.Sleep(time.Second) // its notes are written again
				list[0].kill()
				list[0] = start(t, addr, "e1", "v1", "v1.1")
			}
			for i := range list {
				for _, v := range []string{"v1", "v1.1"} {
					o, err := list[1-i].Origin(t.Context(), pool, fmt.Sprint(i, v), time.Second)
					if err != nil || o.Version != v {
						t.Errorf("origin of a stream of instance %d at %s: %v, %v", i, v, o, err)
					}
				}
				if o, err := list[i].Origin(t.Context(), pool, "unknown", 300*time.Millisecond); !errors.Is(err, ErrUnknown) {
					t.Errorf("origin of an unknown stream: %v, %v", o, err)
				}
			}
		})
	}
}

// Guards against taking the only version that an instance knows for the origin, when
// others have begun streams at another one or the store does not answer; and against
// unneeded calls on a calm day.
func TestOnlyVersion(t *testing.T) {
	s, addr := platformtest.Start(t)
	a := start(t, addr, "e1", "v1")
	if o, err := a.Origin(t.Context(), pool, "x", time.Second); err != nil || o.Version != "v1" {
		t.Errorf("origin while one version serves: %v, %v", o, err)
	}
	before := s.Calls()
	for i := range 20 {
		a.Begin(fmt.Sprint(i), registrar.Origin{Service: pool, Version: "v1"})
		a.Versions(t.Context(), pool)
		a.End(fmt.Sprint(i), i%2 == 0)
	}
	time.Sleep(time.Second)
	if after := s.Calls(); after.Writes > before.Writes || after.Reads > before.Reads+2 { // its watch
		t.Errorf("calls went from %+v to %+v", before, after)
	}
	s.Put(recorder.Kind, "versions."+pool, registrar.Versions{Service: pool, Versions: []string{"v1", "v2"}})
	if o, err := a.Origin(t.Context(), pool, "x", 300*time.Millisecond); !errors.Is(err, ErrUnknown) {
		t.Errorf("origin after another instance has listed a version: %v, %v", o, err)
	}
	s.Put(recorder.Kind, "versions."+pool, registrar.Versions{Service: pool, Versions: []string{"v1"}})
	platformtest.Eventually(t, "the list is read", func() bool { return len(a.Versions(t.Context(), pool)) == 1 })
	s.SetFaults(platformtest.Faults{Unresponsive: true})
	if o, err := a.Origin(t.Context(), pool, "x", 300*time.Millisecond); !errors.Is(err, ErrUnknown) {
		t.Errorf("origin while the store does not answer: %v, %v", o, err)
	}
}

// Guards against a stream that begins at any version because no list is stored yet, which
// is not the same as no limit.
func TestNoList(t *testing.T) {
	s, addr := platformtest.Start(t)
	a := start(t, addr, "e1")
	s.SetFaults(platformtest.Faults{Status: 503})
	a.SetServing(pool, []string{"v1"}, false)
	if versions := a.Versions(t.Context(), pool); versions == nil || len(versions) > 0 {
		t.Errorf("streams may begin at %#v while the store takes no list", versions)
	}
}

// Guards against a stream that is refused although it is noted, because callers with
// unknown ones have used up the reads.
func TestKnownAmongUnknown(t *testing.T) {
	_, addr := platformtest.Start(t)
	a, b := start(t, addr, "e1", "v1", "v1.1"), start(t, addr, "e2", "v1", "v1.1")
	for i := range 8 {
		b.Begin(fmt.Sprint(i), registrar.Origin{Service: pool, Version: "v1.1"})
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for i := range 80 {
		time.Sleep(25 * time.Millisecond)
		wg.Go(func() { _, _ = a.Origin(t.Context(), pool, fmt.Sprint("unknown", i), 320*time.Millisecond) })
		if i%10 < 8 {
			continue
		}
		a.locked(func() { a.state.ObserveNotes(nil) })
		wg.Go(func() {
			if o, err := a.Origin(t.Context(), pool, fmt.Sprint(i/10), 320*time.Millisecond); err != nil || o.Version != "v1.1" {
				t.Errorf("origin of a noted stream: %v, %v", o, err)
			}
		})
	}
	wg.Wait()
}

// Guards against a read of all notes for each caller that names an unknown stream.
func TestSharedReads(t *testing.T) {
	s, addr := platformtest.Start(t)
	a := start(t, addr, "e1", "v1", "v1.1")
	before := s.Calls().Reads
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() { _, _ = a.Origin(t.Context(), pool, fmt.Sprint("unknown", i), time.Second) })
	}
	wg.Wait()
	if n := s.Calls().Reads - before; n > maxInstanceListRate+listBurst+3 {
		t.Errorf("%d reads for 200 callers within a second", n)
	}
}

// Guards against taking the only listed version for the origin of a stream that began at a
// target whose version was uncertain, by an instance that was told nothing of it; and against
// streams that are given up for good after an outage.
func TestUnknownOrigin(t *testing.T) {
	s, addr := platformtest.Start(t)
	s.StartEras()
	e1, e2 := start(t, addr, "e1", "v1"), start(t, addr, "e2", "v1")
	e1.Begin("uncertain", registrar.UnknownOrigin(pool))
	e1.End("uncertain", true)
	platformtest.Eventually(t, "it is noted", func() bool { return s.CallsByKind()["create "+Kind]+s.CallsByKind()["put "+Kind] > 0 })
	outage := func(ended bool, ago time.Duration) func() {
		return func() {
			e2.RecordOutage(ended)
			e2.mu.Lock()
			defer e2.mu.Unlock()
			e2.outageEnd = time.Now().Add(-ago)
		}
	}
	tests := []struct {
		name   string
		at     instance
		change func()
		id     string
		want   string // version, empty: unknown
	}{
		{"at its instance", e1, func() {}, "uncertain", ""},
		{"undisturbed", e2, func() {}, "other", "v1"},
		{"in an outage", e2, outage(false, 0), "other", ""},
		{"right after an outage", e2, outage(true, 0), "other", ""},
		{"later", e2, outage(true, settleTime), "other", "v1"},
		{"later, of uncertain version", e2, outage(true, settleTime), "uncertain", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.change()
			o, err := tt.at.Origin(t.Context(), pool, tt.id, 300*time.Millisecond)
			if errors.Is(err, ErrUnknown) != (tt.want == "") || err == nil && o.Version != tt.want {
				t.Errorf("origin %v, %v, want %q", o, err, tt.want)
			}
		})
	}
}
