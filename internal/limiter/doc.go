// Package limiter limits the requests of each account and sheds load by worth
// and deadline.
//
// Requests over the capacity wait in a queue, highest worth first, earliest
// deadline next. After each arrival the expected start of every request behind
// it is estimated anew. A request that cannot start in time is given up and
// answered at once with a time to come back; it does not wait for its deadline.
//
// # Usage
//
//	l := limiter.New(source, 64, limiter.WithLimits(limits))
//	for _, a := range l.Offer(now, request) {
//		// a.Kind is Start, Queue or Refuse, also for requests offered earlier
//	}
//	actions := l.Done(now, id)
//
// Call [Limiter.Tick] at the time that [Limiter.Next] returns.
package limiter
