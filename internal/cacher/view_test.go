package cacher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/storer"
)

const second = time.Second

func changeAt(key string, revision uint64) follower.Change {
	return follower.Change{Item: storer.Item{Key: key, Version: revision, Body: []byte(`{}`)}}
}

func at(era, revision int64) follower.Position {
	return follower.Position{Era: era, Revision: revision}
}

// Guards against a watcher that answers although it can't know whether the store has
// changed, that tells a neighbour of changes which are older than what it knows, or that
// lets it wait for longer than its own contact with the store allows.
func TestAnswer(t *testing.T) {
	ask := Ask{Kind: "config", Era: 1, Revision: 10, Wait: 1000, Age: 2000}
	tests := []struct {
		name    string
		prepare func(v *View)
		ask     func(a *Ask)
		era     int64
		now     time.Duration // the neighbour asked at 10 s, contact was at 9 s
		refused Refusal
		changes int
		until   time.Duration // 0: answered now
	}{
		{name: "no change: waits", now: 10 * second, until: 11 * second},
		{name: "wait over", now: 11 * second},
		{name: "contact gets too old first", ask: func(a *Ask) { a.Age = 1500 }, now: 10 * second, until: 10500 * time.Millisecond},
		{name: "contact is too old", now: 11001 * time.Millisecond, refused: Away},
		{name: "store answered since, without a change", prepare: func(v *View) { v.Add(10500*time.Millisecond, at(1, 10), at(1, 12), nil, true) }, now: 10500 * time.Millisecond},
		{name: "change", prepare: func(v *View) { v.Add(9*second, at(1, 10), at(1, 12), []follower.Change{changeAt("a", 12)}, true) }, now: 10 * second, changes: 1},
		{name: "response lost", prepare: (*View).Lost, now: 10 * second, refused: Away},
		{name: "watches through another one", prepare: func(v *View) { v.Add(9*second, at(1, 10), at(1, 10), nil, false) }, now: 10 * second, refused: Idle},
		{name: "has to list again", prepare: (*View).Forget, now: 10 * second, refused: Idle},
		{name: "restore seen since", era: 2, now: 10 * second, refused: Elsewhere},
		{name: "neighbour has seen a restore", ask: func(a *Ask) { a.Era = 2 }, now: 10 * second, refused: Elsewhere},
		{name: "neighbour has not seen the restore", ask: func(a *Ask) { a.Era = 0 }, now: 10 * second, refused: Elsewhere},
		{name: "neighbour behind what is kept", ask: func(a *Ask) { a.Revision = 9 }, now: 10 * second, refused: Gone},
		{name: "neighbour ahead", ask: func(a *Ask) { a.Revision = 20 }, now: 10 * second, until: 11 * second},
		{name: "neighbour knows a part of a response", prepare: func(v *View) {
			v.Add(9*second, at(1, 10), at(1, 14), []follower.Change{changeAt("a", 12), changeAt("a", 13)}, true)
		}, ask: func(a *Ask) { a.Revision = 12 }, now: 10 * second, changes: 1},
		{name: "order of changes is not known", prepare: func(v *View) {
			v.Add(9*second, at(1, 10), at(1, 14), []follower.Change{changeAt("a", 13), changeAt("a", 3)}, true)
		}, ask: func(a *Ask) { a.Revision = 12 }, now: 10 * second, refused: Gone},
		{name: "too many changes to keep", prepare: func(v *View) {
			for i := range int64(maxChanges + 1) {
				v.Add(9*second, at(1, 10+i), at(1, 11+i), []follower.Change{changeAt("a", uint64(11+i))}, true)
			}
		}, now: 10 * second, refused: Gone},
		{name: "too large changes to keep", prepare: func(v *View) {
			c := changeAt("a", 11)
			c.Item.Body = make([]byte, maxBytes)
			v.Add(9*second, at(1, 10), at(1, 11), []follower.Change{c}, true)
			c.Item.Version = 12
			v.Add(9*second, at(1, 11), at(1, 12), []follower.Change{c}, true)
		}, now: 10 * second, refused: Gone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			v.Listed(9*second, at(1, 10))
			if tt.prepare != nil {
				tt.prepare(&v)
			}
			a := ask
			if tt.ask != nil {
				tt.ask(&a)
			}
			reply, until := v.Answer(tt.now, 10*second, max(tt.era, 1), a)
			if until <= tt.now {
				until = 0
			}
			if reply.Refused != tt.refused || len(reply.Changes) != tt.changes || until != tt.until {
				t.Errorf("got %+v until %v, want refusal %q, %d changes, until %v", reply, until, tt.refused, tt.changes, tt.until)
			}
		})
	}
}

// Guards against a neighbour that misses a change or goes back to an older one, whatever
// it heard from the store itself in between.
func TestAnswersAreComplete(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var history []follower.Change // revision i+1
		since := func(from int64) ([]follower.Change, follower.Position) {
			return history[from:], at(1, int64(len(history)))
		}
		var watcher View
		var watched, known follower.Position
		watched, known = at(1, 0), at(1, 0)
		watcher.Listed(0, watched)
		state := make(map[string]uint64)
		for step := range 200 {
			switch rng.IntN(5) {
			case 0, 1:
				c := changeAt(fmt.Sprint(rng.IntN(4)), uint64(len(history)+1))
				c.Deleted = rng.IntN(3) == 0
				history = append(history, c)
				continue
			case 2:
				list, to := since(watched.Revision)
				watcher.Add(0, watched, to, list, true)
				watched = to
				continue
			}
			var list []follower.Change
			to := known
			if rng.IntN(4) == 0 {
				list, to = since(known.Revision)
			} else if reply, _ := watcher.Answer(0, 0, 1, Ask{Era: 1, Revision: known.Revision, Age: 1000}); reply.Refused == "" {
				list, to = reply.changes(), at(1, max(known.Revision, reply.Revision))
			}
			for _, c := range list {
				if c.Item.Version <= state[c.Item.Key] {
					t.Fatalf("seed %d, step %d: %s goes from %d to %d", seed, step, c.Item.Key, state[c.Item.Key], c.Item.Version)
				}
				state[c.Item.Key] = c.Item.Version
			}
			known = to
			want := make(map[string]uint64)
			for _, c := range history[:known.Revision] {
				want[c.Item.Key] = c.Item.Version
			}
			if !maps.Equal(state, want) {
				t.Fatalf("seed %d, step %d: got %v, want %v at %d", seed, step, state, want, known.Revision)
			}
		}
	}
}
