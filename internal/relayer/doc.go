// Package relayer carries calls between entries through the platform when no
// connection between them can be made, for example while the link between two
// regions is cut.
//
// Each entry has an inbox object, inbox/<instance>, and keeps one watch on it.
// Senders append by conditional update, the owner removes what it has handled.
// An answer goes to the inbox of the caller in the same way. A call costs about
// eight platform calls, so it is a fallback and never the first way.
//
// # Usage
//
//	r := relayer.New(platform, "entry-1.a")
//	relayer.Answer(r, func(ctx context.Context, id string, m *wirepb.Return) (*wirepb.Returned, error) { ... })
//	go r.Run(ctx)
//	res, err := relayer.Call[*wirepb.Returned](ctx, r, "entry-2.b", id, &wirepb.Return{})
package relayer
