package adopter

import (
	"container/heap"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
)

var (
	signer = ed25519.NewKeyFromSeed([]byte("daisylane test key, not a secret"))
	trust  = bundler.Trust{"ann": signer.Public().(ed25519.PublicKey)}
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// edition returns the head and chunks of a small bundle that differs by version.
func edition(t testing.TB, version uint64) ([]byte, map[string][]byte) {
	t.Helper()
	b := bundler.Bundle{Regions: []string{"north"}}
	for i := range 40 {
		b.Accounts = append(b.Accounts, bundler.Account{Name: fmt.Sprintf("account-%d", i), Worth: 1 + float64(version)})
	}
	list, chunks, err := bundler.Split(b)
	if err != nil {
		t.Fatal(err)
	}
	head, err := bundler.Sign(bundler.Head{Version: version, Chunks: list, Author: "ann"}, signer)
	if err != nil {
		t.Fatal(err)
	}
	data, err := bundler.EncodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	bodies := make(map[string][]byte)
	for _, c := range chunks {
		bodies[c.Hash] = c.Body
	}
	return data, bodies
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type agenda []event

func (q agenda) Len() int { return len(q) }

func (q agenda) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q agenda) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *agenda) Push(v any)   { *q = append(*q, v.(event)) }
func (q *agenda) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world simulates a platform and processes in virtual time.
type world struct {
	t      testing.TB
	rnd    *rand.Rand
	now    time.Time
	queue  agenda
	seq    int
	loss   float64
	down   bool
	cut    map[string]bool // processes that do not reach the platform
	forge  bool            // some answers and chunks are altered
	head   []byte
	bodies map[string][]byte
	nodes  map[string]*node
	names  []string
	asks   map[string]int // by asking process
	served map[string]int // chunks by serving process
	reads  int            // calls of the platform
}

type node struct {
	*Adopter
	self     Peer
	started  time.Time
	watch    int
	force    uint64
	readyAt  time.Time
	refusals int
	adopted  map[uint64]time.Time
}

func newWorld(t testing.TB, seed uint64, n int) *world {
	w := &world{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		cut: make(map[string]bool), bodies: make(map[string][]byte), nodes: make(map[string]*node),
		asks: make(map[string]int), served: make(map[string]int),
	}
	for i := range n {
		role := "side"
		if i%5 == 0 {
			role = RoleEntry
		}
		self := Peer{Name: fmt.Sprintf("p%d", i), Role: role, Centre: fmt.Sprintf("c%d", i%2)}
		w.nodes[self.Name] = &node{self: self}
		w.names = append(w.names, self.Name)
	}
	return w
}

func (w *world) publish(version uint64) {
	head, bodies := edition(w.t, version)
	w.head = head
	for h, body := range bodies {
		w.bodies[h] = body
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, run})
}

func (w *world) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// start replaces a process by a new incarnation without state.
func (w *world) start(name string) {
	old := w.nodes[name]
	n := &node{self: old.self, started: w.now, adopted: make(map[uint64]time.Time)}
	n.Adopter = New(Config{Self: n.self, Trust: trust}, rand.New(rand.NewPCG(w.rnd.Uint64(), 2)))
	w.nodes[name] = n
	var peers []Peer
	for _, other := range w.names {
		if other != name {
			peers = append(peers, w.nodes[other].self)
		}
	}
	w.carryOut(n, n.SetPeers(w.now, peers))
	w.carryOut(n, n.Start(w.now))
	w.tick(n)
}

func (w *world) tick(n *node) {
	w.after(Round, func() {
		if w.nodes[n.self.Name] == n {
			w.carryOut(n, n.Tick(w.now))
			w.tick(n)
		}
	})
}

// reply runs f for the process after a delay, unless it was replaced.
func (w *world) reply(n *node, d time.Duration, f func() []Action) {
	w.after(d, func() {
		if w.nodes[n.self.Name] == n {
			w.carryOut(n, f())
		}
	})
}

func (w *world) lost() bool           { return w.rnd.Float64() < w.loss }
func (w *world) delay() time.Duration { return time.Duration(1+w.rnd.IntN(50)) * time.Millisecond }

func (w *world) carryOut(n *node, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case Watch:
			n.watch++
			if act.On {
				w.poll(n, n.watch)
			}
		case Read:
			w.read(n, w.delay())
		case Ask:
			w.exchange(n, act)
		case Fetch:
			w.fetch(n, act)
		case Adopt:
			if act.Head.Version <= n.force {
				w.t.Fatalf("%s moved from version %d to %d", n.self.Name, n.force, act.Head.Version)
			}
			if a := act.Index.Regions(); len(a) != 1 || bundler.Verify(act.Head, trust) != nil {
				w.t.Fatalf("%s adopted an unverified version %d", n.self.Name, act.Head.Version)
			}
			n.force = act.Head.Version
			n.adopted[n.force] = w.now
		case Ready:
			n.readyAt = w.now
		case Refuse:
			n.refusals++
		}
	}
}

func (w *world) poll(n *node, watch int) {
	if n.watch == watch && w.nodes[n.self.Name] == n {
		w.read(n, w.delay())
		w.after(time.Second, func() { w.poll(n, watch) })
	}
}

func (w *world) read(n *node, d time.Duration) {
	w.reads++
	if w.down || w.cut[n.self.Name] || w.lost() {
		w.reply(n, time.Second, func() []Action { return n.Platform(w.now, nil, errors.New("down")) })
		return
	}
	w.reply(n, d, func() []Action { return n.Platform(w.now, w.head, nil) })
}

func (w *world) exchange(n *node, ask Ask) {
	w.asks[n.self.Name]++
	failed := func() []Action { return n.Failed(w.now, ask) }
	if w.lost() {
		w.reply(n, time.Second, failed)
		return
	}
	w.after(w.delay(), func() {
		peer := w.nodes[ask.Peer.Name]
		if peer.Adopter == nil {
			w.reply(n, time.Second, failed)
			return
		}
		answer, acts := peer.Receive(w.now, ask.Notice)
		w.carryOut(peer, acts)
		if w.lost() {
			w.reply(n, time.Second, failed)
			return
		}
		if w.forge && len(answer.Head) > 0 && w.rnd.IntN(4) == 0 {
			answer.Head = forged(w.t, answer.Head)
		}
		w.reply(n, w.delay(), func() []Action { return n.Answered(w.now, ask, answer) })
	})
}

// forged raises the version of a head without signing it again.
func forged(t testing.TB, head []byte) []byte {
	h, err := bundler.DecodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	h.Version += 1000
	if head, err = checker.Encode(h); err != nil {
		t.Fatal(err)
	}
	return head
}

func (w *world) fetch(n *node, f Fetch) {
	if f.Peer.Name == "" {
		w.reads++
	} else {
		w.served[f.Peer.Name]++
	}
	body, ok := w.bodies[f.Hash], !w.down && !w.cut[n.self.Name]
	if peer := w.nodes[f.Peer.Name]; f.Peer.Name != "" {
		body, ok = nil, false
		if peer.Adopter != nil {
			body, ok = peer.Body(f.Hash)
		}
	}
	if !ok || w.lost() {
		w.reply(n, time.Second, func() []Action { return n.ChunkFailed(w.now, f) })
		return
	}
	if w.forge && w.rnd.IntN(10) == 0 {
		body = slices.Clone(body)
		body[w.rnd.IntN(len(body))] ^= 1
	}
	w.reply(n, w.delay(), func() []Action { return n.Chunk(w.now, f, body) })
}

func (w *world) laggards(version uint64, minAge time.Duration) []string {
	var late []string
	for _, name := range w.names {
		if n := w.nodes[name]; w.now.Sub(n.started) >= minAge && (n.force < version || !n.Ready()) {
			late = append(late, fmt.Sprintf("%s at %d", name, n.force))
		}
	}
	return late
}

const inForce = 8 * time.Second

// Guards against versions that reach a process late or never, that go back, or
// that were altered, while messages are lost and processes restart.
func TestSpread(t *testing.T) {
	tests := []struct {
		name     string
		loss     float64
		forge    bool
		restarts bool
		cut      bool
	}{
		{name: "healthy"},
		{name: "lost messages", loss: 0.1},
		{name: "altered messages", forge: true},
		{name: "restarts", loss: 0.05, restarts: true},
		{name: "watchers without platform", cut: true},
		{name: "all", loss: 0.05, forge: true, restarts: true, cut: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			slowest, refusals := time.Duration(0), 0
			for seed := range uint64(20) {
				w := newWorld(t, seed, 50)
				w.loss, w.forge = tt.loss, tt.forge
				w.publish(1)
				for _, name := range w.names {
					w.start(name)
				}
				w.runUntil(w.now.Add(2 * inForce))
				if tt.cut {
					w.cutWatchers()
				}
				for version := uint64(2); version < 8; version++ {
					published := w.now
					w.publish(version)
					for range 4 {
						w.runUntil(w.now.Add(inForce / 4))
						if tt.restarts {
							w.start(w.names[w.rnd.IntN(len(w.names))])
						}
					}
					if late := w.laggards(version, inForce); len(late) > 0 {
						t.Errorf("seed %d: version %d is not in force after %v: %v", seed, version, inForce, late)
					}
					for _, n := range w.nodes {
						if at, ok := n.adopted[version]; ok && n.started.Before(published) {
							slowest = max(slowest, at.Sub(published))
						}
						refusals += n.refusals
					}
				}
			}
			if tt.forge && refusals == 0 {
				t.Error("no altered message was refused")
			}
			t.Logf("slowest process: %v", slowest)
		})
	}
}

// cutWatchers cuts the present watchers of one data centre off from the platform.
func (w *world) cutWatchers() {
	for _, n := range w.nodes {
		if n.self.Centre == "c0" && n.watching {
			w.cut[n.self.Name] = true
		}
	}
}

// Guards against a start during an outage with a version that a reachable peer
// has already replaced, and against serving before two rounds of questions.
func TestStartWithoutPlatform(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed, 8)
		w.publish(1)
		for _, name := range w.names[1:] {
			w.start(name)
		}
		w.runUntil(w.now.Add(5 * time.Second))
		w.publish(2)
		w.runUntil(w.now.Add(5 * time.Second))
		w.down = true
		w.start("p0")
		start := w.now
		w.runUntil(start.Add(time.Second + Round)) // the failed read takes a second
		if n := w.nodes["p0"]; n.Ready() {
			t.Errorf("seed %d: serves %v after the start", seed, n.readyAt.Sub(start))
		}
		w.runUntil(start.Add(inForce))
		if n := w.nodes["p0"]; !n.Ready() || n.force != 2 {
			t.Errorf("seed %d: ready = %v, version = %d, want version 2", seed, n.Ready(), n.force)
		}
	}
}

// Guards against a process that serves without any bundle, and one that does
// not recover when the platform returns.
func TestStartAlone(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.publish(1)
	w.down = true
	for _, name := range w.names {
		w.start(name)
	}
	w.runUntil(w.now.Add(time.Minute))
	for _, n := range w.nodes {
		if n.Ready() {
			t.Errorf("%s serves without a bundle", n.self.Name)
		}
	}
	w.down = false
	w.runUntil(w.now.Add(inForce))
	if late := w.laggards(1, 0); len(late) > 0 {
		t.Errorf("not in force after the outage: %v", late)
	}
}
