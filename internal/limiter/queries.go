package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Running returns the number of running requests.
func (l *Limiter) Running() int { return len(l.running) }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int { return len(l.queue) }

// NextExpiry returns the earliest time at which a queued request can no longer start in
// time, zero if the queue is empty. A Tick at that time refuses the request.
func (l *Limiter) NextExpiry() time.Time {
	var next time.Time
	for _, r := range l.queue {
		if tooLate := l.latestStart(r).Add(1); next.IsZero() || tooLate.Before(next) {
			next = tooLate
		}
	}
	return next
}

// latestStart returns the latest time at which a queued request may start. An expected
// run time gets a margin, because run times vary and a request that is cut off at its
// deadline has wasted its slot.
func (l *Limiter) latestStart(r Request) time.Time {
	if r.RunTime == 0 {
		return r.Deadline.Add(-l.meanRunTime)
	}
	return r.Deadline.Add(-time.Duration(runTimeMargin * float64(r.RunTime)))
}

func (l *Limiter) expectedRunTime(r Request) time.Duration { return cmp.Or(r.RunTime, l.meanRunTime) }

// compareRequests orders by highest worth and then earliest deadline. Equal requests
// stay in order of arrival.
func compareRequests(queued, r Request) int {
	c := cmp.Or(cmp.Compare(r.Worth, queued.Worth), queued.Deadline.Compare(r.Deadline))
	return cmp.Or(c, -1)
}

func (l *Limiter) queueIndex(id string) int {
	return slices.IndexFunc(l.queue, func(r Request) bool { return r.ID == id })
}

func (l *Limiter) accountLimit(name string) Limit {
	if limit, ok := l.limits[name]; ok {
		return limit
	}
	return l.defaultLimit
}
