package follower

import (
	"context"
	"errors"
	"testing"
	"time"

	"daisylane/internal/storer"
)

var start = time.Unix(1000, 0)

func target(id string) Target {
	return Target{ID: id, Service: "engine", Addr: "10.0.0.1:1", Centre: "a"}
}

func ids(r *Roster) string {
	all := ""
	for _, t := range r.Ready("engine") {
		all += t.ID + " "
	}
	return all
}

// Guards against requests to targets that are leaving or gone, and against
// dropping live targets whose entries lapsed in an outage of the store.
func TestRoster(t *testing.T) {
	leaving := target("b")
	leaving.Leaving = true
	reborn := target("b")
	reborn.Born = 7
	tests := []struct {
		name string
		play func(*Roster)
		want string
	}{
		{"removed", func(r *Roster) { r.Remove(start, "b") }, "a "},
		{"missing from a list", func(r *Roster) { r.List(start, []Target{target("b")}) }, "b "},
		{"leaving", func(r *Roster) { r.Put(leaving) }, "a "},
		{"an old entry after leaving", func(r *Roster) { r.Put(leaving); r.Put(target("b")) }, "a "},
		{"started again under its id", func(r *Roster) { r.Put(leaving); r.Put(reborn) }, "a b "},
		{"replaced at its address", func(r *Roster) { r.Gone("a") }, "b "},
		{"lapsed in an outage", func(r *Roster) { r.Regained(start); r.List(start, nil) }, "a b "},
		{"lapsed and still missing", func(r *Roster) {
			r.Regained(start)
			r.List(start, nil)
			r.Expire(start.Add(lapseTime))
		}, ""},
		{"lapsed and back", func(r *Roster) {
			r.Regained(start)
			r.List(start, nil)
			r.Put(target("a"))
			r.Expire(start.Add(lapseTime))
		}, "a "},
		{"removed long after an outage", func(r *Roster) {
			r.Regained(start)
			r.Remove(start.Add(lapseTime), "a")
		}, "b "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRoster()
			r.List(start.Add(-time.Hour), []Target{target("a"), target("b")})
			tt.play(r)
			if got := ids(r); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// source plays a script of answers to lists and watches.
type source struct {
	lists   []error
	watches []error
	calls   string
}

func (s *source) List(context.Context, string) ([]storer.Item, int64, error) {
	s.calls += "list "
	return nil, 5, next(&s.lists)
}

func (s *source) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]Change, int64, error) {
	s.calls += "watch "
	if len(s.watches) == 0 {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	return []Change{{}}, after + 1, next(&s.watches)
}

func next(script *[]error) error {
	if len(*script) == 0 {
		return nil
	}
	err := (*script)[0]
	*script = (*script)[1:]
	return err
}

type recorder struct{ events string }

func (r *recorder) Listed([]storer.Item) { r.events += "listed " }
func (r *recorder) Changed([]Change)     { r.events += "changed " }
func (r *recorder) Lost(error)           { r.events += "lost " }
func (r *recorder) Regained()            { r.events += "regained " }
func (r *recorder) Current()             {}

// Guards against a view that misses changes after the history is gone or the
// store was away.
func TestFollow(t *testing.T) {
	down := errors.New("down")
	tests := []struct {
		name   string
		source source
		calls  string
		events string
	}{
		{"changes", source{watches: []error{nil, nil}}, "list watch watch watch ", "listed changed changed "},
		{"history gone", source{watches: []error{ErrHistory}}, "list watch list watch ", "listed listed "},
		{"store away at the start", source{lists: []error{down, down}}, "list list list watch ", "lost regained listed "},
		{"store away in between", source{watches: []error{down, nil}}, "list watch watch watch ", "listed lost regained changed "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			var r recorder
			New(&tt.source, "kind", &r).Run(ctx)
			if tt.source.calls != tt.calls || r.events != tt.events {
				t.Errorf("calls %q, want %q; events %q, want %q", tt.source.calls, tt.calls, r.events, tt.events)
			}
		})
	}
}
