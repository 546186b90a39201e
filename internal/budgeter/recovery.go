package budgeter

import (
	"encoding/json"
	"fmt"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

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
