package granter

import (
	"maps"
	"slices"
	"time"

	"daisylane/internal/checker"
)

// Instances come and go. A grant needs other instances that know it, but only those that
// live can tell of it, so an instance counts only these among its peers: processes that
// have not ended. Otherwise one that is left alone could use no grant any more.
//
// A process has ended if it says so in its last ledger, or if its address refuses
// connections. Either way it never tells anything about a former era again, so it takes no
// part in what the others conclude, see [Granter.canCompose]. What it knew is known to
// each instance that has read the composed budgets of all accounts after its end: a grant is
// stored before others confirm it.
//
// An instance that only is silent may live. It counts for idleAge without a new ledger. One
// that has written none for absenceAge, which is shorter, must expect that it no longer
// counts, and has to be introduced anew.
//
// The successor of a process that has ended, like any new process, may be unknown to those
// that are left if it is lost. Until it is introduced it needs one more witness, and is no
// witness itself.

// ending is what is known of the end of another instance's process.
type ending struct {
	known       bool             // all budgets, composed, were read since, or it has handed over what it knew
	handedOver  time.Duration    // when it did, 0: it has not
	used        map[string]int64 // tokens that it had used then, by account
	incarnation string           // of the process that has
	era         int64            // of the handover
	earlier     []string         // incarnations of processes before it
}

// Handover is the last message of a process that ends in order. It has all that the process
// knows of grants, so that nothing is lost with it even if the store loses its last ledger.
type Handover struct {
	Era         int64            `json:"era"`
	Instance    string           `json:"instance"`
	Incarnation string           `json:"by"`
	Earlier     []string         `json:"earlier,omitempty"` // incarnations of former processes of the instance
	Used        map[string]int64 `json:"used"`              // tokens that the process has used, by account
	Notes       []Note           `json:"notes"`             // newest known grants of all instances
}

// Check validates the message.
func (h Handover) Check() error {
	var f checker.Validator
	f.Require(h.Era > 0, "era", "is %d, must be positive", h.Era)
	f.Require(h.Instance != "", "instance", "is empty")
	f.Require(h.Incarnation != "", "by", "is empty")
	for account, n := range h.Used {
		f.Require(n >= 0, "used."+account, "is %d, must not be negative", n)
	}
	for _, n := range h.Notes {
		f.AddNested("notes", n.Check())
	}
	return f.Err()
}

// Handover returns the last message of this process, see [Granter.Close]. It reports false
// if the store says no era, or the process does not know all grants of the era itself.
func (g *Granter) Handover() (Handover, bool) {
	h := Handover{Era: g.era.number, Instance: g.name, Incarnation: g.incarnation, Used: make(map[string]int64)}
	if !g.closed || !g.ready || h.Era == 0 || g.era.composedAt == 0 || !g.allComposed() {
		return h, false
	}
	earlier := map[string]bool{g.predecessor: true}
	for name, a := range g.accounts {
		if a.version == 0 {
			continue // unlimited
		}
		earlier[a.budget.Grants[g.name].WrittenBy] = true
		if a.fenced || a.granted == 0 {
			h.Used[name] = a.used()
		}
		for instance, grant := range a.budget.Grants {
			if instance != g.name && a.notes[instance].Version <= a.version {
				h.Notes = append(h.Notes, Note{Era: h.Era, Account: name, Instance: instance, Version: a.version, Granted: grant.Granted})
			}
		}
		for _, n := range a.notes {
			if n.Version > a.version {
				h.Notes = append(h.Notes, n)
			}
		}
		if a.granted > 0 {
			h.Notes = append(h.Notes, Note{Era: h.Era, Account: name, Instance: g.name, Version: a.version, Granted: a.granted})
		}
	}
	delete(earlier, "")
	delete(earlier, g.incarnation)
	h.Earlier = slices.Sorted(maps.Keys(earlier))
	return h, true
}

// RecordHandover takes over what a process that has ended knew. It reports false if it comes
// too late for that.
func (g *Granter) RecordHandover(now time.Duration, h Handover) bool {
	by := g.era.greeted[h.Instance]
	if h.Era != g.era.number || h.Instance == g.name || !g.ready || g.closed || by != "" && by != h.Incarnation {
		return false
	}
	if g.hasSuccessor(h) {
		return false
	}
	for _, n := range h.Notes {
		if n.Era == h.Era && n.Instance != g.name {
			g.remember(n)
		}
	}
	g.ends[h.Instance] = ending{known: true, handedOver: now, used: h.Used, incarnation: h.Incarnation, earlier: h.Earlier, era: h.Era}
	clear(g.lenders)
	return true
}

// hasSuccessor reports whether a process that follows the one that hands over was seen.
func (g *Granter) hasSuccessor(h Handover) bool {
	follows := func(incarnation string) bool {
		return incarnation != "" && incarnation != h.Incarnation && !slices.Contains(h.Earlier, incarnation)
	}
	for _, a := range g.accounts {
		if follows(a.budget.Grants[h.Instance].WrittenBy) {
			return true
		}
	}
	return follows(g.era.sightings[h.Instance].incarnation)
}

// Greetings returns how often another instance has greeted this one. See
// [Granter.RecordEnd].
func (g *Granter) Greetings(name string) int { return g.greetings[name] }

// RecordEnd records that the address of another instance has refused a connection, so that
// its process has ended. greetings is what [Granter.Greetings] returned before the call: if
// the instance has greeted this one since, it has started again.
func (g *Granter) RecordEnd(name string, greetings int) {
	if greetings == g.greetings[name] {
		g.recordEnd(name)
	}
}

// recordEnd does nothing in a store that says no era: no grant needs a witness then, and
// nobody greets, so a successor would not be noticed.
func (g *Granter) recordEnd(name string) {
	if _, ended := g.ends[name]; ended || name == g.name || g.era.number == 0 {
		return
	}
	g.ends[name] = ending{}
	clear(g.lenders)
}

// recordLife records that an instance has a process that lives.
func (g *Granter) recordLife(name string) {
	if _, ended := g.ends[name]; ended {
		delete(g.ends, name)
		clear(g.lenders)
	}
}

// Ended returns the instances whose process has ended.
func (g *Granter) Ended() []string {
	names := make([]string, 0, len(g.ends))
	for name := range g.ends {
		names = append(names, name)
	}
	return names
}

// BudgetsRead records that all budgets of an era were read after the end of processes, as
// returned by [Granter.Ended] before that. Until the budgets of the era are composed, they do
// not have what a process knew of former eras.
func (g *Granter) BudgetsRead(era int64, ended []string) {
	if era != g.era.number || !g.allComposed() {
		return
	}
	for _, name := range ended {
		if e, ok := g.ends[name]; ok {
			e.known = true
			g.ends[name] = e
		}
	}
}

// observeLedger takes over from a ledger whether the process that wrote it has ended. If
// another one has greeted this instance since, it has begun later.
func (g *Granter) observeLedger(name string, l Ledger) {
	g.observeProcess(name, l.Incarnation)
	if by := g.era.greeted[name]; l.Closed && (by == "" || by == l.Incarnation) {
		g.recordEnd(name)
	}
}

// observeProcess records that an instance has had another process than the one that has
// handed over and those before it.
func (g *Granter) observeProcess(name, incarnation string) {
	if e := g.ends[name]; e.incarnation != "" && e.incarnation != incarnation && !slices.Contains(e.earlier, incarnation) {
		g.recordLife(name)
	}
}

// isGone reports whether an instance no longer counts as a peer.
func (g *Granter) isGone(name string) bool {
	if _, ended := g.ends[name]; ended {
		return true
	}
	_, idle := g.activity(name)
	return idle
}

// liveCount returns the number of instances that count as peers, with this one.
func (g *Granter) liveCount() int {
	n := 1
	for name := range g.peers {
		if name != g.name && !g.isGone(name) {
			n++
		}
	}
	return n
}

// Close makes this process use and confirm nothing any more. Its next ledger says so.
func (g *Granter) Close() { g.Stop(); g.closed = true }

// recordAbsence makes others be greeted again: they may have ceased to count this instance.
func (g *Granter) recordAbsence(now time.Duration) {
	g.newcomer = true
	g.era.met, g.era.elders, g.era.registeredAt = make(map[string]bool), nil, now
}

// Registered reports whether this process has written a ledger in this era.
func (g *Granter) Registered() bool { return g.era.registeredAt > 0 }

// KnowsElders reports whether this process has seen who was registered before it.
func (g *Granter) KnowsElders() bool { return g.era.number == 0 || g.era.elders != nil }

// Introduced reports whether those that were registered before this process know it. One
// that registers later reads of it.
func (g *Granter) Introduced(now time.Duration) bool {
	if g.era.number == 0 {
		return true
	}
	if g.era.registeredAt > 0 && now-g.era.registeredAt >= newcomerTime {
		return true
	}
	if g.era.elders == nil {
		return false
	}
	for name := range g.era.elders {
		if !g.era.met[name] && !g.isGone(name) {
			return false
		}
	}
	return true
}
