package cacher

import (
	"testing"
	"time"
)

// Guards against an instance that takes the contact of its neighbour for the time of a call of
// its own, which is exact, and against one that never does again after it has had a neighbour.
func TestIsWatcher(t *testing.T) {
	const wait = 2 * time.Second
	served := func(time.Duration, Ask) (Reply, error) { return Reply{Era: 1, Revision: 12, Contact: -500}, nil }
	away := func(time.Duration, Ask) (Reply, error) { return Reply{Refused: Away, Era: 1}, nil }
	gone := func(time.Duration, Ask) (Reply, error) { return Reply{Refused: Gone, Era: 1}, nil }
	w := &world{now: time.Minute, era: 1, storeOK: true, answer: map[string]func(time.Duration, Ask) (Reply, error){}}
	d := NewDirectory("a", "self")
	d.record(time.Now(), "w1", "a")
	c := New(w, w, d, WithKind("config", wait), WithAsker(w), WithClock(func() time.Duration { return w.now }))
	for _, tt := range []struct {
		name    string
		answer  func(time.Duration, Ask) (Reply, error) // of the neighbour, nil: no watch
		storeOK bool
		want    bool
	}{
		{"before the first watch", nil, true, true},
		{"a neighbour serves", served, true, false},
		{"the neighbour lacks changes, which the store tells", gone, true, false},
		{"the neighbour is away, and the store", away, false, false},
		{"the neighbour is away", away, true, true},
		{"the neighbour is back", served, true, false},
	} {
		w.now += time.Minute // longer than any pause after a failure
		_, _, _ = c.List(t.Context(), "config")
		if w.storeOK = tt.storeOK; tt.answer != nil {
			w.answer["w1"] = tt.answer
			_, _, _ = c.Watch(t.Context(), "config", at(1, 10), wait) // fails if all are away
		}
		if got := c.IsWatcher("config"); got != tt.want {
			t.Errorf("%s: watches itself %v, want %v", tt.name, got, tt.want)
		}
	}
	if !c.IsWatcher("other") {
		t.Error("a kind that is not shared is not watched here")
	}
}
