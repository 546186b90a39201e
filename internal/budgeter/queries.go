package budgeter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daisylane/internal/allotter"
)

// Amounts are the token counts of a budget at this holder.
type Amounts struct {
	Allotted int64 `json:"allotted"`
	Marked   int64 `json:"marked"`
	Charged  int64 `json:"charged"`
	Reserved int64 `json:"reserved"`
}

// Amounts returns the token counts of a budget at this holder.
func (h *Holder) Amounts(number int, budget string) Amounts {
	sh := h.shards[number]
	if sh == nil || sh.accounts[budget] == nil {
		return Amounts{}
	}
	a := sh.accounts[budget]
	return Amounts{Allotted: a.allotted, Marked: a.durableMark, Charged: a.charged, Reserved: a.reserved}
}

// Holds reports whether the instance holds a shard and accepts requests for it.
func (h *Holder) Holds(number int) bool {
	sh := h.shards[number]
	return sh != nil && sh.held && !sh.handingOver
}

// Object returns the shard object as last stored by this holder.
func (h *Holder) Object(number int) allotter.Shard {
	if sh := h.shards[number]; sh != nil {
		return sh.object
	}
	return allotter.New(number)
}

// ShardsToRecover returns the held shards, in order, that the given instance of the same
// region held before and in which its grants are not closed. If that instance crashes,
// they need recovery, whether it handed them over or not.
func (h *Holder) ShardsToRecover(instance string) []int {
	var list []int
	for _, sh := range h.sortedShards() {
		j, ok := sh.object.Journals[instance]
		if ok && sh.held && j.Region == h.cfg.Region && instance != h.cfg.Instance {
			list = append(list, sh.number)
		}
	}
	return list
}

// settled reports whether a reservation is settled, or was never made.
func (h *Holder) settled(sh *shard, r Reservation) bool {
	if sh.unfoldedCharge(r.Holder, r.Number) != nil {
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
	f := sh.formerHolders[r.Holder]
	if f == nil || !f.allReported {
		return false
	}
	_, open := f.open[r.Number]
	return !open
}

// keyCharged reports whether a key was charged within the object's key window or by
// a charge that is not folded yet.
func (sh *shard) keyCharged(budget, key string, now time.Time) bool {
	if key == "" {
		return false
	}
	return sh.unfoldedKeys[budgetKey{budget, key}] > 0 || sh.object.Keys.Charged(budget, key, now.Unix())
}

func (sh *shard) unfoldedCharge(holder string, number uint64) *charge {
	return sh.charges[chargeID{holder, number}]
}

// journalsFolded reports whether the journals of all given instances are folded. Each
// journal can contain charges on the grants of another instance, so no grant may be
// lowered or closed before all are folded.
func (sh *shard) journalsFolded(instances []string) bool {
	for _, name := range instances {
		f := sh.formerHolders[name]
		if f == nil || !f.foldStored {
			return false
		}
	}
	return true
}

// updateDue reports whether a change waits for an update of the shard object.
func (sh *shard) updateDue() bool {
	if sh.updating {
		return false
	}
	if !sh.held || sh.handingOver && (!sh.handedOver || len(sh.open) == 0) {
		return true
	}
	for _, f := range sh.formerHolders {
		if !f.foldStored || f.allReported && len(f.open) == 0 {
			return true
		}
	}
	for _, a := range sh.accounts {
		if a.trimDue && !sh.handingOver {
			return true
		}
	}
	return false
}

func (a *account) used() int64 { return a.charged + a.reserved }

func (a *account) limit() int64 { return min(a.allotted, a.ceiling) }

// available returns the number of tokens that can be granted now.
func (a *account) available() int64 {
	mark := a.durableMark
	if a.pendingMark >= 0 {
		mark = min(mark, a.pendingMark)
	}
	return min(mark, a.limit()) - a.used()
}

// waitingTotal returns the number of tokens that all waiting requests need.
func (a *account) waitingTotal() int64 {
	var sum int64
	for _, w := range a.waiting {
		sum += w.req.Tokens
	}
	return sum
}

// fittingTotal returns the number of tokens that the waiting requests need which fit
// together into the given tokens. Tokens kept or allotted for the other requests
// would be missing in another region, where a smaller request may fit.
func (a *account) fittingTotal(tokens int64) int64 {
	var sum int64
	for _, w := range a.waiting {
		if sum+w.req.Tokens <= tokens {
			sum += w.req.Tokens
		}
	}
	return sum
}

func (h *Holder) sortedShards() []*shard {
	return slices.SortedFunc(maps.Values(h.shards), func(a, b *shard) int { return cmp.Compare(a.number, b.number) })
}

// sortedCharges returns the unfolded charges ordered by record, holder and number, so
// that equal states produce equal proposals.
func (sh *shard) sortedCharges() []*charge {
	return slices.SortedFunc(maps.Values(sh.charges), func(a, b *charge) int {
		return cmp.Or(cmp.Compare(a.seq, b.seq), cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Number, b.Number))
	})
}

func (sh *shard) sortedAccounts() []*account {
	return slices.SortedFunc(maps.Values(sh.accounts), func(a, b *account) int { return cmp.Compare(a.budget, b.budget) })
}

// Shards returns the numbers of the shards that are held or being handed over, in order.
func (h *Holder) Shards() []int {
	var list []int
	for _, sh := range h.sortedShards() {
		if sh.held || sh.handingOver {
			list = append(list, sh.number)
		}
	}
	return list
}
