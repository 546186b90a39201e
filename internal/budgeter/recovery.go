package budgeter

import (
	"encoding/json"
	"fmt"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// ReplayFormer starts to fold the sealed journal of a former holder into the shard
// object.
func (h *Holder) ReplayFormer(number int, log journaler.Log) ([]Action, error) {
	sh := h.shards[number]
	if sh == nil || !sh.held {
		return nil, nil
	}
	f := &formerHolder{open: make(map[uint64]Reservation), ended: make(map[uint64]bool)}
	f.fold = allotter.Fold{Instance: log.Instance, Seq: log.LastSeq, Marks: make(map[string]int64)}
	err := log.VisitAfter(number, sh.object.Journals[log.Instance].Seq, func(_ uint64, e journaler.Entry) error {
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
	sh.formerHolders[log.Instance] = f
	h.requestUpdate(sh)
	return h.flush(), nil
}

// SideReported records what a side reported on a former holder's reservations: those of
// requests that still run, and the unbilled charges. The charges are settled like
// those sent to Settle.
func (h *Holder) SideReported(now time.Time, number int, instance string, open []Reservation, charges []Charge) []Action {
	sh := h.shards[number]
	if sh == nil || sh.formerHolders[instance] == nil {
		return nil
	}
	f := sh.formerHolders[instance]
	for _, r := range open {
		if !f.ended[r.Number] && !h.settled(sh, r) {
			f.open[r.Number] = r
		}
	}
	if !f.foldStored {
		for _, c := range charges { // stays open until settled, even if AllSidesReported is called first
			f.open[c.Reservation.Number] = c.Reservation
		}
		f.lateCharges = append(f.lateCharges, charges...)
		return nil
	}
	var actions []Action
	for _, c := range charges {
		actions = append(actions, h.Settle(now, 0, c)...)
	}
	return actions
}

// AllSidesReported reports that all sides refuse requests of a former holder and have
// reported. Its grants are trimmed to its open reservations; FormerClosed follows when
// these are settled.
func (h *Holder) AllSidesReported(number int, instance string) []Action {
	sh := h.shards[number]
	if sh == nil || sh.formerHolders[instance] == nil {
		return nil
	}
	sh.formerHolders[instance].allReported = true
	h.requestUpdate(sh)
	return h.flush()
}

// proposeFormerHolder adds the fold of a former holder's journal. Once all sides have
// reported and the journals of all former holders are folded, it trims or closes the
// grants.
func (h *Holder) proposeFormerHolder(now time.Time, sh *shard, name string, next allotter.Shard, p *proposal) allotter.Shard {
	f := sh.formerHolders[name]
	if !f.foldStored {
		next, _ = next.WithFold(f.fold, now.Unix())
		for budget, b := range next.Budgets {
			if g, ok := b.Grants[name]; ok {
				next = next.WithTrim(budget, name, g.Mark)
			}
		}
		p.foldedHolders = append(p.foldedHolders, name)
	}
	if !f.allReported || !sh.journalsFolded(next.FormerHolders(h.cfg.Region)) {
		return next
	}
	remaining := make(map[string]int64)
	pending := len(f.open)
	for _, r := range f.open {
		remaining[r.Budget] += r.Tokens
	}
	for _, c := range sh.charges {
		if c.Holder == name && (c.seq == 0 || c.seq > p.seq) {
			remaining[c.Budget] += c.Tokens
			pending++
		}
	}
	if pending == 0 {
		p.closedHolders = append(p.closedHolders, name)
		return next.WithClose(name)
	}
	for budget, b := range next.Budgets {
		if g, ok := b.Grants[name]; ok {
			next = next.WithTrim(budget, name, g.Folded+remaining[budget])
		}
	}
	return next
}
