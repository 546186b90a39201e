package limiter

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Offer starts, queues or refuses a new request. The first action is for this
// request, the others refuse queued requests that it displaces.
func (l *Limiter) Offer(now time.Time, r Request) []Action {
	if cause, after := l.checkLimits(now, r); cause != "" {
		return []Action{l.newRefusal(r.ID, cause, after)}
	}
	if !r.Deadline.IsZero() && now.Add(r.RunTime).After(r.Deadline) {
		return []Action{l.newRefusal(r.ID, CauseDeadline, minRetryAfter)}
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(maxWait + l.expectedRunTime(r))
	}
	l.account(now, r.Account).outstanding++
	if len(l.queue) == 0 && len(l.running) < l.capacity {
		l.running[r.ID] = runningRequest{r, now}
		return []Action{{Kind: Start, ID: r.ID}}
	}
	at, _ := slices.BinarySearchFunc(l.queue, r, compareRequests)
	l.queue = slices.Insert(l.queue, at, r)
	return l.shedQueue(now, r.ID)
}

// Done ends a running request and starts queued ones, or removes a queued request
// whose caller has disconnected.
func (l *Limiter) Done(now time.Time, id string) []Action {
	if r, ok := l.running[id]; ok {
		delete(l.running, id)
		l.recordRunTime(now.Sub(r.started))
		l.account(now, r.Account).outstanding--
		return l.Tick(now)
	}
	if i := l.queueIndex(id); i >= 0 {
		l.account(now, l.queue[i].Account).outstanding--
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	return nil
}

// recordRunTime adds a run time to the moving average.
func (l *Limiter) recordRunTime(runTime time.Duration) {
	if l.meanRunTime == 0 {
		l.meanRunTime = runTime
		return
	}
	l.meanRunTime += time.Duration(runTimeWeight * float64(runTime-l.meanRunTime))
}

// Tick refuses queued requests that cannot start in time and starts others while there
// is capacity.
func (l *Limiter) Tick(now time.Time) []Action {
	actions := l.shedQueue(now, "")
	for len(l.queue) > 0 && len(l.running) < l.capacity {
		r := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.running[r.ID] = runningRequest{r, now}
		actions = append(actions, Action{Kind: Start, ID: r.ID})
	}
	return actions
}

// Resize sets the number of requests that may run at once.
func (l *Limiter) Resize(now time.Time, capacity int) []Action {
	l.capacity = max(1, capacity)
	return l.Tick(now)
}

// SetLimits replaces the limits per account, for example after a configuration change.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for name, a := range l.accounts {
		a.limit = l.accountLimit(name)
		a.bucket.SetLimitAt(now, rate.Limit(a.limit.Rate))
		a.bucket.SetBurstAt(now, a.limit.Burst)
	}
}

// checkLimits returns the cause for which a request must be refused regardless of the
// queue, or "". It consumes one request of the account's rate limit.
func (l *Limiter) checkLimits(now time.Time, r Request) (cause string, after time.Duration) {
	if _, ok := l.running[r.ID]; ok || l.queueIndex(r.ID) >= 0 {
		return CauseDuplicate, 0
	}
	a := l.account(now, r.Account)
	if a.outstanding >= a.limit.Concurrent {
		return CauseConcurrent, max(minRetryAfter, r.RunTime/2)
	}
	if a.bucket.AllowN(now, 1) {
		return "", 0
	}
	missing := 1 - a.bucket.TokensAt(now)
	return CauseRate, time.Duration(missing / a.limit.Rate * float64(time.Second))
}

// shedQueue refuses queued requests that would start too late to finish in time or
// that exceed the queue length. If id is set, it is the request just queued, and its
// action comes first.
func (l *Limiter) shedQueue(now time.Time, id string) []Action {
	var actions []Action
	start, kept := now, l.queue[:0]
	if id != "" {
		actions = append(actions, Action{Kind: Queue, ID: id})
	}
	for _, r := range l.queue {
		cause := ""
		switch {
		case len(kept) >= maxQueue:
			cause = CauseQueue
		case start.After(l.latestStart(r)):
			cause = CauseWorth
		}
		if cause == "" {
			kept = append(kept, r)
			start = start.Add(l.expectedRunTime(r) / time.Duration(l.capacity))
			continue
		}
		l.account(now, r.Account).outstanding--
		refusal := l.newRefusal(r.ID, cause, start.Sub(now))
		if r.ID == id {
			actions[0] = refusal
			continue
		}
		actions = append(actions, refusal)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return actions
}

// newRefusal returns a refusal. Its retry-after time has jitter, so that callers that
// are refused at the same time do not retry at the same time.
func (l *Limiter) newRefusal(id, cause string, after time.Duration) Action {
	a := Action{Kind: Refuse, ID: id, Reason: ReasonOverload, Cause: cause}
	switch cause {
	case CauseDuplicate:
		return a
	case CauseDeadline:
		a.Reason = ReasonDeadline
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	a.RetryAfter = after + time.Duration(l.rng.Int64N(int64(after/2)))
	return a
}

func (l *Limiter) account(now time.Time, name string) *accountState {
	a, ok := l.accounts[name]
	if !ok {
		limit := l.accountLimit(name)
		a = &accountState{limit: limit, bucket: rate.NewLimiter(rate.Limit(limit.Rate), limit.Burst)}
		l.accounts[name] = a
	}
	return a
}
