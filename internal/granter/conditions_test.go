package granter

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// inEra returns a ready process of entry-0 in era 2 that has observed nothing yet.
func inEra(memory Memory) *Granter {
	g := New(Identity{Name: "entry-0", Addr: "entry-0", Incarnation: "by-0", Boot: "boot"})
	g.SetPrepaid("rider-app", fleetPrepaid)
	g.SetEra(time.Hour, 1)
	g.Recover(time.Hour, Ledger{})
	g.SetReady()
	g.SetEra(time.Hour, 2)
	g.era.memory, g.era.knowsOwn, g.era.former = memory, memory == FullMemory, 1
	return g
}

// Guards against conditions of the decisions after a restore that no schedule misses when they
// are left out: each row fails without one of them.
func TestConditionsAfterRestore(t *testing.T) {
	const other = "entry-1"
	now := time.Hour
	held := func(tokens int64) Testimony { return Testimony{Held: map[string]int64{"rider-app": tokens}} }
	composes := func(g *Granter) any { return g.canCompose(now) }
	oneLost := func(g *Granter) {
		g.era.memories[other] = Testimony{}
		g.era.ledgers["entry-2"] = Ledger{Memory: FullMemory, Told: true, Others: map[string]Testimony{other: {Met: true}}}
	}
	tests := []struct {
		name   string
		memory Memory
		change func(g *Granter)
		got    func(g *Granter) any
		want   any
	}{
		{"idle by one testimony of two", FullMemory, func(g *Granter) {
			g.era.memories[other] = Testimony{Idle: true}
			g.era.ledgers["entry-2"] = Ledger{Memory: FullMemory, Others: map[string]Testimony{other: {}}}
		}, func(g *Granter) any { return g.isIdle(other) }, true},
		{"seen live by one that does not know the process", FullMemory, func(g *Granter) {
			g.era.memories[other] = Testimony{Idle: true}
			g.era.ledgers["entry-2"] = Ledger{Memory: FullMemory, Others: map[string]Testimony{other: {Active: true}}}
		}, func(g *Granter) any { return g.isIdle(other) }, false},
		{"peers of a process that does not tell", FullMemory, func(g *Granter) {
			for _, name := range []string{"entry-2", "entry-3", "entry-4"} {
				g.era.ledgers[name] = Ledger{Memory: LostMemory, Others: map[string]Testimony{other: {Met: true}}}
			}
		}, func(g *Granter) any { return g.witnessesOf(other) }, 0},
		{"hand-over that one instance does not have", FullMemory, func(g *Granter) {
			g.era.memories[other] = Testimony{Idle: true, Held: map[string]int64{"rider-app": 10}, Final: map[string]int64{"rider-app": 5}}
			g.era.ledgers["entry-2"] = Ledger{Memory: FullMemory}
		}, func(g *Granter) any { return g.heldBy(other, "rider-app").Granted }, int64(10)},
		{"testimony recorded by a process that has not told all", FullMemory, func(g *Granter) {
			g.era.ledgers["entry-2"] = Ledger{Memory: LostMemory, Others: map[string]Testimony{other: held(20)}}
		}, func(g *Granter) any { return g.heldBy(other, "rider-app").Granted }, int64(20)},
		{"own ledger written before the newest testimony", FullMemory, func(g *Granter) {
			g.era.memories[other] = Testimony{Idle: true, Final: map[string]int64{"rider-app": 5}}
			g.era.ledgers["entry-0"] = Ledger{Memory: FullMemory}
		}, func(g *Granter) any { return g.heldBy(other, "rider-app").Granted }, int64(5)},
		{"live instance without grants", FullMemory, func(g *Granter) {
			g.era.memories[other] = Testimony{}
			g.era.ledgers[other] = Ledger{Memory: FullMemory}
		}, func(g *Granter) any { return len(g.unregistered()) }, 0},
		{"successor with grants", FullMemory, func(g *Granter) {
			g.era.ledgers[other] = Ledger{Memory: LostMemory, Grants: map[string]Grant{}}
		}, func(g *Granter) any { return len(g.unregistered()) }, 0},
		{"successor without grants", FullMemory, func(g *Granter) {
			g.era.ledgers[other] = Ledger{Memory: LostMemory}
		}, func(g *Granter) any { return g.unregistered()[other] }, true},
		{"own grants of a process that began without them", LostMemory, func(*Granter) {}, func(g *Granter) any { return g.unregistered()["entry-0"] }, true},
		{"own grants of a process with lost memory that knows them", LostMemory, func(g *Granter) { g.era.knowsOwn = true }, func(g *Granter) any { return len(g.unregistered()) }, 0},
		{"own name in another ledger", FullMemory, func(g *Granter) {
			g.era.knowsOwn = false
			g.era.ledgers[other] = Ledger{Memory: FullMemory, Others: map[string]Testimony{"entry-0": {}}}
		}, func(g *Granter) any { return len(g.unregistered()) }, 0},
		{"predecessor that had told and had no grants", LostMemory, func(g *Granter) {
			g.era.told = true
			g.era.ledgers[other] = Ledger{Memory: FullMemory, Others: map[string]Testimony{"entry-0": held(20)}}
		}, func(g *Granter) any { return g.startOfEra("rider-app", g.account("rider-app")).Granted }, int64(0)},
		{"predecessor that recorded no grant", LostMemory, func(g *Granter) {
			g.era.grants = map[string]Grant{}
			g.era.ledgers[other] = Ledger{Memory: FullMemory, Others: map[string]Testimony{"entry-0": held(20)}}
		}, func(g *Granter) any { return g.startOfEra("rider-app", g.account("rider-app")).Granted }, int64(0)},
		{"new instance takes no testimony for its own", NoMemory, func(g *Granter) {
			g.era.ledgers[other] = Ledger{Others: map[string]Testimony{"entry-0": held(20)}}
		}, func(g *Granter) any { return g.startOfEra("rider-app", g.account("rider-app")).Granted }, int64(0)},
		{"lost memory tells nothing", LostMemory, func(g *Granter) { g.era.memories[other] = held(20) }, func(g *Granter) any { return len(g.testimonies(now + time.Minute)) }, 0},
		{"lost memory has not told", LostMemory, func(*Granter) {}, func(g *Granter) any { return g.hasTold(now + time.Minute) }, false},
		{"process that ends tells at once", FullMemory, func(g *Granter) { g.era.memories[other] = held(20); g.Close() }, func(g *Granter) any { return len(g.testimonies(now)) }, 1},
		{"process that ends has told at once", FullMemory, func(g *Granter) { g.era.memories[other] = held(20); g.Close() }, func(g *Granter) any { return g.hasTold(now) }, true},
		{"nothing is told before the ledgers are read", FullMemory, func(*Granter) {}, func(g *Granter) any { return g.hasTold(now) }, false},
		{"starting process keeps its memory", NoMemory, func(g *Granter) { g.ready = false; g.SetEra(now, 3) }, func(g *Granter) any { return g.era.memory }, NoMemory},
		{"not introduced before it has registered", FullMemory, func(*Granter) {}, func(g *Granter) any { return g.Introduced(now) }, false},
		{"introduced although an elder has ended", FullMemory, func(g *Granter) {
			g.era.elders = map[string]bool{other: true}
			g.RecordEnd(other, 0)
		}, func(g *Granter) any { return g.Introduced(now) }, true},
		{"introduced without eras", FullMemory, func(g *Granter) { g.era.number = 0 }, func(g *Granter) any { return g.Introduced(now) && g.KnowsElders() }, true},
		{"elders are known", FullMemory, func(g *Granter) { g.era.elders = map[string]bool{} }, func(g *Granter) any { return g.KnowsElders() }, true},
		{"no witnesses without eras", FullMemory, func(g *Granter) { g.SetPeer(other, other); g.era.number = 0 }, func(g *Granter) any { return g.WitnessesNeeded(now) }, 0},
		{"no notes without eras", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.version, a.granted = true, 1, 10
			g.era.number = 0
		}, func(g *Granter) any { return len(g.NotesDue()) }, 0},
		{"confirmed grant needs no note", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.version, a.granted, a.confirmed = true, 1, 10, 10
		}, func(g *Granter) any { return len(g.NotesDue()) }, 0},
		{"grant that is not fenced needs no note", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.version, a.granted = 1, 10
		}, func(g *Granter) any { return len(g.NotesDue()) }, 0},
		{"carried grant needs no note", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.granted = true, 10
		}, func(g *Granter) any { return len(g.NotesDue()) }, 0},
		{"grant that may be lowered needs no note", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.version, a.granted, a.confirmVersion = true, 1, 10, 2
		}, func(g *Granter) any { return len(g.NotesDue()) }, 0},
		{"confirmation of more than is granted", FullMemory, func(g *Granter) {
			g.account("rider-app").granted = 10
			g.Confirm(Note{Era: 2, Account: "rider-app", Instance: "entry-0", Version: 1, Granted: 20})
		}, func(g *Granter) any { return g.account("rider-app").confirmed }, int64(0)},
		{"own note", FullMemory, func(g *Granter) { g.era.registeredAt, g.era.elders = now, map[string]bool{} }, func(g *Granter) any {
			return g.RecordNote(now, Note{Era: 2, Account: "rider-app", Instance: "entry-0", Granted: 10})
		}, false},
		{"own greeting", FullMemory, func(*Granter) {}, func(g *Granter) any { return g.RecordGreeting(g.Greeting()) }, false},
		{"greeting of a process that ends", FullMemory, func(g *Granter) { g.Close() }, func(g *Granter) any {
			return g.RecordGreeting(Greeting{Era: 2, Instance: other, Addr: other})
		}, false},
		{"greetings wait for the own ledger", FullMemory, func(g *Granter) { g.era.ledgers[other] = Ledger{} }, func(g *Granter) any { return len(g.GreetingsDue()) }, 0},
		{"no greetings without eras", FullMemory, func(g *Granter) {
			g.era.ledgers[other], g.era.number, g.ledgerEra = Ledger{}, 0, 0
		}, func(g *Granter) any { return len(g.GreetingsDue()) }, 0},
		{"no greeting to itself or to one that has accepted it", FullMemory, func(g *Granter) {
			g.era.ledgers["entry-0"], g.era.ledgers[other], g.era.met[other], g.ledgerEra = Ledger{}, Ledger{}, true, 2
		}, func(g *Granter) any { return len(g.GreetingsDue()) }, 0},
		{"own hand-over", FullMemory, func(*Granter) {}, func(g *Granter) any {
			return g.RecordHandover(now, Handover{Era: 2, Instance: "entry-0", Incarnation: "by-9"})
		}, false},
		{"hand-over of a process that has not greeted", FullMemory, func(*Granter) {}, func(g *Granter) any {
			return g.RecordHandover(now, Handover{Era: 2, Instance: other, Incarnation: "by-1"})
		}, true},
		{"notes of another era, and of the own grant, in a hand-over", FullMemory, func(g *Granter) {
			g.RecordHandover(now, Handover{Era: 2, Instance: other, Incarnation: "by-1", Notes: []Note{
				{Era: 1, Account: "rider-app", Instance: "entry-2", Version: 9, Granted: 1}, {Era: 2, Account: "rider-app", Instance: "entry-0", Version: 9, Granted: 1},
			}})
		}, func(g *Granter) any { return len(g.account("rider-app").notes) }, 0},
		{"refused connection after a hand-over", FullMemory, func(g *Granter) {
			g.RecordHandover(now, Handover{Era: 2, Instance: other, Incarnation: "by-1"})
			g.RecordEnd(other, 0)
		}, func(g *Granter) any { return g.ends[other].known }, true},
		{"own end", FullMemory, func(g *Granter) { g.RecordEnd("entry-0", 0) }, func(g *Granter) any { return len(g.Ended()) }, 0},
		{"budgets of another era", FullMemory, func(g *Granter) {
			g.RecordEnd(other, 0)
			g.account("rider-app").version = 1
			g.BudgetsRead(1, []string{other})
		}, func(g *Granter) any { return g.ends[other].known }, false},
		{"budgets that are not composed", FullMemory, func(g *Granter) {
			g.RecordEnd(other, 0)
			g.BudgetsRead(2, []string{other})
		}, func(g *Granter) any { return g.ends[other].known }, false},
		{"last ledger of a process that has not greeted", FullMemory, func(g *Granter) {
			g.ObserveLedgers(now, map[string]Ledger{other: {Incarnation: "by-1", Closed: true}}, nil)
		}, func(g *Granter) any { return slices.Contains(g.Ended(), other) }, true},
		{"witnesses are neither the holder nor ended", FullMemory, func(g *Granter) {
			g.SetPeer("entry-0", "entry-0")
			g.SetPeer(other, other)
			g.SetPeer("entry-2", "entry-2")
			g.RecordEnd(other, 0)
		}, func(g *Granter) any { return g.Witnesses("rider-app") }, []Lender{{"entry-2", "entry-2"}}},
		{"hand-over without unlimited accounts", FullMemory, func(g *Granter) {
			g.SetPrepaid("rider-app", -1)
			g.era.composedAt = now
			g.Close()
		}, func(g *Granter) any { h, _ := g.Handover(); return len(h.Used) }, 0},
		{"hand-over has the own grant once, and the newest of others", FullMemory, func(g *Granter) {
			g.ObserveBudget(now, "rider-app", Budget{Grants: map[string]Grant{"entry-0": {Granted: 5, WrittenBy: "by-0"}, other: {Granted: 6}}}, 3)
			g.remember(Note{Era: 2, Account: "rider-app", Instance: other, Version: 4, Granted: 7})
			g.Close()
		}, func(g *Granter) any { h, _ := g.Handover(); return h.Notes }, []Note{{2, "rider-app", other, 4, 7}, {2, "rider-app", "entry-0", 3, 5}}},
		{"age of a ledger without a boot", FullMemory, func(g *Granter) { g.bootID = "" }, func(g *Granter) any { return g.sameBoot(now, Ledger{}) }, false},
		{"last ledger with a limit that grows is not exact", FullMemory, func(g *Granter) {
			g.Recover(now, Ledger{Incarnation: "by-9", Closed: true, Accounts: map[string]Limit{"rider-app": {Limit: 5, Rate: 1}}})
		}, func(g *Granter) any { return g.account("rider-app").exactBy }, ""},
		{"account that the last ledger of the era does not name", FullMemory, func(g *Granter) {
			g.account("rider-app").maxPriorSpend = 0
			g.Recover(now, Ledger{Incarnation: "by-9", Memory: LostMemory})
		}, func(g *Granter) any { return g.account("rider-app").maxPriorSpend }, int64(unbounded)},
		{"account that is new after a start without a ledger", FullMemory, func(g *Granter) { g.RecoverLost(now) }, func(g *Granter) any { return g.account("carer-app").maxPriorSpend }, int64(unbounded)},
		{"grant that others have composed counts as spent", FullMemory, func(g *Granter) {
			g.account("rider-app").maxPriorSpend = 1
			g.account("rider-app").takePriorSpend(Grant{Granted: 9})
		}, func(g *Granter) any { return g.account("rider-app").spent }, int64(9)},
		{"budget write without effect is forgotten", FullMemory, func(g *Granter) {
			g.BudgetSent("rider-app", Budget{Grants: map[string]Grant{"entry-0": {Granted: 1}}})
			g.BudgetNotWritten("rider-app")
		}, func(g *Granter) any { return len(g.account("rider-app").pendingWrites) }, 0},
		{"first ledger after that of a predecessor", FullMemory, func(g *Granter) {
			g.ledger = Ledger{Incarnation: "by-9", Number: 5}
			g.LedgerWritten(Ledger{Incarnation: "by-0", Number: 1})
		}, func(g *Granter) any { return g.ledger.Incarnation }, "by-0"},
		{"lost instance of which all that were there tell", FullMemory, oneLost, composes, true},
		{"new instance tells nothing", FullMemory, func(g *Granter) { oneLost(g); g.era.ledgers["entry-3"] = Ledger{} }, composes, true},
		{"own ledger is not waited for", FullMemory, func(g *Granter) { oneLost(g); g.era.ledgers["entry-0"] = Ledger{Memory: FullMemory} }, composes, true},
		{"predecessor that had told is not lost", FullMemory, func(g *Granter) {
			oneLost(g)
			g.era.ledgers["entry-3"] = Ledger{Memory: LostMemory, Told: true, Grants: map[string]Grant{}}
		}, composes, true},
		{"instance that has not told yet", FullMemory, func(g *Granter) {
			for _, name := range []string{other, "entry-2", "entry-3"} {
				g.SetPeer(name, name)
			}
			g.era.fleet = 4
			g.era.ledgers[other] = Ledger{Memory: FullMemory}
		}, composes, false},
		{"nobody is missing in a store that said no era", FullMemory, func(g *Granter) { g.era.former = 0 }, composes, true},
		{"predecessor has told", LostMemory, func(g *Granter) { g.era.knowsOwn, g.era.told = true, true }, composes, true},
		{"only another one tells", LostMemory, func(g *Granter) {
			g.era.knowsOwn = true
			g.era.ledgers[other] = Ledger{Memory: FullMemory, Told: true}
		}, composes, true},
		{"composed without the own grant", FullMemory, func(g *Granter) {
			g.era.ledgers["entry-0"] = Ledger{Grants: map[string]Grant{"rider-app": {Granted: 5}}}
		}, func(g *Granter) any { return g.compose("rider-app").granted() }, int64(0)},
		{"no more witnesses once introduced", FullMemory, func(g *Granter) {
			g.SetPeer(other, other)
			g.SetPeer("entry-2", "entry-2")
			g.newcomer, g.ledger.Time = false, now.Milliseconds()
		}, func(g *Granter) any { return g.WitnessesNeeded(now) }, 1},
		{"one ledger is no activity", FullMemory, func(g *Granter) {
			g.era.sightings[other], g.era.lastRead = sighting{"by-1", 1, now, false}, now
		}, func(g *Granter) any { active, _ := g.activity(other); return active }, false},
		{"own grant is no testimony", FullMemory, func(g *Granter) {
			g.account("rider-app").budget = Budget{Grants: map[string]Grant{"entry-0": {Granted: 5}}}
			g.SetEra(now, 3)
		}, func(g *Granter) any { return len(g.era.memories) }, 0},
		{"hand-over of a former era is no last word", FullMemory, func(g *Granter) {
			g.SetPeer(other, other)
			g.ends[other], g.era.lastRead = ending{known: true, used: map[string]int64{"rider-app": 5}, incarnation: "by-1", era: 1}, now
			g.SetEra(now, 3)
		}, func(g *Granter) any { return g.era.memories[other].Ended }, ""},
		{"process that has not greeted is seen", FullMemory, func(g *Granter) {
			g.SetPeer(other, other)
			g.era.sightings[other] = sighting{"by-1", 1, now, false}
			g.SetEra(now, 3)
		}, func(g *Granter) any { return g.era.memories[other].Seen }, "by-1"},
		{"elders are those of the first read", FullMemory, func(g *Granter) {
			g.era.registeredAt, g.era.elders = now, map[string]bool{}
			g.ObserveLedgers(now, map[string]Ledger{"entry-0": {}, other: {}}, nil)
		}, func(g *Granter) any { return len(g.era.elders) }, 0},
		{"no elders before the own ledger", FullMemory, func(g *Granter) {
			g.ObserveLedgers(now, map[string]Ledger{"entry-0": {}, other: {}}, nil)
		}, func(g *Granter) any { return g.KnowsElders() }, false},
		{"complete without eras", NoMemory, func(g *Granter) {
			g.era.number = 0
			g.ObserveLedgers(now, map[string]Ledger{other: {Memory: LostMemory}}, nil)
		}, func(g *Granter) any { return g.Complete() && g.Settled() }, true},
		{"not settled before the budgets can be composed", FullMemory, func(g *Granter) { g.era.composedAt = now }, func(g *Granter) any { return g.Settled() }, false},
		{"starting process has not found the budgets composed", FullMemory, func(g *Granter) {
			g.ready = false
			g.account("rider-app").version = 1
			g.checkComposed(now)
		}, func(g *Granter) any { return g.era.composedAt }, time.Duration(0)},
		{"own grant of a predecessor", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.granted, a.budget = 10, Budget{Grants: map[string]Grant{"entry-0": {Granted: 7, WrittenBy: "by-9"}}}
		}, func(g *Granter) any { return g.ownGrants()["rider-app"] }, Grant{Granted: 7, WrittenBy: "by-9"}},
		{"no grants", FullMemory, func(g *Granter) { g.account("rider-app"); g.account("carer-app").fenced = true }, func(g *Granter) any { return len(g.ownGrants()) }, 0},
		{"all is told", FullMemory, func(g *Granter) { g.ledger.Told = true }, func(g *Granter) any { return g.testimonyDue(now + time.Minute) }, false},
		{"predecessor has told all", LostMemory, func(g *Granter) { g.era.told = true }, func(g *Granter) any { return g.testimonyDue(now) }, false},
		{"nothing to tell yet", FullMemory, func(*Granter) {}, func(g *Granter) any { return g.testimonyDue(now) }, false},
		{"one more to tell of", FullMemory, func(g *Granter) { g.ledger.Told, g.era.memories[other] = true, held(20) }, func(g *Granter) any { return g.testimonyDue(now + time.Minute) }, true},
		{"last instance needs no confirmation", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.version, a.granted = true, 1, 10
		}, func(g *Granter) any { return g.grantInForce(g.account("rider-app")) }, int64(10)},
		{"no greeting to one that has ended", FullMemory, func(g *Granter) {
			g.era.ledgers[other], g.ledgerEra, g.ends[other] = Ledger{}, 2, ending{known: true}
		}, func(g *Granter) any { return len(g.GreetingsDue()) }, 0},
		{"hand-over says that nothing was granted", FullMemory, func(g *Granter) {
			g.account("rider-app").version, g.era.composedAt = 1, now
			g.Close()
		}, func(g *Granter) any { h, _ := g.Handover(); return len(h.Used) }, 1},
		{"limit of a fenced account is not that of its predecessor", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.granted, a.spent, a.maxPriorSpend = true, 10, 3, 7
			g.Stop()
		}, func(g *Granter) any { return g.PlanLedger(now).Accounts["rider-app"] }, Limit{Limit: 3}},
		{"limit without a grant does not grow", FullMemory, func(g *Granter) { g.account("rider-app").fenced = true }, func(g *Granter) any { return g.PlanLedger(now).Accounts["rider-app"] }, Limit{}},
		{"process that stops still raises the limit for those that wait", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.fenced, a.granted, a.spent, a.waitingForLimit = true, 10, 3, 5
			g.Stop()
		}, func(g *Granter) any { return g.PlanLedger(now).Accounts["rider-app"].Limit >= 8 }, true},
		{"no limit for what nobody spent", FullMemory, func(g *Granter) { g.account("rider-app").maxPriorSpend = 0 }, func(g *Granter) any { return len(g.PlanLedger(now).Accounts) }, 0},
		{"grant that is not fenced is read from the budget", FullMemory, func(g *Granter) {
			g.account("rider-app").carried = true
			g.ObserveBudget(now, "rider-app", Budget{Grants: map[string]Grant{"entry-0": {Granted: 10}}}, 1)
		}, func(g *Granter) any { return g.account("rider-app").granted }, int64(10)},
		{"grant that the process has written is read from the budget", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.carried, a.fenced, a.granted = true, true, 10
			g.ObserveBudget(now, "rider-app", Budget{Grants: map[string]Grant{"entry-0": {Granted: 20, WrittenBy: "by-0"}}}, 1)
		}, func(g *Granter) any { return g.account("rider-app").granted }, int64(20)},
		{"peer at another address", FullMemory, func(g *Granter) { g.SetPeer(other, "a"); g.SetPeer(other, "b") }, func(g *Granter) any { return g.peers[other] }, "b"},
		{"write without effect leaves confirmations", FullMemory, func(g *Granter) {
			a := g.account("rider-app")
			a.version, a.granted = 1, 10
			g.BudgetSent("rider-app", Budget{})
			g.BudgetNotWritten("rider-app")
		}, func(g *Granter) any { return g.account("rider-app").confirmVersion }, uint64(1)},
		{"next ledger is no absence", FullMemory, func(g *Granter) {
			g.newcomer, g.ledger = false, Ledger{Incarnation: "by-0", Number: 1, Time: now.Milliseconds()}
			g.LedgerWritten(Ledger{Incarnation: "by-0", Number: 2, Time: now.Milliseconds()})
		}, func(g *Granter) any { return g.newcomer }, false},
		{"ledger of a predecessor is no absence", FullMemory, func(g *Granter) {
			g.newcomer, g.ledger = false, Ledger{Incarnation: "by-9", Number: 1}
			g.LedgerWritten(Ledger{Incarnation: "by-0", Number: 2, Time: now.Milliseconds()})
		}, func(g *Granter) any { return g.newcomer }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := inEra(tt.memory)
			tt.change(g)
			if got := tt.got(g); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
