// Package syncer keeps the configuration bundle of a process up to date.
//
// An actor owns the [adopter.Adopter] of the process. Calls to the platform and to
// peers run outside the actor, and their results are sent to it as messages. Reading
// the index of the active version takes no lock.
//
// # Usage
//
//	s := syncer.New(syncer.Config{Self: self, Trust: trust}, pool, platform,
//		syncer.WithChange(func(head bundler.Head, x *bundler.Index) { ... }))
//	s.Register(srv)
//	s.SetPeers(peers)    // whenever the membership changes
//	go s.Run(ctx)
//	<-s.Ready()          // the process may serve requests
//	account, ok := s.Index().AccountByKey(hash)
package syncer
