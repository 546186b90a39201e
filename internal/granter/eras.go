package granter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisylane/internal/checker"
)

// A store that is restored from an older copy starts a new era. What the instances
// wrote since the copy was made is gone, so the copy may offer tokens again that are
// already granted. Nothing that was stored in a former era is trusted: each era has
// its own objects, which begin empty and which delayed writes of former eras cannot
// reach.
//
// An instance that lives through the change records in its first ledger of the new era
// what it has been granted. When all instances have done so, the budgets are composed
// of these grants. Until then nothing is granted, but each instance may spend what it
// has. For an instance that does not respond, the others record what they remember.
// This is enough because a grant is used only after other instances have confirmed
// that they know it, see [Granter.WitnessesNeeded]. If too many are lost for that, all
// tokens that nobody can account for are written off; what is prepaid later can be
// used.

const (
	// testimonyDelay is how long instances may take to write their first ledger of an
	// era before the others record what they remember of them.
	testimonyDelay = time.Second
	// tellTimeout is how long an instance may take to tell what it remembers before it
	// counts as lost.
	tellTimeout = 3 * testimonyDelay
	// idleAge is the time without a new ledger after which an instance counts as gone.
	// It is three times the interval of an idle instance.
	idleAge = 3 * idleLedgerInterval
	// absenceAge is the time without a new ledger after which an instance that writes one
	// again counts as new: others may take it for gone.
	absenceAge = 2 * idleLedgerInterval
	// newcomerTime is how long others may take to read the first ledger of a new process
	// that they do not accept a greeting of. It is several times the interval at which
	// ledgers are read.
	newcomerTime = 15 * time.Second
	// freshTime is how old the ledgers that were read last may be to tell that an instance
	// has not come back: shorter than newcomerTime by the time of some store calls.
	freshTime = 12 * time.Second
	// writeOffDelay is how long instances may take to tell of their grants before all
	// tokens that nobody can account for count as spent. It covers most cuts and freezes.
	writeOffDelay = 10 * time.Second
	// writtenOff is the entry of these tokens in a budget. It is no name of an instance.
	writtenOff = "(written off)"
)

// Memory is what a process knows of the eras before its current one.
type Memory string

// Kinds of memory.
const (
	NoMemory   Memory = ""      // a new instance, which has nothing to know
	FullMemory Memory = "whole" // the process has lived through the change of the era
	LostMemory Memory = "lost"  // a predecessor of the process existed in a former era
)

// Check validates the value.
func (m Memory) Check() error {
	var f checker.Validator
	f.Require(m == NoMemory || m == FullMemory || m == LostMemory, "memory", "is %q, must be empty, %q or %q", m, FullMemory, LostMemory)
	return f.Err()
}

// Testimony is what a process remembers of another instance that has not written a
// ledger in this era.
type Testimony struct {
	Idle   bool             `json:"idle,omitempty"`   // it had written no ledger for a long time
	Active bool             `json:"active,omitempty"` // it was seen to write ledgers
	Met    bool             `json:"met,omitempty"`    // it counted the process as a peer, see [Greeting]
	Seen   string           `json:"seen,omitempty"`   // incarnation of its newest process, if it is certain
	Ended  string           `json:"ended,omitempty"`  // incarnation that has handed over, see [Handover]
	Held   map[string]int64 `json:"held,omitempty"`   // tokens granted to it at most, by account
	Final  map[string]int64 `json:"final,omitempty"`  // tokens that it had used at its end, by account, see [Handover]
}

// Greeting tells another instance about the sender, which it may not have seen in the
// store yet. Only an instance that counts all its peers has enough of them confirm its
// grants.
type Greeting struct {
	Era         int64  `json:"era"`
	Instance    string `json:"instance"`
	Addr        string `json:"addr"`         // at which the sender lends tokens
	Incarnation string `json:"by,omitempty"` // of the sender
}

// Check validates the greeting.
func (m Greeting) Check() error {
	var f checker.Validator
	f.Require(m.Era > 0, "era", "is %d, must be positive", m.Era)
	f.Require(m.Instance != "", "instance", "is empty")
	f.Require(m.Addr != "", "addr", "is empty")
	return f.Err()
}

// Note tells another instance about a grant, so that the grant is known if the store
// loses it.
type Note struct {
	Era      int64  `json:"era"`
	Account  string `json:"account"`
	Instance string `json:"instance"` // that has the grant
	Version  uint64 `json:"version"`  // of the budget with the grant
	Granted  int64  `json:"held"`
}

// Check validates the note.
func (n Note) Check() error {
	var f checker.Validator
	f.Require(n.Era > 0, "era", "is %d, must be positive", n.Era)
	f.Require(n.Account != "", "account", "is empty")
	f.Require(n.Instance != "", "instance", "is empty")
	f.Require(n.Granted >= 0, "held", "is %d, must not be negative", n.Granted)
	return f.Err()
}

// sighting is the newest ledger of an instance that this process has seen.
type sighting struct {
	incarnation string
	number      int64
	since       time.Duration // when it was first read
	replaced    bool          // an older ledger was read before
}

// eraState is the part of a [Granter] that belongs to the current era of the store.
type eraState struct {
	number int64
	began  time.Duration // when this process learned of it
	// fleet is how many instances counted when this process learned of the era. Those that
	// have started since were no witnesses of grants in former eras.
	fleet    int
	former   int64             // the era before it in this process, 0: none, or the store said nothing
	memory   Memory            // of this process
	knowsOwn bool              // with lost memory, this process knows its own grants
	told     bool              // a predecessor has recorded all that it remembered
	ledgers  map[string]Ledger // of all instances, by name
	absent   []string          // instances that have ledgers of former eras only
	memories map[string]Testimony
	met      map[string]bool // instances that count this one as a peer
	// elders are the instances that had registered when this one was seen to have done so,
	// nil: not seen yet.
	elders       map[string]bool
	registeredAt time.Duration     // when this process wrote its first ledger, 0: not yet
	greeted      map[string]string // incarnations of instances that have greeted this one
	sightings    map[string]sighting
	lastRead     time.Duration // of the ledgers
	complete     bool          // the budgets of the era can be composed
	writeOff     bool          // and count what nobody can account for as spent
	// composedAt is when this process found all budgets of the era composed, 0: not yet.
	// From then on it knows the grants of an instance that does not write.
	composedAt time.Duration
	// Recorded by a predecessor in this era:
	grants map[string]Grant
	others map[string]Testimony
}

// Era returns the current era of the store, 0 if the store does not say.
func (g *Granter) Era() int64 { return g.era.number }

// SetEra starts a higher era. It reports whether the era has changed.
func (g *Granter) SetEra(now time.Duration, era int64) bool {
	if era <= g.era.number {
		return false
	}
	if !g.ready {
		g.era.number, g.era.began = era, now
		for _, a := range g.accounts {
			a.startEra(0, false)
		}
		g.pendingLedgers = nil
		return true
	}
	next := eraState{
		number: era, began: now, fleet: g.liveCount(), former: g.era.number, memory: LostMemory,
		ledgers: make(map[string]Ledger), memories: make(map[string]Testimony), met: make(map[string]bool), greeted: make(map[string]string), sightings: g.era.sightings, lastRead: g.era.lastRead,
	}
	next.knowsOwn = g.knowsItself()
	if g.peersKnown && (g.era.memory == FullMemory || g.era.composedAt > 0) {
		next.memory = FullMemory
	}
	for name, a := range g.accounts {
		g.rememberOthers(name, a, next.memories)
		a.startEra(g.grantInForce(a), next.knowsOwn)
	}
	for name := range g.peers {
		if name != g.name {
			t := next.memories[name]
			t.Met = g.era.met[name] && g.ledger.Age(now) < absenceAge
			t.Active, t.Idle = g.activity(name)
			e := g.ends[name]
			if t.Idle = t.Idle && now-max(g.era.lastRead, e.handedOver) < freshTime; t.Idle && e.era == g.era.number {
				t.Final, t.Ended = e.used, e.incarnation // other processes may have followed in other eras
			}
			if seen := g.era.sightings[name].incarnation; g.era.greeted[name] == "" || g.era.greeted[name] == seen {
				t.Seen = seen
			}
			next.memories[name] = t
		}
	}
	g.era = next
	g.pendingLedgers = nil // they write to objects of the former era
	return true
}

// activity reports whether an instance is seen to write ledgers, and whether it has
// certainly written none for a long time.
func (g *Granter) activity(name string) (active, idle bool) {
	if e, ended := g.ends[name]; ended {
		return false, e.known
	}
	seen, known := g.era.sightings[name]
	recent := !known || g.era.lastRead-max(seen.since, g.era.composedAt) < idleAge
	return recent && seen.replaced, !recent && g.era.composedAt > 0
}

// knowsItself reports whether this process knows all grants of its instance. One that
// took itself for a new instance has learned of a predecessor when the budgets of the
// era are composed.
func (g *Granter) knowsItself() bool {
	return g.era.knowsOwn || g.era.composedAt > 0
}

// allComposed reports whether this process has seen a budget of this era of each account.
func (g *Granter) allComposed() bool {
	for _, a := range g.accounts {
		if a.prepaid >= 0 && a.version == 0 {
			return false
		}
	}
	return true
}

// rememberOthers adds what is known of the grants of other instances.
func (g *Granter) rememberOthers(name string, a *account, memories map[string]Testimony) {
	held := make(map[string]int64)
	for instance, grant := range a.budget.Grants {
		held[instance] = grant.Granted
	}
	for instance, n := range a.notes {
		if n.Version > a.version {
			held[instance] = n.Granted
			grant := a.budget.Grants[instance]
			grant.Granted = n.Granted
			a.budget = a.budget.WithGrant(instance, grant)
		}
	}
	for instance, tokens := range held {
		if instance == g.name || tokens == 0 {
			continue
		}
		t := memories[instance]
		if t.Held == nil {
			t.Held = make(map[string]int64)
		}
		t.Held[name] = tokens
		memories[instance] = t
	}
	a.notes = nil
}

// startEra drops what refers to objects of the former era. If the process knows its own
// grants, the account keeps the tokens whose use was permitted.
func (a *account) startEra(inForce int64, knowsOwn bool) {
	a.pendingWrites, a.version, a.confirmVersion, a.reported = nil, 0, 0, nil
	if knowsOwn {
		if a.carried = true; a.fenced {
			a.granted = max(inForce, a.used()) // a predecessor may have used more
			a.confirmed = a.granted
		}
		return
	}
	a.fenced, a.granted, a.confirmed, a.maxPriorSpend = false, 0, 0, unbounded
}

// ObserveLedgers sets the ledgers of the current era, by instance, and the names of
// instances that have ledgers of former eras only.
func (g *Granter) ObserveLedgers(now time.Duration, ledgers map[string]Ledger, absent []string) {
	g.era.ledgers, g.era.absent, g.era.lastRead = ledgers, absent, now
	for name, l := range ledgers {
		g.SetPeer(name, l.Addr)
		g.observeLedger(name, l)
		seen, known := g.era.sightings[name]
		if !known || seen.incarnation != l.Incarnation || seen.number != l.Number {
			g.era.sightings[name] = sighting{l.Incarnation, l.Number, now, known}
		}
	}
	if _, written := ledgers[g.name]; written {
		g.peersKnown = true
		if g.era.elders == nil && g.era.registeredAt > 0 {
			g.era.elders = make(map[string]bool)
			for name := range ledgers {
				if name != g.name {
					g.era.elders[name] = true
				}
			}
		}
	}
	known := g.era.number == 0 || g.canCompose(now)
	g.era.writeOff = !known && now-max(g.era.began, g.startedAt) >= writeOffDelay
	g.era.complete = known || g.era.writeOff
	g.checkComposed(now)
}

// checkComposed records when all budgets of the era are composed.
func (g *Granter) checkComposed(now time.Duration) {
	if g.era.composedAt == 0 && g.ready && g.allComposed() {
		g.era.composedAt = now
	}
}

// Complete reports whether enough is known of all instances to compose the budgets of
// this era.
func (g *Granter) Complete() bool { return g.era.complete }

// WritesOff reports whether tokens that nobody can account for are written off.
func (g *Granter) WritesOff() bool { return g.era.writeOff }

// Settled reports whether all budgets of the era are composed, as far as it matters.
func (g *Granter) Settled() bool {
	return g.era.number == 0 || g.era.complete && g.era.composedAt > 0
}

// unregistered returns the instances that existed in a former era and whose grants are
// not known from themselves. It has this one if the process began without them.
func (g *Granter) unregistered() map[string]bool {
	missing := make(map[string]bool)
	add := func(name string) {
		l := g.era.ledgers[name]
		if name == g.name && (g.era.memory != LostMemory || g.era.knowsOwn) || l.tells() || l.Grants != nil {
			return
		}
		missing[name] = true
	}
	if g.era.memory == LostMemory {
		add(g.name)
	}
	for _, name := range g.era.absent {
		add(name)
	}
	for name := range g.era.memories {
		add(name)
	}
	for name, l := range g.era.ledgers {
		if l.Memory == LostMemory {
			add(name)
		}
		for other := range l.Others {
			add(other)
		}
	}
	return missing
}

// canCompose reports whether the grants of all instances are known. The grants of one
// that has not registered are known if not all of its witnesses can be missing.
func (g *Granter) canCompose(now time.Duration) bool {
	missing := g.unregistered()
	if g.era.memory == NoMemory {
		return len(missing) == 0 && !g.anyMemory()
	}
	former, tells := g.era.former, g.era.memory == FullMemory || g.era.told
	for _, l := range g.era.ledgers {
		if l.tells() {
			former, tells = max(former, l.Former), true
		}
	}
	if !tells {
		return false // nobody remembers the former era
	}
	if len(missing) > 0 && former == 0 {
		return false // in a store that says no era, grants have no witnesses
	}
	lost := 0
	for name := range missing {
		if name != writtenOff && !g.isIdle(name) {
			lost++
		}
		for other, l := range g.era.ledgers {
			if _, ended := g.ends[other]; ended {
				continue // it counts as untold
			}
			if _, told := l.Others[name]; l.Memory == FullMemory && other != g.name && !told {
				return false // its testimony is still to come
			}
		}
	}
	for name, l := range g.era.ledgers {
		if l.Memory == LostMemory && !l.Told && !missing[name] {
			lost++ // its predecessor may have been a witness
		}
	}
	if untold := g.untold(); untold > 0 {
		if lost += untold; now-max(g.era.began, g.startedAt) < tellTimeout || lost > witnesses(min(g.era.fleet, g.liveCount())) {
			return false // they may know of instances that this one has not heard of
		}
	}
	for name := range missing {
		if name != writtenOff && !g.isIdle(name) && lost > g.witnessesOf(name) {
			return false
		}
	}
	return true
}

// untold returns how many others have not told all that they remember.
func (g *Granter) untold() int {
	n := 0
	for name, l := range g.era.ledgers {
		if l.Memory == FullMemory && !l.Told && name != g.name {
			n++
		}
	}
	return n
}

// witnessesOf returns how many others knew each grant of a missing instance at least.
func (g *Granter) witnessesOf(name string) int {
	met := 0
	for _, l := range g.era.ledgers {
		if l.tells() && l.Others[name].Met {
			met++
		}
	}
	return witnesses(met + 1)
}

// anyMemory reports whether an instance has lived in a former era. Then a new instance
// cannot know whether it has a predecessor.
func (g *Granter) anyMemory() bool {
	for _, l := range g.era.ledgers {
		if l.Memory != NoMemory {
			return true
		}
	}
	return false
}

// isIdle reports whether an instance had been gone for long, or had handed over what it
// knew, when the era began.
func (g *Granter) isIdle(name string) bool {
	told := []Testimony{g.era.memories[name]}
	for _, l := range g.era.ledgers {
		told = append(told, l.Others[name])
	}
	idle, ended := false, make(map[string]bool)
	for _, t := range told {
		idle = idle || t.Idle
		ended[t.Ended] = true
	}
	for _, t := range told {
		// An instance that a hand-over did not reach has seen the same process as live.
		if t.Active && (t.Seen == "" || !ended[t.Seen]) {
			return false
		}
	}
	return idle
}

// compose returns the budget of an account at the start of the era. The grants of
// instances that have not registered count as spent.
func (g *Granter) compose(name string) Budget {
	var b Budget
	for instance, l := range g.era.ledgers {
		if grant, ok := l.Grants[name]; ok && instance != g.name {
			b = b.WithGrant(instance, grant)
		}
	}
	for instance := range g.unregistered() {
		if grant := g.heldBy(instance, name); grant.Granted > 0 {
			b = b.WithGrant(instance, grant)
		}
	}
	return b
}

// heldBy returns the grant of an instance that has not registered. All that it can have used
// counts as spent. What it said at its end counts if nobody has seen another process of it
// since.
func (g *Granter) heldBy(instance, account string) Grant {
	var held, used int64
	final := g.isIdle(instance)
	take := func(t Testimony) {
		held = max(held, t.Held[account])
		n, ok := t.Final[account]
		final, used = final && ok, max(used, n)
	}
	own := g.era.memories[instance]
	if held = own.Held[account]; g.era.memory == FullMemory {
		take(own)
	}
	for name, l := range g.era.ledgers {
		t, recorded := l.Others[instance]
		if live := name == g.name && g.era.memory == FullMemory; !live && (recorded || l.tells()) {
			take(t)
		}
	}
	if final {
		return Grant{Granted: used, Spent: used}
	}
	return Grant{Granted: held, Spent: held, Lost: held}
}

// startOfEra returns what this instance was granted of an account when the era began.
func (g *Granter) startOfEra(name string, a *account) Grant {
	switch grant, recorded := g.era.grants[name]; {
	case g.era.knowsOwn || g.era.memory == NoMemory:
		own := a.budget.Grants[g.name]
		own.Granted = a.granted
		return own
	case recorded:
		return grant
	case g.era.told || g.era.grants != nil:
		return Grant{}
	}
	return g.heldBy(g.name, name)
}

// withWriteOff returns a budget that grants all that is prepaid. Only tokens that are
// prepaid later can be granted then.
func (b Budget) withWriteOff(prepaid int64) Budget {
	lost := prepaid - b.granted()
	if lost <= 0 {
		return b
	}
	lost += b.Grants[writtenOff].Granted
	return b.WithGrant(writtenOff, Grant{Granted: lost, Spent: lost, Lost: lost})
}

// ownGrants returns the grants to record in the ledger of a process that knows them.
func (g *Granter) ownGrants() map[string]Grant {
	grants := make(map[string]Grant)
	for name, a := range g.accounts {
		switch {
		case a.fenced && a.granted > 0:
			grants[name] = Grant{Granted: a.granted, Spent: a.spent, Lost: min(a.lost, a.spent), WrittenBy: g.incarnation}
		case !a.fenced && a.budget.Grants[g.name].Granted > 0:
			grants[name] = a.budget.Grants[g.name]
		}
	}
	return grants
}

// testimonies returns what to record about instances that have not registered.
func (g *Granter) testimonies(now time.Duration) map[string]Testimony {
	if g.era.memory != FullMemory || now-g.era.began < testimonyDelay && !g.closed {
		return nil
	}
	told := make(map[string]Testimony)
	for name := range g.unregistered() {
		told[name] = g.era.memories[name]
	}
	return told
}

// hasTold reports whether the testimonies name all instances that have not registered.
func (g *Granter) hasTold(now time.Duration) bool {
	switch {
	case g.era.memory != FullMemory:
		return g.era.told
	case g.closed, now-g.era.began >= testimonyDelay:
		return true // of an instance that it has not heard of it knows nothing
	}
	return g.era.lastRead >= g.era.began && len(g.unregistered()) == 0
}

// testimonyDue reports whether the ledger lacks the testimony on an instance.
func (g *Granter) testimonyDue(now time.Duration) bool {
	if !g.ledger.Told && g.era.memory == FullMemory && g.hasTold(now) {
		return true
	}
	for name := range g.testimonies(now) {
		if _, told := g.ledger.Others[name]; !told {
			return true
		}
	}
	return false
}

// witnesses returns how many other instances of a fleet have to know a grant before it
// is used. It grows with the fleet, because more instances may be lost at once.
func witnesses(instances int) int {
	switch {
	case instances < 2:
		return 0
	case instances < 5:
		return 1
	case instances < 17:
		return 2
	}
	return 3
}

// WitnessesNeeded returns how many other instances have to confirm that they know a
// grant before it is used. If the store is restored from an older copy and no more
// instances are lost, one of them is left and tells.
func (g *Granter) WitnessesNeeded(now time.Duration) int {
	if g.era.number == 0 {
		return 0
	}
	live := g.liveCount()
	n := witnesses(live)
	if g.newcomer && !g.Introduced(now) || g.ledger.Age(now) >= absenceAge {
		n++
	}
	return min(n, live-1)
}

// grantInForce returns the smallest grant that any pending write can leave in force,
// as far as other instances know it.
func (g *Granter) grantInForce(a *account) int64 {
	if g.era.number == 0 || len(g.peers) < 2 {
		return a.minGranted()
	}
	return min(a.minGranted(), a.confirmed)
}

// NotesDue returns the grants that other instances have to confirm before they are used.
func (g *Granter) NotesDue() []Note {
	if g.era.number == 0 {
		return nil
	}
	var due []Note
	for name, a := range g.accounts {
		if a.fenced && a.version > 0 && a.version >= a.confirmVersion && a.granted > a.confirmed {
			due = append(due, Note{Era: g.era.number, Account: name, Instance: g.name, Version: a.version, Granted: a.granted})
		}
	}
	slices.SortFunc(due, func(m, n Note) int { return cmp.Compare(m.Account, n.Account) })
	return due
}

// Witnesses returns the other instances in the order in which they are asked to confirm
// the grants of an account. Those that have ended or are long silent are left out.
func (g *Granter) Witnesses(account string) []Lender {
	var list []Lender
	for name, addr := range g.peers {
		if name != g.name && !g.isGone(name) {
			list = append(list, Lender{name, addr})
		}
	}
	rank := func(l Lender) uint64 { return xxhash.Sum64String(account + "\x00" + g.name + "\x00" + l.Name) }
	slices.SortFunc(list, func(a, b Lender) int { return cmp.Compare(rank(b), rank(a)) })
	return list
}

// GreetingsDue returns the instances that may not count this one as a peer yet. They are
// greeted after the own ledger is written, so that their successors read it.
func (g *Granter) GreetingsDue() []Lender {
	if g.era.number == 0 || g.ledgerEra != g.era.number {
		return nil
	}
	var list []Lender
	for name := range g.era.ledgers {
		if _, idle := g.activity(name); name != g.name && !g.era.met[name] && !idle {
			list = append(list, Lender{name, g.peers[name]})
		}
	}
	slices.SortFunc(list, func(p, q Lender) int { return cmp.Compare(p.Name, q.Name) })
	return list
}

// Greeting returns the greeting of this instance.
func (g *Granter) Greeting() Greeting {
	return Greeting{Era: g.era.number, Instance: g.name, Addr: g.addr, Incarnation: g.incarnation}
}

// RecordGreeting counts another instance as a peer. It reports false if the greeting
// belongs to another era.
func (g *Granter) RecordGreeting(m Greeting) bool {
	if m.Era != g.era.number || m.Instance == g.name || g.closed {
		return false
	}
	g.greetings[m.Instance]++
	g.recordLife(m.Instance)
	g.era.greeted[m.Instance] = m.Incarnation
	if seen, ok := g.era.sightings[m.Instance]; ok {
		seen.since = max(seen.since, g.era.lastRead)
		g.era.sightings[m.Instance] = seen
	}
	g.SetPeer(m.Instance, m.Addr)
	return true
}

// Met records that instances of an era have accepted a greeting. The budgets must have
// been read since, so that this process knows the grants that were confirmed before.
func (g *Granter) Met(era int64, names []string) {
	if era != g.era.number {
		return
	}
	for _, name := range names {
		g.era.met[name] = true
	}
}

// RecordNote remembers the grant of another instance. It reports false if this process is no
// witness of it: the note belongs to another era, and so may come too late to be told to
// others, or those that are left may not know the process if it is lost, or it is about to end.
func (g *Granter) RecordNote(now time.Duration, n Note) bool {
	if n.Era != g.era.number || !g.ready || n.Instance == g.name {
		return false
	}
	g.remember(n)
	if g.ends[n.Instance].used != nil {
		g.recordLife(n.Instance) // another process, or an earlier message of the one that has ended
	}
	return !g.closed && g.Introduced(now)
}

// remember keeps a note unless a newer one is known.
func (g *Granter) remember(n Note) {
	a := g.account(n.Account)
	if a.notes == nil {
		a.notes = make(map[string]Note)
	}
	if n.Version >= a.notes[n.Instance].Version {
		a.notes[n.Instance] = n
	}
}

// Confirm records that enough instances have remembered a note.
func (g *Granter) Confirm(n Note) {
	a := g.account(n.Account)
	if n.Era == g.era.number && n.Version >= a.confirmVersion && n.Granted <= a.granted {
		a.confirmed = max(a.confirmed, n.Granted)
	}
}

// lowerConfirmed forgets confirmations that a smaller grant has made void: the
// witnesses may have seen the smaller one since. This includes confirmations of the former
// grant that are still to arrive.
func (a *account) lowerConfirmed(former, granted int64, version uint64) {
	if granted < max(former, a.confirmed) {
		a.confirmed, a.confirmVersion = min(granted, a.confirmed), version
	}
}

// RequiredConfig returns the highest configuration version that an instance had in
// force when it wrote its ledger.
func (g *Granter) RequiredConfig() int64 {
	version := int64(math.MinInt64)
	for l := range maps.Values(g.era.ledgers) {
		version = max(version, l.Config)
	}
	return version
}
