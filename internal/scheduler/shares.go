package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of shares. With these values accounts without a surge gain the most in
// TestSurgeOfOneAccount of package chooser without a loss for all accounts together.
const (
	// Time over which the work of an account is summed up.
	shareTime = 10 * time.Second
	// Time for which an account may save up its share, or be ahead of it.
	shareBurst = 6 * time.Second
	// Interval between calculations of the level.
	levelInterval = 100 * time.Millisecond
	// Share of the work that may be refused before shares matter. A few requests are refused
	// for a deadline that they cannot meet.
	tolerableRefusals = 0.05
	// Work relative to the mean of the accounts below which an account is not limited. Equal
	// accounts differ by as much by chance.
	usualExcess = 1.3
	// Limit of the wait of an account beyond its share, relative to that of the others. With
	// less, the others gain more, but targets have gaps and all accounts together lose.
	excessWaitShare = 0.7
	// Accounts with less than this share of the work of all are forgotten.
	forgottenShare = 1e-3
)

// shares divides the work that targets do for requests of one priority between client
// accounts. Each account may use up to a level, which is the same for all; what some do not
// need raises the level of the others (max-min fairness). An account that asks for less is
// never limited, one that asks for more gets the level. Work is time of a target, in seconds.
//
// The level follows the work that is admitted in both directions, as accounts beyond their
// share are admitted wherever the wait is short.
type shares struct {
	uses       map[string]use
	level      float64 // work of an account within shareTime, +Inf: no limit
	offered    float64 // work of all accounts
	calculated time.Time
}

// use is the work of an account: exponentially decaying sums of what was offered and
// admitted, and what it may still use of its share, which grows with time.
type use struct {
	offered, admitted, credit float64
	updated                   time.Time
}

// offer records a request that arrives.
func (s *shares) offer(now time.Time, account string, work float64) {
	if s.uses == nil {
		s.uses, s.level = make(map[string]use), math.Inf(1)
	}
	// Before the request counts as offered: it is not refused yet.
	if now.Sub(s.calculated) >= levelInterval {
		s.calculate(now)
	}
	u := s.use(now, account)
	u.offered += work
	s.offered += work
	s.uses[account] = u
}

// admit records that a request is admitted.
func (s *shares) admit(now time.Time, account string, work float64) {
	u := s.use(now, account)
	u.admitted += work
	if s.limited() {
		u.credit = max(u.credit-work, -s.maxCredit())
	}
	s.uses[account] = u
}

// exceeded reports whether an account has used up its share.
func (s *shares) exceeded(now time.Time, account string) bool {
	u := s.use(now, account)
	return s.limited() && u.credit < 0 && u.offered*float64(len(s.uses)) > usualExcess*s.offered
}

func (s *shares) limited() bool { return !math.IsInf(s.level, 1) }

func (s *shares) maxCredit() float64 { return s.level * shareBurst.Seconds() / shareTime.Seconds() }

// use returns the work of an account as of the given time.
func (s *shares) use(now time.Time, account string) use {
	u := s.uses[account]
	since := now.Sub(u.updated).Seconds() / shareTime.Seconds()
	f := math.Exp(-since)
	credit := 0.0
	if s.limited() {
		credit = min(u.credit+s.level*since, s.maxCredit())
	}
	return use{u.offered * f, u.admitted * f, credit, now}
}

// calculate sets the level at which the accounts, each up to what it asks for, use together
// what was admitted lately.
func (s *shares) calculate(now time.Time) {
	left := 0.0
	s.offered = 0
	for account := range s.uses {
		u := s.use(now, account)
		s.uses[account] = u
		s.offered += u.offered
		left += u.admitted
	}
	s.calculated, s.level = now, math.Inf(1)
	maps.DeleteFunc(s.uses, func(_ string, u use) bool { return u.offered < forgottenShare*s.offered })
	if left > (1-tolerableRefusals)*s.offered {
		return
	}
	offers := make([]float64, 0, len(s.uses))
	for _, u := range s.uses {
		offers = append(offers, u.offered)
	}
	slices.Sort(offers)
	for i, v := range offers {
		if level := left / float64(len(offers)-i); v > level {
			s.level = level
			return
		}
		left -= v
	}
}
