// Package scheduler decides which requests to engines are admitted under overload.
//
// Engines admit the most urgent request first, so urgent requests wait the shortest time
// at the same target. A request is admitted if its expected wait is a share of its latency
// objective, and the share is smaller the more kinds of requests are more urgent. So the
// least urgent ones are refused first, while targets still have room for the others. A
// target without a backlog refuses nothing.
//
// The package is designed for some hundred requests a second at an instance and ten
// priorities. It keeps one time per priority, reads no clock, and is not safe for
// concurrent use.
//
// # Usage
//
//	s := scheduler.New()
//	d := s.Decide(now, scheduler.Request{Priority: 2, Objective: time.Second, Left: left}, estimate)
//	if !d.Admit {
//		refuse(d.After)
//	}
package scheduler
