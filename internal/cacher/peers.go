package cacher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/messenger"
	"daisylane/internal/storer"
)

const (
	watchPath     = "/watch"
	maxAskBytes   = 4 << 10
	maxReplyBytes = 16 << 20 // some objects of 1 MB, in base64
	maxWait       = 10 * time.Second
)

// Refusal is why an instance does not answer a neighbour.
type Refusal string

// Reasons of refusals.
const (
	Idle      Refusal = "idle"      // it does not watch the store
	Away      Refusal = "away"      // it has no contact with the store
	Elsewhere Refusal = "elsewhere" // it is in another era of the store
	Gone      Refusal = "gone"      // it does not know all changes since the revision
	Busy      Refusal = "busy"      // it has no memory for the answer
)

// Ask asks a watcher for the changes of a kind since a position.
type Ask struct {
	Kind     string `json:"kind"`
	Era      int64  `json:"era"`
	Revision int64  `json:"revision"`
	Wait     int64  `json:"wait"` // how long to wait for a change, milliseconds
	Age      int64  `json:"age"`  // how old the contact with the store may be, milliseconds
}

// Check validates the numbers.
func (a Ask) Check() error {
	var f checker.Validator
	checker.Range(&f, "wait", a.Wait, 0, maxWait.Milliseconds())
	checker.Range(&f, "age", a.Age, 0, 2*maxWait.Milliseconds())
	return f.Err()
}

// Reply is the answer to an [Ask].
type Reply struct {
	Refused  Refusal  `json:"refused,omitempty"`
	Era      int64    `json:"era,omitempty"`
	Revision int64    `json:"revision,omitempty"`
	Changes  []change `json:"changes,omitempty"`
	Contact  int64    `json:"contact,omitempty"` // when the changes were complete, milliseconds after the arrival of the question, mostly negative
}

// change is a [follower.Change].
type change struct {
	Item    storer.Item `json:"item"`
	Deleted bool        `json:"deleted,omitempty"`
}

// Check accepts any reply: what it says is compared with what the neighbour knows.
func (r Reply) Check() error { return nil }

func newReply(at follower.Position, changes []follower.Change, contact time.Duration) Reply {
	r := Reply{Era: at.Era, Revision: at.Revision, Contact: contact.Milliseconds()}
	for _, c := range changes {
		r.Changes = append(r.Changes, change(c))
	}
	return r
}

func (r Reply) changes() []follower.Change {
	var list []follower.Change
	for _, c := range r.Changes {
		list = append(list, follower.Change(c))
	}
	return list
}

// client asks watchers over HTTP.
type client struct{ http *http.Client }

// Ask implements [Asker].
func (c client) Ask(ctx context.Context, addr string, a Ask) (Reply, error) {
	reply, err := messenger.Post[Reply](ctx, c.http, addr+watchPath, maxReplyBytes, a)
	if err != nil {
		return Reply{}, fmt.Errorf("ask watcher: %w", err)
	}
	return reply, nil
}
