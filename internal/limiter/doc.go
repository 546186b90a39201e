// Package limiter limits the request rate and concurrency of each account and sheds
// load by worth and deadline.
//
// Requests above the capacity wait in a queue, ordered by highest worth and then by
// earliest deadline. After each arrival, the start times of the queued requests are
// estimated again. A request that cannot start in time is refused immediately with
// a retry-after time instead of waiting until its deadline.
//
// # Usage
//
//	l := limiter.New(source, 64, limiter.WithLimits(limits))
//	for _, a := range l.Offer(now, request) {
//		// a.Kind is Start, Queue or Refuse. The request may be one offered earlier.
//	}
//	actions := l.Done(now, id)
//
// Call [Limiter.Tick] at the time that [Limiter.NextExpiry] returns.
package limiter
