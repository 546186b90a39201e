package budgeter

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"daisylane/internal/allotter"
)

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
