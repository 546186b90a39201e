package cacher

import (
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/storer"
)

// A large configuration must reach all neighbours from their watcher: if each of them read it
// from the store, those behind slow links would time out again and again.
func TestLargeChangeIsKept(t *testing.T) {
	var v View
	v.Listed(0, follower.Position{Revision: 5})
	large := follower.Change{Item: storer.Item{Key: "main", Version: 6, Body: make([]byte, maxBytes+1)}}
	v.Add(time.Second, follower.Position{Revision: 5}, follower.Position{Revision: 6}, []follower.Change{large}, true)
	reply, _ := v.Answer(time.Second, time.Second, 0, Ask{Revision: 5, Wait: 1000, Age: 5000})
	if reply.Refused != "" || len(reply.Changes) != 1 {
		t.Fatalf("refused %q, %d changes, want the large one", reply.Refused, len(reply.Changes))
	}
}
