package budgeter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daisylane/internal/allotter"
)

// Amounts are an account's tokens at this holder.
type Amounts struct {
	Allotted int64 `json:"allotted"`
	Marked   int64 `json:"marked"`
	Charged  int64 `json:"charged"`
	Reserved int64 `json:"reserved"`
}

// Amounts returns the holder's amounts of a budget.
func (h *Holder) Amounts(number int, budget string) Amounts {
	sh := h.shards[number]
	if sh == nil || sh.accounts[budget] == nil {
		return Amounts{}
	}
	a := sh.accounts[budget]
	return Amounts{Allotted: a.allotted, Marked: a.durable, Charged: a.charged, Reserved: a.reserved}
}

// Holds reports whether the instance admits requests for a shard.
func (h *Holder) Holds(number int) bool {
	sh := h.shards[number]
	return sh != nil && sh.held && !sh.leaving
}

// Object returns the shard object as last stored by this holder.
func (h *Holder) Object(number int) allotter.Shard {
	if sh := h.shards[number]; sh != nil {
		return sh.object
	}
	return allotter.New(number)
}

// Owed returns the held shards that another instance of the region has held
// and that are not closed, in order. When that instance dies, these need recovery, whether it
// handed them over or not.
func (h *Holder) Owed(instance string) []int {
	var list []int
	for _, sh := range h.sorted() {
		j, ok := sh.object.Journals[instance]
		if ok && sh.held && j.Region == h.cfg.Region && instance != h.cfg.Instance {
			list = append(list, sh.number)
		}
	}
	return list
}

// settled reports whether a reservation is settled, or was never made.
func (h *Holder) settled(sh *shard, r Reservation) bool {
	if sh.unfolded(r.Holder, r.Number) != nil {
		return true
	}
	if r.Holder == h.cfg.Instance {
		_, open := sh.open[r.Number]
		return !open
	}
	if _, ok := sh.object.Budgets[r.Budget].Grants[r.Holder]; !ok {
		return true
	}
	if sh.object.Settled(r.Holder, r.Number) {
		return true
	}
	f := sh.former[r.Holder]
	if f == nil || !f.complete {
		return false
	}
	_, open := f.open[r.Number]
	return !open
}

// charged reports whether a key was charged in the object's window or is charged
// by an entry that is not folded.
func (sh *shard) charged(budget, key string, now time.Time) bool {
	if key == "" {
		return false
	}
	return sh.keys[budgetKey{budget, key}] > 0 || sh.object.Keys.Charged(budget, key, now.Unix())
}

func (sh *shard) unfolded(holder string, number uint64) *charge {
	return sh.charges[chargeID{holder, number}]
}

// replayed reports whether the journals of all given instances are folded. Each
// of them can contain charges on the grants of another one, so that no grant is
// lowered or closed before.
func (sh *shard) replayed(instances []string) bool {
	for _, name := range instances {
		f := sh.former[name]
		if f == nil || !f.stored {
			return false
		}
	}
	return true
}

// due reports whether something waits for an update of the object.
func (sh *shard) due() bool {
	if sh.updating {
		return false
	}
	if !sh.held || sh.leaving && (!sh.handed || len(sh.open) == 0) {
		return true
	}
	for _, f := range sh.former {
		if !f.stored || f.complete && len(f.open) == 0 {
			return true
		}
	}
	for _, a := range sh.accounts {
		if a.trim && !sh.leaving {
			return true
		}
	}
	return false
}

func (a *account) used() int64 { return a.charged + a.reserved }

func (a *account) limit() int64 { return min(a.allotted, a.ceiling) }

// room is what can be admitted now.
func (a *account) room() int64 {
	mark := a.durable
	if a.marking >= 0 {
		mark = min(mark, a.marking)
	}
	return min(mark, a.limit()) - a.used()
}

func (a *account) wanted() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.req.Tokens
	}
	return sum
}

// fitting is what the waiting requests want that fit the given tokens together.
// Tokens that are kept or taken for the others would be missing in another region,
// where a smaller request may fit them.
func (a *account) fitting(tokens int64) int64 {
	var sum int64
	for _, w := range a.waiting {
		if sum+w.req.Tokens <= tokens {
			sum += w.req.Tokens
		}
	}
	return sum
}

func (h *Holder) sorted() []*shard {
	return slices.SortedFunc(maps.Values(h.shards), func(a, b *shard) int { return cmp.Compare(a.number, b.number) })
}

// ordered returns the unfolded charges in order of record, holder and number, so
// that equal states give equal proposals.
func (sh *shard) ordered() []*charge {
	return slices.SortedFunc(maps.Values(sh.charges), func(a, b *charge) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Number, b.Number))
	})
}

func (sh *shard) sorted() []*account {
	return slices.SortedFunc(maps.Values(sh.accounts), func(a, b *account) int { return cmp.Compare(a.budget, b.budget) })
}

// Shards returns the numbers of the shards that are held or being handed over, in order.
func (h *Holder) Shards() []int {
	var list []int
	for _, sh := range h.sorted() {
		if sh.held || sh.leaving {
			list = append(list, sh.number)
		}
	}
	return list
}
