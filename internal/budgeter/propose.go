package budgeter

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"daisylane/internal/allotter"
)

// Propose returns the next value of a shard object for a pending Update, and whether
// it differs from the given value. An unchanged object need not be written; the caller
// calls UpdateStored in both cases.
func (h *Holder) Propose(now time.Time, number int, object allotter.Shard) (allotter.Shard, bool) {
	sh := h.shards[number]
	if sh == nil {
		return object, false
	}
	p := &proposal{seq: h.durableSeq, stages: make(map[string]stage), freeBefore: make(map[string]int64), trims: make(map[string]int64)}
	next := object
	switch {
	case !sh.held && !sh.handingOver:
		next = next.WithHolder(h.cfg.Region, h.cfg.Instance)
	case !sh.handingOver && object.Holders[h.cfg.Region].Instance != h.cfg.Instance:
		h.emit(Fenced{})
		h.dropAllShards()
		return object, false
	}
	next, _ = next.WithFold(h.ownFold(sh), now.Unix())
	for _, name := range slices.Sorted(maps.Keys(sh.formerHolders)) {
		next = h.proposeFormerHolder(now, sh, name, next, p)
	}
	for _, a := range sh.sortedAccounts() {
		if a.trimDue {
			next = next.WithTrim(a.budget, h.cfg.Instance, a.ceiling)
			p.trims[a.budget] = a.ceiling
		}
	}
	if sh.handingOver {
		next = h.proposeHandOver(sh, next, p)
	} else {
		next = h.proposeAllotments(now, sh, next, p)
	}
	p.next = next
	sh.proposal = p
	before, _ := json.Marshal(object)
	after, _ := json.Marshal(next)
	return next, string(before) != string(after)
}

// proposeHandOver adds the hand-over of the shard once the lowered marks are durable, and
// the close of the instance's grants once it has no open reservations.
func (h *Holder) proposeHandOver(sh *shard, next allotter.Shard, p *proposal) allotter.Shard {
	for _, a := range sh.accounts {
		if a.durableMark > a.ceiling || a.pendingMark > a.ceiling {
			return next
		}
	}
	// The next holder closes the grants of former holders, so all charges on these
	// must be folded before the hand-over.
	var unfolded, unfoldedFormer bool
	for _, c := range sh.charges {
		if c.seq == 0 || c.seq > p.seq {
			unfolded = true
			unfoldedFormer = unfoldedFormer || c.Holder != h.cfg.Instance
		}
	}
	if unfoldedFormer {
		return next
	}
	next = next.WithHandOver(h.cfg.Region, h.cfg.Instance)
	p.handedOver = true
	if len(sh.open) > 0 || unfolded {
		return next
	}
	p.handOverDone = true
	return next.WithClose(h.cfg.Instance)
}

// proposeAllotments adds the current demand and the allotments of free tokens.
func (h *Holder) proposeAllotments(now time.Time, sh *shard, next allotter.Shard, p *proposal) allotter.Shard {
	for _, budget := range slices.Sorted(maps.Keys(next.Budgets)) {
		a := sh.account(budget)
		a.addDemand(now, 0)
		next = next.WithDemand(budget, h.cfg.Region, int64(a.demand))
		if a.ceiling != noCeiling {
			continue
		}
		b := next.Budgets[budget]
		p.freeBefore[budget] = b.Free()
		have := b.Grants[h.cfg.Instance].Allotted - a.used()
		need := max(a.fittingTotal(have+b.Free())-have, 0)
		tokens := allotter.TokensToAllot(b, h.cfg.Region, have, need, h.cfg.Regions)
		if tokens == 0 || need == 0 && (len(a.waiting) > 0 || tokens*100 < have*(100-allotPercent)) {
			continue
		}
		if granted, err := next.WithGrant(budget, h.cfg.Instance, h.cfg.Region, tokens); err == nil {
			next = granted
		}
	}
	for budget, a := range sh.accounts {
		if a.ceiling == noCeiling { // nothing is allotted while tokens are being returned
			p.stages[budget] = a.stage
		}
	}
	return next
}

// ownFold returns the fold of this instance's journal up to the last durable record.
func (h *Holder) ownFold(sh *shard) allotter.Fold {
	f := allotter.Fold{Instance: h.cfg.Instance, Seq: h.durableSeq, Next: h.nextNumber, Marks: make(map[string]int64)}
	f.Open = slices.Collect(maps.Keys(sh.open))
	for _, a := range sh.accounts {
		f.Marks[a.budget] = a.durableMark
	}
	for _, c := range sh.sortedCharges() {
		switch {
		case c.seq > 0:
			f.Charges = append(f.Charges, c.Charge)
		case c.Holder == h.cfg.Instance:
			f.Open = append(f.Open, c.Number)
		}
	}
	return f
}

// UpdateStored reports that the shard object has the proposed value.
func (h *Holder) UpdateStored(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil || sh.proposal == nil {
		return h.flush()
	}
	p := sh.proposal
	sh.proposal, sh.updating = nil, false
	sh.object = p.next
	if !sh.held && !sh.handingOver {
		sh.held = true
		h.emit(Acquired{Shard: number, Holder: p.next.Holders[h.cfg.Region], FormerHolders: p.next.FormerHolders(h.cfg.Region)})
	}
	sh.dropFoldedCharges(p.seq)
	h.emit(Folded{Shard: number, Seq: p.seq})
	for _, name := range p.foldedHolders {
		f := sh.formerHolders[name]
		f.foldStored = true
		maps.DeleteFunc(f.open, func(number uint64, _ Reservation) bool { return sh.object.Settled(name, number) })
		for _, c := range f.lateCharges {
			h.emitted = h.Settle(now, 0, c) // returns the actions emitted so far as well
		}
		f.lateCharges = nil
		sh.updateAgain = true
	}
	for _, name := range p.closedHolders {
		delete(sh.formerHolders, name)
		h.emit(FormerClosed{Shard: number, Instance: name})
	}
	if p.handOverDone {
		delete(h.shards, number)
		h.emit(HandedOver{Shard: number})
		return h.flush()
	}
	charged := make(map[string]int64)
	for _, c := range sh.charges {
		if c.Holder == h.cfg.Instance {
			charged[c.Budget] += c.Tokens
		}
	}
	for _, a := range sh.sortedAccounts() {
		h.applyStored(sh, a, p, charged[a.budget])
		switch {
		case a.stage != stageNone && a.stage == p.stages[a.budget]:
			h.advanceStage(sh, a, p.freeBefore[a.budget])
		case (a.stage == stageAllot || a.stage == stageAllotAgain) && a.ceiling == noCeiling:
			sh.updateAgain = true
		}
		h.returnExcess(sh, a)
		h.processWaiting(now, sh, a)
	}
	sh.handedOver = sh.handedOver || p.handedOver
	if sh.updateAgain {
		sh.updateAgain = false
		h.requestUpdate(sh)
	}
	return h.flush()
}

// applyStored sets an account's amounts from the stored object and the charges that
// are not folded into it, and answers the returns whose trim is stored.
func (h *Holder) applyStored(sh *shard, a *account, p *proposal, unfolded int64) {
	g := sh.object.Budgets[a.budget].Grants[h.cfg.Instance]
	a.allotted, a.charged = g.Allotted, g.Folded+unfolded
	if at, ok := p.trims[a.budget]; ok && at == a.ceiling {
		for _, r := range a.pendingReturns {
			h.emit(Returned{Token: r.token, Tokens: r.tokens})
		}
		a.pendingReturns = nil
		if !sh.handingOver {
			a.ceiling, a.trimDue = noCeiling, false
		}
	}
}

// UpdateFailed reports that the pending update is not known to have taken effect. Tokens
// that it returned are not used here until a later update is stored, because the write
// may still take effect.
func (h *Holder) UpdateFailed(now time.Time, number int) []Action {
	sh := h.shards[number]
	if sh == nil {
		return nil
	}
	sh.proposal, sh.updating, sh.updateAgain = nil, false, false
	for _, a := range sh.sortedAccounts() {
		for _, r := range a.pendingReturns {
			h.emit(Returned{Token: r.token})
		}
		a.pendingReturns = nil
		if a.stage == stageAllot || a.stage == stageAllotAgain {
			a.stage = stageNone
			all := func(waitingRequest) bool { return true }
			h.refuseWaiting(a, all, ReasonPlatform, "the platform is not reachable", outageRetryAfter)
		}
		h.processWaiting(now, sh, a)
	}
	return h.flush()
}
