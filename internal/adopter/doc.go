// Package adopter decides which bundle version a process uses.
//
// A process adopts a version only if a trusted operator signed its head, all
// chunks match the hashes that the head lists, and the version is higher than the
// active one. The active version of a process therefore never decreases.
//
// Versions spread in three ways:
//
//   - Two entries per data centre watch the platform.
//   - A process that adopts a version pushes it to a few peers of its data centre,
//     which do the same, so that no process sends to all others.
//   - Every process compares versions with one random peer per round (gossip),
//     which makes up for lost pushes.
//
// A watcher that loses the platform delegates its watch to the next entry in rank,
// and a process that reaches no peer reads the platform itself.
//
// A starting process is ready once it has the platform's version. If the platform
// is down, it asks all peers of its data centre in two rounds and uses the highest
// version among the answers.
//
// # Usage
//
// The caller executes the returned actions and reports their results:
//
//	a := adopter.New(cfg, rand.New(rand.NewPCG(seed, 0)))
//	run(a.SetPeers(now, peers))
//	run(a.Start(now))
//	run(a.Tick(now)) // every RoundInterval
//
//	case adopter.ReadHead:   run(a.HandlePlatformHead(now, body, err))
//	case adopter.SendNotice: run(a.HandleAnswer(now, act, answer))
//	                         // or, without an answer, run(a.HandleNoticeFailure(now, act))
//	case adopter.FetchChunk: run(a.HandleChunk(now, act, body))
//	                         // or, if the fetch fails, run(a.HandleChunkFailure(now, act))
//	case adopter.Adopt:      publish(act.Index)
package adopter
