// Package retrier decides whether a failed attempt may be repeated at another
// target, and keeps failing targets out of the choice.
//
// An attempt that is known not to have run may be repeated up to the limit of
// attempts. It cost a hop and no work, so it takes nothing from the retry
// budgets. One that may have run is repeated only if the call is idempotent and
// both retry budgets allow it: token buckets, one per account and one for the
// fleet, that fill with a share of the first attempts. Work done twice thus
// stays a bounded share of the load when many targets fail. A circuit breaker
// per target stops requests to it after consecutive failures and lets single
// trials through after a pause.
//
// # Usage
//
//	r := retrier.New(source)
//	r.Begin("account-1")
//	if r.Admit(now, "side-3") {
//		// run the attempt
//	}
//	v := r.Conclude(now, retrier.Attempt{Account: "account-1", Target: "side-3", Outcome: retrier.NotRun, Number: 1})
//	if v.Retry {
//		// wait v.Wait, then choose another target
//	}
package retrier
