package cacher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/storer"
)

var errSilent = errors.New("no answer")

// world is a store, two neighbours that come before this instance, and the clock.
type world struct {
	now     time.Duration
	era     int64
	calls   []string
	storeOK bool
	answer  map[string]func(sent time.Duration, a Ask) (Reply, error)
}

func (w *world) Rank(string) ([]granter.Lender, int) {
	return []granter.Lender{{Name: "far", Addr: "far"}, {Name: "w1", Addr: "w1"}, {Name: "w2", Addr: "w2"}, {Name: "later", Addr: "later"}}, 3
}

func (w *world) Era() int64 { return w.era }

func (w *world) List(context.Context, string) ([]storer.Item, follower.Position, error) {
	return nil, at(w.era, 10), nil
}

func (w *world) Watch(_ context.Context, _ string, after follower.Position, wait time.Duration) ([]follower.Change, follower.Position, error) {
	call := "store"
	if wait == resyncWait {
		call = "store at once"
	}
	w.calls = append(w.calls, call)
	if !w.storeOK {
		return nil, after, storer.ErrUnavailable
	}
	return nil, after, nil
}

func (w *world) Ask(_ context.Context, addr string, a Ask) (Reply, error) {
	w.calls = append(w.calls, addr)
	return w.answer[addr](w.now, a)
}

// Guards against an instance that trusts an answer which proves nothing, that waits beyond
// the time in which a change has to be known, that calls the store while a neighbour
// serves, or that does not call it although none does.
func TestWatch(t *testing.T) {
	const wait = 2 * time.Second
	serve := func(era, revision, contact int64) func(*world) func(time.Duration, Ask) (Reply, error) {
		return func(*world) func(time.Duration, Ask) (Reply, error) {
			return func(time.Duration, Ask) (Reply, error) {
				return Reply{Era: era, Revision: revision, Contact: contact}, nil
			}
		}
	}
	refuse := func(reason Refusal, era int64) func(*world) func(time.Duration, Ask) (Reply, error) {
		return func(*world) func(time.Duration, Ask) (Reply, error) {
			return func(time.Duration, Ask) (Reply, error) { return Reply{Refused: reason, Era: era}, nil }
		}
	}
	silent := func(after time.Duration) func(*world) func(time.Duration, Ask) (Reply, error) {
		return func(w *world) func(time.Duration, Ask) (Reply, error) {
			return func(time.Duration, Ask) (Reply, error) {
				w.now += after
				return Reply{}, errSilent
			}
		}
	}
	tests := []struct {
		name    string
		w1, w2  func(*world) func(time.Duration, Ask) (Reply, error)
		before  func(w *world, c *Cache)
		after   follower.Position
		storeOK bool
		calls   []string
		err     error
	}{
		{name: "served", w1: serve(1, 12, -500), storeOK: true, calls: []string{"w1"}},
		{name: "killed", w1: silent(0), w2: serve(1, 12, 0), storeOK: true, calls: []string{"w1", "w2"}},
		{name: "silent until the end of the wait", w1: silent(wait), w2: serve(1, 12, 0), storeOK: true, calls: []string{"w1", "store at once"}},
		{name: "both killed", w1: silent(0), w2: silent(0), storeOK: true, calls: []string{"w1", "w2", "store"}},
		{name: "killed lately", w1: silent(0), w2: silent(0), storeOK: true, calls: []string{"store"}, before: func(w *world, c *Cache) {
			_, _, _ = c.Watch(t.Context(), "config", at(1, 10), wait)
		}},
		{name: "lost the store", w1: refuse(Away, 1), w2: refuse(Idle, 1), storeOK: true, calls: []string{"w1", "w2", "store"}},
		{name: "does not know the changes", w1: refuse(Gone, 1), storeOK: true, calls: []string{"w1", "store at once"}},
		{name: "has seen a restore", w1: refuse(Elsewhere, 2), storeOK: true, calls: []string{"w1", "store at once"}},
		{name: "answers of an earlier era", w1: serve(0, 12, 0), w2: silent(0), storeOK: true, calls: []string{"w1", "w2", "store"}},
		{name: "contact too old", w1: serve(1, 12, -3000), w2: silent(0), storeOK: true, calls: []string{"w1", "w2", "store"}},
		{name: "restore seen here", w1: serve(1, 12, 0), storeOK: true, err: follower.ErrHistoryGone, before: func(w *world, _ *Cache) { w.era = 2 }},
		{name: "restore seen here while the watcher answers", w2: silent(0), storeOK: true, calls: []string{"w1", "w2", "store"}, w1: func(w *world) func(time.Duration, Ask) (Reply, error) {
			return func(time.Duration, Ask) (Reply, error) { w.era = 2; return Reply{Era: 1, Revision: 12}, nil }
		}},
		{name: "all out of contact", w1: refuse(Away, 1), w2: silent(0), calls: []string{"w1", "w2", "store"}, err: storer.ErrUnavailable},
		{name: "all out of contact, called the store lately", w1: refuse(Away, 1), w2: silent(0), calls: []string{"w1"}, err: storer.ErrUnavailable, before: func(w *world, c *Cache) {
			_, _, _ = c.Watch(t.Context(), "config", at(1, 10), wait)
			w.now += awayPause
		}},
		{name: "all out of contact, called the store long ago", w1: refuse(Away, 1), w2: silent(0), calls: []string{"w1", "store"}, err: storer.ErrUnavailable, before: func(w *world, c *Cache) {
			_, _, _ = c.Watch(t.Context(), "config", at(1, 10), wait)
			w.now += 2 * directPause
		}},
		{name: "contact before the own failure", w1: serve(1, 12, -500), w2: refuse(Away, 1), calls: []string{"w1", "w2"}, err: storer.ErrUnavailable, before: func(w *world, c *Cache) {
			_, _, _ = c.watchStore(t.Context(), "config", at(1, 10), wait)
			w.now += 100 * time.Millisecond
		}},
		{name: "contact after the own failure", w1: serve(1, 12, 0), calls: []string{"w1"}, before: func(w *world, c *Cache) {
			_, _, _ = c.watchStore(t.Context(), "config", at(1, 10), wait)
			w.now += 100 * time.Millisecond
		}},
		{name: "another kind", w1: serve(1, 12, 0), storeOK: true, calls: []string{"store"}, before: func(_ *world, c *Cache) { c.kinds = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{now: time.Minute, era: 1, storeOK: tt.storeOK, answer: make(map[string]func(time.Duration, Ask) (Reply, error))}
			d := NewDirectory("a", "self")
			for addr, centre := range map[string]string{"far": "b", "w1": "a", "w2": "a", "later": "a"} {
				d.record(time.Now(), addr, centre)
			}
			c := New(w, w, d, WithKind("config", wait), WithAsker(w), WithClock(func() time.Duration { return w.now }))
			if _, _, err := c.List(t.Context(), "config"); err != nil {
				t.Fatal(err)
			}
			w.answer["w1"] = tt.w1(w)
			if tt.w2 != nil {
				w.answer["w2"] = tt.w2(w)
			}
			if tt.before != nil {
				tt.before(w, c)
			}
			w.calls = nil
			if _, _, err := c.Watch(t.Context(), "config", at(1, 10), wait); !errors.Is(err, tt.err) {
				t.Errorf("got error %v, want %v", err, tt.err)
			}
			if !slices.Equal(w.calls, tt.calls) {
				t.Errorf("got calls %v, want %v", w.calls, tt.calls)
			}
		})
	}
}

// Guards against a contact with the store that is taken for newer than the watcher's own,
// from which it would follow that a key that is not known does not exist.
func TestContact(t *testing.T) {
	w := &world{now: time.Minute, era: 1, answer: map[string]func(time.Duration, Ask) (Reply, error){}}
	w.answer["w1"] = func(time.Duration, Ask) (Reply, error) {
		w.now += time.Second // of which it can't know how much the answer took
		return Reply{Era: 1, Revision: 12, Contact: -700}, nil
	}
	d := NewDirectory("a", "self")
	d.record(time.Now(), "w1", "a")
	c := New(w, w, d, WithKind("config", 2*time.Second), WithAsker(w), WithClock(func() time.Duration { return w.now }))
	if got := c.Contact("config"); !got.IsZero() {
		t.Errorf("got contact at %v before the first list", got)
	}
	w.now -= 10 * time.Second
	_, _, _ = c.List(t.Context(), "config")
	w.now += 10 * time.Second
	if _, _, err := c.Watch(t.Context(), "config", at(1, 10), 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if age := time.Since(c.Contact("config")).Round(100 * time.Millisecond); age != 1700*time.Millisecond {
		t.Errorf("contact was %v ago, want 1.7s", age)
	}
}

// Guards against a watch of the store for each change of a burst, and against a pause before a
// watch that is to tell what was missed.
func TestInterval(t *testing.T) {
	const wait, interval = 3 * time.Second, 500 * time.Millisecond
	w := &world{now: time.Minute, era: 1, storeOK: true}
	d := NewDirectory("a", "self")
	c := New(w, w, d, WithKind("config", wait), WithInterval("config", interval), WithAsker(w), WithClock(func() time.Duration { return w.now }))
	for _, tt := range []struct {
		name   string
		change func()
		want   time.Duration
	}{
		{"never listed", func() {}, 0},
		{"just listed", func() { _, _, _ = c.List(t.Context(), "config") }, interval},
		{"a while later", func() { w.now += 200 * time.Millisecond }, interval - 200*time.Millisecond},
		{"the interval is over", func() { w.now += interval }, 0},
		{"just watched", func() { _, _, _ = c.watchStore(t.Context(), "config", at(1, 10), wait) }, interval},
		{"the store does not respond", func() { w.storeOK = false; _, _, _ = c.watchStore(t.Context(), "config", at(1, 10), wait) }, 0},
		{"another kind", func() { c.kinds = nil }, 0},
	} {
		tt.change()
		if got := max(0, c.untilWatch("config")); got != tt.want {
			t.Errorf("%s: the next watch waits %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a directory that fills with peers which have left, so that new ones are never
// taken for neighbours, and against one that forgets peers which live or have just started.
func TestPeersAreForgotten(t *testing.T) {
	begun := time.Unix(1_000_000, 0)
	d := NewDirectory("a", "self")
	for i := range maxDirectory - 2 {
		d.record(begun, fmt.Sprint("left", i), "a")
	}
	d.record(begun, "lives", "a")
	d.record(begun.Add(forgetTime), "new", "a")
	d.forget(begun.Add(forgetTime+time.Second), []string{"lives"})
	d.record(begun.Add(forgetTime+time.Second), "next", "a")
	for addr, want := range map[string]bool{"left0": false, "lives": true, "new": true, "next": true} {
		if d.isNeighbour(addr) != want {
			t.Errorf("%s is a neighbour: %v, want %v", addr, !want, want)
		}
	}
}
