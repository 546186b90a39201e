// Package scheduler decides which requests to engines are admitted under overload.
//
// Engines admit the most urgent request first, so urgent requests wait the shortest time
// at the same target. A request is admitted if its expected wait is a share of its latency
// objective, and the share is smaller the more kinds of requests are more urgent. So the
// least urgent ones are refused first, while targets still have room for the others. A
// target without a backlog refuses nothing.
//
// Among requests of equal priority, client accounts have equal shares of what is admitted.
// While requests are refused, an account that has used up its share is admitted only up to
// a short wait. What others do not need belongs to its share.
//
// The package is designed for some hundred requests a second at an instance and ten
// priorities, each with up to a thousand client accounts. It keeps one time per priority and
// three sums per account, which are recalculated every 100 ms. It reads no clock, and is not safe for
// concurrent use.
//
// # Usage
//
//	s := scheduler.New()
//	d := s.Decide(now, scheduler.Request{Priority: 2, Account: "a", Objective: time.Second, Left: left}, estimate)
//	if !d.Admit {
//		refuse(d.After)
//	}
package scheduler
