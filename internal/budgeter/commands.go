package budgeter

import (
	"encoding/json"
	"math"
	"time"

	"daisylane/internal/journaler"
)

// shortBack is the time to come back while a shard changes its holder.
const shortBack = 250 * time.Millisecond

// New returns a holder without shards.
func New(cfg Config) *Holder {
	if cfg.Wait == 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Back == 0 {
		cfg.Back = defaultBack
	}
	return &Holder{
		cfg:     cfg,
		next:    1,
		shards:  make(map[int]*shard),
		appends: make(map[journaler.Token]func(time.Time, uint64)),
	}
}

// Hold starts to take the hold of a shard in the instance's region.
func (h *Holder) Hold(number int) []Action {
	if h.shards[number] != nil || h.stopped {
		return nil
	}
	sh := &shard{
		number:   number,
		accounts: make(map[string]*account),
		charges:  make(map[chargeID]*charge),
		keys:     make(map[budgetKey]int),
		open:     make(map[uint64]Reservation),
		former:   make(map[string]*former),
	}
	h.shards[number] = sh
	h.update(sh)
	return h.flush()
}

// Abandon gives up the pending hold of a shard that another instance has taken
// since. It has no effect on a shard that is held.
func (h *Holder) Abandon(number int) []Action {
	if sh := h.shards[number]; sh != nil && !sh.held && !sh.leaving {
		h.lose(sh)
	}
	return h.flush()
}

// Reserve asks for tokens. It is answered by Granted or Refused.
func (h *Holder) Reserve(now time.Time, token Token, r Request) []Action {
	sh := h.shards[r.Shard]
	switch {
	case r.Tokens <= 0 || r.Budget == "":
		h.refuse(token, ReasonBody, "a reservation needs a budget and a positive number of tokens", 0)
	case sh == nil || !sh.held || sh.leaving:
		h.refuse(token, ReasonStopping, "this instance does not hold the shard, ask its present holder", shortBack)
	default:
		a := sh.account(r.Budget)
		a.addDemand(now, r.Tokens)
		a.waiting = append(a.waiting, waiter{token: token, req: r, since: now})
		h.pursue(now, sh, a)
	}
	return h.flush()
}

// Durable reports appends that are safe in the record with the given number.
func (h *Holder) Durable(now time.Time, seq uint64, tokens []journaler.Token) []Action {
	h.seq = max(h.seq, seq)
	for _, t := range tokens {
		if done := h.appends[t]; done != nil {
			delete(h.appends, t)
			done(now, seq)
		}
	}
	return h.flush()
}

// Fold asks for an update that folds the journal into the shard object.
func (h *Holder) Fold(number int) []Action {
	if sh := h.shards[number]; sh != nil {
		h.update(sh)
	}
	return h.flush()
}

// Return is the request of another region for unused tokens, answered by
// Returned. Up to half of what is unused goes back, or more if more is asked for.
func (h *Holder) Return(now time.Time, token Token, number int, budget string, tokens int64) []Action {
	sh := h.shards[number]
	if sh == nil || !sh.held || sh.leaving || h.down {
		h.emit(Returned{Token: token})
		return h.flush()
	}
	a := sh.account(budget)
	unused := a.limit() - a.used() - a.fitting(a.limit()-a.used())
	amount := min(unused, max(tokens, unused/2))
	if amount <= 0 {
		h.emit(Returned{Token: token})
		return h.flush()
	}
	a.ceiling = a.limit() - amount
	a.trim = false
	a.gives = append(a.gives, give{token, amount})
	h.lower(sh, a)
	return h.flush()
}

// Asked reports that all other regions have answered an Ask or failed to.
func (h *Holder) Asked(number int, budget string) []Action {
	sh := h.shards[number]
	if sh == nil {
		return nil
	}
	if a := sh.accounts[budget]; a != nil && a.stage == stageAsk {
		a.stage = stageTakeAgain
		h.update(sh)
	}
	return h.flush()
}

// HandOver starts the planned hand-over of a shard. New requests are refused,
// everything that is not reserved goes back, and Left follows when the open
// reservations are settled.
func (h *Holder) HandOver(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil || !sh.held || sh.leaving {
		return nil
	}
	sh.leaving = true
	for _, a := range sh.sorted() {
		h.refuseWaiting(a, func(waiter) bool { return true }, ReasonStopping, "the instance is stopping", shortBack)
		a.ceiling, a.trim = a.used(), false
		h.lower(sh, a)
	}
	h.update(sh)
	return h.flush()
}

// Platform reports that the platform became unreachable or reachable. During an
// outage requests that do not fit the mark are refused at once.
func (h *Holder) Platform(now time.Time, up bool) []Action {
	h.down = !up
	for _, sh := range h.sorted() {
		if up && sh.due() {
			h.update(sh)
		}
		for _, a := range sh.sorted() {
			h.pursue(now, sh, a)
		}
	}
	return h.flush()
}

// Stop reports that the journal is sealed. All shards are lost.
func (h *Holder) Stop() []Action {
	h.stop()
	return h.flush()
}

// Tick refuses requests whose step takes too long, and marks and takes ahead.
func (h *Holder) Tick(now time.Time) []Action {
	for _, sh := range h.sorted() {
		for _, a := range sh.sorted() {
			reason, text := ReasonPlatform, "the platform does not answer in time"
			if a.stage == stageAsk {
				reason, text = ReasonBudget, "the other regions return no tokens in time"
			}
			late := func(w waiter) bool { return now.Sub(w.since) >= h.cfg.Wait }
			h.refuseWaiting(a, late, reason, text, h.cfg.Back)
			h.pursue(now, sh, a)
		}
		if !h.down && sh.due() {
			h.update(sh)
		}
	}
	return h.flush()
}

func (h *Holder) update(sh *shard) {
	if sh.updating {
		sh.again = true
		return
	}
	sh.updating = true
	h.emit(Update{Shard: sh.number})
}

func (h *Holder) append(lazy bool, e journaler.Entry, done func(time.Time, uint64)) {
	h.token++
	h.appends[h.token] = done
	h.emit(Append{Token: h.token, Entries: []journaler.Entry{e}, Lazy: lazy})
}

// stop ends all holds for good. A second hold would describe the journal without
// the reservations of the first one, which are forgotten here.
func (h *Holder) stop() {
	h.stopped = true
	for _, sh := range h.sorted() {
		h.lose(sh)
	}
}

// lose ends the hold of a shard that another instance has taken over.
func (h *Holder) lose(sh *shard) {
	delete(h.shards, sh.number)
	for _, a := range sh.sorted() {
		h.refuseWaiting(a, func(waiter) bool { return true }, ReasonStopping, "another instance holds the shard", shortBack)
		for _, g := range a.gives {
			h.emit(Returned{Token: g.token})
		}
	}
	for _, c := range sh.ordered() {
		for _, t := range c.waiting {
			h.refuse(t, ReasonStopping, "another instance holds the shard", shortBack)
		}
		c.waiting = nil
	}
}

func (h *Holder) emit(a Action) { h.out = append(h.out, a) }

func (h *Holder) flush() []Action {
	out := h.out
	h.out = nil
	return out
}

func (sh *shard) account(budget string) *account {
	a := sh.accounts[budget]
	if a == nil {
		a = &account{budget: budget, ceiling: noCeiling, marking: -1}
		sh.accounts[budget] = a
	}
	return a
}

func (a *account) addDemand(now time.Time, tokens int64) {
	if !a.at.IsZero() {
		a.demand *= math.Exp2(-float64(now.Sub(a.at)) / float64(demandHalfLife))
	}
	a.at = now
	a.demand += float64(tokens)
}

// entry encodes data that consists of strings and integers, which cannot fail.
func entry(kind string, number int, data any) journaler.Entry {
	raw, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	return journaler.Entry{Kind: kind, Shard: number, Data: raw}
}
