package budgeter

import (
	"slices"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// pursue grants the waiting requests that fit and starts the next step for the
// others. Without a step that can help, they are refused.
func (h *Holder) pursue(now time.Time, sh *shard, a *account) {
	if !sh.held || sh.leaving {
		h.lower(sh, a)
		return
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool {
		if w.req.Tokens > a.room() {
			return false
		}
		r := Reservation{
			Holder: h.cfg.Instance, Region: h.cfg.Region, Shard: sh.number,
			Number: h.next, Budget: a.budget, Tokens: w.req.Tokens,
		}
		h.next++
		sh.open[r.Number] = r
		a.reserved += r.Tokens
		h.emit(Granted{Token: w.token, Reservation: r})
		return true
	})
	if h.down {
		all := func(waiter) bool { return true }
		h.refuseWaiting(a, all, ReasonPlatform, "the platform is not reachable", h.cfg.Back)
		return
	}
	h.lower(sh, a)
	fits := slices.ContainsFunc(a.waiting, func(w waiter) bool { return w.req.Tokens <= a.limit()-a.used() })
	h.raise(sh, a, fits)
	if len(a.waiting) == 0 {
		a.stage = stageNone
		return
	}
	if !fits && a.stage == stageNone {
		a.stage = stageTake
		h.update(sh)
	}
}

// advance moves on after an update that took what the shard object had; free is
// what it had before. Tokens that the other regions return can be used up by
// smaller requests meanwhile, so that a request is refused only after a round that
// brought nothing.
func (h *Holder) advance(sh *shard, a *account, free int64) {
	left := sh.object.Budgets[a.budget].Free()
	short := func(w waiter) bool { return w.req.Tokens > a.limit()-a.used() }
	switch {
	case a.stage == stageTake && h.cfg.Regions > 1 && slices.ContainsFunc(a.waiting, short):
		a.stage, a.left = stageAsk, left
		for i := range a.waiting {
			a.waiting[i].asked = true
		}
		h.emit(Ask{Shard: sh.number, Budget: a.budget, Tokens: max(a.wanted()+a.used()-a.limit(), 1)})
	case a.stage == stageTake || a.stage == stageTakeAgain:
		lost := func(w waiter) bool { return short(w) && (w.asked || h.cfg.Regions <= 1) }
		a.stage = stageNone
		if free > a.left && h.cfg.Regions > 1 && slices.ContainsFunc(a.waiting, lost) {
			a.stage = stageTake
			h.update(sh)
			return
		}
		h.refuseWaiting(a, lost, ReasonBudget, "the budget has not enough tokens, top it up", 0)
	}
}

// raise writes a higher mark if requests wait for it or the rest of the mark is low.
func (h *Holder) raise(sh *shard, a *account, wanted bool) {
	unspent := a.limit() - a.used()
	target := int64(h.cfg.Ahead * float64(unspent))
	ahead := a.durable - a.used()
	if !wanted && ahead*100 > target*markPercent {
		return
	}
	mark := a.used() + min(max(target, a.wanted()), unspent)
	if a.marking < 0 && mark > a.durable {
		h.mark(sh, a, mark)
	}
}

// lower brings the mark down to the ceiling and then has the grant trimmed.
func (h *Holder) lower(sh *shard, a *account) {
	if a.ceiling == noCeiling || a.trim || a.marking >= 0 {
		return
	}
	if a.durable > a.ceiling {
		h.mark(sh, a, a.ceiling)
		return
	}
	a.trim = true
	h.update(sh)
}

// restore gives back what exceeds the region's target, so that allotments follow
// the demand before a region is cut off.
func (h *Holder) restore(sh *shard, a *account) {
	if sh.leaving || a.ceiling != noCeiling || len(a.waiting) > 0 || h.cfg.Regions <= 1 {
		return
	}
	target := allotter.Target(sh.object.Budgets[a.budget], h.cfg.Region, h.cfg.Regions)
	if have := a.allotted - a.used(); have*100 > target*keepPercent {
		a.ceiling = a.used() + target
	}
}

// mark writes a mark. At most one is in flight per account, so that the last one
// in the journal is the one that admission relies on.
func (h *Holder) mark(sh *shard, a *account, value int64) {
	a.marking = value
	h.append(false, entry(journaler.KindMark, sh.number, Mark{Budget: a.budget, Mark: value}), func(now time.Time, _ uint64) {
		a.durable, a.marking = value, -1
		if h.shards[sh.number] == sh {
			h.pursue(now, sh, a)
		}
	})
}

func (h *Holder) refuse(token Token, reason Reason, text string, after time.Duration) {
	h.emit(Refused{Token: token, Err: &RefusedError{Reason: reason, Text: text, After: after}})
}

func (h *Holder) refuseWaiting(a *account, which func(waiter) bool, reason Reason, text string, after time.Duration) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool {
		if which(w) {
			h.refuse(w.token, reason, text, after)
			return true
		}
		return false
	})
}
