package quarantiner

import (
	"maps"
	"slices"
	"time"
)

const (
	survivalTime = SurvivalTime
	// suspicionDelay is how long after a failed attempt its target may be found to have
	// ended. The registration of a silent one lapses within some seconds.
	suspicionDelay = 15 * time.Second
	// maxFailures limits the failed attempts that are remembered.
	maxFailures = 4096
	// maxAnswers limits the answers whose targets have to outlive them. Those of closed
	// connections wait for the store, which may be silent for some seconds.
	maxAnswers = 16384
)

// attempt is an attempt under which a target may have ended, or may still end.
type attempt struct {
	Report
	at      time.Time
	knownAt time.Time // from when an end is known to the store, if the answer ended with its connection
}

// Attempts remembers attempts until it is known whether their target has ended: the end of
// a connection does not tell, and one that is back at once refuses none. It is not safe for
// concurrent use.
type Attempts struct {
	failures []attempt // oldest first, not answered whole
	answers  []attempt // oldest first, answered whole
	ended    map[Target]time.Time
	inTouch  time.Time // until when the ends of targets are known, zero: nobody says
}

// NewAttempts returns an empty memory.
func NewAttempts() *Attempts { return &Attempts{ended: make(map[Target]time.Time)} }

// AddFailure remembers an attempt that was not answered whole. It reports whether its
// target is known to have ended; then the attempt is not remembered.
func (a *Attempts) AddFailure(now time.Time, r Report) (ended bool) {
	if a.endedAfter(r.target(), r.SentAt) {
		return true
	}
	old := slices.IndexFunc(a.failures, func(f attempt) bool { return now.Sub(f.at) <= suspicionDelay })
	if old < 0 {
		old = len(a.failures)
	}
	a.failures = append(a.failures[old:], attempt{Report: r, at: now})
	a.failures = a.failures[max(0, len(a.failures)-maxFailures):]
	return false
}

// AddAnswer remembers a whole answer. It reports whether
// its target is known to have ended; then that is the end of the attempt: the end of a
// connection may look like the end of an answer. A target that answers a request which was
// sent after an attempt was abandoned did not end under that attempt, it was slow.
func (a *Attempts) AddAnswer(now time.Time, r Report) (ended bool) {
	if a.endedAfter(r.target(), r.SentAt) {
		return true
	}
	a.failures = slices.DeleteFunc(a.failures, func(f attempt) bool {
		return f.Abandoned && f.target() == r.target() && r.SentAt.After(f.at)
	})
	if len(a.answers) < maxAnswers { // the older ones are due sooner
		a.answers = append(a.answers, attempt{r, now, now.Add(survivalTime)})
	}
	return false
}

// RecordInTouch records until when the ends of targets are known.
func (a *Attempts) RecordInTouch(at time.Time) { a.inTouch = at }

// outlived reports whether the target has outlived an answer. The end of a connection may be
// the end of its target, which may run again at once. Then only its new registration shows
// that, which may come late.
func (a *Attempts) outlived(now time.Time, w attempt) bool {
	return now.Sub(w.at) >= survivalTime && !a.isUncertain(w)
}

// RecordAlive records that the connections to a watched target were open at a time. Until then
// its answers prove nothing: on a slow machine the end of the target may be found late, and the
// store lists a target that has ended until its registration lapses.
func (a *Attempts) RecordAlive(t Target, at time.Time) {
	for i, w := range a.answers {
		if w.target() == t && at.Sub(w.at) >= survivalTime {
			a.answers[i].Watched = false
		}
	}
}

// RecordClosed records that a watched target has closed connections and still accepts others.
// It may have ended and run again, so its answers count like those that ended with theirs, and
// only when a registration from before that time would be known.
func (a *Attempts) RecordClosed(t Target, at time.Time) {
	for i, w := range a.answers {
		if w.target() == t && w.Watched {
			a.answers[i].Watched, a.answers[i].Closed, a.answers[i].knownAt = false, true, at.Add(survivalTime)
		}
	}
}

// isUncertain reports whether an end of the target right after an answer may not be known yet.
func (a *Attempts) isUncertain(w attempt) bool {
	return w.Watched || w.Closed && !a.inTouch.IsZero() && a.inTouch.Before(w.knownAt)
}

// endedAfter reports whether a target is known to have ended after a request was sent to it.
// One that gets a request later runs again, even if its registration doesn't tell.
func (a *Attempts) endedAfter(t Target, sentAt time.Time) bool {
	at, ended := a.ended[t]
	if ended && sentAt.After(at) {
		delete(a.ended, t)
		return false
	}
	return ended
}

// End records that a target has ended. It returns the attempts that it may have ended under.
// Answers that it has outlived are left to Survived. An older one for which that is not known
// counts neither way, as the end may be known late. Revoked are the answers that the target has
// ended with, as far as is known: the recent ones, and older ones after which it answered no
// request that was sent later.
func (a *Attempts) End(now time.Time, t Target) (under, revoked []Report) {
	maps.DeleteFunc(a.ended, func(_ Target, at time.Time) bool { return now.Sub(at) > suspicionDelay })
	if _, known := a.ended[t]; known {
		return nil, nil
	}
	a.ended[t] = now
	under = a.takeFailures(now, t)
	var lastSent time.Time
	for _, w := range a.answers {
		if w.target() == t && w.SentAt.After(lastSent) {
			lastSent = w.SentAt
		}
	}
	a.answers = slices.DeleteFunc(a.answers, func(w attempt) bool {
		if w.target() != t || a.outlived(now, w) {
			return false
		}
		if now.Sub(w.at) < survivalTime || !lastSent.After(w.at) {
			revoked = append(revoked, w.Report)
		}
		if now.Sub(w.at) < survivalTime {
			under = append(under, w.Report)
		}
		return true
	})
	return under, revoked
}

// Lapse returns the failed attempts at a target whose registration has lapsed. It may have
// ended under them, or serve on. Those that were abandoned do not count: a slow machine
// answers late, and renews the registration late, without any end.
func (a *Attempts) Lapse(now time.Time, t Target) []Report {
	return slices.DeleteFunc(a.takeFailures(now, t), func(r Report) bool { return r.Abandoned })
}

// takeFailures returns the recent failed attempts at a target and forgets them.
func (a *Attempts) takeFailures(now time.Time, t Target) []Report {
	var under []Report
	a.failures = slices.DeleteFunc(a.failures, func(f attempt) bool {
		if f.target() == t && now.Sub(f.at) <= suspicionDelay {
			under = append(under, f.Report)
		}
		return f.target() == t
	})
	return under
}

// Survived returns the answers that their targets have outlived.
func (a *Attempts) Survived(now time.Time) []Report {
	var survived []Report
	a.answers = slices.DeleteFunc(a.answers, func(w attempt) bool {
		outlived := a.outlived(now, w)
		if outlived {
			survived = append(survived, w.Report)
		}
		// The watch of a target that was replaced at its address does not tell of the old one.
		return outlived || w.Watched && now.Sub(w.at) > suspicionDelay
	})
	return survived
}

// NextSurvival returns when the next answer is due for [Attempts.Survived]. It reports
// false if there is none, or all wait for RecordInTouch.
func (a *Attempts) NextSurvival() (time.Time, bool) {
	for _, w := range a.answers {
		if !a.isUncertain(w) {
			return w.at.Add(survivalTime), true
		}
	}
	return time.Time{}, false
}
