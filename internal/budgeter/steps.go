package budgeter

import (
	"slices"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// processWaiting grants the waiting requests that fit and starts the next step for the
// others. During a platform outage no step is possible, so the others are refused.
func (h *Holder) processWaiting(now time.Time, sh *shard, a *account) {
	if !sh.held || sh.handingOver {
		h.lowerToCeiling(sh, a)
		return
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
		if w.req.Tokens > a.available() {
			return false
		}
		r := Reservation{
			Holder: h.cfg.Instance, Region: h.cfg.Region, Shard: sh.number,
			Number: h.nextNumber, Budget: a.budget, Tokens: w.req.Tokens,
		}
		h.nextNumber++
		sh.open[r.Number] = r
		a.reserved += r.Tokens
		h.emit(Granted{Token: w.token, Reservation: r})
		return true
	})
	if h.platformDown {
		all := func(waitingRequest) bool { return true }
		h.refuseWaiting(a, all, ReasonPlatform, "the platform is not reachable", outageRetryAfter)
		return
	}
	h.lowerToCeiling(sh, a)
	fits := slices.ContainsFunc(a.waiting, func(w waitingRequest) bool { return w.req.Tokens <= a.limit()-a.used() })
	h.raiseMark(sh, a, fits)
	if len(a.waiting) == 0 {
		a.stage = stageNone
		return
	}
	if !fits && a.stage == stageNone {
		a.stage = stageAllot
		h.requestUpdate(sh)
	}
}

// advanceStage continues after an update that allotted free tokens of the shard object;
// freeBefore is the number that was free before. Smaller requests can use up the
// tokens that the other regions return, so a request is refused only after a round
// in which the regions returned nothing.
func (h *Holder) advanceStage(sh *shard, a *account, freeBefore int64) {
	freeAfter := sh.object.Budgets[a.budget].Free()
	exceedsLimit := func(w waitingRequest) bool { return w.req.Tokens > a.limit()-a.used() }
	switch {
	case a.stage == stageAllot && h.cfg.Regions > 1 && slices.ContainsFunc(a.waiting, exceedsLimit):
		a.stage, a.freeWhenAsked = stageAskRegions, freeAfter
		for i := range a.waiting {
			a.waiting[i].regionsAsked = true
		}
		h.emit(AskRegions{Shard: sh.number, Budget: a.budget, Tokens: max(a.waitingTotal()+a.used()-a.limit(), 1)})
	case a.stage == stageAllot || a.stage == stageAllotAgain:
		unmet := func(w waitingRequest) bool { return exceedsLimit(w) && (w.regionsAsked || h.cfg.Regions <= 1) }
		a.stage = stageNone
		if freeBefore > a.freeWhenAsked && h.cfg.Regions > 1 && slices.ContainsFunc(a.waiting, unmet) {
			a.stage = stageAllot
			h.requestUpdate(sh)
			return
		}
		h.refuseWaiting(a, unmet, ReasonBudget, "the budget has not enough tokens, top it up", 0)
	}
}

// raiseMark writes a higher mark if requests wait for it or too few tokens are marked.
func (h *Holder) raiseMark(sh *shard, a *account, needed bool) {
	unspent := a.limit() - a.used()
	target := int64(h.cfg.MarkAhead * float64(unspent))
	ahead := a.durableMark - a.used()
	if !needed && ahead*100 > target*raiseMarkPercent {
		return
	}
	mark := a.used() + min(max(target, a.waitingTotal()), unspent)
	if a.pendingMark < 0 && mark > a.durableMark {
		h.writeMark(sh, a, mark)
	}
}

// lowerToCeiling writes a mark within the ceiling if needed, then requests an update
// that trims the grant.
func (h *Holder) lowerToCeiling(sh *shard, a *account) {
	if a.ceiling == noCeiling || a.trimDue || a.pendingMark >= 0 {
		return
	}
	if a.durableMark > a.ceiling {
		h.writeMark(sh, a, a.ceiling)
		return
	}
	a.trimDue = true
	h.requestUpdate(sh)
}

// returnExcess returns tokens above the region's target allotment, so that the
// allotments already match the demand when a region loses the platform.
func (h *Holder) returnExcess(sh *shard, a *account) {
	if sh.handingOver || a.ceiling != noCeiling || len(a.waiting) > 0 || h.cfg.Regions <= 1 {
		return
	}
	target := allotter.TargetAllotment(sh.object.Budgets[a.budget], h.cfg.Region, h.cfg.Regions)
	if have := a.allotted - a.used(); have*100 > target*returnPercent {
		a.ceiling = a.used() + target
	}
}

// writeMark appends a mark to the journal. At most one mark per account is in flight,
// so the last one in the journal is the one that reservations are checked against.
func (h *Holder) writeMark(sh *shard, a *account, value int64) {
	a.pendingMark = value
	h.appendEntry(false, encodeEntry(journaler.KindMark, sh.number, Mark{Budget: a.budget, Mark: value}), func(now time.Time, _ uint64) {
		a.durableMark, a.pendingMark = value, -1
		if h.shards[sh.number] == sh {
			h.processWaiting(now, sh, a)
		}
	})
}

func (h *Holder) refuse(token Token, reason Reason, text string, retryAfter time.Duration) {
	h.emit(Refused{Token: token, Err: &RefusedError{Reason: reason, Text: text, RetryAfter: retryAfter}})
}

func (h *Holder) refuseWaiting(a *account, match func(waitingRequest) bool, reason Reason, text string, retryAfter time.Duration) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w waitingRequest) bool {
		if match(w) {
			h.refuse(w.token, reason, text, retryAfter)
			return true
		}
		return false
	})
}
