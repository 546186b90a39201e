// Package holder runs the budget shards that an entry holds.
//
// One actor owns the decision state: package budgeter for reservations and
// charges, journaler for the instance's journal, claimer for the claims of
// non-idempotent calls and recoverer for the takeover from dead holders. Calls to
// the platform and to other processes run outside the actor and report back to it.
//
// [Client] finds the holder of a shard, here or in another process, and is what
// the router uses.
//
// # Usage
//
//	h, err := holder.New(cfg, platform, members, pool, holder.WithLogger(log))
//	h.Serve(srv) // registers the handlers of the session layer
//	c := holder.NewClient(h, members, pool)
//	reservation, err := c.Reserve(ctx, id, &wirepb.Reserve{Budget: "acme", Tokens: 100})
//	...
//	err = h.Stop(ctx) // hands over all shards and seals the journal
package holder
