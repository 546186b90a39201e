// Package watcher keeps the membership view of a process: which instances are
// live, leaving, suspected or gone.
//
// The view combines four sources. The instance list lags, registrations carry
// what a side serves, dial results show unreachable peers, and a side's refusal
// shows first that the side is leaving. A leaving side stays leaving whatever
// the list says later; only a new registration after a removal ends that state,
// because a side registers again when its drain is undone.
//
// An instance is gone when consecutive lists show it absent for [goneAfter].
// Time without a list is no evidence of absence, so a platform outage never
// makes an instance gone.
//
// # Usage
//
//	v := watcher.New()
//	v.Register(now, member, version)
//	v.List(now, instances)
//	v.Dialed(now, "side-3.a1", false)
//	targets := v.Candidates(now, watcher.Query{Model: "survey"})
package watcher
