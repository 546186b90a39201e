// Package storer is the client of the platform: its object API and its
// instance list.
//
// Writes are conditional on a version. A call is never repeated by the client,
// because a repeated write can conflict with its own first attempt. The errors
// of a write tell what is known about it:
//
//   - [ErrConflict]: another version is current, nothing took effect. The error
//     is a [*ConflictError] with the current version and body.
//   - [ErrUnavailable]: nothing took effect, the platform cannot be reached or
//     refused the call.
//   - [ErrUncertain]: the request was sent and no answer arrived. Read the key
//     back and compare the body to find out.
//
// # Usage
//
//	c := storer.New("http://10.0.0.1:8000", storer.WithName("entry-1"))
//	version, err := c.Put(ctx, "member/entry/entry-1", body, 0)
//	item, err := c.Get(ctx, "member/entry/entry-1")
//
// Watch returns the changes after a revision and the revision to continue with.
// A deleted object is reported with version 0:
//
//	items, revision, err := c.Watch(ctx, "bundle/", revision, 30*time.Second)
package storer
