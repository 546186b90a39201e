// Package storer is the client of the platform's object API and of its instance
// list.
//
// Writes are conditional on a version. The client never retries a call, because a
// retried write can conflict with its own first attempt. The error of a write says
// what is known about its outcome:
//
//   - [ErrConflict]: the current version is another one, and the write had no effect.
//     The error is a [*ConflictError] with the current version and body.
//   - [ErrUnavailable]: the platform is unreachable or rejected the call, and the
//     write had no effect.
//   - [ErrUncertain]: the request was sent and no response arrived. Read the key
//     back and compare the body to find out.
//
// # Usage
//
//	c := storer.New("http://10.0.0.1:8000", storer.WithName("entry-1"))
//	version, err := c.Put(ctx, "member/entry/entry-1", body, 0)
//	item, err := c.Get(ctx, "member/entry/entry-1")
//
// Watch returns the changes after a revision and the revision to continue from. A
// deleted object is reported with version 0:
//
//	items, revision, err := c.Watch(ctx, "bundle/", revision, 30*time.Second)
package storer
