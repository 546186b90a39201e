package budgeter

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"daisylane/internal/allotter"
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

// Settle charges the actual use of a reservation. It is answered by Settled when
// the charge is durable, or by Refused if the instance does not hold the shard.
func (h *Holder) Settle(now time.Time, token Token, c Charge) []Action {
	r := c.Reservation
	sh := h.shards[r.Shard]
	if sh == nil || !sh.held || sh.leaving && r.Holder != h.cfg.Instance {
		h.refuse(token, ReasonStopping, "this instance does not hold the shard, ask its present holder", shortBack)
		return h.flush()
	}
	if known := sh.unfolded(r.Holder, r.Number); known != nil {
		if known.seq > 0 {
			h.emit(Settled{Token: token, Duplicate: true})
		} else {
			known.waiting = append(known.waiting, token)
		}
		return h.flush()
	}
	if h.settled(sh, r) {
		h.emit(Settled{Token: token, Duplicate: true})
		return h.flush()
	}
	// A holder that is not replayed can still fold by itself and would overwrite
	// what this instance folds about its reservations.
	if f := sh.former[r.Holder]; r.Holder != h.cfg.Instance && (f == nil || !f.stored) {
		h.refuse(token, ReasonStopping, "the reservation's holder is not taken over yet", shortBack)
		return h.flush()
	}
	tokens := min(max(c.Tokens, 0), r.Tokens)
	if r.Holder == h.cfg.Instance {
		a, own := sh.account(r.Budget), sh.open[r.Number]
		tokens = min(tokens, own.Tokens)
		delete(sh.open, r.Number)
		a.reserved -= own.Tokens
	} else if f := sh.former[r.Holder]; f != nil {
		delete(f.open, r.Number)
		f.done[r.Number] = true
	}
	ch := &charge{waiting: []Token{token}}
	ch.Charge = allotter.Charge{Budget: r.Budget, Holder: r.Holder, Number: r.Number, Tokens: tokens, Key: c.Key}
	if sh.charged(r.Budget, c.Key, now) {
		ch.Tokens, ch.Key, ch.duplicate = 0, "", true
	}
	if r.Holder == h.cfg.Instance {
		sh.account(r.Budget).charged += ch.Tokens
	}
	sh.addCharge(ch)
	// The release of a former holder's tokens and the hand-over of the shard wait
	// for the charge.
	lazy := r.Holder == h.cfg.Instance && !sh.leaving
	h.append(lazy, entry(journaler.KindCharge, sh.number, ch.Charge), func(now time.Time, seq uint64) {
		ch.seq = seq
		for i, t := range ch.waiting {
			h.emit(Settled{Token: t, Duplicate: ch.duplicate || i > 0})
		}
		ch.waiting = nil
		h.concluded(now, sh, r)
	})
	return h.flush()
}

// Release gives back a reservation whose request is known not to have run.
func (h *Holder) Release(now time.Time, r Reservation) []Action {
	sh := h.shards[r.Shard]
	if sh == nil || sh.unfolded(r.Holder, r.Number) != nil {
		return nil
	}
	if own, ok := sh.open[r.Number]; ok && r.Holder == h.cfg.Instance {
		delete(sh.open, r.Number)
		sh.account(r.Budget).reserved -= own.Tokens
	}
	if f := sh.former[r.Holder]; f != nil {
		delete(f.open, r.Number)
		f.done[r.Number] = true
	}
	h.concluded(now, sh, r)
	return h.flush()
}

// concluded continues what a settled or released reservation makes possible.
func (h *Holder) concluded(now time.Time, sh *shard, r Reservation) {
	if f := sh.former[r.Holder]; f != nil && f.complete {
		h.update(sh)
	}
	if sh.leaving && (!sh.handed || len(sh.open) == 0) {
		h.update(sh)
	}
	if a := sh.accounts[r.Budget]; a != nil {
		h.pursue(now, sh, a)
	}
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

// Replay folds the sealed journal of a former holder. It is answered by Replayed.
func (h *Holder) Replay(number int, log journaler.Log) ([]Action, error) {
	sh := h.shards[number]
	if sh == nil || !sh.held {
		return nil, nil
	}
	f := &former{open: make(map[uint64]Reservation), done: make(map[uint64]bool)}
	f.fold = allotter.Fold{Instance: log.Instance, Seq: log.Last, Marks: make(map[string]int64)}
	err := log.After(number, sh.object.Journals[log.Instance].Seq, func(_ uint64, e journaler.Entry) error {
		switch e.Kind {
		case journaler.KindMark:
			var m Mark
			if err := json.Unmarshal(e.Data, &m); err != nil {
				return fmt.Errorf("decode mark: %w", err)
			}
			f.fold.Marks[m.Budget] = m.Mark
		case journaler.KindCharge:
			var c allotter.Charge
			if err := json.Unmarshal(e.Data, &c); err != nil {
				return fmt.Errorf("decode charge: %w", err)
			}
			f.fold.Charges = append(f.fold.Charges, c)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("replay journal of %s for shard %d: %w", log.Instance, number, err)
	}
	sh.former[log.Instance] = f
	h.update(sh)
	return h.flush(), nil
}

// Reported takes over what a side knows of a former holder: its open requests and
// its unbilled charges. The charges are settled like those that a side sends.
func (h *Holder) Reported(now time.Time, number int, instance string, open []Reservation, charges []Charge) []Action {
	sh := h.shards[number]
	if sh == nil || sh.former[instance] == nil {
		return nil
	}
	f := sh.former[instance]
	for _, r := range open {
		if !f.done[r.Number] && !h.settled(sh, r) {
			f.open[r.Number] = r
		}
	}
	if !f.stored {
		for _, c := range charges { // open until settled, also if Complete comes first
			f.open[c.Reservation.Number] = c.Reservation
		}
		f.late = append(f.late, charges...)
		return nil
	}
	var actions []Action
	for _, c := range charges {
		actions = append(actions, h.Settle(now, 0, c)...)
	}
	return actions
}

// Complete reports that all sides refuse work of a former holder and have
// reported. Its grants shrink to its open reservations; Closed follows when these
// are settled.
func (h *Holder) Complete(number int, instance string) []Action {
	sh := h.shards[number]
	if sh == nil || sh.former[instance] == nil {
		return nil
	}
	sh.former[instance].complete = true
	h.update(sh)
	return h.flush()
}

// Propose returns the next value of a shard object for a pending Update, and
// whether it differs from the given one. An unchanged object need not be written;
// the owner reports Stored in both cases.
func (h *Holder) Propose(now time.Time, number int, object allotter.Shard) (allotter.Shard, bool) {
	sh := h.shards[number]
	if sh == nil {
		return object, false
	}
	p := &proposal{seq: h.seq, takes: make(map[string]stage), free: make(map[string]int64), trims: make(map[string]int64)}
	next := object
	switch {
	case !sh.held && !sh.leaving:
		next, _ = next.WithHold(h.cfg.Region, h.cfg.Instance)
	case !sh.leaving && object.Holders[h.cfg.Region].Instance != h.cfg.Instance:
		h.emit(Fenced{Shard: number})
		h.stop()
		return object, false
	}
	next, _ = next.WithFold(h.fold(sh), now.Unix())
	for _, name := range slices.Sorted(maps.Keys(sh.former)) {
		next = h.proposeFormer(now, sh, name, next, p)
	}
	for _, a := range sh.sorted() {
		if a.trim {
			next = next.WithTrim(a.budget, h.cfg.Instance, a.ceiling)
			p.trims[a.budget] = a.ceiling
		}
	}
	if sh.leaving {
		next = h.proposeLeave(sh, next, p)
	} else {
		next = h.proposeTakes(now, sh, next, p)
	}
	p.next = next
	sh.proposal = p
	before, _ := json.Marshal(object)
	after, _ := json.Marshal(next)
	return next, string(before) != string(after)
}

func (h *Holder) proposeFormer(now time.Time, sh *shard, name string, next allotter.Shard, p *proposal) allotter.Shard {
	f := sh.former[name]
	if !f.stored {
		next, _ = next.WithFold(f.fold, now.Unix())
		for budget, b := range next.Budgets {
			if g, ok := b.Grants[name]; ok {
				next = next.WithTrim(budget, name, g.Marked)
			}
		}
		p.folds = append(p.folds, name)
	}
	if !f.complete || !sh.replayed(next.Former(h.cfg.Region)) {
		return next
	}
	left := make(map[string]int64)
	pending := len(f.open)
	for _, r := range f.open {
		left[r.Budget] += r.Tokens
	}
	for _, c := range sh.charges {
		if c.Holder == name && (c.seq == 0 || c.seq > p.seq) {
			left[c.Budget] += c.Tokens
			pending++
		}
	}
	if pending == 0 {
		p.closes = append(p.closes, name)
		return next.WithClose(name)
	}
	for budget, b := range next.Budgets {
		if g, ok := b.Grants[name]; ok {
			next = next.WithTrim(budget, name, g.Folded+left[budget])
		}
	}
	return next
}

func (h *Holder) proposeLeave(sh *shard, next allotter.Shard, p *proposal) allotter.Shard {
	for _, a := range sh.accounts {
		if a.durable > a.ceiling || a.marking > a.ceiling {
			return next
		}
	}
	// The next holder closes former grants, so that charges on them come first.
	var pending, foreign bool
	for _, c := range sh.charges {
		if c.seq == 0 || c.seq > p.seq {
			pending = true
			foreign = foreign || c.Holder != h.cfg.Instance
		}
	}
	if foreign {
		return next
	}
	next = next.WithHandOver(h.cfg.Region, h.cfg.Instance)
	p.handed = true
	if len(sh.open) > 0 || pending {
		return next
	}
	p.left = true
	return next.WithClose(h.cfg.Instance)
}

func (h *Holder) proposeTakes(now time.Time, sh *shard, next allotter.Shard, p *proposal) allotter.Shard {
	for _, budget := range slices.Sorted(maps.Keys(next.Budgets)) {
		a := sh.account(budget)
		a.addDemand(now, 0)
		next = next.WithDemand(budget, h.cfg.Region, int64(a.demand))
		if a.ceiling != noCeiling {
			continue
		}
		b := next.Budgets[budget]
		p.free[budget] = b.Free()
		have := b.Grants[h.cfg.Instance].Allotted - a.used()
		need := max(a.fitting(have+b.Free())-have, 0)
		share := allotter.Share(b, h.cfg.Region, have, need, h.cfg.Regions)
		if share == 0 || need == 0 && (len(a.waiting) > 0 || share*100 < have*(100-takePercent)) {
			continue
		}
		if taken, err := next.WithGrant(budget, h.cfg.Instance, h.cfg.Region, share); err == nil {
			next = taken
		}
	}
	for budget, a := range sh.accounts {
		if a.ceiling == noCeiling { // nothing is taken while something is given back
			p.takes[budget] = a.stage
		}
	}
	return next
}

// fold describes the own journal as of the last durable record.
func (h *Holder) fold(sh *shard) allotter.Fold {
	f := allotter.Fold{Instance: h.cfg.Instance, Seq: h.seq, Next: h.next, Marks: make(map[string]int64)}
	f.Open = slices.Collect(maps.Keys(sh.open))
	for _, a := range sh.accounts {
		f.Marks[a.budget] = a.durable
	}
	for _, c := range sh.ordered() {
		switch {
		case c.seq > 0:
			f.Charges = append(f.Charges, c.Charge)
		case c.Holder == h.cfg.Instance:
			f.Open = append(f.Open, c.Number)
		}
	}
	return f
}

// Stored reports that the proposal is the shard object now.
func (h *Holder) Stored(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil || sh.proposal == nil {
		return h.flush()
	}
	p := sh.proposal
	sh.proposal, sh.updating = nil, false
	sh.object = p.next
	if !sh.held && !sh.leaving {
		sh.held = true
		h.emit(Held{Shard: number, Tenure: p.next.Holders[h.cfg.Region], Former: p.next.Former(h.cfg.Region)})
	}
	sh.dropCharges(p.seq)
	h.emit(Folded{Shard: number, Seq: p.seq})
	for _, name := range p.folds {
		f := sh.former[name]
		f.stored = true
		maps.DeleteFunc(f.open, func(number uint64, _ Reservation) bool { return sh.object.Settled(name, number) })
		h.emit(Replayed{Shard: number, Instance: name})
		for _, c := range f.late {
			h.out = h.Settle(now, 0, c) // contains what was emitted before
		}
		f.late = nil
		sh.again = true
	}
	for _, name := range p.closes {
		delete(sh.former, name)
		h.emit(Closed{Shard: number, Instance: name})
	}
	if p.left {
		delete(h.shards, number)
		h.emit(Left{Shard: number})
		return h.flush()
	}
	charged := make(map[string]int64)
	for _, c := range sh.charges {
		if c.Holder == h.cfg.Instance {
			charged[c.Budget] += c.Tokens
		}
	}
	for _, a := range sh.sorted() {
		h.refresh(sh, a, p, charged[a.budget])
		switch {
		case a.stage != stageNone && a.stage == p.takes[a.budget]:
			h.advance(sh, a, p.free[a.budget])
		case (a.stage == stageTake || a.stage == stageTakeAgain) && a.ceiling == noCeiling:
			sh.again = true
		}
		h.restore(sh, a)
		h.pursue(now, sh, a)
	}
	sh.handed = sh.handed || p.handed
	if sh.again {
		sh.again = false
		h.update(sh)
	}
	return h.flush()
}

// refresh takes over an account's amounts from the stored object and the charges
// that are not in it.
func (h *Holder) refresh(sh *shard, a *account, p *proposal, unfolded int64) {
	g := sh.object.Budgets[a.budget].Grants[h.cfg.Instance]
	a.allotted, a.charged = g.Allotted, g.Folded+unfolded
	if at, ok := p.trims[a.budget]; ok && at == a.ceiling {
		for _, g := range a.gives {
			h.emit(Returned{Token: g.token, Tokens: g.tokens})
		}
		a.gives = nil
		if !sh.leaving {
			a.ceiling, a.trim = noCeiling, false
		}
	}
}

// Failed reports that the pending update is not known to have taken effect. An
// amount that it gave back stays unused here until a later update is stored.
func (h *Holder) Failed(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil {
		return nil
	}
	sh.proposal, sh.updating, sh.again = nil, false, false
	for _, a := range sh.sorted() {
		for _, g := range a.gives {
			h.emit(Returned{Token: g.token})
		}
		a.gives = nil
		if a.stage == stageTake || a.stage == stageTakeAgain {
			a.stage = stageNone
			all := func(waiter) bool { return true }
			h.refuseWaiting(a, all, ReasonPlatform, "the platform is not reachable", h.cfg.Back)
		}
		h.pursue(now, sh, a)
	}
	return h.flush()
}

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

func (sh *shard) addCharge(c *charge) {
	sh.charges[chargeID{c.Holder, c.Number}] = c
	if c.Key != "" {
		sh.keys[budgetKey{c.Budget, c.Key}]++
	}
}

// dropCharges forgets the charges that are folded up to a record.
func (sh *shard) dropCharges(seq uint64) {
	for id, c := range sh.charges {
		if c.seq == 0 || c.seq > seq {
			continue
		}
		delete(sh.charges, id)
		if k := (budgetKey{c.Budget, c.Key}); c.Key != "" {
			if sh.keys[k]--; sh.keys[k] == 0 {
				delete(sh.keys, k)
			}
		}
	}
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
