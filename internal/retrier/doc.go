// Package retrier decides whether a failed attempt may be retried at another target.
// Circuit breakers keep requests away from failing targets.
//
// An attempt that is known not to have run may be retried up to the maximum number of
// attempts. It cost a network hop but no work, so the retry does not count against the
// retry budgets. An attempt that may have run is retried only if the call is
// idempotent and both retry budgets allow it. The budgets are token buckets, one per
// account and one for the fleet, that are refilled in proportion to the first
// attempts. This bounds the share of duplicate work when many targets fail. The
// circuit breaker of a target opens after consecutive failures and admits one trial
// request at a time after a pause.
//
// # Usage
//
//	r := retrier.New(source)
//	r.CountRequest("account-1")
//	if r.Admit(now, "target-3") {
//		// run the attempt
//	}
//	v := r.Conclude(now, retrier.Attempt{
//		Account: "account-1", Target: "target-3", Outcome: retrier.NotRun, Number: 1,
//	})
//	if v.Retry {
//		// wait for v.Backoff, then choose another target
//	}
package retrier
