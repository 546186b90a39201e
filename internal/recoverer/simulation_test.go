package recoverer_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/budgeter"
	"daisylane/internal/checker"
	"daisylane/internal/journaler"
	"daisylane/internal/recoverer"
)

const journalSlots = 6

// skippedSteps selects steps of the protocol to leave out, to test that the checks
// detect the resulting faults.
type skippedSteps struct{ seal, mark, order, durable bool }

type storedObject struct {
	version uint64
	body    []byte
}

type decodedShard struct {
	version uint64
	shard   allotter.Shard
}

type lateWrite struct {
	key     string
	version uint64
	body    []byte
}

// simulation is a deterministic simulation of a fleet: an in-memory platform, entries,
// sides and requests. All decisions come from choose, which returns a number from 0 to
// n-1.
type simulation struct {
	choose          func(n int) int
	skipped         skippedSteps
	now             time.Time
	objects         map[string]storedObject
	shardCache      [2]decodedShard
	lateWrites      []lateWrite // writes that take effect after their response was lost
	writeFaults     bool        // lose responses of writes and of sides
	faultHeavy      bool        // schedule with more faults, see injectFault
	unregistered    []*side     // sides that admit requests before they register
	regions         []string
	platformDown    map[string]bool // by region: it cannot reach the platform
	linkDown        bool            // the regions cannot reach each other directly
	tasks           []task
	entries         []*entry
	sides           []*side
	requests        []*request
	lastName        int
	lastToken       budgeter.Token
	refusedByReason map[budgeter.Reason]int
	shards          int
	markAhead       float64
}

type task struct {
	e   *entry // nil for a task outside of entries
	run func()
}

type entry struct {
	name, region string
	dead, paused bool
	budgetHolder *budgeter.Holder
	ownJournal   *journaler.Journal
	recoveries   map[string]*recoverer.Recovery
	callbacks    map[budgeter.Token]func(budgeter.Action)
}

type side struct {
	name, region          string
	registered, admitting bool
	dead, gone            bool
	closed                map[string]bool
}

type request struct {
	budget             string
	shard              int
	key                string
	tokens, actual     int64
	region             string
	grantedReservation budgeter.Reservation
	side               *side
	running, executed  bool
	confirmed, lost    bool
	toSuccessor        bool // the holder refused the charge; send it to the successor
}

func newSimulation(choose func(int) int, skipped skippedSteps) *simulation {
	sim := &simulation{
		choose: choose, skipped: skipped, now: time.Unix(1_000_000, 0), objects: make(map[string]storedObject), writeFaults: true,
		regions: []string{"eu", "us"}, platformDown: make(map[string]bool), refusedByReason: make(map[budgeter.Reason]int), shards: 2, markAhead: 0.5,
	}
	for n := range sim.shards {
		sim.topUp(n, 200)
	}
	for _, region := range sim.regions {
		sim.startEntry(region)
		sim.startEntry(region)
		sim.startSide(region)
		sim.startSide(region)
		for n := range sim.shards {
			sim.takeOver(region, n)
		}
	}
	return sim
}

func budgetOf(n int) string { return fmt.Sprintf("b%d", n) }
func shardKey(n int) string { return fmt.Sprintf("shard/%d", n) }

func (sim *simulation) shard(n int) allotter.Shard {
	o, ok := sim.objects[shardKey(n)]
	if !ok {
		return allotter.New(n)
	}
	if c := sim.shardCache[n]; c.version == o.version {
		return c.shard
	}
	sim.shardCache[n] = decodedShard{o.version, must(checker.Decode[allotter.Shard](o.body))}
	return sim.shardCache[n].shard
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (sim *simulation) put(key string, version uint64, body []byte) (uint64, bool) {
	if sim.objects[key].version != version {
		return 0, false
	}
	sim.objects[key] = storedObject{version + 1, body}
	return version + 1, true
}

// write performs a conditional write and injects faults. It calls done with the outcome
// "ok", "conflict", "lost" (the response was lost) or "down" (platform outage).
func (sim *simulation) write(region, key string, version uint64, body []byte, done func(outcome string, version uint64)) {
	if sim.platformDown[region] {
		done("down", 0)
		return
	}
	if sim.writeFaults && sim.choose(12) == 1 {
		if sim.choose(2) == 0 {
			sim.put(key, version, body)
		} else {
			sim.lateWrites = append(sim.lateWrites, lateWrite{key, version, body})
		}
		done("lost", 0)
		return
	}
	if v, ok := sim.put(key, version, body); ok {
		done("ok", v)
		return
	}
	done("conflict", 0)
}

func (sim *simulation) topUp(n int, tokens int64) {
	sim.lastName++
	s := must(sim.shard(n).WithTopUp(budgetOf(n), fmt.Sprint(sim.lastName), tokens, sim.now.Unix(), sim.now.Unix()))
	sim.put(shardKey(n), sim.objects[shardKey(n)].version, must(checker.Encode(s)))
}

func (sim *simulation) startEntry(region string) *entry {
	sim.lastName++
	e := &entry{
		name: fmt.Sprintf("e%d", sim.lastName), region: region,
		recoveries: make(map[string]*recoverer.Recovery), callbacks: make(map[budgeter.Token]func(budgeter.Action)),
	}
	e.budgetHolder = budgeter.New(budgeter.Config{Instance: e.name, Region: region, Regions: len(sim.regions), MarkAhead: sim.markAhead})
	e.ownJournal = journaler.New(journaler.Config{Writer: e.name, Slots: journalSlots})
	sim.entries = append(sim.entries, e)
	return e
}

// startSide starts a side that registers, loads the closures and then admits requests.
// If the step order is skipped, the side admits first and registers some time later.
func (sim *simulation) startSide(region string) {
	sim.lastName++
	s := &side{name: fmt.Sprintf("s%d", sim.lastName), region: region, closed: make(map[string]bool)}
	sim.sides = append(sim.sides, s)
	load := func() {
		for key := range sim.objects {
			if name, ok := strings.CutPrefix(key, "closed/"); ok {
				s.closed[name] = true
			}
		}
		s.admitting = true
	}
	register := func() { s.registered = true; sim.addTask(nil, load) }
	if sim.skipped.order {
		load()
		sim.unregistered = append(sim.unregistered, s)
		return
	}
	sim.addTask(nil, register)
}

func (sim *simulation) addTask(e *entry, run func()) { sim.tasks = append(sim.tasks, task{e, run}) }

func (sim *simulation) liveEntries(region string) []*entry {
	return slices.DeleteFunc(slices.Clone(sim.entries), func(e *entry) bool {
		return e.dead || e.paused || e.ownJournal.Stopped() || e.region != region
	})
}

func (sim *simulation) entryByName(name string) *entry {
	for _, e := range sim.entries {
		if e.name == name && !e.dead {
			return e
		}
	}
	return nil
}

// takeOver makes a live entry of the region the holder of a shard, even if the current
// holder is alive.
func (sim *simulation) takeOver(region string, n int) {
	list := sim.liveEntries(region)
	if len(list) > 0 {
		e := list[sim.choose(len(list))]
		sim.runHolderActions(e, e.budgetHolder.Acquire(n))
	}
}

// call sends a call to the entry's holder. reply receives the action that answers it.
func (sim *simulation) call(e *entry, do func(budgeter.Token) []budgeter.Action, reply func(budgeter.Action)) {
	sim.addTask(e, func() {
		sim.lastToken++
		e.callbacks[sim.lastToken] = reply
		sim.runHolderActions(e, do(sim.lastToken))
	})
}

func (sim *simulation) deliverReply(e *entry, t budgeter.Token, a budgeter.Action) {
	if fn := e.callbacks[t]; fn != nil {
		delete(e.callbacks, t)
		fn(a)
	}
}

func (sim *simulation) runHolderActions(e *entry, actions []budgeter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case budgeter.Granted:
			sim.deliverReply(e, a.Token, a)
		case budgeter.Refused:
			sim.deliverReply(e, a.Token, a)
		case budgeter.Settled:
			sim.deliverReply(e, a.Token, a)
		case budgeter.Returned:
			sim.deliverReply(e, a.Token, a)
		case budgeter.Append:
			if sim.skipped.mark && a.Entries[0].Kind == journaler.KindMark || sim.skipped.durable && a.Deferrable {
				sim.addTask(e, func() {
					sim.runHolderActions(e, e.budgetHolder.AppendsDurable(sim.now, e.ownJournal.Seq(), []journaler.Token{a.Token}))
				})
				continue
			}
			if a.Deferrable { // lost if the entry dies before it writes another record
				sim.runJournalActions(e, e.ownJournal.AppendDeferred(a.Token, a.Entries...))
				if sim.choose(2) == 0 {
					sim.runJournalActions(e, e.ownJournal.Flush())
				}
				continue
			}
			sim.runJournalActions(e, e.ownJournal.Append(a.Token, a.Entries...))
		case budgeter.Update:
			sim.addTask(e, func() { sim.updateShard(e, a.Shard) })
		case budgeter.Folded:
			sim.runJournalActions(e, e.ownJournal.Folded(a.Shard, a.Seq))
		case budgeter.AskRegions:
			sim.askOtherRegions(e, a)
		case budgeter.Acquired:
			for _, name := range a.FormerHolders {
				sim.startRecovery(e, name, []int{a.Shard})
			}
		case budgeter.HandedOver: // a new recovery starts when the shard is next acquired
			maps.DeleteFunc(e.recoveries, func(key string, _ *recoverer.Recovery) bool {
				return strings.HasSuffix(key, fmt.Sprint([]int{a.Shard}))
			})
		case budgeter.Fenced:
			e.ownJournal.Stop()
		case budgeter.FormerClosed:
			for _, r := range e.recoveries {
				if r.Instance() == a.Instance {
					sim.runRecoveryActions(e, r, r.ShardReleased(a.Shard))
				}
			}
		}
	}
}

func (sim *simulation) updateShard(e *entry, n int) {
	if sim.platformDown[e.region] {
		sim.runHolderActions(e, e.budgetHolder.UpdateFailed(sim.now, n))
		sim.runHolderActions(e, e.budgetHolder.SetPlatformReachable(sim.now, false))
		return
	}
	version := sim.objects[shardKey(n)].version
	next, _ := e.budgetHolder.Propose(sim.now, n, sim.shard(n))
	body := must(checker.Encode(next))
	sim.addTask(e, func() {
		sim.write(e.region, shardKey(n), version, body, func(outcome string, _ uint64) {
			switch outcome {
			case "ok":
				sim.runHolderActions(e, e.budgetHolder.UpdateStored(sim.now, n))
			case "conflict":
				sim.addTask(e, func() { sim.updateShard(e, n) })
			default:
				sim.runHolderActions(e, e.budgetHolder.UpdateFailed(sim.now, n))
			}
		})
	})
}

func (sim *simulation) askOtherRegions(e *entry, a budgeter.AskRegions) {
	done := func(budgeter.Action) {
		sim.addTask(e, func() { sim.runHolderActions(e, e.budgetHolder.RegionsAnswered(a.Shard, a.Budget)) })
	}
	for _, region := range sim.regions {
		peer := sim.entryByName(sim.shard(a.Shard).Holders[region].Instance)
		// The regions reach each other directly or through the platform.
		reachable := !sim.linkDown || !sim.platformDown[region] && !sim.platformDown[e.region]
		if region == e.region || peer == nil || !reachable {
			continue
		}
		sim.call(peer, func(t budgeter.Token) []budgeter.Action {
			return peer.budgetHolder.Return(sim.now, t, a.Shard, a.Budget, a.Tokens)
		}, done)
		return
	}
	done(nil)
}

func (sim *simulation) runJournalActions(e *entry, actions []journaler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case journaler.WriteSlot:
			sim.addTask(e, func() {
				sim.write(e.region, a.Key, a.Version, a.Body, func(outcome string, v uint64) {
					switch outcome {
					case "ok":
						sim.runJournalActions(e, e.ownJournal.WriteSucceeded(sim.now, v))
						sim.runHolderActions(e, e.budgetHolder.SetPlatformReachable(sim.now, true))
					case "conflict":
						sim.runJournalActions(e, e.ownJournal.WriteConflicted())
					case "lost":
						sim.runJournalActions(e, e.ownJournal.WriteUncertain())
					default:
						sim.runJournalActions(e, e.ownJournal.ActionFailed(a))
						sim.runHolderActions(e, e.budgetHolder.SetPlatformReachable(sim.now, false))
					}
				})
			})
		case journaler.ReadSlot:
			sim.addTask(e, func() {
				if sim.platformDown[e.region] {
					sim.runJournalActions(e, e.ownJournal.ActionFailed(a))
					return
				}
				sim.runJournalActions(e, e.ownJournal.SlotRead(sim.now, sim.slotByKey(a.Key)))
			})
		case journaler.Durable:
			sim.runHolderActions(e, e.budgetHolder.AppendsDurable(sim.now, a.Seq, a.Tokens))
		case journaler.Ended:
			sim.runHolderActions(e, e.budgetHolder.JournalLost())
		}
	}
}

func (sim *simulation) slotByKey(key string) journaler.Slot {
	s := journaler.Slot{Key: key, Version: sim.objects[key].version}
	if s.Version > 0 {
		s.Record = must(checker.Decode[journaler.Record](sim.objects[key].body))
	}
	return s
}

func (sim *simulation) startRecovery(e *entry, former string, shards []int) {
	r := recoverer.New(recoverer.Config{
		Instance: former, Successor: e.name, Shards: shards, JournalSlots: journalSlots, ReleasePolicy: recoverer.ReleaseGone,
	})
	e.recoveries[fmt.Sprint(former, shards)] = r
	sim.runRecoveryActions(e, r, r.Start())
}

func (sim *simulation) runRecoveryActions(e *entry, r *recoverer.Recovery, actions []recoverer.Action) {
	for _, a := range actions {
		switch a.(type) {
		case recoverer.ReplayJournal, recoverer.ReportSide, recoverer.ReleaseReservation, recoverer.CompleteShard:
			sim.runRecoveryAction(e, r, a)
			continue
		}
		sim.addTask(e, func() {
			if sim.platformDown[e.region] {
				switch a.(type) {
				case recoverer.ListJournal, recoverer.WriteSeal, recoverer.WriteClosure, recoverer.ListSides:
					r.ActionFailed(a)
					return
				}
			}
			sim.runRecoveryActions(e, r, sim.runRecoveryAction(e, r, a))
		})
	}
}

func (sim *simulation) runRecoveryAction(e *entry, r *recoverer.Recovery, a recoverer.Action) (next []recoverer.Action) {
	switch a := a.(type) {
	case recoverer.ListJournal:
		var slots []journaler.Slot
		for key := range sim.objects {
			if strings.HasPrefix(key, a.Prefix) {
				slots = append(slots, sim.slotByKey(key))
			}
		}
		return r.JournalListed(slots)
	case recoverer.WriteSeal:
		if sim.skipped.seal {
			return r.Sealed()
		}
		sim.write(e.region, a.Write.Key, a.Write.Version, a.Write.Body, func(outcome string, _ uint64) {
			next = r.SealFailed()
			if outcome == "ok" {
				next = r.Sealed()
			}
		})
		return next
	case recoverer.ReplayJournal:
		sim.runHolderActions(e, must(e.budgetHolder.ReplayFormer(a.Shard, a.Log)))
	case recoverer.WriteClosure:
		sim.put(a.Key, 0, []byte("{}"))
		return r.ClosureWritten()
	case recoverer.ListSides:
		var names []string
		for _, s := range sim.sides {
			if s.registered && !s.gone {
				names = append(names, s.name)
			}
		}
		return r.SidesListed(sim.now, names)
	case recoverer.CloseSide:
		return sim.closeAtSide(r, a)
	case recoverer.ReportSide:
		sim.runHolderActions(e, e.budgetHolder.SideReported(sim.now, a.Shard, a.Instance, a.Open, a.Charges))
	case recoverer.ReleaseReservation:
		sim.runHolderActions(e, e.budgetHolder.Release(sim.now, a.Reservation))
	case recoverer.CompleteShard:
		sim.runHolderActions(e, e.budgetHolder.AllSidesReported(a.Shard, a.Instance))
	}
	return nil
}

func (sim *simulation) closeAtSide(r *recoverer.Recovery, a recoverer.CloseSide) []recoverer.Action {
	for _, s := range sim.sides {
		if s.name != a.Side || s.dead {
			continue
		}
		s.closed[a.Instance] = true
		var open []budgeter.Reservation
		var charges []budgeter.Charge
		for _, q := range sim.requests {
			switch {
			case q.side != s || q.grantedReservation.Holder != a.Instance:
			case q.running:
				open = append(open, q.grantedReservation)
			case q.executed && !q.confirmed:
				charges = append(charges, q.charge())
			}
		}
		if sim.writeFaults && sim.choose(8) == 1 {
			return nil // the response is lost
		}
		return r.SideClosed(s.name, open, charges)
	}
	return nil
}

func (q *request) charge() budgeter.Charge {
	return budgeter.Charge{Reservation: q.grantedReservation, Key: q.key, Tokens: q.actual}
}

// reserve reserves tokens for a new request at the region's holder.
func (sim *simulation) reserve(region string, n int) {
	e := sim.entryByName(sim.shard(n).Holders[region].Instance)
	if e == nil {
		return
	}
	q := &request{budget: budgetOf(n), shard: n, region: region, tokens: int64(10 + sim.choose(60))}
	q.actual = q.tokens * int64(1+sim.choose(4)) / 4
	if sim.choose(4) == 1 {
		// Few keys, so that requests share them. The number of tokens depends on the key.
		i := sim.choose(3)
		q.key, q.tokens, q.actual = fmt.Sprint("k", i), int64(20+i), int64(20+i)
	}
	sim.call(e, func(t budgeter.Token) []budgeter.Action {
		return e.budgetHolder.Reserve(sim.now, t, budgeter.Request{Shard: n, Budget: q.budget, Tokens: q.tokens})
	}, func(a budgeter.Action) {
		switch a := a.(type) {
		case budgeter.Granted:
			q.grantedReservation = a.Reservation
			sim.requests = append(sim.requests, q)
			sim.addTask(nil, func() { sim.dispatch(q) })
		case budgeter.Refused:
			sim.refusedByReason[a.Err.Reason]++
		}
	})
}

func (sim *simulation) dispatch(q *request) {
	sides := slices.DeleteFunc(slices.Clone(sim.sides), func(s *side) bool { return s.dead || !s.admitting || s.region != q.region })
	if len(sides) > 0 {
		if s := sides[sim.choose(len(sides))]; !s.closed[q.grantedReservation.Holder] {
			q.side, q.running = s, true
			return
		}
	}
	if e := sim.entryByName(q.grantedReservation.Holder); e != nil {
		sim.addTask(e, func() { sim.runHolderActions(e, e.budgetHolder.Release(sim.now, q.grantedReservation)) })
	}
}

// sendCharge sends a charge to the reservation's holder or to its successor.
func (sim *simulation) sendCharge(q *request) {
	e := sim.entryByName(q.grantedReservation.Holder)
	if e == nil || q.toSuccessor || e.paused || e.ownJournal.Stopped() {
		e = sim.entryByName(sim.shard(q.shard).Holders[q.region].Instance)
	}
	if e == nil {
		return
	}
	sim.call(e, func(t budgeter.Token) []budgeter.Action { return e.budgetHolder.Settle(sim.now, t, q.charge()) }, func(a budgeter.Action) {
		if _, ok := a.(budgeter.Refused); ok {
			q.toSuccessor = !q.toSuccessor
		}
		if _, ok := a.(budgeter.Settled); ok && (!sim.writeFaults || sim.choose(4) != 1) {
			q.confirmed = true
		}
	})
}

func (sim *simulation) tick() {
	if len(sim.unregistered) > 0 && sim.choose(10) == 0 {
		sim.unregistered[0].registered = true
		sim.unregistered = sim.unregistered[1:]
	}
	var names []string
	for _, s := range sim.sides {
		if !s.gone {
			names = append(names, s.name)
		}
	}
	for _, e := range sim.entries {
		if e.dead || e.paused {
			continue
		}
		sim.runJournalActions(e, e.ownJournal.Tick(sim.now))
		sim.runHolderActions(e, e.budgetHolder.Tick(sim.now))
		for _, key := range slices.Sorted(maps.Keys(e.recoveries)) {
			r := e.recoveries[key]
			sim.runRecoveryActions(e, r, r.Tick(sim.now))
			sim.runRecoveryActions(e, r, r.InstancesListed(sim.now, names))
		}
		for _, other := range sim.entries {
			for _, n := range e.budgetHolder.ShardsToRecover(other.name) {
				if (other.dead || other.ownJournal.Stopped()) && e.recoveries[fmt.Sprint(other.name, []int{n})] == nil {
					sim.startRecovery(e, other.name, []int{n})
				}
			}
		}
		if e.ownJournal.FoldDue() {
			for _, n := range e.ownJournal.Unfolded() {
				sim.runHolderActions(e, e.budgetHolder.Fold(n))
			}
		}
	}
}

// runTask runs a random task, except those of dead or paused entries. It reports
// whether there was one.
func (sim *simulation) runTask() bool {
	sim.tasks = slices.DeleteFunc(sim.tasks, func(t task) bool { return t.e != nil && t.e.dead })
	var ready []int
	for i, t := range sim.tasks {
		if t.e == nil || !t.e.paused {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	i := ready[sim.choose(len(ready))]
	t := sim.tasks[i]
	sim.tasks = slices.Delete(sim.tasks, i, i+1)
	t.run()
	return true
}

// usedTokens returns the tokens of a budget's executed and running requests at the
// sides. Executed requests with the same key count once.
func (sim *simulation) usedTokens(budget string) int64 {
	var sum int64
	keys := make(map[string]bool)
	for _, q := range sim.requests {
		switch {
		case q.budget != budget:
		case q.running:
			sum += q.tokens
		case q.executed && !keys[q.key]:
			sum += q.actual
			keys[q.key] = q.key != ""
		}
	}
	return sum
}

// checkOverspend checks that the requests at the sides use no more than the top-ups.
func (sim *simulation) checkOverspend() error {
	for n := range sim.shards {
		b := sim.shard(n).Budgets[budgetOf(n)]
		if spent := sim.usedTokens(budgetOf(n)); spent > b.ToppedUp {
			return fmt.Errorf("budget %d: spent %d of %d", n, spent, b.ToppedUp)
		}
	}
	return nil
}

func (sim *simulation) describe() string {
	data, _ := json.Marshal(sim.shard(0))
	out := string(data)
	for _, e := range sim.entries {
		if e.dead {
			continue
		}
		out += fmt.Sprintf("\n%s stopped=%v holds=%v,%v former=%v", e.name, e.ownJournal.Stopped(), e.budgetHolder.Holds(0), e.budgetHolder.Holds(1), e.budgetHolder.Object(0).FormerHolders(e.region))
		for _, r := range e.recoveries {
			out += fmt.Sprintf("\n   %v", r)
		}
	}
	for _, q := range sim.requests {
		if q.executed && !q.confirmed {
			out += fmt.Sprintf("\n unconfirmed %+v", q)
		}
	}
	return out
}
