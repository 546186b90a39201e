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

// Next returns when the first queued request becomes too late, zero if none
// waits. A Tick at that time gives it up.
func (l *Limiter) Next() time.Time {
	var next time.Time
	for _, r := range l.queue {
		if late := l.latest(r).Add(1); next.IsZero() || late.Before(next) {
			next = late
		}
	}
	return next
}

// latest returns the last time at which a queued request starts. Runs vary, and
// one that is cut off at its deadline has used its slot for nothing.
func (l *Limiter) latest(r Request) time.Time {
	if r.Length == 0 {
		return r.Deadline.Add(-l.mean)
	}
	return r.Deadline.Add(-time.Duration(lengthMargin * float64(r.Length)))
}

// length returns the expected run time of a request.
func (l *Limiter) length(r Request) time.Duration { return cmp.Or(r.Length, l.mean) }

// order compares by worth, then deadline. Equal requests keep their order of
// arrival.
func order(queued, r Request) int {
	c := cmp.Or(cmp.Compare(r.Worth, queued.Worth), queued.Deadline.Compare(r.Deadline))
	return cmp.Or(c, -1)
}

func (l *Limiter) position(id string) int {
	return slices.IndexFunc(l.queue, func(r Request) bool { return r.ID == id })
}

func (l *Limiter) limit(name string) Limit {
	if limit, ok := l.limits[name]; ok {
		return limit
	}
	return l.fallback
}
