// Package syncer keeps the bundle of a process up to date.
//
// An actor owns the [adopter.Adopter] of the process. Calls to the platform and
// to peers run outside the actor, and their results are sent to it. The index of
// the version in force is read without a lock.
//
// # Usage
//
//	s := syncer.New(syncer.Config{Self: self, Trust: trust}, pool, platform,
//		syncer.WithChange(func(head bundler.Head, x *bundler.Index) { ... }))
//	s.Register(srv)
//	s.SetPeers(peers)    // at every change of the membership
//	go s.Run(ctx)
//	<-s.Ready()          // the process may serve
//	account, ok := s.Index().AccountByKey(hash)
package syncer
