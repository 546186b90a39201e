// Package gatekeeper decides which bodies, answers and connections of clients an instance
// holds. Nobody controls the clients, so it bounds what they take and keeps a share for
// ordinary ones. It reads no clock and no connection.
//
// It is designed for some thousands of connections of which some hundreds send bodies at a
// time, on machines of 112 MB upwards. While there is room, each call takes constant time.
// Without room, the bodies being read are looked at one by one.
//
// # Usage
//
//	m := gatekeeper.NewMemory(35 << 20)
//	b := m.Open(now, r.ContentLength, deadline)
//	if m.Grow(now, b, 4096) == gatekeeper.Waiting {
//		for _, e := range m.Step(now) { ... }
//	}
//	m.Complete(b)
//	m.Close(b)
package gatekeeper

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallBody is the size up to which a body is small. The users' sheets have bodies of up
	// to 100 KB.
	SmallBody = 128 << 10
	// smallShare is the share of the memory that only small bodies may use.
	smallShare = 0.5
	// maxQueue bounds the bodies that wait for memory.
	maxQueue = 256
	// maxWait bounds how long a body waits for memory. Callers with an objective of 0.5 s or
	// more may still be served in time elsewhere after a refusal.
	maxWait = time.Second

	// A body that is slower than this, or stalls for longer, is given up if there is no room
	// for others. A client of 100 that share a link of 10 Mbit/s has 12 KB a second; three
	// losses in a row of a packet take 1.4 s.
	pressureRate  = 8 << 10
	pressureGrace = 2 * time.Second
	// A body that is slower than this is given up in any case. It is a tenth of that client's
	// rate, and seven losses in a row pass.
	minRate  = 1 << 10
	minGrace = 20 * time.Second
)

// heldShare is the part of a machine's memory that bodies and answers may hold. At 112 MB a
// loaded entry has 20 MB of other live data, and connections take some 20 KB each; the heap
// may fill 78 MB.
const heldShare = 5.0 / 16

// MemoryLimit returns the limit on a machine with the given memory. At 112 MB it is 35 MB,
// which is 350 bodies of 100 KB.
func MemoryLimit(machine int64) int64 { return int64(heldShare * float64(machine)) }

// Verdict is the answer to a body that asks for memory.
type Verdict string

// Verdicts.
const (
	Granted Verdict = "granted"
	Waiting Verdict = "waiting" // for an event of [Memory.Step]
	Refused Verdict = "refused" // there is no room in time
	Evicted Verdict = "evicted" // the client is too slow
	Late    Verdict = "late"    // the time of the request is over
)

// Body is one body that an instance holds.
type Body struct {
	declared int64 // -1: unknown
	held     int64 // charged bytes
	received int64
	wanted   int64 // bytes that it waits for, 0: it does not wait
	began    time.Time
	lastByte time.Time
	waitedAt time.Time
	deadline time.Time
	complete bool
	verdict  Verdict // why it is given up, empty: it is not
}

// small reports whether a body is small once it holds the given number of bytes.
func (b *Body) small(held int64) bool { return max(b.declared, held) <= SmallBody }

// lag returns how far a body is behind the least that it must do if there is no room.
func (b *Body) lag(now time.Time) time.Duration {
	due := time.Duration(float64(b.received) / pressureRate * float64(time.Second))
	return max(now.Sub(b.lastByte), now.Sub(b.began)-due) - pressureGrace
}

// allowance returns until when a body may go without another byte.
func (b *Body) allowance() time.Time {
	slow := b.began.Add(minGrace + time.Duration(float64(b.received)/minRate*float64(time.Second)))
	if stalled := b.lastByte.Add(minGrace); stalled.Before(slow) {
		return stalled
	}
	return slow
}

// Event tells what has become of a body that waited or was being read.
type Event struct {
	Body    *Body
	Verdict Verdict
}

// Memory accounts for the bodies and answers of an instance. It is not safe for concurrent
// use.
type Memory struct {
	limit   int64
	held    int64 // of all bodies and answers
	large   int64 // of large bodies and answers
	reading map[*Body]bool
	running int // complete bodies
	queue   []*Body
}

// NewMemory returns an account with a limit.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, reading: make(map[*Body]bool)}
}

// SetLimit changes the limit. What is held stays.
func (m *Memory) SetLimit(limit int64) { m.limit = limit }

// Held returns the bytes that bodies and answers hold.
func (m *Memory) Held() int64 { return m.held }

// Queue returns the number of waiting bodies.
func (m *Memory) Queue() int { return len(m.queue) }

// Reading returns the number of bodies that are not whole.
func (m *Memory) Reading() int { return len(m.reading) }

// Open begins a body that must be whole at a deadline. Its declared size is -1 if it is
// unknown; nothing is charged for it.
func (m *Memory) Open(now time.Time, declared int64, deadline time.Time) *Body {
	b := &Body{declared: declared, began: now, lastByte: now, deadline: deadline}
	m.reading[b] = true
	return b
}

// Grow asks for n more bytes for a body.
func (m *Memory) Grow(now time.Time, b *Body, n int64) Verdict {
	switch {
	case b.verdict != "":
		return b.verdict
	case m.fits(b, n) && (len(m.queue) == 0 || b.small(b.held+n)):
		m.charge(b, n)
		return Granted
	case len(m.queue) >= maxQueue:
		b.verdict = Refused
		return Refused
	}
	b.wanted, b.waitedAt = n, now
	m.queue = append(m.queue, b)
	return Waiting
}

// Receive records bytes that have arrived. It returns a verdict if the body is given up.
func (m *Memory) Receive(now time.Time, b *Body, n int64) Verdict {
	b.received += n
	b.lastByte = now
	return b.verdict
}

// Complete records that a body is whole. It is not given up any more.
func (m *Memory) Complete(b *Body) {
	if m.reading[b] {
		delete(m.reading, b)
		b.complete = true
		m.running++
	}
}

// Close ends a body and frees its memory.
func (m *Memory) Close(b *Body) {
	m.leaveQueue(b)
	delete(m.reading, b)
	if b.complete {
		m.running--
		b.complete = false
	}
	m.held -= b.held
	if !b.small(b.held) {
		m.large -= b.held
	}
	b.held = 0
}

// HoldAnswer asks for memory for a part of an answer. Answers never wait; without room, they
// are delivered without being buffered.
func (m *Memory) HoldAnswer(n int64) bool {
	if m.large+n > m.shared() || m.held+n > m.limit {
		return false
	}
	m.held += n
	m.large += n
	return true
}

// FreeAnswer frees memory of an answer.
func (m *Memory) FreeAnswer(n int64) {
	m.held -= n
	m.large -= n
}

// Expire gives up bodies that are too slow or too late. It is called from time to time while
// bodies are being read.
func (m *Memory) Expire(now time.Time) (events []Event) {
	for b := range m.reading {
		switch {
		case b.verdict != "":
		case !now.Before(b.deadline):
			events = append(events, m.giveUp(b, Late))
		case b.wanted == 0 && now.After(b.allowance()):
			events = append(events, m.giveUp(b, Evicted))
		}
	}
	return events
}

// Step decides about bodies that wait. It is called when memory is freed, and from time to
// time while bodies wait.
func (m *Memory) Step(now time.Time) []Event {
	if len(m.queue) == 0 {
		return nil
	}
	var events []Event
	slices.SortStableFunc(m.queue, func(a, b *Body) int {
		if a, b := a.small(a.held+a.wanted), b.small(b.held+b.wanted); a != b {
			if a {
				return -1
			}
			return 1
		}
		return a.began.Compare(b.began)
	})
	for _, b := range slices.Clone(m.queue) {
		switch {
		case m.fits(b, b.wanted):
			m.leaveQueue(b)
			m.charge(b, b.wanted)
			b.wanted = 0
			b.began, b.lastByte = b.began.Add(now.Sub(b.waitedAt)), now // the wait is not the client's
			events = append(events, Event{b, Granted})
		case now.Sub(b.waitedAt) >= maxWait:
			events = append(events, m.giveUp(b, Refused))
		}
	}
	if len(m.queue) == 0 {
		return events
	}
	if e, ok := m.evict(now); ok {
		return append(events, e...)
	}
	if m.running == 0 && len(m.queue) == len(m.reading) && len(events) == 0 {
		// All of them wait for each other.
		events = append(events, m.giveUp(m.queue[len(m.queue)-1], Refused))
	}
	return events
}

// evict gives up the slowest bodies until the first of the queue has room. It reports whether
// memory is about to be freed.
func (m *Memory) evict(now time.Time) (events []Event, freeing bool) {
	need := m.queue[0].wanted
	for b := range m.reading {
		if b.verdict != "" {
			need -= b.held // not closed yet
			freeing = true
		}
	}
	for _, b := range m.slow(now) {
		if need <= 0 {
			break
		}
		if b.held > 0 {
			need -= b.held
			events = append(events, m.giveUp(b, Evicted))
		}
	}
	if first := m.queue[0]; first.small(first.held + first.wanted) {
		// Large bodies that wait too hold what a small one needs. The last ones go first.
		for _, b := range slices.Backward(slices.Clone(m.queue)) {
			if need <= 0 || b.small(b.held+b.wanted) {
				break
			}
			need -= b.held
			events = append(events, m.giveUp(b, Refused))
		}
	}
	return events, freeing || len(events) > 0
}

// Relieve gives up the slowest bodies, at most n, because there is no room for connections.
func (m *Memory) Relieve(now time.Time, n int) (events []Event) {
	slow := m.slow(now)
	for _, b := range slow[:min(n, len(slow))] {
		events = append(events, m.giveUp(b, Evicted))
	}
	return events
}

// slow returns the bodies whose clients are too slow while there is no room, the slowest first.
func (m *Memory) slow(now time.Time) (list []*Body) {
	for b := range m.reading {
		if b.verdict == "" && b.wanted == 0 && b.lag(now) > 0 {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *Body) int { return cmp.Compare(b.lag(now), a.lag(now)) })
	return list
}

func (m *Memory) giveUp(b *Body, v Verdict) Event {
	m.leaveQueue(b)
	b.verdict, b.wanted = v, 0
	return Event{b, v}
}

// shared returns the memory that not only small bodies may use.
func (m *Memory) shared() int64 { return m.limit - int64(smallShare*float64(m.limit)) }

func (m *Memory) fits(b *Body, n int64) bool {
	if m.held+n > m.limit {
		return false
	}
	if b.small(b.held + n) {
		return true
	}
	moved := n
	if b.small(b.held) {
		moved += b.held
	}
	// A single large body may use the memory of answers and small bodies too, so that one of
	// the largest size is served on the smallest machine.
	return m.large+moved <= m.shared() || m.large+moved == b.held+n
}

func (m *Memory) charge(b *Body, n int64) {
	wasSmall := b.small(b.held)
	m.held += n
	b.held += n
	switch {
	case b.small(b.held):
	case wasSmall:
		m.large += b.held
	default:
		m.large += n
	}
}

func (m *Memory) leaveQueue(b *Body) {
	if i := slices.Index(m.queue, b); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
	}
}
