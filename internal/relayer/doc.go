// Package relayer sends calls between entries through the platform's object store. It
// is the fallback when two entries cannot connect to each other, for example while
// the link between two regions is down.
//
// Each entry has an inbox object, inbox/<instance>, and keeps one watch on it.
// Senders append messages by conditional writes, and the owner removes the messages
// that it handles. The response goes to the inbox of the caller in the same way. A
// call costs about eight platform calls, so a direct connection is always tried first.
//
// # Usage
//
//	r := relayer.New(platform, "entry-1.a")
//	relayer.HandleCall(r,
//		func(ctx context.Context, id string, m *wirepb.Return) (*wirepb.Returned, error) { ... })
//	go r.Run(ctx)
//	res, err := relayer.Call[*wirepb.Returned](ctx, r, "entry-2.b", id, &wirepb.Return{})
package relayer
