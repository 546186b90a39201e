package budgeter

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"daisylane/internal/allotter"
	"daisylane/internal/journaler"
)

// Latencies of a harness in virtual time. Detection is the time from a crash to the
// successor's hold.
const (
	platformDelay  = 25 * time.Millisecond
	linkDelay      = 20 * time.Millisecond
	inboxDelay     = 4 * platformDelay
	inboxWait      = 2 * time.Second
	flushDelay     = 5 * time.Second
	foldPeriod     = 5 * time.Minute
	detectionDelay = 3 * time.Second
	resendDelay    = 6 * time.Second
)

// harness drives holders against one shard object without lost responses. Everything
// happens at once, or in virtual time if timed is set.
type harness struct {
	object   allotter.Shard
	version  int
	timed    bool
	cut      bool         // link between regions
	down     map[int]bool // holders that do not reach the platform
	dead     map[int]bool
	now      time.Time
	events   queue
	order    int // of events with the same time
	holders  []*Holder
	names    []string
	regions  []string
	logs     []journaler.Log
	held     [][]func()       // durable once the platform is back
	sealed   map[string]int   // holder by name
	closed   map[string]bool  // recovered holders
	returns  map[Token]func() // answers to Return
	answers  map[Token]func(*RefusedError, Reservation)
	open     map[Reservation]bool   // running at the sides
	unbilled map[Reservation]Charge // not confirmed
	used     map[string]int64       // spent and reserved, by holder
	bytes    int                    // of journal entries
	records  int
	granted  map[Token]Reservation
	refused  map[Token]bool
	token    Token
}

type event struct {
	at    time.Time
	order int
	run   func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q *queue) Push(e any) { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newHarness(topped int64, instances []string, regions []string, ahead float64) *harness {
	d := &harness{
		down: make(map[int]bool), dead: make(map[int]bool), now: time.Unix(1e6, 0),
		sealed: make(map[string]int), closed: make(map[string]bool), returns: make(map[Token]func()),
		answers: make(map[Token]func(*RefusedError, Reservation)),
		open:    make(map[Reservation]bool), unbilled: make(map[Reservation]Charge), used: make(map[string]int64),
		granted: make(map[Token]Reservation), refused: make(map[Token]bool),
	}
	d.object, _ = allotter.New(0).WithTopUp("b", "t", topped, 1e6, 1e6)
	for i, name := range instances {
		d.add(name, regions[i], len(instances), ahead)
	}
	return d
}

func (d *harness) add(name, region string, regions int, ahead float64) int {
	i := len(d.holders)
	d.holders = append(d.holders, New(Config{Instance: name, Region: region, Regions: regions, Ahead: ahead}))
	d.names, d.regions = append(d.names, name), append(d.regions, region)
	d.logs, d.held = append(d.logs, journaler.Log{Instance: name, Sealed: true}), append(d.held, nil)
	d.sealed[name] = i
	d.run(i, d.holders[i].Hold(0))
	return i
}

// after runs an event later, unless the harness is not timed.
func (d *harness) after(wait time.Duration, run func()) {
	if !d.timed {
		run()
		return
	}
	d.order++
	heap.Push(&d.events, event{d.now.Add(wait), d.order, run})
}

// until runs the events up to a time.
func (d *harness) until(at time.Time) {
	for len(d.events) > 0 && !d.events[0].at.After(at) {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
	}
	d.now = at
}

func (d *harness) run(i int, actions []Action) {
	if d.dead[i] {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			d.granted[a.Token] = a.Reservation
			d.answer(a.Token, nil, a.Reservation)
		case Refused:
			d.refused[a.Token] = true
			d.answer(a.Token, a.Err, Reservation{})
		case Settled:
			d.answer(a.Token, nil, Reservation{})
		case Append:
			wait := platformDelay
			if a.Lazy {
				wait = flushDelay
			}
			d.after(wait, func() { d.durable(i, a) })
		case Update:
			d.after(platformDelay, func() { d.propose(i, a.Shard) })
		case Ask:
			d.ask(i, a)
		case Returned:
			if done := d.returns[a.Token]; done != nil {
				delete(d.returns, a.Token)
				d.after(linkDelay, done)
			}
		case Held:
			for _, name := range a.Former {
				d.after(4*platformDelay+2*linkDelay, func() { d.recover(i, name) })
			}
		case Closed:
			d.closed[a.Instance] = true
		}
	}
}

func (d *harness) answer(t Token, err *RefusedError, r Reservation) {
	if done := d.answers[t]; done != nil {
		delete(d.answers, t)
		done(err, r)
	}
}

func (d *harness) durable(i int, a Append) {
	switch {
	case d.dead[i]:
		return
	case d.down[i]:
		d.held[i] = append(d.held[i], func() { d.durable(i, a) })
		return
	}
	l := &d.logs[i]
	l.Last++
	r := journaler.Record{Writer: "entry-1.0123456789abcdef", Seq: l.Last, Entries: a.Entries}
	l.Records = append(l.Records, r)
	body, _ := json.Marshal(r)
	d.bytes, d.records = d.bytes+len(body), d.records+1
	d.run(i, d.holders[i].Durable(d.now, l.Last, []journaler.Token{a.Token}))
}

func (d *harness) propose(i, shard int) {
	h := d.holders[i]
	switch {
	case d.dead[i]:
		return
	case d.down[i]:
		d.run(i, h.Failed(d.now, shard))
		return
	}
	next, changed := h.Propose(d.now, shard, d.object)
	read := d.version
	d.after(platformDelay, func() {
		switch {
		case d.dead[i]:
		case d.down[i]:
			d.run(i, h.Failed(d.now, shard))
		case d.version != read:
			d.propose(i, shard)
		default:
			if changed {
				d.object, d.version = next, d.version+1
			}
			d.run(i, h.Stored(d.now, shard))
		}
	})
}

// ask passes an Ask over the link or through the inbox.
func (d *harness) ask(i int, a Ask) {
	pending := 1
	done := func() {
		if pending--; pending == 0 {
			d.run(i, d.holders[i].Asked(a.Shard, a.Budget))
		}
	}
	for j, h := range d.holders {
		if j == i || d.dead[j] || d.regions[j] == d.regions[i] {
			continue
		}
		pending++
		wait := linkDelay
		if d.cut {
			wait = inboxDelay
		}
		if d.cut && (d.down[i] || d.down[j]) {
			d.after(inboxWait, done)
			continue
		}
		d.after(wait, func() {
			d.token++
			d.returns[d.token] = done
			d.run(j, h.Return(d.now, d.token, a.Shard, a.Budget, a.Tokens))
		})
	}
	done()
}

// recover takes over from a dead holder. All sides answer.
func (d *harness) recover(i int, name string) {
	h := d.holders[i]
	actions, err := h.Replay(0, d.logs[d.sealed[name]])
	if err != nil {
		panic(err)
	}
	d.run(i, actions)
	var open []Reservation
	var charges []Charge
	for _, r := range slices.SortedFunc(maps.Keys(d.open), byNumber) {
		if r.Holder == name {
			open = append(open, r)
		}
	}
	for _, r := range slices.SortedFunc(maps.Keys(d.unbilled), byNumber) {
		if r.Holder == name {
			charges = append(charges, d.unbilled[r])
		}
	}
	d.run(i, h.Reported(d.now, 0, name, open, charges))
	d.run(i, h.Complete(0, name))
}

func byNumber(a, b Reservation) int { return cmp.Compare(a.Number, b.Number) }

// reach sets whether a holder reaches the platform.
func (d *harness) reach(i int, up bool) {
	d.down[i] = !up
	d.run(i, d.holders[i].Platform(d.now, up))
	if up {
		held := d.held[i]
		d.held[i] = nil
		for _, run := range held {
			run()
		}
	}
}

// crash ends a holder; a successor holds the shard after the detection delay.
func (d *harness) crash(i int, done func(successor int)) {
	d.dead[i] = true
	h := d.holders[i]
	d.after(detectionDelay, func() {
		done(d.add(fmt.Sprintf("%s.%d", d.names[i], len(d.holders)), d.regions[i], h.cfg.Regions, h.cfg.Ahead))
	})
}

// requestOf reserves and settles at once, and reports whether it was served.
func (d *harness) requestOf(budget string, i int, tokens, actual int64) bool {
	d.token++
	t := d.token
	d.run(i, d.holders[i].Reserve(d.now, t, Request{Budget: budget, Tokens: tokens}))
	r, ok := d.granted[t]
	if !ok {
		return false
	}
	delete(d.granted, t)
	d.run(i, d.holders[i].Settle(d.now, t, Charge{Reservation: r, Tokens: actual}))
	return true
}
