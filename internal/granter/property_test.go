package granter

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testPrepaid = 400_000
	// scarcePrepaid is used up early, so that any token that is granted twice counts.
	scarcePrepaid = 40_000
	// startup is the time in which a fleet is restored more often, while its instances
	// still learn of each other.
	startup = 10 * time.Second
)

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
	growFixedLimits      flaw = "a process uses tokens beyond a limit that does not grow"

	composeEarly     flaw = "budgets are composed although instances are missing"
	omitTestimony    flaw = "instances do not tell what they remember of others"
	trustOldLedger   flaw = "a successor relies on a ledger of a former era"
	reuseObjectNames flaw = "all eras use the same objects"
	skipWitnesses    flaw = "grants are used before others know them"
	useAfterHandover flaw = "a process uses and confirms grants after it has handed over"
)

// simulation runs instances against a store that loses and delays writes and responses.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	flaw  flaw
	now   time.Duration
	boots int
	loans int
	simStore
	delayed  []func()
	hosts    []*simHost
	used     map[string]int64 // tokens delivered to callers, by account
	lent     map[string]int64 // lent tokens that have not been used, by account
	prepaid  int64            // of each account
	drills   bool             // the store is restored from older copies
	leaves   bool             // instances leave for good, and others come
	away     bool             // the store does not respond
	steady   bool             // instances reach each other when one hands over
	reliable bool             // the store responds to all calls unless it is away
	calm     bool             // no ambush now
	twice    bool             // after an ambush the store is restored once more at once
	copies   []simStore
	restored bool // at least once

	traffic   traffic
	violation string // found by a write
	wroteOff  bool   // tokens have been written off
}

// traffic counts the calls to the store and the messages between instances.
type traffic struct{ ledgerWrites, budgetWrites, budgetLists, ledgerLists, greetings, notes int }

// String returns the counts with their names.
func (c traffic) String() string {
	return fmt.Sprintf("%d writes of ledgers, %d of budgets, %d lists of budgets, %d of ledgers, %d greetings, %d notes", c.ledgerWrites, c.budgetWrites, c.budgetLists, c.ledgerLists, c.greetings, c.notes)
}

// simStore is the content of the store. The keys contain the era.
type simStore struct {
	era      int64
	revision uint64
	budgets  map[string]stored[Budget]
	ledgers  map[string]stored[Ledger]
}

func (s simStore) clone() simStore {
	s.budgets, s.ledgers = maps.Clone(s.budgets), maps.Clone(s.ledgers)
	return s
}

func (w *simulation) key(name string, era int64) string {
	if w.flaw == reuseObjectNames {
		era = 0
	}
	return fmt.Sprintf("%s@%d", name, era)
}

// keepCopy copies the store from time to time. A copy that names no instance, restored when
// all have ended, looks like a new deployment; nothing can tell it apart.
func (w *simulation) keepCopy() {
	if w.leaves && len(w.ledgers) == 0 {
		return
	}
	if w.copies = append(w.copies, w.clone()); len(w.copies) > 12 {
		w.copies = w.copies[1:]
	}
}

// restore replaces the store by an older copy.
func (w *simulation) restore() {
	if len(w.copies) == 0 {
		return
	}
	if h := w.hosts[w.rng.IntN(len(w.hosts))]; h.granter != nil && w.randomBool(0.6) {
		h.stop()
	}
	for _, h := range w.hosts {
		if w.leaves && h.granter != nil && w.randomBool(0.2) {
			w.kill(h)
		}
	}
	w.restoreCopy()
}

// restoreCopy restores an older copy and ends no process.
func (w *simulation) restoreCopy() {
	if len(w.copies) == 0 {
		return
	}
	era := w.era + 1
	i := w.rng.IntN(len(w.copies))
	w.simStore = w.copies[i].clone()
	w.era, w.copies, w.restored = era, w.copies[:i+1], true
}

// contact makes an instance learn of the era of the store. It reports whether the era
// was new to it.
func (w *simulation) contact(h *simHost) bool {
	return h.granter.SetEra(w.clock(h), w.era)
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
	cutSteps     int              // for which it cannot reach the store
	muteSteps    int              // for which no other instance reaches it, and it reaches none
	left         bool             // it never starts again
	dark         bool             // with left, its address does not even refuse connections
	late         func()           // takes over a list of ledgers that was read before
	usedOrLent   map[string]int64 // tokens of own grants used or lent, by account
}

type openReservation struct {
	account  string
	decision Decision
	used     int64
}

var testAccounts = []string{"rider-app", "carer-app"}

func newSimulation(t *testing.T, seed uint64, f flaw, hosts int, drills bool) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), flaw: f, now: time.Hour,
		simStore: simStore{budgets: make(map[string]stored[Budget]), ledgers: make(map[string]stored[Ledger])}, used: make(map[string]int64), lent: make(map[string]int64),
		drills: drills, prepaid: testPrepaid,
	}
	if drills {
		w.era, w.prepaid = 1, scarcePrepaid
	}
	for i := range hosts {
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
	last := time.Duration(w.ledgers[w.key(h.name, w.era)].value.Time) * time.Millisecond
	h.offset = w.now - last - time.Duration(w.rng.Int64N(int64(time.Second)))
}

func (w *simulation) clock(h *simHost) time.Duration { return w.now - h.offset }

func (w *simulation) start(h *simHost) {
	h.starts++
	h.granter = New(Identity{Name: h.name, Addr: h.name, Incarnation: fmt.Sprintf("%s-%d", h.name, h.starts), Boot: h.boot})
	for _, other := range w.hosts {
		if !w.drills { // with drills, an instance learns of others from ledgers and greetings
			h.granter.SetPeer(other.name, other.name)
		}
	}
	for _, name := range testAccounts {
		h.granter.SetPrepaid(name, w.prepaid)
	}
	h.granter.SetEra(w.clock(h), w.era)
	old, found := w.ledgers[w.key(h.name, w.era)]
	switch former, existed := w.formerLedger(h); {
	case w.flaw == trustPublishedSpend:
	case found || !existed:
		h.granter.Recover(w.clock(h), old.value)
	case w.flaw == trustOldLedger:
		h.granter.Recover(w.clock(h), former)
	default:
		h.granter.RecoverLost(w.clock(h))
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

// formerLedger returns the newest ledger of an instance from a former era.
func (w *simulation) formerLedger(h *simHost) (Ledger, bool) {
	for era := w.era - 1; era > 0; era-- {
		if l, ok := w.ledgers[w.key(h.name, era)]; ok {
			return l.value, true
		}
	}
	return Ledger{}, false
}

// observe makes an instance read all ledgers and budgets.
func (w *simulation) observe(h *simHost) {
	if h.cutSteps > 0 || w.away {
		return
	}
	w.contact(h)
	w.traffic.budgetLists++
	for _, name := range testAccounts {
		h.granter.SetPrepaid(name, w.prepaid)
	}
	era := h.granter.Era()
	ledgers := make(map[string]Ledger)
	var absent []string
	for _, other := range w.hosts {
		l, ok := w.ledgers[w.key(other.name, era)]
		_, existed := w.formerLedger(other)
		switch {
		case ok:
			ledgers[other.name] = l.value
		case existed:
			absent = append(absent, other.name)
		}
	}
	if h.late != nil {
		h.late()
		h.late = nil
	}
	met := w.greet(h)
	ended := h.granter.Ended()
	for _, name := range testAccounts {
		if b, ok := w.budgets[w.key(name, era)]; ok {
			h.observeBudget(w, name, b)
		}
	}
	h.granter.Met(era, met)
	h.granter.BudgetsRead(era, ended)
	if h.granter.ready && h.granter.Settled() && w.randomBool(0.67) {
		return // the ledgers are read less often than the budgets
	}
	w.traffic.ledgerLists++
	if g := h.granter; w.leaves && g.ready && g.Settled() && w.randomBool(0.1) {
		h.late = func() {
			if g == h.granter && g.Era() == era {
				g.ObserveLedgers(w.clock(h), ledgers, absent)
			}
		}
		return
	}
	h.granter.ObserveLedgers(w.clock(h), ledgers, absent)
	if w.flaw == composeEarly && h.granter.era.memory != LostMemory {
		h.granter.era.complete = true
	}
}

func (h *simHost) observeBudget(w *simulation, name string, b stored[Budget]) {
	h.granter.ObserveBudget(w.clock(h), name, b.value, b.version)
}

// greet makes an instance greet others and returns those that accept it.
func (w *simulation) greet(h *simHost) []string {
	var met []string
	for _, p := range h.granter.GreetingsDue() {
		w.traffic.greetings++
		for _, other := range w.hosts {
			if other.name == p.Name && w.reaches(h, other) && !w.randomBool(0.1) && other.granter.RecordGreeting(h.granter.Greeting()) {
				met = append(met, p.Name)
			}
		}
	}
	return met
}

// reaches reports whether an instance reaches another one. It learns whether that has ended,
// perhaps later.
func (w *simulation) reaches(h, other *simHost) bool {
	switch {
	case h.muteSteps+other.muteSteps > 0 || other.dark:
	case other.granter != nil:
		return true
	case w.leaves:
		g, greetings := h.granter, h.granter.Greetings(other.name)
		record := func() { g.RecordEnd(other.name, greetings) }
		if w.randomBool(0.2) {
			w.delayed = append(w.delayed, record)
		} else {
			record()
		}
	}
	return false
}

// exchangeNotes asks other instances to confirm the grants of one.
func (w *simulation) exchangeNotes(h *simHost) {
	for _, n := range h.granter.NotesDue() {
		needed := h.granter.WitnessesNeeded(w.clock(h))
		var witnesses []*simHost
		if w.flaw == skipWitnesses {
			needed = 0
		}
		for _, i := range w.rng.Perm(len(w.hosts)) {
			other := w.hosts[i]
			if needed <= 0 || other == h || !w.reaches(h, other) || w.randomBool(0.3) {
				continue
			}
			w.traffic.notes++
			if other.granter.RecordNote(w.clock(other), n) {
				needed--
				witnesses = append(witnesses, other)
			}
		}
		if needed <= 0 {
			h.granter.Confirm(n)
			if w.leaves && !w.calm && (w.randomBool(0.02) || w.twice && w.allServe() && w.randomBool(0.3)) {
				w.ambush(h, n.Account, witnesses)
				return
			}
		}
	}
}

// ambush makes an instance use a grant that was just confirmed. Then it is lost, with some of
// those that know of the grant, and so is the latest state of the store.
func (w *simulation) ambush(h *simHost, account string, witnesses []*simHost) {
	w.writeLedger(h)
	for range 4 {
		w.request(h, account)
	}
	if w.twice && w.allServe() {
		w.endBetweenRestores(h, witnesses)
		h.stop()
		w.restoreCopy()
		w.compose()
		return
	}
	h.stop()
	for _, other := range witnesses {
		if other.granter != nil && w.randomBool(0.7) {
			w.kill(other)
		}
	}
	w.restore()
}

// allServe reports whether all instances run and have seen the budgets of the era.
func (w *simulation) allServe() bool {
	for _, h := range w.hosts {
		if h.granter == nil || h.granter.era.composedAt == 0 {
			return false
		}
	}
	return true
}

// endBetweenRestores restores the store, ends some of those that know of a grant, and lets the
// others do a few steps of a process in a new era. The holder of the grant lives on.
func (w *simulation) endBetweenRestores(h *simHost, witnesses []*simHost) {
	w.calm = true
	defer func() { w.calm = false }()
	w.restoreCopy()
	for _, other := range witnesses {
		if other != h && other.granter != nil {
			other.stop()
		}
	}
	for range w.rng.IntN(12 * len(w.hosts)) {
		other := w.hosts[w.rng.IntN(len(w.hosts))]
		switch p := w.rng.Float64(); {
		case other.granter == nil:
		case p < 0.4:
			w.observe(other)
		case p < 0.6:
			w.writeLedger(other)
		case p < 0.85:
			w.lend(other, testAccounts[0]) // shows whose process has ended
		case p < 0.9:
			w.putBudget(other, testAccounts[w.rng.IntN(len(testAccounts))])
		default:
			w.now += time.Duration(w.rng.Int64N(int64(300 * time.Millisecond)))
		}
	}
}

// compose lets all that live tell what they know in a new era, and write its first budgets.
func (w *simulation) compose() {
	for range 4 {
		for _, other := range w.hosts {
			if other.granter != nil {
				w.writeLedger(other)
				w.observe(other)
			}
		}
		w.now += testimonyDelay / 2
	}
	for _, other := range w.hosts {
		for _, name := range testAccounts {
			if other.granter != nil {
				w.putBudget(other, name)
			}
		}
	}
}

// outcome draws the result of a write: applied with a response, applied without a
// response, applied later without a response, or refused.
func (w *simulation) outcome(h *simHost) string {
	if h.cutSteps > 0 || w.away {
		return "refused"
	}
	if w.reliable {
		return "done"
	}
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
	w.traffic.ledgerWrites++
	if w.flaw == omitTestimony {
		for name, told := range l.Others {
			l.Others[name] = Testimony{Met: told.Met}
		}
	}
	key := w.key(h.name, g.Era())
	kept := l
	if w.flaw == growFixedLimits {
		kept.Accounts = make(map[string]Limit)
		for name, limit := range l.Accounts {
			kept.Accounts[name] = Limit{Limit: limit.Limit}
		}
	}
	put := func() bool {
		if w.ledgers[key].version != version {
			return false
		}
		w.revision++
		w.ledgers[key] = stored[Ledger]{kept, w.revision}
		return true
	}
	switch w.outcome(h) {
	case "done":
		done := put()
		if w.contact(h) {
			h.ledger = 0
			return false
		}
		if done {
			g.LedgerWritten(l)
			h.ledger = w.revision
			return true
		}
		g.LedgerNotWritten(l)
		current := w.ledgers[key]
		if g.Owns(current.value) || w.restored {
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
	a := g.account(name)
	if g.Era() > 0 && a.version == 0 && !g.Complete() {
		return
	}
	w.traffic.budgetWrites++
	b, version := g.PlanBudget(w.clock(h), name)
	g.BudgetSent(name, b)
	era := g.Era()
	key := w.key(name, era)
	put := func() bool {
		if w.budgets[key].version != version {
			return false
		}
		w.revision++
		w.budgets[key] = stored[Budget]{b, w.revision}
		if version == 0 && era == w.era {
			w.checkComposed(name, b)
		}
		if granted := b.granted(); granted > w.prepaid && !w.restored {
			w.t.Fatalf("grants of %s sum to %d of %d prepaid", name, granted, w.prepaid)
		}
		return true
	}
	switch w.outcome(h) {
	case "done":
		done := put()
		if w.contact(h) {
			h.ledger = 0
			return
		}
		if !done {
			g.BudgetNotWritten(name)
		}
		h.observeBudget(w, name, w.budgets[key])
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

// checkComposed verifies that the budget of a new era covers all tokens that were used
// in former ones.
func (w *simulation) checkComposed(name string, b Budget) {
	if _, ok := b.Grants[writtenOff]; ok {
		return // what was used is part of the tokens that are written off
	}
	for _, h := range w.hosts {
		if granted := b.Grants[h.name].Granted; granted < h.usedOrLent[name] && w.violation == "" {
			w.violation = fmt.Sprintf("budget of %s is composed with %d tokens of %s, which has used %d", name, granted, h.name, h.usedOrLent[name])
		}
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
	if w.drills {
		switch p := w.rng.Float64(); {
		case p < 0.02:
			w.keepCopy()
		case p < 0.021, w.now < time.Hour+startup && p < 0.03:
			w.restore()
		case p < 0.022:
			h.cutSteps = w.rng.IntN(400)
		case p < 0.0225:
			w.prepaid += scarcePrepaid / 10
		}
	}
	for _, other := range w.hosts {
		other.cutSteps = max(0, other.cutSteps-1)
		other.muteSteps = max(0, other.muteSteps-1)
	}
	if w.leaves && w.randomBool(0.001) {
		h.muteSteps = w.rng.IntN(400)
	}
	if h.granter == nil {
		if h.cutSteps == 0 && !h.left && w.randomBool(0.3) {
			w.start(h)
		}
		return
	}
	if w.revision%40 == 0 {
		h.granter.RecordOutage(w.clock(h))
	}
	shares := steps{request: 0.35, settle: 0.5, ledger: 0.65, budget: 0.8, lend: 0.9, observe: 0.9, notes: 0.9, wait: 0.994}
	if w.drills {
		shares = steps{request: 0.35, settle: 0.45, ledger: 0.55, budget: 0.68, lend: 0.73, observe: 0.83, notes: 0.86, wait: 0.999}
	}
	switch p := w.rng.Float64(); {
	case p < shares.request:
		w.request(h, name)
	case p < shares.settle:
		w.settle(h)
	case p < shares.ledger:
		w.writeLedger(h)
	case p < shares.budget:
		w.putBudget(h, name)
	case p < shares.lend:
		w.lend(h, name)
	case p < shares.observe:
		w.observe(h)
	case p < shares.notes:
		w.exchangeNotes(h)
	case p < shares.wait:
		w.now += time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
	default:
		w.kill(h)
	}
}

// steps holds the cumulative shares of the kinds of steps. The rest are kills.
type steps struct{ request, settle, ledger, budget, lend, observe, notes, wait float64 }

func (w *simulation) writeLedger(h *simHost) {
	l := h.granter.PlanLedger(w.clock(h))
	h.granter.LedgerSent(l)
	if h.granter.ledgerEra != h.granter.Era() {
		h.ledger = w.ledgers[w.key(h.name, h.granter.Era())].version
	}
	w.putLedger(h, l, h.ledger)
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
	if lender == h || !w.reaches(h, lender) {
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
	w.loans++
	l := Loan{ID: fmt.Sprint(w.loans), Account: name}
	d := lender.granter.Lend(w.clock(lender), name, n)
	defer func() { h.granter.ObserveUsage(w.clock(h), name, lender.name, lender.granter.Usage(name)) }()
	if d.Outcome == Reserved {
		lender.granter.RecordLoan(w.clock(lender), l, n)
		lender.usedOrLent[name] += d.Own
		w.lent[name] += d.Own
		if !w.randomBool(0.1) {
			h.granter.AddBorrowed(name, n)
			return
		}
		for range 2 { // the first response may be lost
			lender.granter.CancelLoan(w.clock(lender), l.ID)
		}
	}
}

// stop ends the process. Its machine stays cut off if it was.
func (h *simHost) stop() { h.granter, h.reservations, h.ledger = nil, nil, 0 }

// kill ends a process, sometimes after it has returned its tokens, and sometimes
// reboots its machine.
func (w *simulation) kill(h *simHost) {
	if w.randomBool(0.5) {
		h.granter.Stop()
		if w.leaves && h.granter.ready {
			h.granter.Close()
			w.handOver(h)
			w.writeLedger(h)
			if w.randomBool(0.2) {
				w.calm = true
				for _, other := range w.hosts {
					if other != h && other.granter != nil {
						w.exchangeNotes(other)
					}
				}
				w.calm = false
			}
		}
		for _, name := range testAccounts {
			w.putBudget(h, name)
		}
	}
	h.stop()
	if w.leaves && w.randomBool(0.2) {
		w.leave(h)
	}
	if w.randomBool(0.3) {
		w.now += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
		w.reboot(h)
	}
}

// handOver makes a process that ends tell others what it knows. Some are not reached.
func (w *simulation) handOver(h *simHost) {
	m, ok := h.granter.Handover()
	if !ok {
		return
	}
	for _, other := range w.hosts {
		if other == h || other.granter == nil || h.muteSteps+other.muteSteps > 0 || !w.steady && w.randomBool(0.1) {
			continue
		}
		g := other.granter
		if record := func() { g.RecordHandover(w.clock(other), m) }; !w.steady && w.randomBool(0.1) {
			w.delayed = append(w.delayed, record)
		} else {
			record()
		}
	}
	if w.flaw == useAfterHandover {
		h.granter.closed, h.granter.stopping = false, false
		calm := w.calm
		w.calm = true
		defer func() { w.calm = calm }()
		for _, other := range w.hosts {
			if other != h && other.granter != nil && w.reaches(h, other) {
				w.exchangeNotes(other)
				w.request(other, testAccounts[0])
			}
		}
		for range 4 {
			w.request(h, testAccounts[0])
		}
		h.granter.Close()
	}
}

// leave makes an instance stay away, unless no other one is left, and sometimes adds one.
func (w *simulation) leave(h *simHost) {
	rest := 0
	for _, other := range w.hosts {
		if !other.left {
			rest++
		}
	}
	if rest > 1 {
		h.left, h.dark = true, w.randomBool(0.3)
	}
	if w.randomBool(0.4) {
		other := &simHost{name: fmt.Sprintf("entry-%d", len(w.hosts)), usedOrLent: make(map[string]int64)}
		w.hosts = append(w.hosts, other)
		w.reboot(other)
	}
}

// run simulates random steps and returns the first violated invariant, or "".
func (w *simulation) run(steps int) string {
	for range steps {
		w.step()
		if violation := w.check(); violation != "" {
			return violation
		}
	}
	return ""
}

// check returns a violated invariant, or "".
func (w *simulation) check() string {
	if w.violation != "" {
		return w.violation
	}
	for _, name := range testAccounts {
		used := w.used[name]
		if used > w.prepaid {
			return fmt.Sprintf("callers of %s got %d of %d prepaid", name, used, w.prepaid)
		}
		loans, spendable := int64(0), int64(0)
		for _, h := range w.hosts {
			if h.granter != nil {
				a := h.granter.account(name)
				loans += a.borrowed
				if spendable += a.borrowed; a.fenced {
					spendable += max(0, h.granter.grantInForce(a)-a.used())
				}
			}
			if _, ok := w.budgets[w.key(name, w.era)].value.Grants[writtenOff]; ok || w.wroteOff {
				w.wroteOff = true // tokens that were used are no longer counted where they were used
			} else if h.granter != nil && h.granter.account(name).fenced && h.granter.account(name).used() < h.usedOrLent[name] {
				return fmt.Sprintf("%s used %d tokens of %s but counts %d", h.name, h.usedOrLent[name], name, h.granter.account(name).used())
			}
			if granted := w.budgets[w.key(name, w.era)].value.Grants[h.name].Granted; h.usedOrLent[name] > granted && !w.restored {
				return fmt.Sprintf("%s used %d tokens of %s but was granted %d", h.name, h.usedOrLent[name], name, granted)
			}
		}
		if used+spendable > w.prepaid {
			return fmt.Sprintf("callers of %s got %d of %d prepaid, and instances may spend %d more", name, used, w.prepaid, spendable)
		}
		if loans > w.lent[name] {
			return fmt.Sprintf("%d borrowed tokens of %s are unused, only %d were lent", loans, name, w.lent[name])
		}
	}
	return ""
}

// Guards against spending more than is prepaid when processes are killed, machines
// reboot, and store writes and their responses are lost or delayed.
func TestNoOverspend(t *testing.T) {
	for i := range max(400, *overspendSeeds) {
		seed := *overspendFirst + i
		if violation := newSimulation(t, seed, noFlaw, 3, false).run(2500); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// Guards against spending more than is prepaid when, in addition, the store is restored
// from older copies, also several times and while instances are dead.
func TestNoOverspendAfterRestores(t *testing.T) {
	served, seeds := int64(0), max(400, *overspendSeeds)
	for i := range seeds {
		seed := *overspendFirst + i
		w := newSimulation(t, seed, noFlaw, 3+int(seed%5), true)
		if violation := w.run(2500); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		served += w.used[testAccounts[0]]
	}
	t.Logf("%d of %d prepaid tokens used", served, int64(seeds)*scarcePrepaid)
}

// Guards against spending more than is prepaid when, in addition, instances leave for good,
// in order or not, until one is left, are silent for a while, and others come.
func TestNoOverspendAfterDepartures(t *testing.T) { testDepartures(t, false, 0, 400) }

// Guards against spending more than is prepaid when, in addition, the store is restored twice,
// and witnesses of a grant end between the two restores, before its holder is lost. Seed 1087
// shows a read before the budgets are composed that counts as knowledge of an ended process.
func TestNoOverspendBetweenRestores(t *testing.T) { testDepartures(t, true, 1000, 100) }

func testDepartures(t *testing.T, twice bool, first, seeds uint64) {
	t.Parallel()
	served := int64(0)
	if *moreSeeds > 0 {
		first, seeds = *firstSeed, *moreSeeds
	}
	for i := range seeds {
		seed := first + i
		w := newSimulation(t, seed, noFlaw, 1+int(seed%7), true)
		w.leaves, w.twice = true, twice
		if violation := w.run(2500); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		served += w.used[testAccounts[0]]
	}
	t.Logf("%d of %d prepaid tokens used", served, int64(seeds)*scarcePrepaid)
}

var (
	firstSeed = flag.Uint64("departures.first", 0, "with departures.seeds, first seed of TestNoOverspendAfterDepartures and TestNoOverspendBetweenRestores")
	moreSeeds = flag.Uint64("departures.seeds", 0, "number of their seeds, 0: a few")

	overspendFirst = flag.Uint64("overspend.first", 0, "first seed of TestNoOverspend and TestNoOverspendAfterRestores")
	overspendSeeds = flag.Uint64("overspend.seeds", 0, "number of their seeds, at least 400")
)

// Guards against checks of the simulation that do not detect a missing safeguard.
func TestMissingSafeguardIsDetected(t *testing.T) {
	tests := []struct {
		flaws  []flaw
		drills bool
		leaves bool
	}{
		{[]flaw{dropUnansweredLedger, dropUnansweredBudget, skipFence, trustPublishedSpend, reuseBootID, countReturnsTwice, growFixedLimits}, false, false},
		{[]flaw{composeEarly, omitTestimony, trustOldLedger, reuseObjectNames}, true, false},
		{[]flaw{skipWitnesses, useAfterHandover}, true, true},
	}
	for _, tt := range tests {
		for _, f := range tt.flaws {
			t.Run(string(f), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2000) { // the rarest shows in one of 290
					hosts := 3
					if tt.drills {
						hosts += int(seed % 5)
					}
					w := newSimulation(t, seed, f, hosts, tt.drills)
					w.leaves = tt.leaves
					if w.run(2500) != "" {
						return
					}
				}
				t.Error("no seed detects the missing safeguard")
			})
		}
	}
}
