package warden_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/follower"
	"daisylane/internal/quarantiner"
	"daisylane/internal/recorder"
	"daisylane/internal/storer"
	"daisylane/internal/warden"
)

// contended is a store with conditional writes that counts the calls.
type contended struct {
	mu        sync.Mutex
	items     map[string]storer.Item
	version   uint64
	changes   []follower.Change
	puts      int
	conflicts int
}

func (s *contended) call() func() {
	time.Sleep(5*time.Millisecond + rand.N(10*time.Millisecond))
	s.mu.Lock()
	return func() {
		s.mu.Unlock()
		time.Sleep(5*time.Millisecond + rand.N(10*time.Millisecond))
	}
}

func (s *contended) Put(_ context.Context, _, name string, body []byte, version uint64) (storer.Item, error) {
	defer s.call()()
	s.puts++
	if current := s.items[name]; current.Version != version {
		s.conflicts++
		if current.Version == 0 {
			return storer.Item{}, storer.ErrAbsent
		}
		return current, storer.ErrConflict
	}
	s.version++
	s.items[name] = storer.Item{Key: name, Version: s.version, Body: body}
	s.changes = append(s.changes, follower.Change{Item: s.items[name]})
	return s.items[name], nil
}

func (s *contended) Remove(context.Context, string, string, uint64) (storer.Item, error) {
	return storer.Item{}, errors.New("not expected")
}

// counts returns the writes, and how many of them conflicted.
func (s *contended) counts() (puts, conflicts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts, s.conflicts
}

// since returns the changes after the first n.
func (s *contended) since(n int) []follower.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.changes[n:])
}

// crashFleet is several instances in data centres that share their watches.
type crashFleet struct {
	store     *contended
	instances []*warden.Warden
	crashes   int
}

func newCrashFleet(ctx context.Context, n int) *crashFleet {
	const centres, interval = 6, 600 * time.Millisecond
	f := &crashFleet{store: &contended{items: make(map[string]storer.Item)}}
	recorders := make([][]*recorder.Recorder, centres)
	for i := range n {
		w := warden.New(f.store, warden.WithFleetSize(func() int { return n }))
		r := recorder.New(f.store, zerolog.Nop(), w.Groups()...)
		w.OnChange(r.Wake)
		r.Listed(nil)
		go func() {
			time.Sleep(rand.N(100 * time.Millisecond)) // processes do not start at the same time
			r.Run(ctx)
		}()
		f.instances = append(f.instances, w)
		recorders[i%centres] = append(recorders[i%centres], r)
	}
	for _, w := range f.instances {
		w.RecordWhole(quarantiner.Target{ID: "i-0"}, time.Now(), quarantiner.Subject{Service: "pool", Parts: []uint64{1, 2}})
	}
	time.Sleep(5 * time.Second)
	for _, list := range recorders {
		go func() {
			for known := 0; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
				changes := f.store.since(known)
				if len(changes) == 0 {
					continue
				}
				known += len(changes)
				time.Sleep(5*time.Millisecond + rand.N(10*time.Millisecond))
				for _, r := range list {
					r.Changed(changes)
				}
				time.Sleep(interval)
			}
		}()
	}
	return f
}

// crash ends a target that had begun to answer a request of each of k instances. They share
// the first part of their prompts, and the first one has the part 0xdead.
func (f *crashFleet) crash(k int) {
	f.crashes++
	for i, at := range rand.Perm(len(f.instances))[:k] {
		parts := []uint64{1, uint64(f.crashes*1000 + i)}
		if i == 0 {
			parts = []uint64{1, 0xdead, uint64(f.crashes * 1000)}
		}
		f.instances[at].RecordCrash(quarantiner.Report{Service: "pool", Target: fmt.Sprint("i-", f.crashes), Begun: true, Parts: parts, Requests: []quarantiner.Fingerprint{quarantiner.Fingerprint(f.crashes*2000 + 2*i)}}, true)
	}
}

// known returns at how many instances the part is in quarantine.
func (f *crashFleet) known() (n int) {
	for _, w := range f.instances {
		if w.Check(quarantiner.Subject{Service: "pool", Parts: []uint64{1, 0xdead, 9}}).Outcome != quarantiner.Allowed {
			n++
		}
	}
	return n
}

// Guards against writes of one crash by several instances that conflict again and again, as they
// come at the same time or on a version that has been replaced, and against a verdict that other
// instances wait for. Three calls of a writer are the write, the conflict that tells it of the
// record, and one more as another write came between.
func TestConflictsOfACrash(t *testing.T) {
	const runs, crashes, callsPerWriter = 10, 3, 3
	const knownWithin = 2 * time.Second // half of the stable window
	for _, tt := range []struct{ instances, writers int }{{4, 4}, {22, 4}, {22, 8}, {100, 8}} {
		t.Run(fmt.Sprintf("%d of %d instances", tt.writers, tt.instances), func(t *testing.T) {
			puts, conflicts := 0, 0
			var took, longest time.Duration
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newCrashFleet(ctx, tt.instances)
					for range crashes {
						time.Sleep(500 * time.Millisecond)
						f.crash(tt.writers)
					}
					begun := time.Now()
					for f.known() < tt.instances && time.Since(begun) < 2*knownWithin {
						time.Sleep(10 * time.Millisecond)
					}
					took, longest = took+time.Since(begun), max(longest, time.Since(begun))
					time.Sleep(5 * time.Second)
					p, c := f.store.counts()
					puts, conflicts = puts+p, conflicts+c
					cancel()
					time.Sleep(time.Second) // the goroutines end
				})
			}
			n := float64(runs * crashes)
			t.Logf("%.1f writes for each crash, %.1f of them conflict; known everywhere after %v, at most %v", float64(puts)/n, float64(conflicts)/n, took/runs, longest)
			if float64(puts)/n > callsPerWriter*float64(tt.writers) {
				t.Errorf("%.1f writes for each crash, at most %d expected", float64(puts)/n, callsPerWriter*tt.writers)
			}
			if longest > knownWithin {
				t.Errorf("verdict is known everywhere after %v, at most %v expected", longest, knownWithin)
			}
		})
	}
}
