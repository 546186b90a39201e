// Package chooser selects the target of a request.
//
// [Affinity] sends requests with the same prompt prefix to the same target, by
// rendezvous hashing over the candidates, unless that target carries much more
// than the mean load. Load reports lag, so a prefix is also spread over more
// targets as the demand for it grows. Candidates in the router's data centre come first, then
// those in its region. Another region is used only when no candidate of the
// own region can start the request in time, because traffic between regions is
// slow and billed by volume.
//
// [RoundRobin], [LeastLoaded] and [PowerOfTwo] are baselines behind the same
// interface.
//
// # Usage
//
//	place := chooser.Place{Centre: "tallinn-1", Region: "tallinn"}
//	p := chooser.NewAffinity(place, source, chooser.WithPeers(entries))
//	choice, ok := p.Choose(now, chooser.Request{Prefix: chooser.Prefix(model, adapter, prompt)}, candidates)
//	p.Sent(now, choice.Name)
//	p.Reported(choice.Name, chooser.LoadOf(now, end.GetLoad()))
//	p.Done(now, choice.Name, sent)
package chooser
