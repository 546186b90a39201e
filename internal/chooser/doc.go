// Package chooser selects the target of a request.
//
// [Affinity] sends requests with the same prompt prefix to the same target, by
// rendezvous hashing over the candidates, unless that target carries much more
// than the mean load. Candidates in the router's data centre come first, then
// those in its region. Another region is used only when no candidate of the
// own region can start the request in time, because traffic between regions is
// slow and billed by volume.
//
// [RoundRobin], [LeastLoaded] and [PowerOfTwo] are baselines behind the same
// interface.
//
// # Usage
//
//	p := chooser.NewAffinity(chooser.Place{Centre: "tallinn-1", Region: "tallinn"})
//	choice, ok := p.Choose(now, chooser.Request{Prefix: chooser.Prefix(prompt)}, candidates)
//	p.Sent(now, choice.Name)
//	p.Reported(choice.Name, load) // piggybacked on answers
//	p.Done(now, choice.Name, sent)
package chooser
