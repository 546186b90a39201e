package granter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// fleet runs instances against one budget without faults. Each step is explicit, so
// that a test decides who learns what before the store is restored.
type fleet struct {
	t        *testing.T
	now      time.Duration
	era      int64
	version  uint64
	budget   stored[Budget]
	ledgers  map[string]Ledger
	former   []string // instances with ledgers of former eras
	granters map[string]*Granter
	deaf     string // instances that no greeting reaches
}

const fleetPrepaid = 1_000_000

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Hour, era: 1, ledgers: make(map[string]Ledger), granters: make(map[string]*Granter)}
	for i := range size {
		f.start(fmt.Sprintf("entry-%d", i))
	}
	f.pass(newcomerTime)
	f.readAll()
	home := f.home()
	f.writeBudget(home)
	f.readAll()
	return f
}

// start starts a process of an instance.
func (f *fleet) start(name string) {
	g := New(Identity{Name: name, Addr: name, Incarnation: fmt.Sprintf("%s-%d", name, f.now), Boot: "boot"})
	g.SetPrepaid("rider-app", fleetPrepaid)
	g.SetEra(f.now, f.era)
	if old, ok := f.ledgers[name]; ok || !slices.Contains(f.former, name) {
		g.Recover(f.now, old)
	} else {
		g.RecoverLost(f.now)
	}
	f.granters[name] = g
	f.writeLedger(name)
	f.read(name)
	g.SetReady()
}

func (f *fleet) kill(name string) { delete(f.granters, name) }

func (f *fleet) pass(d time.Duration) { f.now += d }

func (f *fleet) home() string {
	for _, name := range slices.Sorted(maps.Keys(f.granters)) {
		if f.granters[name].isHome("rider-app") {
			return name
		}
	}
	f.t.Fatal("no instance is the home")
	return ""
}

func (f *fleet) writeLedger(name string) {
	g := f.granters[name]
	g.SetEra(f.now, f.era)
	l := g.PlanLedger(f.now)
	g.LedgerSent(l)
	f.ledgers[name] = l
	g.LedgerWritten(l)
}

// read makes an instance read the ledgers and the budget.
func (f *fleet) read(name string) {
	g := f.granters[name]
	g.SetEra(f.now, f.era)
	var absent []string
	for _, former := range f.former {
		if _, ok := f.ledgers[former]; !ok {
			absent = append(absent, former)
		}
	}
	var met []string
	for _, p := range g.GreetingsDue() {
		if other, ok := f.granters[p.Name]; ok && !strings.Contains(f.deaf, p.Name) && other.RecordGreeting(g.Greeting()) {
			met = append(met, p.Name)
		}
	}
	ended := g.Ended()
	defer g.BudgetsRead(f.era, ended)
	defer g.Met(f.era, met)
	if f.budget.version > 0 {
		g.ObserveBudget(f.now, "rider-app", f.budget.value, f.budget.version)
	}
	g.ObserveLedgers(f.now, maps.Clone(f.ledgers), absent)
}

func (f *fleet) readAll() {
	for name := range f.granters {
		f.read(name)
	}
}

func (f *fleet) writeBudget(name string) {
	f.t.Helper()
	g := f.granters[name]
	b, version := g.PlanBudget(f.now, "rider-app")
	if version != f.budget.version {
		f.t.Fatalf("%s writes the budget on version %d, the store has %d", name, version, f.budget.version)
	}
	g.BudgetSent("rider-app", b)
	f.version++
	f.budget = stored[Budget]{b, f.version}
	g.ObserveBudget(f.now, "rider-app", b, f.version)
}

// raise grants tokens to an instance.
func (f *fleet) raise(name string, n int64) {
	f.t.Helper()
	g := f.granters[name]
	f.read(name)
	if a := g.account("rider-app"); !a.fenced {
		f.writeBudget(name)
	}
	done := g.AddWaiting("rider-app", n, true)
	f.writeBudget(name)
	done()
}

// note sends the notes of an instance to others and returns how many remember them.
func (f *fleet) note(name string, witnesses ...string) int {
	accepted := 0
	for _, n := range f.granters[name].NotesDue() {
		for _, other := range witnesses {
			if f.granters[other].RecordNote(f.now, n) {
				accepted++
			}
		}
	}
	return accepted
}

// startedFirst starts an instance that takes a grant before it knows any other one, and
// three more. deaf is an instance that no greeting reaches, empty: none.
func startedFirst(t *testing.T, deaf string) *fleet {
	t.Helper()
	f := &fleet{t: t, now: time.Hour, era: 1, ledgers: make(map[string]Ledger), granters: make(map[string]*Granter), deaf: deaf}
	f.start("entry-0")
	f.pass(newcomerTime)
	f.read("entry-0")
	f.writeBudget("entry-0")
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.start(name)
		f.read(name)
	}
	return f
}

// raiseAlone grants tokens to an instance that reads nothing before it uses them.
func (f *fleet) raiseAlone(name string, n int64) {
	f.t.Helper()
	done := f.granters[name].AddWaiting("rider-app", n, true)
	f.writeBudget(name)
	done()
	f.confirmIfEnough(name)
}

// confirmIfEnough confirms the grants of an instance that needs no witnesses.
func (f *fleet) confirmIfEnough(name string) {
	if f.granters[name].WitnessesNeeded(f.now) == 0 {
		f.confirm(name)
	}
}

func (f *fleet) confirm(name string) {
	for _, n := range f.granters[name].NotesDue() {
		f.granters[name].Confirm(n)
	}
}

// raiseConfirmed grants tokens to an instance and has others confirm the grant.
func (f *fleet) raiseConfirmed(name string, n int64, witnesses ...string) {
	f.t.Helper()
	f.raise(name, n)
	f.note(name, witnesses...)
	f.confirm(name)
}

// use makes an instance spend tokens, and reports whether it may.
func (f *fleet) use(name string, n int64) bool {
	g := f.granters[name]
	f.writeLedger(name)
	g.Reserve(f.now, "rider-app", 0)
	done := g.AddWaiting("rider-app", n, false)
	f.writeLedger(name)
	done()
	d := g.Reserve(f.now, "rider-app", n)
	if d.Outcome == Reserved {
		g.Settle("rider-app", d, n)
	}
	return d.Outcome == Reserved
}

// restore loses the budget and the ledgers. Instances that had a ledger before are
// known from the copy.
func (f *fleet) restore() {
	f.era++
	f.former = slices.Collect(maps.Keys(f.ledgers))
	f.budget, f.ledgers = stored[Budget]{}, make(map[string]Ledger)
}

// register makes instances learn of the new era and record what they know.
func (f *fleet) register(names ...string) {
	for _, name := range names {
		f.writeLedger(name)
	}
	f.pass(testimonyDelay)
	for _, name := range names {
		f.read(name)
		f.writeLedger(name)
	}
	for _, name := range names {
		f.read(name)
	}
}

// registerAll makes all running instances do so and returns one of them.
func (f *fleet) registerAll() *Granter {
	names := slices.Sorted(maps.Keys(f.granters))
	f.register(names...)
	return f.granters[names[len(names)-1]]
}

// Guards against a grant that is used although only its holder knows it: if the holder
// is lost together with the store's latest state, the tokens would be granted again.
func TestGrantNeedsWitnesses(t *testing.T) {
	f := newFleet(t, 4)
	f.raise("entry-0", 10_000)
	if f.use("entry-0", 10_000) {
		t.Error("grant is used before another instance knows it")
	}
	if f.note("entry-0", "entry-1") != 1 {
		t.Fatal("note is not remembered")
	}
	f.confirm("entry-0")
	if !f.use("entry-0", 10_000) {
		t.Error("confirmed grant is not used")
	}
	f.restore()
	f.kill("entry-0")
	f.register("entry-1", "entry-2", "entry-3")
	if g := f.granters["entry-2"]; !g.Complete() {
		t.Fatal("budget cannot be composed although a witness is left")
	}
	f.writeBudget("entry-2")
	if got := f.budget.value.Grants["entry-0"]; got.Granted < 10_000 || got.Spent != got.Granted {
		t.Errorf("composed with %+v of the lost instance", got)
	}
	f.start("entry-0")
	f.read("entry-0")
	f.writeBudget("entry-0")
	if f.use("entry-0", 1) {
		t.Error("successor spends what others remember of its predecessor")
	}
}

// Guards against an instance that started before the others, has not learned of them and
// uses grants that none of them knows: the tokens must not be granted again.
func TestInstanceThatKnowsNobody(t *testing.T) {
	for _, deaf := range []string{"", "entry-0"} {
		f := startedFirst(t, deaf)
		f.raiseAlone("entry-0", 10_000)
		used := f.use("entry-0", 10_000)
		f.restore()
		f.kill("entry-0")
		f.register("entry-1", "entry-2", "entry-3")
		if complete := f.granters["entry-2"].Complete(); used && complete {
			t.Errorf("deaf %q: budgets are composed without the lost instance's tokens", deaf)
		} else if !used && !complete {
			t.Errorf("deaf %q: budgets are not composed although all tokens are known", deaf)
		}
	}
}

// Guards against a witness that answers after it has told what it remembers.
func TestNoteOfFormerEra(t *testing.T) {
	f := newFleet(t, 4)
	f.raise("entry-0", 10_000)
	f.restore()
	f.register("entry-1", "entry-2", "entry-3")
	if f.note("entry-0", "entry-1", "entry-2") != 0 {
		t.Error("note of a former era is remembered")
	}
}

// Guards against an instance that learns of the restore late and takes the larger grant
// that others remember of it, part of which it has returned since.
func TestLateInstanceKeepsItsGrant(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	f.readAll()
	f.granters["entry-0"].Stop() // returns what is unused, which only it knows
	f.writeBudget("entry-0")
	f.granters["entry-0"].stopping = false
	held := f.granters["entry-0"].account("rider-app").granted
	f.restore()
	f.register("entry-1", "entry-2", "entry-3")
	f.writeBudget("entry-2")
	if composed := f.budget.value.Grants["entry-0"].Granted; composed <= held {
		t.Fatalf("composed with %d, no more than the %d held", composed, held)
	}
	f.read("entry-0")
	if got := f.granters["entry-0"].account("rider-app").granted; got != held {
		t.Errorf("%d tokens are granted, want %d", got, held)
	}
	f.writeBudget("entry-0")
	if got := f.budget.value.Grants["entry-0"].Granted; got != held {
		t.Errorf("budget says %d, want %d", got, held)
	}
}

// Guards against budgets that are composed although more instances are missing than
// witnesses are certain to be left, and against budgets that are never composed.
func TestComplete(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		lost    []string
		restart []string // start again in the new era
		want    bool
	}{
		{"all are there", 4, nil, nil, true},
		{"one is lost", 4, []string{"entry-0"}, nil, true},
		{"one has started again", 4, []string{"entry-0"}, []string{"entry-0"}, true},
		{"two of four are lost", 4, []string{"entry-0", "entry-1"}, nil, false},
		{"two of four have started again", 4, []string{"entry-0", "entry-1"}, []string{"entry-0", "entry-1"}, false},
		{"two of eight are lost", 8, []string{"entry-0", "entry-1"}, nil, true},
		{"three of eight are lost", 8, []string{"entry-0", "entry-1", "entry-2"}, nil, false},
		{"three of thirty are lost", 30, []string{"entry-0", "entry-1", "entry-2"}, nil, true},
		{"all have started again", 4, []string{"entry-0", "entry-1", "entry-2", "entry-3"}, []string{"entry-0", "entry-1", "entry-2", "entry-3"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.size)
			f.restore()
			for _, name := range tt.lost {
				f.kill(name)
			}
			for _, name := range tt.restart {
				f.start(name)
			}
			if got := f.registerAll().Complete(); got != tt.want {
				t.Errorf("complete: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against an account that can never be used again after too many instances were
// lost: what is prepaid later must be usable, and nothing else.
func TestWriteOff(t *testing.T) {
	f := newFleet(t, 4)
	f.raise("entry-0", 10_000)
	f.restore()
	names := slices.Sorted(maps.Keys(f.granters))
	for _, name := range names {
		f.kill(name)
	}
	for _, name := range names {
		f.start(name)
	}
	f.register(names...)
	if f.granters["entry-1"].Complete() {
		t.Fatal("budget is composed although nothing is known")
	}
	f.pass(writeOffDelay)
	f.readAll()
	if !f.granters["entry-1"].Complete() {
		t.Fatal("budget cannot be composed with a write-off")
	}
	f.writeBudget("entry-1")
	f.raiseConfirmed("entry-2", 1000, "entry-0", "entry-1", "entry-3")
	if f.use("entry-2", 1) {
		t.Error("a token that was written off is used")
	}
	for _, g := range f.granters {
		g.SetPrepaid("rider-app", fleetPrepaid+5000)
	}
	f.raiseConfirmed("entry-2", 1000, "entry-0", "entry-1", "entry-3")
	if !f.use("entry-2", 1000) {
		t.Error("a token that was prepaid later cannot be used")
	}
	if got := f.budget.value.granted(); got > fleetPrepaid+5000 {
		t.Errorf("%d tokens are granted", got)
	}
}

// Guards against instances that stop serving while the store has been restored, and
// against tokens that are granted again.
func TestSpendingGoesOnAfterRestore(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	f.restore()
	f.granters["entry-0"].SetEra(f.now, f.era)
	if !f.use("entry-0", 4000) {
		t.Error("instance does not spend what it holds before the budget is composed")
	}
	f.registerAll()
	f.writeBudget(f.home())
	f.readAll()
	if !f.use("entry-0", 6000) {
		t.Error("instance does not spend what it holds after the budget is composed")
	}
	if got := f.budget.value.Grants["entry-0"].Granted; got < 10_000 {
		t.Errorf("budget says %d tokens, the instance was granted 10000", got)
	}
}

// Guards against a long gone instance that keeps the budgets from being composed.
func TestIdleInstanceIsNotWaitedFor(t *testing.T) {
	f := newFleet(t, 8)
	f.kill("entry-0")
	f.kill("entry-1")
	f.kill("entry-2")
	for range 12 {
		f.pass(idleAge / 10)
		for name := range f.granters {
			f.writeLedger(name)
		}
		f.readAll()
	}
	f.restore()
	if !f.registerAll().Complete() {
		t.Error("budget cannot be composed because of instances that were long gone")
	}
}

// Guards against new instances that count as long gone because their ledgers were read
// only once.
func TestNewInstancesAreWaitedFor(t *testing.T) {
	f := newFleet(t, 4)
	f.pass(idleAge)
	f.readAll()
	for _, name := range []string{"entry-4", "entry-5", "entry-6"} {
		f.start(name)
	}
	f.readAll()
	f.restore()
	for _, name := range []string{"entry-4", "entry-5", "entry-6"} {
		f.kill(name)
	}
	if f.registerAll().Complete() {
		t.Error("budgets are composed although the witnesses of a lost instance may be lost too")
	}
}

// Guards against requests that wait at the home for a grant that others have to confirm
// first, although it was clear that the tokens would be needed.
func TestHomeRaisesAhead(t *testing.T) {
	f := newFleet(t, 4)
	home := f.home()
	g := f.granters[home]
	for range 20 {
		f.pass(100 * time.Millisecond)
		g.AddGrantDemand(f.now, "rider-app", 2000)
	}
	f.raiseConfirmed(home, 2000, "entry-0", "entry-1", "entry-2", "entry-3")
	if g.RunsLow(f.now, "rider-app") {
		t.Fatal("grant runs low right after it was raised")
	}
	a := g.account("rider-app")
	if !f.use(home, (a.granted-a.used())*7/10) {
		t.Fatal("the grant cannot be used")
	}
	if !g.RunsLow(f.now, "rider-app") || !slices.Contains(g.BudgetsDue(f.now, false), "rider-app") {
		t.Error("grant is not raised before requests wait for it")
	}
}

// Guards against budgets that are composed without the grants of a lost instance, whose
// only witness has been replaced by a new process since it registered.
func TestReplacedWitnessIsLost(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	if !f.use("entry-0", 10_000) {
		t.Fatal("confirmed grant is not used")
	}
	f.restore()
	f.kill("entry-0")
	f.writeLedger("entry-1") // registers, but has not told of entry-0 yet
	f.kill("entry-1")
	f.start("entry-1")
	f.register("entry-1", "entry-2", "entry-3")
	if f.granters["entry-2"].Complete() {
		t.Error("budgets are composed without the tokens that the lost instance has used")
	}
}

// Guards against budgets that are composed before a living instance, the only witness of
// a lost one, has told what it remembers.
func TestTestimonyIsWaitedFor(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	if !f.use("entry-0", 10_000) {
		t.Fatal("confirmed grant is not used")
	}
	f.restore()
	f.kill("entry-0")
	f.writeLedger("entry-1")
	f.register("entry-2", "entry-3")
	if f.granters["entry-2"].Complete() {
		t.Error("budgets are composed before the witness has told of the lost instance")
	}
	f.register("entry-1", "entry-2", "entry-3")
	if !f.granters["entry-2"].Complete() {
		t.Fatal("budgets cannot be composed although the witness has told")
	}
	f.writeBudget("entry-2")
	if got := f.budget.value.Grants["entry-0"].Granted; got < 10_000 {
		t.Errorf("composed with %d tokens of the lost instance, which used 10000", got)
	}
}

// Guards against using a grant that was lowered and raised again on the strength of the
// first confirmation: the witnesses have seen the lower one since.
func TestRaisedGrantIsConfirmedAgain(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	f.granters["entry-0"].Stop() // returns what is unused
	f.writeBudget("entry-0")
	f.granters["entry-0"].stopping = false
	f.readAll()
	f.raise("entry-0", 10_000)
	if used := f.use("entry-0", 10_000); !used {
		return
	}
	f.restore()
	f.kill("entry-0")
	f.register("entry-1", "entry-2", "entry-3")
	f.writeBudget("entry-2")
	t.Errorf("10000 tokens are used, the composed budget has %d of them", f.budget.value.Grants["entry-0"].Granted)
}

// Guards against a greeting that was accepted in a former era and counts in the next one,
// in which the greeted instance has started again and knows nobody.
func TestGreetingOfFormerEra(t *testing.T) {
	others := []string{"entry-1", "entry-2", "entry-3"}
	f := newFleet(t, 4)
	f.restore()
	f.kill("entry-0")
	f.deaf = "entry-0"
	f.start("entry-0") // reads no ledger of another instance
	f.register(others...)
	for _, name := range others {
		f.granters[name].Met(f.era-1, []string{"entry-0"}) // accepted before the restore
	}
	f.writeBudget("entry-1")
	for _, name := range others {
		f.read(name)
	}
	g := f.granters["entry-0"]
	g.ObserveBudget(f.now, "rider-app", f.budget.value, f.budget.version)
	f.writeBudget("entry-0")
	f.raiseAlone("entry-0", 10_000)
	if !f.use("entry-0", 10_000) {
		t.Fatal("the instance that knows nobody uses no grant")
	}
	f.restore()
	f.kill("entry-0")
	f.register(others...)
	if f.granters["entry-2"].Complete() {
		t.Error("budgets are composed without the tokens that the lost instance has used")
	}
}

// Guards against a greeting that an instance accepts after it has learned of a new era:
// what it used before was confirmed by nobody, so it must not pass for one that counts
// its peers.
func TestGreetingAfterRestore(t *testing.T) {
	others := []string{"entry-1", "entry-2", "entry-3"}
	f := startedFirst(t, "entry-0")
	f.raiseAlone("entry-0", 10_000)
	if !f.use("entry-0", 10_000) {
		t.Fatal("the instance that knows nobody uses no grant")
	}
	f.restore()
	f.granters["entry-0"].SetEra(f.now, f.era)
	for _, name := range others {
		if g := f.granters[name]; f.granters["entry-0"].RecordGreeting(g.Greeting()) {
			g.Met(f.era-1, []string{"entry-0"})
		}
	}
	f.kill("entry-0")
	f.register(others...)
	if f.granters["entry-2"].Complete() {
		t.Error("budgets are composed without the tokens that the lost instance has used")
	}
}

// Guards against an instance that counts as long gone because one that has read no
// ledgers lately says so, although another one has seen it at work.
func TestActiveInstanceIsWaitedFor(t *testing.T) {
	f := newFleet(t, 4)
	for range 12 {
		f.pass(idleAge / 10)
		for _, name := range []string{"entry-1", "entry-2"} {
			f.writeLedger(name)
			f.read(name)
		}
	}
	for _, name := range []string{"entry-0", "entry-3"} {
		f.writeLedger(name)
	}
	f.read("entry-2")
	f.restore()
	f.kill("entry-0")
	f.kill("entry-3")
	f.register("entry-1", "entry-2")
	if f.granters["entry-2"].Complete() || f.granters["entry-1"].Complete() {
		t.Error("budgets are composed although the witnesses of a lost instance may be lost too")
	}
}

// Guards against an instance that comes back after the others took it for long gone, and
// uses a grant that is known only to one that is lost with it: the others would compose the
// budgets without it.
func TestReturnedInstanceNeedsOneMoreWitness(t *testing.T) {
	tests := []struct {
		name   string
		leaves func(f *fleet)
		comes  func(f *fleet)
	}{
		{"cut off", func(*fleet) {}, func(f *fleet) { f.writeLedger("entry-0") }},
		{"ledger not stored", func(*fleet) {}, func(*fleet) {}},
		{"started again", func(f *fleet) { f.kill("entry-0") }, func(f *fleet) { f.start("entry-0") }},
		{"after a reboot", func(f *fleet) { f.kill("entry-0") }, func(f *fleet) {
			l := f.ledgers["entry-0"]
			l.Boot, l.Time = "former boot", f.now.Milliseconds() // the clock has started anew
			f.ledgers["entry-0"] = l
			f.start("entry-0")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 4)
			tt.leaves(f)
			others := []string{"entry-1", "entry-2", "entry-3"}
			for range 12 {
				f.pass(idleAge / 10)
				for _, name := range others {
					f.writeLedger(name)
					f.read(name)
				}
			}
			tt.comes(f)
			f.raise("entry-0", 10_000)
			f.note("entry-0", others[:f.granters["entry-0"].WitnessesNeeded(f.now)]...)
			f.confirm("entry-0")
			if !f.use("entry-0", 10_000) {
				t.Fatal("confirmed grant is not used")
			}
			f.restore()
			f.kill("entry-0")
			f.kill("entry-1")
			f.register("entry-2", "entry-3")
			if !f.granters["entry-2"].Complete() {
				return
			}
			f.writeBudget("entry-2")
			if got := f.budget.value.Grants["entry-0"].Granted; got < 10_000 {
				t.Errorf("composed with %d tokens of an instance that has used 10000", got)
			}
		})
	}
}

// Guards against a grant that is known only to a new instance which those that are left have
// not heard of: they would not know that the witness is lost too.
func TestUnknownInstanceIsNoWitness(t *testing.T) {
	f := newFleet(t, 3)
	f.start("entry-3")
	f.granters["entry-0"].RecordGreeting(f.granters["entry-3"].Greeting()) // the others miss it
	f.raise("entry-0", 10_000)
	if f.note("entry-0", "entry-3") >= f.granters["entry-0"].WitnessesNeeded(f.now) {
		f.confirm("entry-0")
	}
	used := f.use("entry-0", 10_000)
	delete(f.ledgers, "entry-3") // the copy is older than its start
	f.restore()
	f.kill("entry-0")
	f.kill("entry-3")
	f.register("entry-1", "entry-2")
	if used && f.granters["entry-2"].Complete() {
		t.Error("budgets are composed without what a lost instance has used")
	}
}

// Guards against budgets that are composed before those who know of a lost instance, which
// the composing one has not heard of, could tell of it.
func TestTestimonyOnUnknownInstance(t *testing.T) {
	f := newFleet(t, 3)
	f.deaf = "entry-2"
	f.start("entry-3")
	for _, name := range []string{"entry-3", "entry-0", "entry-1", "entry-0", "entry-1"} {
		f.read(name) // and greet those who were seen at the last time
	}
	f.raiseConfirmed("entry-3", 10_000, "entry-0", "entry-1")
	if !f.use("entry-3", 10_000) {
		t.Fatal("confirmed grant is not used")
	}
	delete(f.ledgers, "entry-3") // the copy is older than its start
	f.restore()
	f.kill("entry-3")
	names := []string{"entry-0", "entry-1", "entry-2"}
	for _, name := range names {
		f.writeLedger(name)
	}
	for range 2 {
		f.read("entry-2")
		if f.granters["entry-2"].Complete() {
			t.Error("budgets are composed before all others have told what they remember")
		}
		f.pass(tellTimeout) // more are silent than may be lost
	}
	f.register(names...)
	if !f.granters["entry-2"].Complete() {
		t.Fatal("budgets cannot be composed although all others have told what they remember")
	}
	f.writeBudget("entry-2")
	if got := f.budget.value.Grants["entry-3"].Granted; got < 10_000 {
		t.Errorf("composed with %d tokens of an instance that has used 10000", got)
	}
}

// useUnknown makes a new instance, which those that are deaf do not hear of, use 10000 tokens
// that only the witnesses given know of.
func (f *fleet) useUnknown(name string, witnesses ...string) {
	f.t.Helper()
	f.start(name)
	for _, ended := range f.former {
		f.granters[name].RecordEnd(ended, 0)
	}
	for range 2 {
		f.read(name)
		for _, witness := range witnesses {
			f.read(witness)
		}
	}
	if !f.raiseAsNeeded(name, witnesses...) {
		f.t.Fatal("confirmed grant is not used")
	}
	delete(f.ledgers, name) // the copy is older than its start
}

// goOn makes some instances work for so long that the rest are long silent.
func (f *fleet) goOn(names ...string) {
	for range 12 {
		f.pass(idleAge / 10)
		for _, name := range names {
			f.writeLedger(name)
			f.read(name)
		}
	}
}

// checkUnknown lets some instances register that are slow to tell what they remember. The one
// given must not compose the budgets before that.
func (f *fleet) checkUnknown(composer string, slow ...string) {
	f.t.Helper()
	for _, name := range slow {
		f.writeLedger(name)
	}
	f.register(composer)
	f.pass(tellTimeout)
	f.read(composer)
	if f.granters[composer].Complete() {
		f.writeBudget(composer)
		f.t.Errorf("composed with %d tokens granted, an instance that is not known has used 10000", f.budget.value.granted())
	}
}

// Guards against budgets that cannot be composed because tokens that were written off before, or
// instances that were long gone, count as lost, alone or beside one that is lost.
func TestNotLostAgain(t *testing.T) {
	before := []struct {
		name string
		play func(f *fleet)
	}{
		{"tokens were written off", func(f *fleet) {
			f.restore()
			for _, name := range slices.Sorted(maps.Keys(f.granters)) {
				f.kill(name)
				f.start(name)
			}
			f.registerAll()
			f.pass(writeOffDelay)
			f.readAll()
			f.writeBudget("entry-1")
			f.readAll()
		}},
		{"instances were long gone", func(f *fleet) {
			for _, name := range []string{"entry-4", "entry-5"} {
				f.start(name)
				f.readAll()
				f.writeLedger(name) // is seen to be at work
				f.readAll()
				f.kill(name)
			}
			f.goOn("entry-0", "entry-1", "entry-2", "entry-3")
		}},
		{"instances that were seen once were long gone", func(f *fleet) {
			for _, name := range []string{"entry-4", "entry-5"} {
				f.start(name)
				f.readAll()
				f.kill(name)
			}
			f.goOn("entry-0", "entry-1", "entry-2", "entry-3")
		}},
	}
	for _, tt := range before {
		for _, lost := range []string{"", "entry-0"} {
			t.Run(fmt.Sprintf("%s, lost %q", tt.name, lost), func(t *testing.T) {
				f := newFleet(t, 4)
				tt.play(f)
				old := f.budget.value.Grants[writtenOff].Granted
				f.restore()
				f.kill(lost)
				if !f.registerAll().Complete() {
					t.Fatal("budgets cannot be composed")
				}
				f.writeBudget("entry-3")
				if got := f.budget.value.Grants[writtenOff].Granted; got != old {
					t.Errorf("%d tokens are written off, %d were before", got, old)
				}
			})
		}
	}
}

// Guards against an instance that says of others that they are gone although it has read no budgets
// of the era, so that it does not know what they were granted before the first of two restores.
func TestGoneBeforeBudgetsAreComposed(t *testing.T) {
	f := newFleet(t, 4)
	if !f.raiseAsNeeded("entry-0", "entry-1") {
		t.Fatal("confirmed grant is not used")
	}
	f.restore()
	f.kill("entry-0")
	f.kill("entry-1")
	f.goOn("entry-2", "entry-3")
	f.checkLoss(t, true, "entry-0")
}

// Guards against instances that cannot compose the budgets, or lose what they hold, if the store is
// restored again before the budgets are composed, and against an account without a limit, which has
// no budget, that keeps them from being settled.
func TestRestoredTwice(t *testing.T) {
	f := newFleet(t, 4)
	if !f.raiseAsNeeded("entry-0", "entry-1") {
		t.Fatal("confirmed grant is not used")
	}
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	for _, g := range f.granters {
		g.SetPrepaid("free-app", -1)
	}
	f.restore()
	f.registerAll()
	f.restore()
	if !f.registerAll().Complete() {
		t.Fatal("budgets cannot be composed although all instances live")
	}
	if f.granters["entry-2"].Settled() {
		t.Error("budgets are settled before they are composed")
	}
	f.writeBudget("entry-1")
	if got := f.budget.value.Grants["entry-0"]; got.Granted < 20_000 || got.Lost > 0 {
		t.Errorf("composed with %+v of an instance that has 20000 tokens", got)
	}
	f.readAll()
	if !f.granters["entry-2"].Settled() {
		t.Error("budgets are not settled")
	}
}

// Guards against an instance that takes another one for long gone because it has never read a ledger
// of it: it has just started, and those that knew its grant are lost with it.
func TestGreetedInstanceIsNotGone(t *testing.T) {
	names := []string{"entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}
	f := newFleet(t, len(names))
	f.goOn(names...)
	f.start("entry-6")
	f.read("entry-6") // greets the others
	if !f.raiseAsNeeded("entry-6", "entry-0", "entry-1") {
		t.Fatal("confirmed grant is not used")
	}
	delete(f.ledgers, "entry-6") // the copy is older than its start
	f.checkLoss(t, true, "entry-6", "entry-0", "entry-1")
}

// Guards against an instance that spends tokens after a restore which it had returned with a write
// whose response was lost: others may have been granted them since.
func TestReturnWithoutResponse(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	g := f.granters["entry-0"]
	g.Stop()
	b, _ := g.PlanBudget(f.now, "rider-app")
	g.BudgetSent("rider-app", b)
	g.stopping = false
	f.restore()
	if f.use("entry-0", 10_000) {
		t.Error("tokens are used that were returned")
	}
	if got, want := f.ledgers["entry-0"].Grants["rider-app"].Granted, b.Grants["entry-0"].Granted; got != want {
		t.Errorf("ledger says %d tokens after a return that leaves %d", got, want)
	}
}

// Guards against an instance that takes itself for a new one, because the copy is older than its
// first start, and composes the budgets without what its predecessor has used.
func TestUnknownPredecessor(t *testing.T) {
	f := newFleet(t, 4)
	if !f.raiseAsNeeded("entry-0", "entry-1") {
		t.Fatal("confirmed grant is not used")
	}
	delete(f.ledgers, "entry-0")
	f.restore()
	f.kill("entry-0")
	f.start("entry-0")
	f.register("entry-1", "entry-2", "entry-3")
	f.read("entry-0")
	for _, name := range []string{"entry-0", "entry-1"} {
		if !f.granters[name].Complete() {
			continue
		}
		f.writeBudget(name)
		if got := f.budget.value.Grants["entry-0"].Granted; got < 10_000 {
			t.Errorf("%s composes with %d tokens of an instance that has used 10000", name, got)
		}
		return
	}
	t.Error("no instance composes the budgets")
}

// Guards against tokens that are written off because a hand-over did not reach all: one that it did
// not reach has seen the same process at work.
func TestHandoverReachesOne(t *testing.T) {
	f := newFleet(t, 4)
	for _, name := range []string{"entry-2", "entry-3"} {
		f.writeLedger(name)
	}
	f.readAll()
	f.handOver("entry-2", "entry-0")
	f.handOver("entry-3", "entry-0")
	f.restore()
	if !f.registerAll().Complete() {
		t.Error("budgets cannot be composed although all that ended have handed over")
	}
}

// Guards against a process that composes the budgets without what its predecessor recorded, or
// without what it holds itself.
func TestComposerHasGrant(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(fmt.Sprintf("started again: %v", again), func(t *testing.T) {
			f := newFleet(t, 4)
			if !f.raiseAsNeeded("entry-0", "entry-1") {
				t.Fatal("confirmed grant is not used")
			}
			f.restore()
			f.registerAll()
			if again {
				f.kill("entry-0")
				f.start("entry-0")
			}
			f.read("entry-0")
			if !f.granters["entry-0"].Complete() {
				t.Fatal("budgets cannot be composed")
			}
			f.writeBudget("entry-0")
			if got := f.budget.value.Grants["entry-0"].Granted; got < 10_000 {
				t.Errorf("composed with %d tokens of an instance that has used 10000", got)
			}
		})
	}
}

// Guards against the last instance of a fleet that composes the budgets without what one has used
// that has handed over to it.
func TestHandoverToLast(t *testing.T) {
	f := newFleet(t, 2)
	f.raiseConfirmed("entry-1", 10_000, "entry-0")
	if !f.use("entry-1", 6_000) {
		t.Fatal("confirmed grant is not used")
	}
	f.handOver("entry-1", "entry-0")
	f.restore()
	if !f.registerAll().Complete() {
		t.Fatal("budgets cannot be composed")
	}
	f.writeBudget("entry-0")
	if got := f.budget.value.Grants["entry-1"].Granted; got != 6_000 {
		t.Errorf("composed with %d tokens of an instance that has used 6000", got)
	}
}

// Guards against a confirmation that arrives late, and stands for a grant which the witnesses have
// not seen: it was returned and raised again since, or the store was restored.
func TestLateConfirmation(t *testing.T) {
	tests := []struct {
		name      string
		confirmed int64 // before
		meanwhile func(f *fleet)
	}{
		{"returned, a part was confirmed", 1000, func(f *fleet) { f.giveBack("entry-0") }},
		{"restored", 0, func(f *fleet) {
			f.restore()
			f.registerAll()
			f.writeBudget("entry-0")
			f.readAll()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 4)
			if tt.confirmed > 0 {
				f.raiseConfirmed("entry-0", tt.confirmed, "entry-1")
			}
			f.checkLateConfirmation(t, tt.meanwhile)
		})
	}
}

// checkLateConfirmation raises a grant, and again after what happens meanwhile. Then the
// confirmations of the first grant arrive.
func (f *fleet) checkLateConfirmation(t *testing.T, meanwhile func(f *fleet)) {
	t.Helper()
	f.raise("entry-0", fleetPrepaid/2)
	due := f.granters["entry-0"].NotesDue()
	f.note("entry-0", "entry-1")
	meanwhile(f)
	f.raise("entry-0", fleetPrepaid/2)
	for _, n := range due {
		f.granters["entry-0"].Confirm(n)
	}
	f.checkLoss(t, f.use("entry-0", 10_000), "entry-0")
}

// giveBack makes an instance return what is unused, which all read.
func (f *fleet) giveBack(name string) {
	f.granters[name].Stop()
	f.writeBudget(name)
	f.granters[name].stopping = false
	f.readAll()
}

// Guards against a late confirmation of a grant that was returned and raised again since, if nothing
// was confirmed before the return.
func TestLateFirstConfirmation(t *testing.T) {
	newFleet(t, 4).checkLateConfirmation(t, func(f *fleet) { f.giveBack("entry-0") })
}

// Guards against a negative grant, which no process decodes, if instances remember more grants than
// tokens are prepaid.
func TestNothingToWriteOff(t *testing.T) {
	b := Budget{}.WithGrant("entry-0", Grant{Granted: 10})
	if got, ok := b.withWriteOff(5).Grants[writtenOff]; ok {
		t.Errorf("written off %+v", got)
	}
}

// Guards against budgets that are composed before live instances have told what they remember:
// they may be all that know of a lost instance which is not known to others. The one that
// composes has just started and takes instances that are long gone for a part of the fleet, so
// it expects more witnesses than the lost one had.
func TestSlowWitnessesAreWaitedFor(t *testing.T) {
	f := newFleet(t, 17)
	f.goOn("entry-0", "entry-1", "entry-2", "entry-3", "entry-4")
	f.deaf = "entry-0 entry-4"
	f.kill("entry-0")
	f.start("entry-0")
	f.read("entry-0")
	for i := 5; i < 17; i++ {
		f.kill(fmt.Sprint("entry-", i))
		f.former = append(f.former, fmt.Sprint("entry-", i))
	}
	f.useUnknown("entry-17", "entry-1", "entry-2", "entry-3")
	f.restore()
	f.kill("entry-17")
	f.register("entry-4")
	f.checkUnknown("entry-0", "entry-1", "entry-2", "entry-3")
}

// Guards against budgets that are composed before live instances have told what they remember,
// because instances that have started since the restore count as possible witnesses.
func TestNewInstancesWereNoWitnesses(t *testing.T) {
	f := newFleet(t, 3)
	f.deaf = "entry-0"
	f.useUnknown("entry-3", "entry-1", "entry-2")
	f.restore()
	f.kill("entry-3")
	f.start("entry-4")
	f.start("entry-5")
	f.checkUnknown("entry-0", "entry-1", "entry-2")
}

// Guards against an older read of a budget that arrives late and restores a grant which
// has been returned since.
func TestOlderBudgetIsIgnored(t *testing.T) {
	f := newFleet(t, 4)
	f.raiseConfirmed("entry-0", 10_000, "entry-1")
	older := f.budget
	f.granters["entry-0"].Stop() // returns what is unused
	f.writeBudget("entry-0")
	f.granters["entry-0"].stopping = false
	held := f.granters["entry-0"].account("rider-app").granted
	f.granters["entry-0"].ObserveBudget(f.now, "rider-app", older.value, older.version)
	if got := f.granters["entry-0"].account("rider-app").granted; got != held {
		t.Errorf("%d tokens are granted after an older read, want %d", got, held)
	}
}
