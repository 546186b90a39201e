package limiter

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Offer decides about a new request. The first action is the request's own;
// others give up queued requests that it displaces.
func (l *Limiter) Offer(now time.Time, r Request) []Action {
	if cause, after := l.restrict(now, r); cause != "" {
		return []Action{l.refuse(r.ID, cause, after)}
	}
	if !r.Deadline.IsZero() && now.Add(r.Length).After(r.Deadline) {
		return []Action{l.refuse(r.ID, CauseDeadline, minComeBack)}
	}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(maxWait + l.length(r))
	}
	l.account(now, r.Account).open++
	if len(l.queue) == 0 && len(l.running) < l.capacity {
		l.running[r.ID] = run{r, now}
		return []Action{{Kind: Start, ID: r.ID}}
	}
	at, _ := slices.BinarySearchFunc(l.queue, r, order)
	l.queue = slices.Insert(l.queue, at, r)
	return l.shed(now, r.ID)
}

// Done ends a running request, or withdraws a queued one whose caller left, and
// starts the next ones.
func (l *Limiter) Done(now time.Time, id string) []Action {
	if r, ok := l.running[id]; ok {
		delete(l.running, id)
		l.observe(now.Sub(r.since))
		l.account(now, r.Account).open--
		return l.Tick(now)
	}
	if i := l.position(id); i >= 0 {
		l.account(now, l.queue[i].Account).open--
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	return nil
}

// observe adds a run time to the mean.
func (l *Limiter) observe(took time.Duration) {
	if l.mean == 0 {
		l.mean = took
		return
	}
	l.mean += time.Duration(meanWeight * float64(took-l.mean))
}

// Tick starts queued requests and gives up those that are too late.
func (l *Limiter) Tick(now time.Time) []Action {
	actions := l.shed(now, "")
	for len(l.queue) > 0 && len(l.running) < l.capacity {
		r := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.running[r.ID] = run{r, now}
		actions = append(actions, Action{Kind: Start, ID: r.ID})
	}
	return actions
}

// Resize changes the number of requests that may run at once.
func (l *Limiter) Resize(now time.Time, capacity int) []Action {
	l.capacity = max(1, capacity)
	return l.Tick(now)
}

// SetLimits replaces the limits per account, for example from a new bundle.
func (l *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for name, a := range l.accounts {
		a.limit = l.limit(name)
		a.bucket.SetLimitAt(now, rate.Limit(a.limit.Rate))
		a.bucket.SetBurstAt(now, a.limit.Burst)
	}
}

// restrict returns why the account's limits refuse a request, or "".
func (l *Limiter) restrict(now time.Time, r Request) (cause string, after time.Duration) {
	if _, ok := l.running[r.ID]; ok || l.position(r.ID) >= 0 {
		return CauseDuplicate, 0
	}
	a := l.account(now, r.Account)
	if a.open >= a.limit.Concurrent {
		return CauseConcurrent, max(minComeBack, r.Length/2)
	}
	if a.bucket.AllowN(now, 1) {
		return "", 0
	}
	missing := 1 - a.bucket.TokensAt(now)
	return CauseRate, time.Duration(missing / a.limit.Rate * float64(time.Second))
}

// shed gives up the queued requests that start too late to end in time or
// exceed the queue. The action of the given request comes first, if it was just queued.
func (l *Limiter) shed(now time.Time, id string) []Action {
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
		case start.After(l.latest(r)):
			cause = CauseWorth
		}
		if cause == "" {
			kept = append(kept, r)
			start = start.Add(l.length(r) / time.Duration(l.capacity))
			continue
		}
		l.account(now, r.Account).open--
		refusal := l.refuse(r.ID, cause, start.Sub(now))
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

// refuse adds jitter to the time to come back, so that callers refused together
// do not return together.
func (l *Limiter) refuse(id, cause string, after time.Duration) Action {
	a := Action{Kind: Refuse, ID: id, Reason: ReasonOverload, Cause: cause}
	switch cause {
	case CauseDuplicate:
		return a
	case CauseDeadline:
		a.Reason = ReasonDeadline
	}
	after = min(max(after, minComeBack), maxComeBack)
	a.After = after + time.Duration(l.source.Int64N(int64(after/2)))
	return a
}

func (l *Limiter) account(now time.Time, name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		limit := l.limit(name)
		a = &account{limit: limit, bucket: rate.NewLimiter(rate.Limit(limit.Rate), limit.Burst)}
		l.accounts[name] = a
	}
	return a
}
