package follower

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"daisylane/internal/storer"
)

var start = time.Unix(1000, 0)

func target(id string) Target {
	return Target{ID: id, Service: "engine", Addr: "10.0.0.1:1", Centre: "a"}
}

func readyIDs(r *Roster) string {
	all := ""
	for _, t := range r.Ready("engine") {
		all += t.ID + " "
	}
	return all
}

// Guards against a roster that offers targets which are leaving or removed, and
// against one that drops live targets whose registrations expired during an outage
// of the store.
func TestRoster(t *testing.T) {
	leaving := target("b")
	leaving.Leaving = true
	restarted := target("b")
	restarted.Incarnation = 7
	tests := []struct {
		name   string
		mutate func(*Roster)
		want   string
	}{
		{"removed", func(r *Roster) { r.Remove(start, "b") }, "a "},
		{"missing from a list", func(r *Roster) { r.SetList(start, []Target{target("b")}) }, "b "},
		{"leaving", func(r *Roster) { r.Put(leaving) }, "a "},
		{"an old entry after leaving", func(r *Roster) { r.Put(leaving); r.Put(target("b")) }, "a "},
		{"restarted under the same id", func(r *Roster) { r.Put(leaving); r.Put(restarted) }, "a b "},
		{"address taken by another target", func(r *Roster) { r.Drop("a") }, "b "},
		{"missing after an outage", func(r *Roster) { r.RecordReconnect(start); r.SetList(start, nil) }, "a b "},
		{"missing beyond the grace period", func(r *Roster) {
			r.RecordReconnect(start)
			r.SetList(start, nil)
			r.Expire(start.Add(missingGrace))
		}, ""},
		{"missing and listed again", func(r *Roster) {
			r.RecordReconnect(start)
			r.SetList(start, nil)
			r.Put(target("a"))
			r.Expire(start.Add(missingGrace))
		}, "a "},
		{"removed, then listed by a restored store", func(r *Roster) {
			r.Remove(start, "a")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), target("b")})
		}, "b "},
		{"removed, restored, and removed again", func(r *Roster) {
			r.Remove(start, "a")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), target("b")})
			r.Remove(start, "a")
			r.Expire(start.Add(restoreGrace))
		}, "b "},
		{"removed, restored, and missing from the next list", func(r *Roster) {
			r.Remove(start, "a")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), target("b")})
			r.SetList(start, []Target{target("b")})
			r.Expire(start.Add(restoreGrace))
		}, "b "},
		{"removed, but still listed long after a restore", func(r *Roster) {
			r.Remove(start, "a")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), target("b")})
			r.Expire(start.Add(restoreGrace))
		}, "a b "},
		{"leaving, then listed as ready by a restored store", func(r *Roster) {
			r.Put(leaving)
			r.Remove(start, "b")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), target("b")})
			r.Expire(start.Add(restoreGrace))
		}, "a "},
		{"registered after the copy was made", func(r *Roster) {
			r.RecordRestore(start)
			r.SetList(start, []Target{target("b")})
		}, "a b "},
		{"new incarnation after a restore", func(r *Roster) {
			r.Remove(start, "b")
			r.RecordRestore(start)
			r.SetList(start, []Target{target("a"), restarted})
		}, "a b "},
		{"removed long after an outage", func(r *Roster) {
			r.RecordReconnect(start)
			r.Remove(start.Add(missingGrace), "a")
		}, "b "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRoster()
			r.SetList(start.Add(-time.Hour), []Target{target("a"), target("b")})
			tt.mutate(r)
			if got := readyIDs(r); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// source returns scripted results for lists and watches.
type source struct {
	lists    []error
	watches  []error
	restored bool // lists after the first one are of a new era
	calls    string
}

func (s *source) List(context.Context, string) ([]storer.Item, Position, error) {
	s.calls += "list "
	era := int64(0)
	if s.restored && strings.Count(s.calls, "list ") > 1 {
		era = 1
	}
	return nil, Position{Era: era, Revision: 5}, nextResult(&s.lists)
}

func (s *source) Watch(ctx context.Context, _ string, after Position, _ time.Duration) ([]Change, Position, error) {
	s.calls += "watch "
	if len(s.watches) == 0 {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	after.Revision++
	return []Change{{}}, after, nextResult(&s.watches)
}

func nextResult(script *[]error) error {
	if len(*script) == 0 {
		return nil
	}
	err := (*script)[0]
	*script = (*script)[1:]
	return err
}

// recorder records the calls to a handler.
type recorder struct{ events string }

func (r *recorder) Listed([]storer.Item) { r.events += "listed " }
func (r *recorder) Changed([]Change)     { r.events += "changed " }
func (r *recorder) Disconnected(error)   { r.events += "lost " }
func (r *recorder) Reconnected()         { r.events += "regained " }
func (r *recorder) Restored()            { r.events += "restored " }
func (r *recorder) Synced(time.Time)     {}

// Guards against a follower that misses changes after the store has discarded the
// history since its revision, or after an outage of the store.
func TestFollow(t *testing.T) {
	down := errors.New("down")
	tests := []struct {
		name   string
		source source
		calls  string
		events string
	}{
		{"changes", source{watches: []error{nil, nil}}, "list watch watch watch ", "listed changed changed "},
		{"history gone", source{watches: []error{ErrHistoryGone}}, "list watch list watch ", "listed listed "},
		{"store restored", source{watches: []error{ErrHistoryGone}, restored: true}, "list watch list watch ", "listed restored listed "},
		{"store down at the start", source{lists: []error{down, down}}, "list list list watch ", "lost regained listed "},
		{"store down during a watch", source{watches: []error{down, nil}}, "list watch watch watch ", "listed lost regained changed "},
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

// Guards against state about targets that grows as they come and go, because a target
// that was removed, replaced or missing for too long is not reported as gone.
func TestTakeGone(t *testing.T) {
	r, now := NewRoster(), time.Now()
	r.SetList(now, []Target{{ID: "removed"}, {ID: "dropped"}, {ID: "missing"}, {ID: "stays"}})
	r.Remove(now, "removed")
	r.Drop("dropped")
	r.Drop("dropped")
	r.RecordReconnect(now)
	r.Remove(now, "missing")
	ids := func() (ids []string) {
		for _, t := range r.TakeGone() {
			ids = append(ids, t.ID)
		}
		return ids
	}
	if got := ids(); !slices.Equal(got, []string{"removed", "dropped"}) {
		t.Errorf("gone are %v", got)
	}
	r.Expire(now.Add(missingGrace))
	if got := ids(); !slices.Equal(got, []string{"missing"}) {
		t.Errorf("gone after the grace period are %v", got)
	}
	if got := ids(); len(got) > 0 {
		t.Errorf("%v are reported twice", got)
	}
}
