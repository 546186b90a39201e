// Package holder manages the budget shards and claims that an entry holds.
//
// One actor owns the state machines that make the decisions: package budgeter for
// reservations and charges, journaler for the instance's journal, claimer for the
// claims of non-idempotent calls, recoverer for the takeover from dead holders and
// reclaimer for reservations whose router died. Calls to the platform and to other
// processes run outside the actor and send it their results.
//
// [Client] is used by the router. It finds the holder of a shard, in this process or
// in another one, and calls it.
//
// # Usage
//
//	h, err := holder.New(cfg, platform, members, pool, holder.WithLogger(log))
//	h.Serve(srv) // registers the handlers for calls of other processes
//	c := holder.NewClient(h, members, pool)
//	reservation, err := c.Reserve(ctx, id, &wirepb.Reserve{Budget: "acme", Tokens: 100})
//	...
//	err = h.Stop(ctx) // hands over all shards and seals the journal
package holder
