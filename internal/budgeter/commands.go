package budgeter

import (
	"encoding/json"
	"math"
	"time"

	"daisylane/internal/journaler"
)

// holderChangeRetryAfter is the retry delay sent while a shard changes its holder.
const holderChangeRetryAfter = 250 * time.Millisecond

// New returns a holder without shards.
func New(cfg Config) *Holder {
	return &Holder{
		cfg:            cfg,
		nextNumber:     1,
		shards:         make(map[int]*shard),
		pendingAppends: make(map[journaler.Token]func(time.Time, uint64)),
	}
}

// Acquire starts to make the instance the holder of a shard in its region.
func (h *Holder) Acquire(number int) []Action {
	if h.shards[number] != nil || h.stopped {
		return nil
	}
	sh := &shard{
		number:        number,
		accounts:      make(map[string]*account),
		charges:       make(map[chargeID]*charge),
		unfoldedKeys:  make(map[budgetKey]int),
		open:          make(map[uint64]Reservation),
		formerHolders: make(map[string]*formerHolder),
	}
	h.shards[number] = sh
	h.requestUpdate(sh)
	return h.flush()
}

// CancelAcquire cancels a pending Acquire of a shard that another instance has acquired
// meanwhile. It has no effect on a shard that is held.
func (h *Holder) CancelAcquire(number int) []Action {
	if sh := h.shards[number]; sh != nil && !sh.held && !sh.handingOver {
		h.dropShard(sh)
	}
	return h.flush()
}

// Reserve requests a reservation. It is answered by Granted or Refused.
func (h *Holder) Reserve(now time.Time, token Token, r Request) []Action {
	sh := h.shards[r.Shard]
	switch {
	case r.Tokens <= 0 || r.Budget == "":
		h.refuse(token, ReasonInvalid, "a reservation needs a budget and a positive number of tokens", 0)
	case sh == nil || !sh.held || sh.handingOver:
		h.refuse(token, ReasonStopping, "this instance does not hold the shard, ask its present holder", holderChangeRetryAfter)
	default:
		a := sh.account(r.Budget)
		a.addDemand(now, r.Tokens)
		a.waiting = append(a.waiting, waitingRequest{token: token, req: r, waitingSince: now})
		h.processWaiting(now, sh, a)
	}
	return h.flush()
}

// AppendsDurable reports that appends were written with the journal record seq.
func (h *Holder) AppendsDurable(now time.Time, seq uint64, tokens []journaler.Token) []Action {
	h.durableSeq = max(h.durableSeq, seq)
	for _, t := range tokens {
		if done := h.pendingAppends[t]; done != nil {
			delete(h.pendingAppends, t)
			done(now, seq)
		}
	}
	return h.flush()
}

// Fold requests an update that folds the journal into the shard object.
func (h *Holder) Fold(number int) []Action {
	if sh := h.shards[number]; sh != nil {
		h.requestUpdate(sh)
	}
	return h.flush()
}

// Return handles the request of another region for unused tokens. It is answered by
// Returned. It returns the larger of the requested tokens and half of the unused ones,
// but never tokens that are reserved, charged or needed by waiting requests here.
func (h *Holder) Return(now time.Time, token Token, number int, budget string, tokens int64) []Action {
	sh := h.shards[number]
	if sh == nil || !sh.held || sh.handingOver || h.platformDown {
		h.emit(Returned{Token: token})
		return h.flush()
	}
	a := sh.account(budget)
	unused := a.limit() - a.used() - a.fittingTotal(a.limit()-a.used())
	amount := min(unused, max(tokens, unused/2))
	if amount <= 0 {
		h.emit(Returned{Token: token})
		return h.flush()
	}
	a.ceiling = a.limit() - amount
	a.trimDue = false
	a.pendingReturns = append(a.pendingReturns, pendingReturn{token, amount})
	h.lowerToCeiling(sh, a)
	return h.flush()
}

// RegionsAnswered reports that all other regions have responded to an AskRegions or
// failed.
func (h *Holder) RegionsAnswered(number int, budget string) []Action {
	sh := h.shards[number]
	if sh == nil {
		return nil
	}
	if a := sh.accounts[budget]; a != nil && a.stage == stageAskRegions {
		a.stage = stageAllotAgain
		h.requestUpdate(sh)
	}
	return h.flush()
}

// HandOver starts the hand-over of a shard at a graceful shutdown. New requests are
// refused, and all tokens that are not reserved are returned to the shard object.
// HandedOver follows when the open reservations are settled.
func (h *Holder) HandOver(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil || !sh.held || sh.handingOver {
		return nil
	}
	sh.handingOver = true
	for _, a := range sh.sortedAccounts() {
		h.refuseWaiting(a, func(waitingRequest) bool { return true }, ReasonStopping, "the instance is stopping", holderChangeRetryAfter)
		a.ceiling, a.trimDue = a.used(), false
		h.lowerToCeiling(sh, a)
	}
	h.requestUpdate(sh)
	return h.flush()
}

// SetPlatformReachable reports that the platform became reachable or unreachable.
// During an outage, requests that do not fit within the mark are refused at once.
func (h *Holder) SetPlatformReachable(now time.Time, up bool) []Action {
	h.platformDown = !up
	for _, sh := range h.sortedShards() {
		if up && sh.updateDue() {
			h.requestUpdate(sh)
		}
		for _, a := range sh.sortedAccounts() {
			h.processWaiting(now, sh, a)
		}
	}
	return h.flush()
}

// JournalLost reports that the journal was sealed, so that the instance no longer holds
// any shard.
func (h *Holder) JournalLost() []Action {
	h.dropAllShards()
	return h.flush()
}

// Tick refuses requests that have waited too long, raises low marks, and requests
// the updates that are due.
func (h *Holder) Tick(now time.Time) []Action {
	for _, sh := range h.sortedShards() {
		for _, a := range sh.sortedAccounts() {
			reason, text := ReasonPlatform, "the platform does not answer in time"
			if a.stage == stageAskRegions {
				reason, text = ReasonBudget, "the other regions return no tokens in time"
			}
			late := func(w waitingRequest) bool { return now.Sub(w.waitingSince) >= maxWait }
			h.refuseWaiting(a, late, reason, text, outageRetryAfter)
			h.processWaiting(now, sh, a)
		}
		if !h.platformDown && sh.updateDue() {
			h.requestUpdate(sh)
		}
	}
	return h.flush()
}

func (h *Holder) requestUpdate(sh *shard) {
	if sh.updating {
		sh.updateAgain = true
		return
	}
	sh.updating = true
	h.emit(Update{Shard: sh.number})
}

func (h *Holder) appendEntry(deferrable bool, e journaler.Entry, done func(time.Time, uint64)) {
	h.lastToken++
	h.pendingAppends[h.lastToken] = done
	h.emit(Append{Token: h.lastToken, Entries: []journaler.Entry{e}, Deferrable: deferrable})
}

// dropAllShards drops all shards permanently. If the instance held a shard again, its
// folds would lack the open reservations from before, which are dropped here.
func (h *Holder) dropAllShards() {
	h.stopped = true
	for _, sh := range h.sortedShards() {
		h.dropShard(sh)
	}
}

// dropShard drops a shard that another instance has taken over.
func (h *Holder) dropShard(sh *shard) {
	delete(h.shards, sh.number)
	for _, a := range sh.sortedAccounts() {
		h.refuseWaiting(a, func(waitingRequest) bool { return true }, ReasonStopping, "another instance holds the shard", holderChangeRetryAfter)
		for _, r := range a.pendingReturns {
			h.emit(Returned{Token: r.token})
		}
	}
	for _, c := range sh.sortedCharges() {
		for _, t := range c.waiting {
			h.refuse(t, ReasonStopping, "another instance holds the shard", holderChangeRetryAfter)
		}
		c.waiting = nil
	}
}

func (h *Holder) emit(a Action) { h.emitted = append(h.emitted, a) }

func (h *Holder) flush() []Action {
	actions := h.emitted
	h.emitted = nil
	return actions
}

func (sh *shard) account(budget string) *account {
	a := sh.accounts[budget]
	if a == nil {
		a = &account{budget: budget, ceiling: noCeiling, pendingMark: -1}
		sh.accounts[budget] = a
	}
	return a
}

// addDemand decays the demand to the current time and adds tokens.
func (a *account) addDemand(now time.Time, tokens int64) {
	if !a.demandAt.IsZero() {
		a.demand *= math.Exp2(-float64(now.Sub(a.demandAt)) / float64(demandHalfLife))
	}
	a.demandAt = now
	a.demand += float64(tokens)
}

// encodeEntry returns a journal entry. Data consists of strings and integers only, so
// its encoding cannot fail.
func encodeEntry(kind string, number int, data any) journaler.Entry {
	raw, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	return journaler.Entry{Kind: kind, Shard: number, Data: raw}
}
