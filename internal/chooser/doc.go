// Package chooser selects the target of a request.
//
// [Affinity] minimises the expected time to the first token. It sends requests
// with the same prompt prefix to the same targets, by rendezvous hashing over
// the candidates, and takes the less loaded of two of them. Load reports lag and
// are rare with many routers, so a prefix is spread over more targets as the
// demand for it grows, and the mean load replaces a report as it ages. Candidates
// in the router's data centre come first, then those in its region. Another
// region is used only when no candidate of the router's region can start the
// request in time, because traffic between regions is slow and billed by volume.
//
// [PrefillPolicy] chooses engines for workloads with long shared prompts, where
// prefill is the bottleneck.
//
// [RoundRobin], [LeastLoaded] and [PowerOfTwo] are baselines that implement the
// same interface, [Policy], as [Affinity].
//
// # Usage
//
//	place := chooser.Place{Centre: "tallinn-1", Region: "tallinn"}
//	p := chooser.NewAffinity(place, source, chooser.WithPeers(routers))
//	list := chooser.NewList(candidates) // reuse it until the candidates change
//	prefix := chooser.PrefixHash(model, adapter, prompt)
//	choice, ok := p.Choose(now, chooser.Request{Prefix: prefix}, list)
//	p.RecordSent(now, choice.Name)
//	p.RecordLoad(choice.Name, chooser.LoadFromMessage(now, end.GetLoad()))
//	p.RecordDone(now, choice.Name, sent)
package chooser
