// Package watcher keeps the membership view of a process: which instances are
// live, leaving, suspected or gone.
//
// The view combines four sources: the instance list, which lags; registrations,
// which state what a side serves; results of dials, which show unreachable peers;
// and refusals by a side, which are the earliest sign that it is leaving. A side
// that has announced that it is leaving keeps this state regardless of later lists.
// Only a new registration after a removal ends it, because a side registers again
// when its drain is undone.
//
// An instance is gone when consecutive lists show it absent for goneTimeout. Time
// without a list does not count as absence, so a platform outage never makes an
// instance gone.
//
// # Usage
//
//	v := watcher.New()
//	v.Register(now, member, version)
//	v.SetList(now, rows)
//	v.RecordDial(now, "side-3.a1", false)
//	targets := v.Candidates(now, watcher.Query{Model: "survey"})
package watcher
