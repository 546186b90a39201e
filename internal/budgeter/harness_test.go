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

// Latencies and intervals of a harness in virtual time. detectionDelay is the time from
// a crash until the successor holds the shard.
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

// harness runs holders against one shard object, without lost responses. Actions take
// effect at once, or in virtual time if timed is set.
type harness struct {
	object        allotter.Shard
	version       int
	timed         bool
	linkDown      bool         // the link between the regions is down
	platformDown  map[int]bool // holders that cannot reach the platform
	crashed       map[int]bool // crashed holders
	now           time.Time
	events        queue
	lastOrder     int // of the last event, orders events with the same time
	holders       []*Holder
	names         []string
	regions       []string
	logs          []journaler.Log
	heldAppends   [][]func()       // appends that wait for the platform, by holder
	indexes       map[string]int   // index of each holder by name
	closed        map[string]bool  // recovered holders
	returnReplies map[Token]func() // called when Return is answered
	replies       map[Token]func(*RefusedError, Reservation)
	open          map[Reservation]bool   // of requests that run at the sides
	unbilled      map[Reservation]Charge // not confirmed by a holder
	used          map[string]int64       // charged and reserved tokens by holder
	bytes         int                    // of journal records
	records       int
	granted       map[Token]Reservation
	refused       map[Token]bool
	token         Token
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

func newHarness(toppedUp int64, instances []string, regions []string, ahead float64) *harness {
	d := &harness{
		platformDown: make(map[int]bool), crashed: make(map[int]bool), now: time.Unix(1e6, 0),
		indexes: make(map[string]int), closed: make(map[string]bool), returnReplies: make(map[Token]func()),
		replies: make(map[Token]func(*RefusedError, Reservation)),
		open:    make(map[Reservation]bool), unbilled: make(map[Reservation]Charge), used: make(map[string]int64),
		granted: make(map[Token]Reservation), refused: make(map[Token]bool),
	}
	d.object, _ = allotter.New(0).WithTopUp("b", "t", toppedUp, 1e6, 1e6)
	for i, name := range instances {
		d.addHolder(name, regions[i], len(instances), ahead)
	}
	return d
}

func (d *harness) addHolder(name, region string, regions int, ahead float64) int {
	i := len(d.holders)
	d.holders = append(d.holders, New(Config{Instance: name, Region: region, Regions: regions, MarkAhead: ahead}))
	d.names, d.regions = append(d.names, name), append(d.regions, region)
	d.logs, d.heldAppends = append(d.logs, journaler.Log{Instance: name, Sealed: true}), append(d.heldAppends, nil)
	d.indexes[name] = i
	d.perform(i, d.holders[i].Acquire(0))
	return i
}

// schedule runs a function after a delay, or at once if the harness is not timed.
func (d *harness) schedule(delay time.Duration, run func()) {
	if !d.timed {
		run()
		return
	}
	d.lastOrder++
	heap.Push(&d.events, event{d.now.Add(delay), d.lastOrder, run})
}

// runUntil runs the events up to a point in time.
func (d *harness) runUntil(at time.Time) {
	for len(d.events) > 0 && !d.events[0].at.After(at) {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run()
	}
	d.now = at
}

func (d *harness) perform(i int, actions []Action) {
	if d.crashed[i] {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Granted:
			d.granted[a.Token] = a.Reservation
			d.reply(a.Token, nil, a.Reservation)
		case Refused:
			d.refused[a.Token] = true
			d.reply(a.Token, a.Err, Reservation{})
		case Settled:
			d.reply(a.Token, nil, Reservation{})
		case Append:
			delay := platformDelay
			if a.Deferrable {
				delay = flushDelay
			}
			d.schedule(delay, func() { d.durable(i, a) })
		case Update:
			d.schedule(platformDelay, func() { d.propose(i, a.Shard) })
		case AskRegions:
			d.ask(i, a)
		case Returned:
			if done := d.returnReplies[a.Token]; done != nil {
				delete(d.returnReplies, a.Token)
				d.schedule(linkDelay, done)
			}
		case Acquired:
			for _, name := range a.FormerHolders {
				d.schedule(4*platformDelay+2*linkDelay, func() { d.recover(i, name) })
			}
		case FormerClosed:
			d.closed[a.Instance] = true
		}
	}
}

func (d *harness) reply(t Token, err *RefusedError, r Reservation) {
	if done := d.replies[t]; done != nil {
		delete(d.replies, t)
		done(err, r)
	}
}

func (d *harness) durable(i int, a Append) {
	switch {
	case d.crashed[i]:
		return
	case d.platformDown[i]:
		d.heldAppends[i] = append(d.heldAppends[i], func() { d.durable(i, a) })
		return
	}
	l := &d.logs[i]
	l.LastSeq++
	r := journaler.Record{Writer: "entry-1.0123456789abcdef", Seq: l.LastSeq, Entries: a.Entries}
	l.Records = append(l.Records, r)
	body, _ := json.Marshal(r)
	d.bytes, d.records = d.bytes+len(body), d.records+1
	d.perform(i, d.holders[i].AppendsDurable(d.now, l.LastSeq, []journaler.Token{a.Token}))
}

func (d *harness) propose(i, shard int) {
	h := d.holders[i]
	switch {
	case d.crashed[i]:
		return
	case d.platformDown[i]:
		d.perform(i, h.UpdateFailed(d.now, shard))
		return
	}
	next, changed := h.Propose(d.now, shard, d.object)
	read := d.version
	d.schedule(platformDelay, func() {
		switch {
		case d.crashed[i]:
		case d.platformDown[i]:
			d.perform(i, h.UpdateFailed(d.now, shard))
		case d.version != read:
			d.propose(i, shard)
		default:
			if changed {
				d.object, d.version = next, d.version+1
			}
			d.perform(i, h.UpdateStored(d.now, shard))
		}
	})
}

// ask passes an AskRegions to the holders of the other regions, over the link or, when it is
// down, through the inbox on the platform.
func (d *harness) ask(i int, a AskRegions) {
	pending := 1
	done := func() {
		if pending--; pending == 0 {
			d.perform(i, d.holders[i].RegionsAnswered(a.Shard, a.Budget))
		}
	}
	for j, h := range d.holders {
		if j == i || d.crashed[j] || d.regions[j] == d.regions[i] {
			continue
		}
		pending++
		delay := linkDelay
		if d.linkDown {
			delay = inboxDelay
		}
		if d.linkDown && (d.platformDown[i] || d.platformDown[j]) {
			d.schedule(inboxWait, done)
			continue
		}
		d.schedule(delay, func() {
			d.token++
			d.returnReplies[d.token] = done
			d.perform(j, h.Return(d.now, d.token, a.Shard, a.Budget, a.Tokens))
		})
	}
	done()
}

// recover takes over from a crashed holder. All sides report.
func (d *harness) recover(i int, name string) {
	h := d.holders[i]
	actions, err := h.ReplayFormer(0, d.logs[d.indexes[name]])
	if err != nil {
		panic(err)
	}
	d.perform(i, actions)
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
	d.perform(i, h.SideReported(d.now, 0, name, open, charges))
	d.perform(i, h.AllSidesReported(0, name))
}

func byNumber(a, b Reservation) int { return cmp.Compare(a.Number, b.Number) }

// setReachable sets whether a holder can reach the platform.
func (d *harness) setReachable(i int, up bool) {
	d.platformDown[i] = !up
	d.perform(i, d.holders[i].SetPlatformReachable(d.now, up))
	if up {
		held := d.heldAppends[i]
		d.heldAppends[i] = nil
		for _, run := range held {
			run()
		}
	}
}

// crash stops a holder without a hand-over. A successor holds the shard after the
// detection delay.
func (d *harness) crash(i int, done func(successor int)) {
	d.crashed[i] = true
	h := d.holders[i]
	d.schedule(detectionDelay, func() {
		done(d.addHolder(fmt.Sprintf("%s.%d", d.names[i], len(d.holders)), d.regions[i], h.cfg.Regions, h.cfg.MarkAhead))
	})
}

// reserveAndSettle reserves and settles at once, and reports whether the reservation was
// granted.
func (d *harness) reserveAndSettle(budget string, i int, tokens, actual int64) bool {
	d.token++
	t := d.token
	d.perform(i, d.holders[i].Reserve(d.now, t, Request{Budget: budget, Tokens: tokens}))
	r, ok := d.granted[t]
	if !ok {
		return false
	}
	delete(d.granted, t)
	d.perform(i, d.holders[i].Settle(d.now, t, Charge{Reservation: r, Tokens: actual}))
	return true
}
