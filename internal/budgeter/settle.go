package budgeter

import (
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// Settle charges the tokens used of a reservation. It is answered by Settled when the
// charge is durable, or by Refused if the instance does not hold the shard or has not
// yet folded the journal of the reservation's holder.
func (h *Holder) Settle(now time.Time, token Token, c Charge) []Action {
	r := c.Reservation
	sh := h.shards[r.Shard]
	if sh == nil || !sh.held || sh.handingOver && r.Holder != h.cfg.Instance {
		h.refuse(token, ReasonStopping, "this instance does not hold the shard, ask its present holder", holderChangeRetryAfter)
		return h.flush()
	}
	if known := sh.unfoldedCharge(r.Holder, r.Number); known != nil {
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
	// A former holder whose journal is not folded yet can still fold it itself and would
	// overwrite what this instance folds about its reservations.
	if f := sh.formerHolders[r.Holder]; r.Holder != h.cfg.Instance && (f == nil || !f.foldStored) {
		h.refuse(token, ReasonStopping, "the reservation's holder is not taken over yet", holderChangeRetryAfter)
		return h.flush()
	}
	tokens := min(max(c.Tokens, 0), r.Tokens)
	if r.Holder == h.cfg.Instance {
		a, own := sh.account(r.Budget), sh.open[r.Number]
		tokens = min(tokens, own.Tokens)
		delete(sh.open, r.Number)
		a.reserved -= own.Tokens
	} else if f := sh.formerHolders[r.Holder]; f != nil {
		delete(f.open, r.Number)
		f.ended[r.Number] = true
	}
	ch := &charge{waiting: []Token{token}}
	ch.Charge = allotter.Charge{Budget: r.Budget, Holder: r.Holder, Number: r.Number, Tokens: tokens, Key: c.Key}
	if sh.keyCharged(r.Budget, c.Key, now) {
		ch.Tokens, ch.Key, ch.duplicate = 0, "", true
	}
	if r.Holder == h.cfg.Instance {
		sh.account(r.Budget).charged += ch.Tokens
	}
	sh.addCharge(ch)
	// Only a charge on an own reservation may be deferred: the release of a former
	// holder's tokens and the hand-over of the shard wait for the charge.
	deferrable := r.Holder == h.cfg.Instance && !sh.handingOver
	h.appendEntry(deferrable, encodeEntry(journaler.KindCharge, sh.number, ch.Charge), func(now time.Time, seq uint64) {
		ch.seq = seq
		for i, t := range ch.waiting {
			h.emit(Settled{Token: t, Duplicate: ch.duplicate || i > 0})
		}
		ch.waiting = nil
		h.reservationEnded(now, sh, r)
	})
	return h.flush()
}

// Release frees the tokens of a reservation whose request is known not to have run.
func (h *Holder) Release(now time.Time, r Reservation) []Action {
	sh := h.shards[r.Shard]
	if sh == nil || sh.unfoldedCharge(r.Holder, r.Number) != nil {
		return nil
	}
	if own, ok := sh.open[r.Number]; ok && r.Holder == h.cfg.Instance {
		delete(sh.open, r.Number)
		sh.account(r.Budget).reserved -= own.Tokens
	}
	if f := sh.formerHolders[r.Holder]; f != nil {
		delete(f.open, r.Number)
		f.ended[r.Number] = true
	}
	h.reservationEnded(now, sh, r)
	return h.flush()
}

// reservationEnded requests the updates and processes the waiting requests that may
// proceed now that a reservation is settled or released.
func (h *Holder) reservationEnded(now time.Time, sh *shard, r Reservation) {
	if f := sh.formerHolders[r.Holder]; f != nil && f.allReported {
		h.requestUpdate(sh)
	}
	if sh.handingOver && (!sh.handedOver || len(sh.open) == 0) {
		h.requestUpdate(sh)
	}
	if a := sh.accounts[r.Budget]; a != nil {
		h.processWaiting(now, sh, a)
	}
}

func (sh *shard) addCharge(c *charge) {
	sh.charges[chargeID{c.Holder, c.Number}] = c
	if c.Key != "" {
		sh.unfoldedKeys[budgetKey{c.Budget, c.Key}]++
	}
}

// dropFoldedCharges removes the charges up to the journal record seq, which are folded.
func (sh *shard) dropFoldedCharges(seq uint64) {
	for id, c := range sh.charges {
		if c.seq == 0 || c.seq > seq {
			continue
		}
		delete(sh.charges, id)
		if k := (budgetKey{c.Budget, c.Key}); c.Key != "" {
			if sh.unfoldedKeys[k]--; sh.unfoldedKeys[k] == 0 {
				delete(sh.unfoldedKeys, k)
			}
		}
	}
}
