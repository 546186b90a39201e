package granter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const testPrepaid = 400_000

// flaw is a safeguard that a simulation omits, to verify that the checks detect it.
type flaw string

const (
	noFlaw               flaw = ""
	dropUnansweredLedger flaw = "a ledger write without a response counts as not written"
	dropUnansweredBudget flaw = "a budget write without a response counts as not written"
	skipFence            flaw = "a successor spends before it has fenced the budget"
	trustPublishedSpend  flaw = "a successor uses the last published figures"
	reuseBootID          flaw = "a reboot keeps the boot ID"
	countReturnsTwice    flaw = "returned tokens are counted twice"
)

// simulation runs instances against a store that loses and delays writes and responses.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	flaw    flaw
	now     time.Duration
	boots   int
	budgets map[string]stored[Budget]
	ledgers map[string]stored[Ledger]
	delayed []func()
	hosts   []*simHost
	used    map[string]int64 // tokens delivered to callers, by account
	lent    map[string]int64 // lent tokens that have not been used, by account
}

type stored[T any] struct {
	value   T
	version uint64
}

// simHost is an instance and the machine it runs on.
type simHost struct {
	name         string
	granter      *Granter // nil if not running
	boot         string
	offset       time.Duration // of its boot clock
	ledger       uint64        // last known ledger version
	reservations []openReservation
	starts       int
	usedOrLent   map[string]int64 // tokens of own grants used or lent, by account
}

type openReservation struct {
	account  string
	decision Decision
	used     int64
}

var testAccounts = []string{"rider-app", "carer-app"}

func newSimulation(t *testing.T, seed uint64, f flaw) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), flaw: f, now: time.Hour,
		budgets: make(map[string]stored[Budget]), ledgers: make(map[string]stored[Ledger]), used: make(map[string]int64), lent: make(map[string]int64),
	}
	for i := range 3 {
		h := &simHost{name: fmt.Sprintf("entry-%d", i), usedOrLent: make(map[string]int64)}
		w.hosts = append(w.hosts, h)
		w.reboot(h)
		w.start(h)
	}
	return w
}

func (w *simulation) randomBool(p float64) bool { return w.rng.Float64() < p }

func (w *simulation) reboot(h *simHost) {
	w.boots++
	h.boot = fmt.Sprintf("boot-%d", w.boots)
	if w.flaw == reuseBootID {
		h.boot = "boot"
	}
	// Start the clock just after the time of the last ledger, as the worst case: the
	// reboot then looks like a short pause.
	last := time.Duration(w.ledgers[h.name].value.Time) * time.Millisecond
	h.offset = w.now - last - time.Duration(w.rng.Int64N(int64(time.Second)))
}

func (w *simulation) clock(h *simHost) time.Duration { return w.now - h.offset }

func (w *simulation) start(h *simHost) {
	h.starts++
	h.granter = New(Identity{Name: h.name, Addr: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, h.starts), Boot: h.boot})
	for _, other := range w.hosts {
		h.granter.SetPeer(other.name, other.name)
	}
	for _, name := range testAccounts {
		h.granter.SetPrepaid(name, testPrepaid)
	}
	old := w.ledgers[h.name]
	if w.flaw != trustPublishedSpend {
		h.granter.Recover(w.clock(h), old.value)
	}
	w.observe(h)
	if w.flaw == trustPublishedSpend {
		for _, name := range testAccounts {
			a := h.granter.account(name)
			a.maxPriorSpend = a.budget.Grants[h.name].Spent
			a.spent = a.maxPriorSpend
		}
	}
	l := h.granter.PlanLedger(w.clock(h))
	h.granter.LedgerSent(l)
	if !w.putLedger(h, l, old.version) {
		h.granter = nil // recovery is restarted
		return
	}
	w.observe(h)
	h.granter.SetReady()
	if w.flaw == skipFence {
		for _, name := range testAccounts {
			h.granter.account(name).fenced = true
		}
	}
}

func (w *simulation) observe(h *simHost) {
	for name, b := range w.budgets {
		h.granter.ObserveBudget(w.clock(h), name, b.value, b.version)
	}
}

// outcome draws the result of a write: applied with a response, applied without a
// response, applied later without a response, or refused.
func (w *simulation) outcome() string {
	switch p := w.rng.Float64(); {
	case p < 0.7:
		return "done"
	case p < 0.8:
		return "lost"
	case p < 0.9:
		return "late"
	}
	return "refused"
}

func (w *simulation) putLedger(h *simHost, l Ledger, version uint64) bool {
	g := h.granter
	put := func() bool {
		if w.ledgers[h.name].version != version {
			return false
		}
		w.ledgers[h.name] = stored[Ledger]{l, version + 1}
		return true
	}
	switch w.outcome() {
	case "done":
		if put() {
			g.LedgerWritten(l)
			h.ledger = version + 1
			return true
		}
		g.LedgerNotWritten(l)
		current := w.ledgers[h.name]
		if g.Owns(current.value) {
			g.LedgerWritten(current.value)
			h.ledger = current.version
		}
		return false
	case "refused":
		g.LedgerNotWritten(l)
		return false
	case "late":
		w.delayed = append(w.delayed, func() { put() })
	default:
		put()
	}
	if w.flaw == dropUnansweredLedger {
		g.LedgerNotWritten(l)
	}
	return false
}

func (w *simulation) putBudget(h *simHost, name string) {
	g := h.granter
	b, version := g.PlanBudget(w.clock(h), name)
	g.BudgetSent(name, b)
	put := func() bool {
		if w.budgets[name].version != version {
			return false
		}
		w.budgets[name] = stored[Budget]{b, version + 1}
		if granted := b.granted(); granted > testPrepaid {
			w.t.Fatalf("grants of %s sum to %d of %d prepaid", name, granted, testPrepaid)
		}
		return true
	}
	switch w.outcome() {
	case "done":
		if put() {
			g.ObserveBudget(w.clock(h), name, b, version+1)
			return
		}
		g.BudgetNotWritten(name)
		g.ObserveBudget(w.clock(h), name, w.budgets[name].value, w.budgets[name].version)
		return
	case "refused":
		g.BudgetNotWritten(name)
		return
	case "late":
		w.delayed = append(w.delayed, func() { put() })
	default:
		put()
	}
	if w.flaw == dropUnansweredBudget {
		g.BudgetNotWritten(name)
	}
}

func (w *simulation) step() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	name := testAccounts[w.rng.IntN(len(testAccounts))]
	if len(w.delayed) > 0 && w.randomBool(0.1) {
		i := w.rng.IntN(len(w.delayed))
		w.delayed[i]()
		w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	}
	if h.granter == nil {
		if w.randomBool(0.3) {
			w.start(h)
		}
		return
	}
	switch p := w.rng.Float64(); {
	case p < 0.35:
		w.request(h, name)
	case p < 0.5:
		w.settle(h)
	case p < 0.65:
		l := h.granter.PlanLedger(w.clock(h))
		h.granter.LedgerSent(l)
		w.putLedger(h, l, h.ledger)
	case p < 0.8:
		w.putBudget(h, name)
	case p < 0.9:
		w.lend(h, name)
	case p < 0.994:
		w.now += time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
	default:
		w.kill(h)
	}
}

// request reserves tokens, a random number of which the caller uses at once.
func (w *simulation) request(h *simHost, name string) {
	n := 1 + w.rng.Int64N(4000)
	now := w.clock(h)
	h.granter.AddLocalDemand(now, name, n)
	h.granter.AddGrantDemand(now, name, n)
	d := h.granter.Reserve(now, name, n)
	switch d.Outcome {
	case Reserved:
		used := w.rng.Int64N(n + 1)
		w.used[name] += used
		h.usedOrLent[name] += max(0, used-d.Borrowed)
		w.lent[name] -= min(used, d.Borrowed)
		h.reservations = append(h.reservations, openReservation{name, d, used})
	case Limited:
		h.granter.AddWaiting(name, d.Own, false)()
	case Short:
		done := h.granter.AddWaiting(name, d.Own, true)
		w.putBudget(h, name)
		done()
	}
}

func (w *simulation) settle(h *simHost) {
	if len(h.reservations) > 0 {
		o := h.reservations[0]
		h.reservations = h.reservations[1:]
		h.granter.Settle(o.account, o.decision, o.used)
	}
}

func (w *simulation) lend(h *simHost, name string) {
	lender := w.hosts[w.rng.IntN(len(w.hosts))]
	if lender == h || lender.granter == nil {
		return
	}
	if w.randomBool(0.5) {
		n := h.granter.TakeSurplus(w.clock(h), name)
		if n > 0 && !w.randomBool(0.2) {
			lender.granter.AddReturned(name, n)
			if w.flaw == countReturnsTwice {
				lender.granter.AddReturned(name, n)
			}
		}
		return
	}
	n := 1 + w.rng.Int64N(8_000)
	lender.granter.AddGrantDemand(w.clock(lender), name, n)
	if d := lender.granter.Lend(w.clock(lender), name, n); d.Outcome == Reserved {
		lender.usedOrLent[name] += d.Own
		w.lent[name] += d.Own
		if !w.randomBool(0.1) {
			h.granter.AddBorrowed(name, n)
		}
	}
}

// kill ends a process, sometimes after it has returned its tokens, and sometimes
// reboots its machine.
func (w *simulation) kill(h *simHost) {
	if w.randomBool(0.5) {
		h.granter.Stop()
		for _, name := range testAccounts {
			w.putBudget(h, name)
		}
	}
	h.granter, h.reservations, h.ledger = nil, nil, 0
	if w.randomBool(0.3) {
		w.now += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
		w.reboot(h)
	}
}

// run simulates random steps and returns the first violated invariant, or "".
func (w *simulation) run(steps int) string {
	for range steps {
		w.step()
		for name, used := range w.used {
			if used > testPrepaid {
				return fmt.Sprintf("callers of %s got %d of %d prepaid", name, used, testPrepaid)
			}
			loans := int64(0)
			for _, h := range w.hosts {
				if h.granter != nil {
					loans += h.granter.account(name).borrowed
				}
				if h.granter != nil && h.granter.account(name).fenced && h.granter.account(name).used() < h.usedOrLent[name] {
					return fmt.Sprintf("%s used %d tokens of %s but counts %d", h.name, h.usedOrLent[name], name, h.granter.account(name).used())
				}
				if granted := w.budgets[name].value.Grants[h.name].Granted; h.usedOrLent[name] > granted {
					return fmt.Sprintf("%s used %d tokens of %s but was granted %d", h.name, h.usedOrLent[name], name, granted)
				}
			}
			if loans > w.lent[name] {
				return fmt.Sprintf("%d borrowed tokens of %s are unused, only %d were lent", loans, name, w.lent[name])
			}
		}
	}
	return ""
}

// Guards against spending more than is prepaid when processes are killed, machines
// reboot, and store writes and their responses are lost or delayed.
func TestNoOverspend(t *testing.T) {
	for seed := range uint64(400) {
		if violation := newSimulation(t, seed, noFlaw).run(2500); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// Guards against checks of the simulation that do not detect a missing safeguard.
func TestMissingSafeguardIsDetected(t *testing.T) {
	for _, f := range []flaw{dropUnansweredLedger, dropUnansweredBudget, skipFence, trustPublishedSpend, reuseBootID, countReturnsTwice} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(400) {
				if newSimulation(t, seed, f).run(2500) != "" {
					return
				}
			}
			t.Error("no seed detects the missing safeguard")
		})
	}
}
