package budgeter

import (
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

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
