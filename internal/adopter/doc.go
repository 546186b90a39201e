// Package adopter decides which bundle version a process has in force.
//
// A process adopts a version only if a trusted operator signed its head, all
// chunks have the hashes that the head names, and the version is higher than
// the one in force. Versions therefore never go back within a process.
//
// Versions spread in three ways. Two entries per data centre watch the platform.
// A process that adopts a version pushes it to a few peers of its data centre,
// which do the same, so that no process sends to all others. And every process
// compares versions with one random peer per round, which repairs lost pushes.
// A watcher that loses the platform asks the next entry in rank to watch for it,
// and a process that reaches no peer reads the platform.
//
// A starting process serves after it has the version of the platform. If the
// platform is down, it asks all peers of its data centre in two rounds and
// takes the highest version among the answers.
//
// # Usage
//
// The caller carries out the actions and reports what came of them:
//
//	a := adopter.New(cfg, rand.New(rand.NewPCG(seed, 0)))
//	run(a.SetPeers(now, peers))
//	run(a.Start(now))
//	run(a.Tick(now)) // every Round
//
//	case adopter.Read:  run(a.Platform(now, body, err))
//	case adopter.Ask:   run(a.Answered(now, act, answer)) or run(a.Failed(now, act))
//	case adopter.Fetch: run(a.Chunk(now, act, body)) or run(a.ChunkFailed(now, act))
//	case adopter.Adopt: publish(act.Index)
package adopter
