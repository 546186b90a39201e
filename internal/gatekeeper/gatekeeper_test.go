package gatekeeper

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	mib  = 1 << 20
	kib  = 1 << 10
	full = 4 * mib // the largest body
)

var start = time.Unix(1_000_000, 0)

// load is an account with bodies of clients.
type load struct {
	*Memory
	now time.Time
}

func newLoad() *load { return &load{NewMemory(MemoryLimit(112 * mib)), start} }

// body opens a body, of which the given number of bytes are asked for in steps. It returns
// the last verdict.
func (l *load) body(declared, size int64) (*Body, Verdict) {
	b := l.Open(l.now, declared, l.now.Add(time.Hour))
	for b.held < size {
		n := min(max(4*kib, b.held), size-b.held)
		if v := l.Grow(l.now, b, n); v != Granted {
			return b, v
		}
		l.Receive(l.now, b, n)
	}
	return b, Granted
}

// run lets time pass. Bodies that are given up are closed, those that get memory use it.
func (l *load) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		l.settle()
	}
}

// settle carries out what is decided at the moment.
func (l *load) settle() {
	for events := l.Step(l.now); len(events) > 0; events = l.Step(l.now) {
		for _, e := range events {
			if e.Verdict == Granted {
				l.Receive(l.now, e.Body, 0)
			} else {
				l.Close(e.Body)
			}
		}
	}
}

// Guards against clients that keep ordinary ones from being served by what they hold or ask
// for. A hundred ordinary bodies come at once, and have room without a wait.
func TestRoomForOrdinaryBodies(t *testing.T) {
	tests := []struct {
		name  string
		abuse func(l *load)
	}{
		{"nothing", func(*load) {}},
		{"declared large bodies", func(l *load) { l.bodies(500, full, 0) }},
		{"large bodies", func(l *load) { l.bodies(200, full, full-1) }},
		{"chunked bodies", func(l *load) { l.bodies(200, -1, full-1) }},
		{"answers", func(l *load) {
			for l.HoldAnswer(256 * kib) {
			}
		}},
		{"small bodies that stall", func(l *load) { l.bodies(900, 100_000, 99_999); l.run(5 * time.Second) }},
		{"chunked bodies that stall early", func(l *load) { l.bodies(900, -1, 100_000); l.run(5 * time.Second) }},
		{"bodies that trickle", func(l *load) {
			all := l.bodies(900, -1, 100_000)
			for range 20 {
				l.run(time.Second)
				for _, b := range all {
					l.Receive(l.now, b, 1)
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLoad()
			tt.abuse(l)
			for i := range 100 {
				b := l.Open(l.now, 100_000, l.now.Add(time.Hour))
				for _, n := range []int64{4 * kib, 12 * kib, 48 * kib, 100_000 - 64*kib} {
					had := b.held
					if v := l.Grow(l.now, b, n); v == Waiting {
						l.settle()
					}
					if b.held != had+n {
						t.Fatalf("body %d: %q at %d bytes; %d are held", i, b.verdict, b.held, l.Held())
					}
					l.Receive(l.now, b, n)
				}
				l.Complete(b)
			}
		})
	}
}

// bodies opens bodies and closes those that are refused.
func (l *load) bodies(count int, declared, size int64) (all []*Body) {
	for range count {
		b, v := l.body(declared, size)
		if v == Refused {
			l.Close(b)
			continue
		}
		all = append(all, b)
	}
	return all
}

// Guards against a body of the largest size that is refused although nothing else is there,
// and against large bodies that wait for each other for ever.
func TestLargeBodies(t *testing.T) {
	l := &load{NewMemory(full + SmallBody), start}
	b, v := l.body(-1, full)
	if v != Granted {
		t.Fatalf("a single body: %s", v)
	}
	l.Close(b)
	l = newLoad()
	all := l.bodies(8, full, 0)
	whole, given := 0, 0
	for range 400 { // they grow in turns
		l.now = l.now.Add(10 * time.Millisecond)
		for _, b := range all {
			switch {
			case b.wanted > 0 || b.verdict != "":
			case b.complete: // and answered
				l.Close(b)
				b.verdict = "whole"
			case b.held == full:
				l.Complete(b)
				whole++
			case l.Grow(l.now, b, 256*kib) == Granted:
				l.Receive(l.now, b, 256*kib)
			}
		}
		for _, e := range l.Step(l.now) {
			if e.Verdict == Granted {
				l.Receive(l.now, e.Body, 256*kib)
				continue
			}
			given++
			l.Close(e.Body)
		}
	}
	if whole < 4 || whole+given != 8 {
		t.Errorf("%d of 8 bodies are whole, %d given up", whole, given)
	}
	l = &load{NewMemory(4 * mib), start}
	first, _ := l.body(full, mib)
	second, _ := l.body(full, mib)
	for _, b := range []*Body{second, first} {
		if v := l.Grow(l.now, b, mib); v != Waiting {
			t.Fatal(v)
		}
	}
	if events := l.Step(l.now); len(events) != 1 || events[0].Verdict != Refused {
		t.Errorf("bodies that wait for each other: %v", events)
	}
}

// Guards against a client on a slow or lossy link that is given up.
func TestSlowClients(t *testing.T) {
	tests := []struct {
		name     string
		rate     int64 // bytes a second
		stall    time.Duration
		pressure bool
		kept     bool
	}{
		{"a link of 10 Mbit/s shared by 100", 12_000, 0, true, true},
		{"losses", 40_000, 1400 * time.Millisecond, true, true},
		{"slow, no pressure", 4_000, 10 * time.Second, false, true},
		{"slow, pressure", 4_000, 3 * time.Second, true, false},
		{"stalled", 100_000, 25 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := NewMemory(200_000)
			now, kept := start, true
			b := m.Open(now, 100_000, now.Add(time.Hour))
			m.Grow(now, b, 100_000)
			if tt.pressure {
				m.Grow(now, m.Open(now, 100_000, now.Add(time.Hour)), 100_000)
				m.Grow(now, m.Open(now, 100_000, now.Add(time.Hour)), 100_000) // waits
			}
			step := func(d time.Duration, n int64) {
				now = now.Add(d)
				kept = kept && len(m.Expire(now)) == 0
				if tt.pressure {
					m.queue[0].waitedAt = now
					for _, e := range m.Relieve(now, 1) {
						kept = kept && e.Body != b
					}
				}
				m.Receive(now, b, n)
			}
			for sent := int64(0); sent < 100_000 && kept; sent += tt.rate / 10 {
				step(100*time.Millisecond, tt.rate/10)
				if sent > 50_000 && tt.stall > 0 {
					step(tt.stall, 1)
					tt.stall = 0
				}
			}
			if kept != tt.kept {
				t.Errorf("kept %v after %v, want %v", kept, now.Sub(start), tt.kept)
			}
		})
	}
}

// Guards against an account that drifts, exceeds its limit, or leaves a waiting body without
// a verdict.
func TestAccountProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad()
		var open []*Body
		answers := int64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			l.now = l.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				b, v := l.body(rapid.SampledFrom([]int64{-1, 100_000, full}).Draw(t, "declared"), rapid.Int64Range(1, full).Draw(t, "size"))
				if v == Granted && rapid.Bool().Draw(t, "whole") {
					l.Complete(b)
				}
				open = append(open, b)
			case 2:
				if n := int64(rapid.IntRange(1, 256*kib).Draw(t, "answer")); l.HoldAnswer(n) {
					answers += n
				}
			case 3:
				l.FreeAnswer(answers)
				answers = 0
			case 4:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "closed")
					l.Close(open[i])
					open = slices.Delete(open, i, i+1)
				}
			}
			l.Step(l.now)
			held, large := answers, answers
			for _, b := range open {
				held += b.held
				if !b.small(b.held) {
					large += b.held
				}
			}
			if held != l.held || large != l.large || held > l.limit {
				t.Fatalf("%d held, %d large, recorded as %d and %d of %d", held, large, l.held, l.large, l.limit)
			}
		}
		l.Step(l.now.Add(maxWait))
		if len(l.queue) > 0 {
			t.Fatalf("%d bodies still wait", len(l.queue))
		}
	})
}

// Guards against connections beyond the limit while idle ones are open, an active connection
// that is closed, and a count that drifts.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		c := NewConnections(limit, 2)
		state := make(map[*Connection]string)
		weight := func() (n, idle int) {
			for _, s := range state {
				if n++; s == "active" {
					n++
				} else {
					idle++
				}
			}
			return n, idle
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			var list []*Connection
			for n := range state {
				list = append(list, n)
			}
			var victims []*Connection
			op := rapid.IntRange(0, 3).Draw(t, "op")
			switch {
			case op == 0 || len(list) == 0:
				n := &Connection{}
				var ok bool
				if victims, ok = c.Open(n); ok {
					state[n] = "idle"
				} else if _, idle := weight(); idle > len(victims) {
					t.Fatal("refused a connection while others are idle")
				}
			case op == 1:
				n := list[rapid.IntRange(0, len(list)-1).Draw(t, "n")]
				state[n] = "active"
				victims = c.Activate(n)
			case op == 2:
				n := list[rapid.IntRange(0, len(list)-1).Draw(t, "n")]
				c.Idle(n)
				state[n] = "idle"
			default:
				n := list[rapid.IntRange(0, len(list)-1).Draw(t, "n")]
				c.Close(n)
				delete(state, n)
			}
			for _, v := range victims {
				if state[v] != "idle" {
					t.Fatalf("closed a connection that is %q", state[v])
				}
				delete(state, v)
			}
			n, idle := weight()
			if n != c.Descriptors() || n > limit && idle > 0 {
				t.Fatalf("%d descriptors, recorded %d, %d idle", n, c.Descriptors(), idle)
			}
		}
	})
}
