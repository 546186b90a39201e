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

const ringSlots = 6

// skips leaves out one step of the protocol, to prove that the checks notice.
type skips struct{ seal, mark, order, durable bool }

type object struct {
	version uint64
	body    []byte
}

type decoded struct {
	version uint64
	shard   allotter.Shard
}

type late struct {
	key     string
	version uint64
	body    []byte
}

// fleet is a schedule-driven world: an in-memory platform, entries, sides and
// requests. choose(n) picks from 0 to n-1 and determines everything.
type fleet struct {
	choose   func(n int) int
	skip     skips
	now      time.Time
	objects  map[string]object
	cache    [2]decoded
	late     []late // writes that take effect after their response was lost
	faults   bool
	busy     bool
	unlisted []*side // sides that admit before they register
	regions  []string
	down     map[string]bool // region is cut off from the platform
	cut      bool            // link between regions
	tasks    []task
	entries  []*entry
	sides    []*side
	requests []*request
	names    int
	token    budgeter.Token
	refused  map[budgeter.Reason]int
	shards   int
	ahead    float64
}

type task struct {
	e   *entry // nil for work outside entries
	run func()
}

type entry struct {
	name, region string
	dead, paused bool
	h            *budgeter.Holder
	j            *journaler.Journal
	recoveries   map[string]*recoverer.Recovery
	calls        map[budgeter.Token]func(budgeter.Action)
}

type side struct {
	name, region      string
	registered, admit bool
	dead, gone        bool
	closed            map[string]bool
}

type request struct {
	budget            string
	shard             int
	key               string
	tokens, actual    int64
	region            string
	res               budgeter.Reservation
	side              *side
	running, executed bool
	confirmed, lost   bool
	moved             bool // the holder refused the charge, so the successor gets it
}

func newFleet(choose func(int) int, skip skips) *fleet {
	f := &fleet{
		choose: choose, skip: skip, now: time.Unix(1_000_000, 0), objects: make(map[string]object), faults: true,
		regions: []string{"eu", "us"}, down: make(map[string]bool), refused: make(map[budgeter.Reason]int), shards: 2, ahead: 0.5,
	}
	for n := range f.shards {
		f.topUp(n, 200)
	}
	for _, region := range f.regions {
		f.startEntry(region)
		f.startEntry(region)
		f.startSide(region)
		f.startSide(region)
		for n := range f.shards {
			f.takeOver(region, n)
		}
	}
	return f
}

func budgetOf(n int) string { return fmt.Sprintf("b%d", n) }
func shardKey(n int) string { return fmt.Sprintf("shard/%d", n) }

func (f *fleet) shard(n int) allotter.Shard {
	o, ok := f.objects[shardKey(n)]
	if !ok {
		return allotter.New(n)
	}
	if c := f.cache[n]; c.version == o.version {
		return c.shard
	}
	f.cache[n] = decoded{o.version, must(checker.Decode[allotter.Shard](o.body))}
	return f.cache[n].shard
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (f *fleet) put(key string, version uint64, body []byte) (uint64, bool) {
	if f.objects[key].version != version {
		return 0, false
	}
	f.objects[key] = object{version + 1, body}
	return version + 1, true
}

// write performs a conditional update with faults: done is called with the
// outcome "ok", "conflict", "lost" or "down".
func (f *fleet) write(region, key string, version uint64, body []byte, done func(outcome string, version uint64)) {
	if f.down[region] {
		done("down", 0)
		return
	}
	if f.faults && f.choose(12) == 1 {
		if f.choose(2) == 0 {
			f.put(key, version, body)
		} else {
			f.late = append(f.late, late{key, version, body})
		}
		done("lost", 0)
		return
	}
	if v, ok := f.put(key, version, body); ok {
		done("ok", v)
		return
	}
	done("conflict", 0)
}

func (f *fleet) topUp(n int, tokens int64) {
	f.names++
	s := must(f.shard(n).WithTopUp(budgetOf(n), fmt.Sprint(f.names), tokens, f.now.Unix(), f.now.Unix()))
	f.put(shardKey(n), f.objects[shardKey(n)].version, must(checker.Encode(s)))
}

func (f *fleet) startEntry(region string) *entry {
	f.names++
	e := &entry{
		name: fmt.Sprintf("e%d", f.names), region: region,
		recoveries: make(map[string]*recoverer.Recovery), calls: make(map[budgeter.Token]func(budgeter.Action)),
	}
	e.h = budgeter.New(budgeter.Config{Instance: e.name, Region: region, Regions: len(f.regions), Ahead: f.ahead})
	e.j = journaler.New(journaler.Config{Writer: e.name, Slots: ringSlots})
	f.entries = append(f.entries, e)
	return e
}

// startSide registers, loads the closures, then admits. If the order is to be left
// out, it admits first and registers a while later.
func (f *fleet) startSide(region string) {
	f.names++
	s := &side{name: fmt.Sprintf("s%d", f.names), region: region, closed: make(map[string]bool)}
	f.sides = append(f.sides, s)
	load := func() {
		for key := range f.objects {
			if name, ok := strings.CutPrefix(key, "closed/"); ok {
				s.closed[name] = true
			}
		}
		s.admit = true
	}
	register := func() { s.registered = true; f.add(nil, load) }
	if f.skip.order {
		load()
		f.unlisted = append(f.unlisted, s)
		return
	}
	f.add(nil, register)
}

func (f *fleet) add(e *entry, run func()) { f.tasks = append(f.tasks, task{e, run}) }

func (f *fleet) live(region string) []*entry {
	return slices.DeleteFunc(slices.Clone(f.entries), func(e *entry) bool {
		return e.dead || e.paused || e.j.Stopped() || e.region != region
	})
}

func (f *fleet) named(name string) *entry {
	for _, e := range f.entries {
		if e.name == name && !e.dead {
			return e
		}
	}
	return nil
}

// takeOver makes a live entry of the region the holder of a shard, whether the
// present holder is dead or not.
func (f *fleet) takeOver(region string, n int) {
	list := f.live(region)
	if len(list) > 0 {
		e := list[f.choose(len(list))]
		f.holder(e, e.h.Hold(n))
	}
}

// call sends a call to the entry's holder; answer gets the action for the token.
func (f *fleet) call(e *entry, do func(budgeter.Token) []budgeter.Action, answer func(budgeter.Action)) {
	f.add(e, func() {
		f.token++
		e.calls[f.token] = answer
		f.holder(e, do(f.token))
	})
}

func (f *fleet) answer(e *entry, t budgeter.Token, a budgeter.Action) {
	if fn := e.calls[t]; fn != nil {
		delete(e.calls, t)
		fn(a)
	}
}

func (f *fleet) holder(e *entry, actions []budgeter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case budgeter.Granted:
			f.answer(e, a.Token, a)
		case budgeter.Refused:
			f.answer(e, a.Token, a)
		case budgeter.Settled:
			f.answer(e, a.Token, a)
		case budgeter.Returned:
			f.answer(e, a.Token, a)
		case budgeter.Append:
			if f.skip.mark && a.Entries[0].Kind == journaler.KindMark || f.skip.durable && a.Lazy {
				f.add(e, func() { f.holder(e, e.h.Durable(f.now, e.j.Seq(), []journaler.Token{a.Token})) })
				continue
			}
			if a.Lazy { // lost if the entry dies before another record
				f.journal(e, e.j.Defer(a.Token, a.Entries...))
				if f.choose(2) == 0 {
					f.journal(e, e.j.Flush())
				}
				continue
			}
			f.journal(e, e.j.Append(a.Token, a.Entries...))
		case budgeter.Update:
			f.add(e, func() { f.update(e, a.Shard) })
		case budgeter.Folded:
			f.journal(e, e.j.Folded(a.Shard, a.Seq))
		case budgeter.Ask:
			f.ask(e, a)
		case budgeter.Held:
			for _, name := range a.Former {
				f.recover(e, name, []int{a.Shard})
			}
		case budgeter.Left: // a later hold recovers again
			maps.DeleteFunc(e.recoveries, func(key string, _ *recoverer.Recovery) bool {
				return strings.HasSuffix(key, fmt.Sprint([]int{a.Shard}))
			})
		case budgeter.Fenced:
			e.j.Stop()
		case budgeter.Closed:
			for _, r := range e.recoveries {
				if r.Instance() == a.Instance {
					f.recovery(e, r, r.Closed(a.Shard))
				}
			}
		}
	}
}

func (f *fleet) update(e *entry, n int) {
	if f.down[e.region] {
		f.holder(e, e.h.Failed(f.now, n))
		f.holder(e, e.h.Platform(f.now, false))
		return
	}
	version := f.objects[shardKey(n)].version
	next, _ := e.h.Propose(f.now, n, f.shard(n))
	body := must(checker.Encode(next))
	f.add(e, func() {
		f.write(e.region, shardKey(n), version, body, func(outcome string, _ uint64) {
			switch outcome {
			case "ok":
				f.holder(e, e.h.Stored(f.now, n))
			case "conflict":
				f.add(e, func() { f.update(e, n) })
			default:
				f.holder(e, e.h.Failed(f.now, n))
			}
		})
	})
}

func (f *fleet) ask(e *entry, a budgeter.Ask) {
	done := func(budgeter.Action) { f.add(e, func() { f.holder(e, e.h.Asked(a.Shard, a.Budget)) }) }
	for _, region := range f.regions {
		peer := f.named(f.shard(a.Shard).Holders[region].Instance)
		reachable := !f.cut || !f.down[region] && !f.down[e.region] // link or inbox
		if region == e.region || peer == nil || !reachable {
			continue
		}
		f.call(peer, func(t budgeter.Token) []budgeter.Action {
			return peer.h.Return(f.now, t, a.Shard, a.Budget, a.Tokens)
		}, done)
		return
	}
	done(nil)
}

func (f *fleet) journal(e *entry, actions []journaler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case journaler.Write:
			f.add(e, func() {
				f.write(e.region, a.Key, a.Version, a.Body, func(outcome string, v uint64) {
					switch outcome {
					case "ok":
						f.journal(e, e.j.Written(f.now, v))
						f.holder(e, e.h.Platform(f.now, true))
					case "conflict":
						f.journal(e, e.j.Conflict())
					case "lost":
						f.journal(e, e.j.Uncertain())
					default:
						f.journal(e, e.j.Failed(a))
						f.holder(e, e.h.Platform(f.now, false))
					}
				})
			})
		case journaler.Read:
			f.add(e, func() {
				if f.down[e.region] {
					f.journal(e, e.j.Failed(a))
					return
				}
				f.journal(e, e.j.ReadBack(f.now, f.slot(a.Key)))
			})
		case journaler.Durable:
			f.holder(e, e.h.Durable(f.now, a.Seq, a.Tokens))
		case journaler.Stop:
			f.holder(e, e.h.Stop())
		}
	}
}

func (f *fleet) slot(key string) journaler.Slot {
	s := journaler.Slot{Key: key, Version: f.objects[key].version}
	if s.Version > 0 {
		s.Record = must(checker.Decode[journaler.Record](f.objects[key].body))
	}
	return s
}

func (f *fleet) recover(e *entry, dead string, shards []int) {
	r := recoverer.New(recoverer.Config{
		Instance: dead, Successor: e.name, Shards: shards, Slots: ringSlots, Release: recoverer.ReleaseGone,
	})
	e.recoveries[fmt.Sprint(dead, shards)] = r
	f.recovery(e, r, r.Start())
}

func (f *fleet) recovery(e *entry, r *recoverer.Recovery, actions []recoverer.Action) {
	for _, a := range actions {
		switch a.(type) {
		case recoverer.Replay, recoverer.Report, recoverer.Release, recoverer.Complete:
			f.recoveryStep(e, r, a)
			continue
		}
		f.add(e, func() {
			if f.down[e.region] {
				switch a.(type) {
				case recoverer.List, recoverer.Seal, recoverer.Closure, recoverer.Sides:
					r.Failed(a)
					return
				}
			}
			f.recovery(e, r, f.recoveryStep(e, r, a))
		})
	}
}

func (f *fleet) recoveryStep(e *entry, r *recoverer.Recovery, a recoverer.Action) (next []recoverer.Action) {
	switch a := a.(type) {
	case recoverer.List:
		var slots []journaler.Slot
		for key := range f.objects {
			if strings.HasPrefix(key, a.Prefix) {
				slots = append(slots, f.slot(key))
			}
		}
		return r.Listed(slots)
	case recoverer.Seal:
		if f.skip.seal {
			return r.Sealed()
		}
		f.write(e.region, a.Write.Key, a.Write.Version, a.Write.Body, func(outcome string, _ uint64) {
			next = r.Unsealed()
			if outcome == "ok" {
				next = r.Sealed()
			}
		})
		return next
	case recoverer.Replay:
		f.holder(e, must(e.h.Replay(a.Shard, a.Log)))
	case recoverer.Closure:
		f.put(a.Key, 0, []byte("{}"))
		return r.ClosureWritten()
	case recoverer.Sides:
		var names []string
		for _, s := range f.sides {
			if s.registered && !s.gone {
				names = append(names, s.name)
			}
		}
		return r.SidesListed(f.now, names)
	case recoverer.Close:
		return f.close(r, a)
	case recoverer.Report:
		f.holder(e, e.h.Reported(f.now, a.Shard, a.Instance, a.Open, a.Charges))
	case recoverer.Release:
		f.holder(e, e.h.Release(f.now, a.Reservation))
	case recoverer.Complete:
		f.holder(e, e.h.Complete(a.Shard, a.Instance))
	}
	return nil
}

func (f *fleet) close(r *recoverer.Recovery, a recoverer.Close) []recoverer.Action {
	for _, s := range f.sides {
		if s.name != a.Side || s.dead {
			continue
		}
		s.closed[a.Instance] = true
		var open []budgeter.Reservation
		var charges []budgeter.Charge
		for _, q := range f.requests {
			switch {
			case q.side != s || q.res.Holder != a.Instance:
			case q.running:
				open = append(open, q.res)
			case q.executed && !q.confirmed:
				charges = append(charges, q.charge())
			}
		}
		if f.faults && f.choose(8) == 1 {
			return nil // the answer is lost
		}
		return r.Acknowledged(s.name, open, charges)
	}
	return nil
}

func (q *request) charge() budgeter.Charge {
	return budgeter.Charge{Reservation: q.res, Key: q.key, Tokens: q.actual}
}

// reserve starts a request at the region's holder.
func (f *fleet) reserve(region string, n int) {
	e := f.named(f.shard(n).Holders[region].Instance)
	if e == nil {
		return
	}
	q := &request{budget: budgetOf(n), shard: n, region: region, tokens: int64(10 + f.choose(60))}
	q.actual = q.tokens * int64(1+f.choose(4)) / 4
	if f.choose(4) == 1 {
		i := f.choose(3) // few keys, so that they meet; the use depends on the key
		q.key, q.tokens, q.actual = fmt.Sprint("k", i), int64(20+i), int64(20+i)
	}
	f.call(e, func(t budgeter.Token) []budgeter.Action {
		return e.h.Reserve(f.now, t, budgeter.Request{Shard: n, Budget: q.budget, Tokens: q.tokens, Key: q.key})
	}, func(a budgeter.Action) {
		switch a := a.(type) {
		case budgeter.Granted:
			q.res = a.Reservation
			f.requests = append(f.requests, q)
			f.add(nil, func() { f.dispatch(q) })
		case budgeter.Refused:
			f.refused[a.Err.Reason]++
		}
	})
}

func (f *fleet) dispatch(q *request) {
	sides := slices.DeleteFunc(slices.Clone(f.sides), func(s *side) bool { return s.dead || !s.admit || s.region != q.region })
	if len(sides) > 0 {
		if s := sides[f.choose(len(sides))]; !s.closed[q.res.Holder] {
			q.side, q.running = s, true
			return
		}
	}
	if e := f.named(q.res.Holder); e != nil {
		f.add(e, func() { f.holder(e, e.h.Release(f.now, q.res)) })
	}
}

// deliver sends a charge to the reservation's holder or to its successor.
func (f *fleet) deliver(q *request) {
	e := f.named(q.res.Holder)
	if e == nil || q.moved || e.paused || e.j.Stopped() {
		e = f.named(f.shard(q.shard).Holders[q.region].Instance)
	}
	if e == nil {
		return
	}
	f.call(e, func(t budgeter.Token) []budgeter.Action { return e.h.Settle(f.now, t, q.charge()) }, func(a budgeter.Action) {
		if _, ok := a.(budgeter.Refused); ok {
			q.moved = !q.moved
		}
		if _, ok := a.(budgeter.Settled); ok && (!f.faults || f.choose(4) != 1) {
			q.confirmed = true
		}
	})
}

func (f *fleet) tick() {
	if len(f.unlisted) > 0 && f.choose(10) == 0 {
		f.unlisted[0].registered = true
		f.unlisted = f.unlisted[1:]
	}
	var names []string
	for _, s := range f.sides {
		if !s.gone {
			names = append(names, s.name)
		}
	}
	for _, e := range f.entries {
		if e.dead || e.paused {
			continue
		}
		f.journal(e, e.j.Tick(f.now))
		f.holder(e, e.h.Tick(f.now))
		for _, key := range slices.Sorted(maps.Keys(e.recoveries)) {
			r := e.recoveries[key]
			f.recovery(e, r, r.Tick(f.now))
			f.recovery(e, r, r.Listing(f.now, names))
		}
		for _, other := range f.entries {
			for _, n := range e.h.Owed(other.name) {
				if (other.dead || other.j.Stopped()) && e.recoveries[fmt.Sprint(other.name, []int{n})] == nil {
					f.recover(e, other.name, []int{n})
				}
			}
		}
		if e.j.Crowded() {
			for _, n := range e.j.Unfolded() {
				f.holder(e, e.h.Fold(n))
			}
		}
	}
}

// runTask runs a random task of an entry that is neither dead nor paused.
func (f *fleet) runTask() bool {
	f.tasks = slices.DeleteFunc(f.tasks, func(t task) bool { return t.e != nil && t.e.dead })
	var ready []int
	for i, t := range f.tasks {
		if t.e == nil || !t.e.paused {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	i := ready[f.choose(len(ready))]
	t := f.tasks[i]
	f.tasks = slices.Delete(f.tasks, i, i+1)
	t.run()
	return true
}

// spent returns what the sides have executed and run for a budget. Executions
// with the same key count once.
func (f *fleet) spent(budget string) int64 {
	var sum int64
	keys := make(map[string]bool)
	for _, q := range f.requests {
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

// check compares the truth at the sides with the top-ups.
func (f *fleet) check() error {
	for n := range f.shards {
		b := f.shard(n).Budgets[budgetOf(n)]
		if spent := f.spent(budgetOf(n)); spent > b.Topped {
			return fmt.Errorf("budget %d: spent %d of %d", n, spent, b.Topped)
		}
	}
	return nil
}

func (f *fleet) dump() string {
	data, _ := json.Marshal(f.shard(0))
	out := string(data)
	for _, e := range f.entries {
		if e.dead {
			continue
		}
		out += fmt.Sprintf("\n%s stopped=%v holds=%v,%v former=%v", e.name, e.j.Stopped(), e.h.Holds(0), e.h.Holds(1), e.h.Object(0).Former(e.region))
		for _, r := range e.recoveries {
			out += fmt.Sprintf("\n   %v", r)
		}
	}
	for _, q := range f.requests {
		if q.executed && !q.confirmed {
			out += fmt.Sprintf("\n unconfirmed %+v", q)
		}
	}
	return out
}
