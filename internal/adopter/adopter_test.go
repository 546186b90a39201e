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
	trust  = bundler.TrustedKeys{"ann": signer.Public().(ed25519.PublicKey)}
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// newVersion returns the encoded head and the chunks of a small bundle whose content
// depends on the version.
func newVersion(t testing.TB, version uint64) ([]byte, map[string][]byte) {
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

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs a platform and processes in virtual time, with injected faults.
type simulation struct {
	t             testing.TB
	rnd           *rand.Rand
	now           time.Time
	queue         eventQueue
	seq           int
	lossRate      float64
	down          bool
	partitioned   map[string]bool // processes that cannot reach the platform
	tamper        bool            // alter some answers and chunks
	head          []byte
	bodies        map[string][]byte
	nodes         map[string]*node
	names         []string
	noticesSent   map[string]int // by sender
	chunksServed  map[string]int // by serving peer
	platformCalls int            // reads of the head and of chunks
}

type node struct {
	*Adopter
	self          Peer
	started       time.Time
	watchID       int
	activeVersion uint64
	readyAt       time.Time
	rejections    int
	adoptedAt     map[uint64]time.Time
}

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	s := &simulation{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		partitioned: make(map[string]bool), bodies: make(map[string][]byte), nodes: make(map[string]*node),
		noticesSent: make(map[string]int), chunksServed: make(map[string]int),
	}
	for i := range n {
		role := "side"
		if i%5 == 0 {
			role = RoleEntry
		}
		self := Peer{Name: fmt.Sprintf("p%d", i), Role: role, Centre: fmt.Sprintf("c%d", i%2)}
		s.nodes[self.Name] = &node{self: self}
		s.names = append(s.names, self.Name)
	}
	return s
}

func (s *simulation) publish(version uint64) {
	head, bodies := newVersion(s.t, version)
	s.head = head
	for h, body := range bodies {
		s.bodies[h] = body
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, run})
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// start replaces a process with a new one that has no state.
func (s *simulation) start(name string) {
	old := s.nodes[name]
	n := &node{self: old.self, started: s.now, adoptedAt: make(map[uint64]time.Time)}
	n.Adopter = New(Config{Self: n.self, Trust: trust}, rand.New(rand.NewPCG(s.rnd.Uint64(), 2)))
	s.nodes[name] = n
	var peers []Peer
	for _, other := range s.names {
		if other != name {
			peers = append(peers, s.nodes[other].self)
		}
	}
	s.perform(n, n.SetPeers(s.now, peers))
	s.perform(n, n.Start(s.now))
	s.tick(n)
}

func (s *simulation) tick(n *node) {
	s.after(RoundInterval, func() {
		if s.nodes[n.self.Name] == n {
			s.perform(n, n.Tick(s.now))
			s.tick(n)
		}
	})
}

// deliver runs f for the process after a delay, unless the process was replaced.
func (s *simulation) deliver(n *node, d time.Duration, f func() []Action) {
	s.after(d, func() {
		if s.nodes[n.self.Name] == n {
			s.perform(n, f())
		}
	})
}

func (s *simulation) loseMessage() bool    { return s.rnd.Float64() < s.lossRate }
func (s *simulation) delay() time.Duration { return time.Duration(1+s.rnd.IntN(50)) * time.Millisecond }

func (s *simulation) perform(n *node, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case SetWatch:
			n.watchID++
			if act.On {
				s.poll(n, n.watchID)
			}
		case ReadHead:
			s.read(n, s.delay())
		case SendNotice:
			s.exchange(n, act)
		case FetchChunk:
			s.fetch(n, act)
		case Adopt:
			if act.Head.Version <= n.activeVersion {
				s.t.Fatalf("%s moved from version %d to %d", n.self.Name, n.activeVersion, act.Head.Version)
			}
			if a := act.Index.Regions(); len(a) != 1 || bundler.Verify(act.Head, trust) != nil {
				s.t.Fatalf("%s adopted an unverified version %d", n.self.Name, act.Head.Version)
			}
			n.activeVersion = act.Head.Version
			n.adoptedAt[n.activeVersion] = s.now
		case Ready:
			n.readyAt = s.now
		case ReportRejection:
			n.rejections++
		}
	}
}

func (s *simulation) poll(n *node, watch int) {
	if n.watchID == watch && s.nodes[n.self.Name] == n {
		s.read(n, s.delay())
		s.after(time.Second, func() { s.poll(n, watch) })
	}
}

func (s *simulation) read(n *node, d time.Duration) {
	s.platformCalls++
	if s.down || s.partitioned[n.self.Name] || s.loseMessage() {
		s.deliver(n, time.Second, func() []Action { return n.HandlePlatformHead(s.now, nil, errors.New("down")) })
		return
	}
	s.deliver(n, d, func() []Action { return n.HandlePlatformHead(s.now, s.head, nil) })
}

func (s *simulation) exchange(n *node, sent SendNotice) {
	s.noticesSent[n.self.Name]++
	failed := func() []Action { return n.HandleNoticeFailure(s.now, sent) }
	if s.loseMessage() {
		s.deliver(n, time.Second, failed)
		return
	}
	s.after(s.delay(), func() {
		peer := s.nodes[sent.Peer.Name]
		if peer.Adopter == nil {
			s.deliver(n, time.Second, failed)
			return
		}
		answer, acts := peer.HandleNotice(s.now, sent.Notice)
		s.perform(peer, acts)
		if s.loseMessage() {
			s.deliver(n, time.Second, failed)
			return
		}
		if s.tamper && len(answer.Head) > 0 && s.rnd.IntN(4) == 0 {
			answer.Head = withForgedVersion(s.t, answer.Head, answer.Version+1000)
		}
		s.deliver(n, s.delay(), func() []Action { return n.HandleAnswer(s.now, sent, answer) })
	})
}

// withForgedVersion changes the version of a head and keeps the old signature.
func withForgedVersion(t testing.TB, head []byte, version uint64) []byte {
	h, err := bundler.DecodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	h.Version = version
	if head, err = checker.Encode(h); err != nil {
		t.Fatal(err)
	}
	return head
}

func (s *simulation) fetch(n *node, f FetchChunk) {
	if f.Peer.Name == "" {
		s.platformCalls++
	} else {
		s.chunksServed[f.Peer.Name]++
	}
	body, ok := s.bodies[f.Hash], !s.down && !s.partitioned[n.self.Name]
	if peer := s.nodes[f.Peer.Name]; f.Peer.Name != "" {
		body, ok = nil, false
		if peer.Adopter != nil {
			body, ok = peer.ChunkBody(f.Hash)
		}
	}
	if !ok || s.loseMessage() {
		s.deliver(n, time.Second, func() []Action { return n.HandleChunkFailure(s.now, f) })
		return
	}
	if s.tamper && s.rnd.IntN(10) == 0 {
		body = slices.Clone(body)
		body[s.rnd.IntN(len(body))] ^= 1
	}
	s.deliver(n, s.delay(), func() []Action { return n.HandleChunk(s.now, f, body) })
}

func (s *simulation) lateProcesses(version uint64, minAge time.Duration) []string {
	var late []string
	for _, name := range s.names {
		if n := s.nodes[name]; s.now.Sub(n.started) >= minAge && (n.activeVersion < version || !n.Ready()) {
			late = append(late, fmt.Sprintf("%s at %d", name, n.activeVersion))
		}
	}
	return late
}

const spreadLimit = 8 * time.Second

// Guards against processes that adopt a version late or never, go back to an older
// version, or adopt altered data, while messages are lost or altered, processes
// restart and watchers lose the platform.
func TestSpread(t *testing.T) {
	tests := []struct {
		name      string
		loss      float64
		tamper    bool
		restarts  bool
		partition bool
	}{
		{name: "healthy"},
		{name: "lost messages", loss: 0.1},
		{name: "altered messages", tamper: true},
		{name: "restarts", loss: 0.05, restarts: true},
		{name: "watchers partitioned off from the platform", partition: true},
		{name: "all", loss: 0.05, tamper: true, restarts: true, partition: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			slowest, rejections := time.Duration(0), 0
			for seed := range uint64(20) {
				s := newSimulation(t, seed, 50)
				s.lossRate, s.tamper = tt.loss, tt.tamper
				s.publish(1)
				for _, name := range s.names {
					s.start(name)
				}
				s.runUntil(s.now.Add(2 * spreadLimit))
				if tt.partition {
					s.partitionWatchers()
				}
				for version := uint64(2); version < 8; version++ {
					published := s.now
					s.publish(version)
					for range 4 {
						s.runUntil(s.now.Add(spreadLimit / 4))
						if tt.restarts {
							s.start(s.names[s.rnd.IntN(len(s.names))])
						}
					}
					if late := s.lateProcesses(version, spreadLimit); len(late) > 0 {
						t.Errorf("seed %d: version %d is not active after %v: %v", seed, version, spreadLimit, late)
					}
					for _, n := range s.nodes {
						if at, ok := n.adoptedAt[version]; ok && n.started.Before(published) {
							slowest = max(slowest, at.Sub(published))
						}
						rejections += n.rejections
					}
				}
			}
			if tt.tamper && rejections == 0 {
				t.Error("no altered message was rejected")
			}
			t.Logf("slowest process: %v", slowest)
		})
	}
}

// partitionWatchers disconnects the current watchers of one data centre from the
// platform.
func (s *simulation) partitionWatchers() {
	for _, n := range s.nodes {
		if n.self.Centre == "c0" && n.watching {
			s.partitioned[n.self.Name] = true
		}
	}
}

// Guards against a process that starts during a platform outage and serves an older
// version than a reachable peer has, or serves before it has asked its peers twice.
func TestStartWithoutPlatform(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulation(t, seed, 8)
		s.publish(1)
		for _, name := range s.names[1:] {
			s.start(name)
		}
		s.runUntil(s.now.Add(5 * time.Second))
		s.publish(2)
		s.runUntil(s.now.Add(5 * time.Second))
		s.down = true
		s.start("p0")
		start := s.now
		s.runUntil(start.Add(time.Second + RoundInterval)) // the failed read takes 1 s
		if n := s.nodes["p0"]; n.Ready() {
			t.Errorf("seed %d: is ready %v after the start", seed, n.readyAt.Sub(start))
		}
		s.runUntil(start.Add(spreadLimit))
		if n := s.nodes["p0"]; !n.Ready() || n.activeVersion != 2 {
			t.Errorf("seed %d: ready = %v, version = %d, want version 2", seed, n.Ready(), n.activeVersion)
		}
	}
}

// Guards against processes that become ready without a bundle because the platform
// is down for all of them, and against processes that stay unready once it is back.
func TestStartAlone(t *testing.T) {
	s := newSimulation(t, 1, 3)
	s.publish(1)
	s.down = true
	for _, name := range s.names {
		s.start(name)
	}
	s.runUntil(s.now.Add(time.Minute))
	for _, n := range s.nodes {
		if n.Ready() {
			t.Errorf("%s is ready without a bundle", n.self.Name)
		}
	}
	s.down = false
	s.runUntil(s.now.Add(spreadLimit))
	if late := s.lateProcesses(1, 0); len(late) > 0 {
		t.Errorf("not active after the outage: %v", late)
	}
}

// Guards against a process that never gets ready because the platform offers a forged
// head, and against one that takes it as a proof that its version is the newest.
func TestStartWithForgedHead(t *testing.T) {
	for _, forged := range []uint64{1, 1000} {
		s := newSimulation(t, forged, 8)
		s.publish(2)
		for _, name := range s.names[1:] {
			s.start(name)
		}
		s.runUntil(s.now.Add(5 * time.Second))
		s.head = withForgedVersion(t, s.head, forged)
		s.start("p0")
		start := s.now
		s.runUntil(start.Add(RoundInterval))
		if n := s.nodes["p0"]; n.Ready() {
			t.Errorf("forged version %d: is ready %v after the start", forged, n.readyAt.Sub(start))
		}
		s.runUntil(start.Add(spreadLimit))
		if n := s.nodes["p0"]; !n.Ready() || n.activeVersion != 2 || n.rejections == 0 {
			t.Errorf("forged version %d: ready = %v, version = %d, %d rejections, want version 2", forged, n.Ready(), n.activeVersion, n.rejections)
		}
	}
}
