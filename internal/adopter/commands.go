package adopter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisylane/internal/bundler"
)

// New returns the state of a process that has no bundle yet.
func New(cfg Config, rnd *rand.Rand) *Adopter {
	return &Adopter{cfg: cfg, rnd: rnd, heard: make(map[string]answer), local: []string{cfg.Self.Name}}
}

// SetPeers replaces the known peers, which must not include the process itself.
func (a *Adopter) SetPeers(now time.Time, peers []Peer) []Action {
	a.peers = make(map[string]Peer, len(peers))
	a.names, a.local = nil, []string{a.cfg.Self.Name}
	for _, p := range peers {
		a.peers[p.Name] = p
		a.names = append(a.names, p.Name)
		if p.Centre == a.cfg.Self.Centre {
			a.local = append(a.local, p.Name)
		}
	}
	slices.Sort(a.names)
	for name := range a.heard {
		if _, ok := a.peers[name]; !ok {
			delete(a.heard, name)
		}
	}
	return a.watch(now, nil)
}

// Start begins with the platform's version.
func (a *Adopter) Start(now time.Time) []Action {
	a.contact = now
	return a.watch(now, []Action{Read{}})
}

// Tick runs one round.
func (a *Adopter) Tick(now time.Time) []Action {
	acts := a.watch(now, nil)
	if !a.ready {
		return a.startRound(now, acts)
	}
	if len(a.names) > 0 {
		name := a.names[a.rnd.IntN(len(a.names))]
		acts = append(acts, a.ask(now, name, 0))
	}
	if !a.watching && (len(a.names) == 0 || a.misses >= maxMisses) {
		acts = append(acts, Read{})
	}
	if p, ok := a.delegate(); ok && a.blind(now) {
		acts = append(acts, a.ask(now, p.Name, 0))
	}
	return acts
}

// startRound reads the platform again and, if it is down, asks all peers of the
// data centre.
func (a *Adopter) startRound(now time.Time, acts []Action) []Action {
	acts = append(acts, Read{})
	if a.rounds > 0 && now.Sub(a.asked) >= Round {
		acts = a.askLocal(now, acts)
	}
	return acts
}

func (a *Adopter) askLocal(now time.Time, acts []Action) []Action {
	a.rounds++
	a.asked = now
	a.open = make(map[string]struct{})
	for _, name := range a.local {
		if name != a.cfg.Self.Name {
			a.open[name] = struct{}{}
			acts = append(acts, a.ask(now, name, 0))
		}
	}
	return acts
}

// Platform handles the result of a read or watch: the head object, nothing if
// it is absent or unchanged, or an error.
func (a *Adopter) Platform(now time.Time, head []byte, err error) []Action {
	if err != nil {
		if a.ready || a.rounds > 0 {
			return nil
		}
		return a.askLocal(now, nil)
	}
	a.contact = now
	if len(head) == 0 {
		return nil
	}
	return a.consider(now, "", head)
}

// Receive handles the notice of a peer and returns the answer.
func (a *Adopter) Receive(now time.Time, n Notice) (Notice, []Action) {
	var acts []Action
	if n.Blind && a.cfg.Self.Role == RoleEntry {
		a.delegated = now.Add(delegationTime)
		acts = a.watch(now, acts)
	}
	if _, known := a.peers[n.From]; known && n.Version > a.head.Version {
		a.heard[n.From] = answer{version: n.Version}
		acts = append(acts, a.ask(now, n.From, 0))
	}
	return a.notice(now, n.Version), acts
}

// Answered handles the answer to an [Ask].
func (a *Adopter) Answered(now time.Time, ask Ask, n Notice) []Action {
	var acts []Action
	if len(n.Head) > 0 {
		acts = a.consider(now, ask.Peer.Name, n.Head)
	}
	if slices.ContainsFunc(acts, isRefusal) {
		return append(acts, a.Failed(now, ask)...)
	}
	a.misses = 0
	a.heard[ask.Peer.Name] = answer{version: n.Version}
	delete(a.open, ask.Peer.Name)
	return a.settle(acts)
}

func isRefusal(act Action) bool {
	_, ok := act.(Refuse)
	return ok
}

// Failed handles an [Ask] without a valid answer. A push is repeated, and goes
// on to the peers that the unreachable one would have pushed to. A peer that is
// known to have a newer version is asked again, because the next round may ask
// another one.
func (a *Adopter) Failed(now time.Time, ask Ask) []Action {
	name := ask.Peer.Name
	a.misses++
	h := a.heard[name]
	if h.fails++; h.fails < maxFails {
		a.heard[name] = h
	} else {
		delete(a.heard, name)
	}
	if ask.Relay > 0 {
		return a.bypass(now, ask)
	}
	if _, known := a.peers[name]; known && h.version > a.head.Version && h.fails < maxFails {
		return []Action{a.ask(now, name, 0)}
	}
	delete(a.open, name)
	return a.settle(nil)
}

func (a *Adopter) bypass(now time.Time, ask Ask) []Action {
	rank := a.relays(ask.Relay)
	i := slices.Index(rank, ask.Peer.Name)
	if i < 0 || ask.Relay != a.head.Version || a.heard[ask.Peer.Name].fails != 1 {
		return nil
	}
	return a.push(now, append(children(rank, i), ask.Peer.Name), nil)
}

// Chunk handles a fetched chunk.
func (a *Adopter) Chunk(now time.Time, f Fetch, body []byte) []Action {
	if a.next == nil {
		return nil
	}
	if _, wanted := a.next.open[f.Hash]; !wanted {
		return nil
	}
	if err := a.next.parts.Add(f.Hash, body); err != nil {
		return append(a.ChunkFailed(now, f), Refuse{From: f.Peer.Name, Err: err})
	}
	a.next.bodies[f.Hash] = body
	delete(a.next.open, f.Hash)
	if len(a.next.open) > 0 {
		return nil
	}
	return a.complete(now, nil)
}

// ChunkFailed tries two sources at once, so that a second loss does not cost
// another timeout. After too many failures the version is given up until
// somebody announces it again.
func (a *Adopter) ChunkFailed(_ time.Time, f Fetch) []Action {
	if a.next == nil {
		return nil
	}
	tries, wanted := a.next.open[f.Hash]
	if !wanted {
		return nil
	}
	if tries >= maxTries {
		a.next = nil
		return nil
	}
	return []Action{a.fetchOne(f.Hash), a.fetchOne(f.Hash)}
}

func (a *Adopter) ask(now time.Time, name string, relay uint64) Ask {
	return Ask{Peer: a.peers[name], Notice: a.notice(now, a.head.Version), Relay: relay}
}

// watch opens or closes the watch as the membership and delegations demand.
func (a *Adopter) watch(now time.Time, acts []Action) []Action {
	want := a.shouldWatch(now)
	if want == a.watching {
		return acts
	}
	a.watching = want
	a.contact = now
	return append(acts, Watch{On: want})
}

// consider verifies a head and starts to fetch its chunks if it is newer than
// all that the process has.
func (a *Adopter) consider(now time.Time, from string, stored []byte) []Action {
	head, err := bundler.DecodeHead(stored)
	if err != nil {
		return []Action{Refuse{From: from, Err: fmt.Errorf("decode head: %w", err)}}
	}
	if from == "" && head.Version <= a.head.Version {
		return a.serve(nil)
	}
	if head.Version <= a.head.Version || head.Version == a.bad {
		return nil
	}
	if err := bundler.Verify(head, a.cfg.Trust); err != nil {
		return []Action{Refuse{From: from, Err: err}}
	}
	if a.next != nil && head.Version <= a.next.head.Version {
		if head.Version == a.next.head.Version {
			a.next.announce(from)
		}
		return nil
	}
	next := &pending{
		head: head, stored: stored, open: make(map[string]int),
		parts: a.parts.Only(head), bodies: make(map[string][]byte),
	}
	next.announce(from)
	a.next = next
	return a.complete(now, nil)
}

func (p *pending) announce(from string) {
	if from == "" {
		p.direct = true
		return
	}
	if !slices.Contains(p.sources, from) {
		p.sources = append(p.sources, from)
	}
}

// complete adopts the pending version if all chunks are there, else it fetches
// those that are known to be missing.
func (a *Adopter) complete(now time.Time, acts []Action) []Action {
	missing := a.next.parts.Missing(a.next.head)
	if len(missing) == 0 {
		return a.adopt(now, acts)
	}
	for _, hash := range missing {
		acts = append(acts, a.fetchOne(hash))
	}
	return acts
}

// fetchOne chooses the source of a chunk. A peer that announced the version has
// its chunks. A starting process asks any peer first, so that the restart of a
// data centre does not read everything from the platform.
func (a *Adopter) fetchOne(hash string) Fetch {
	tries := a.next.open[hash]
	a.next.open[hash] = tries + 1
	sources := a.next.sources
	if len(sources) == 0 && a.head.Version == 0 && len(a.local) > 1 {
		sources = a.local[1:]
	}
	if len(sources) == 0 || tries%3 == 2 {
		return Fetch{Hash: hash}
	}
	return Fetch{Hash: hash, Peer: a.peers[sources[a.rnd.IntN(len(sources))]]}
}

func (a *Adopter) adopt(now time.Time, acts []Action) []Action {
	next := a.next
	a.next = nil
	b, err := next.parts.Merge(next.head)
	var index *bundler.Index
	if err == nil {
		index, err = bundler.NewIndex(b)
	}
	if err != nil {
		a.bad = next.head.Version
		a.rounds = max(a.rounds, 1) // a starting process falls back to its peers
		return append(acts, Refuse{Err: fmt.Errorf("version %d of %s: %w", next.head.Version, next.head.Author, err)})
	}
	kept := next.parts.Only(next.head)
	for hash := range kept {
		if _, ok := next.bodies[hash]; !ok {
			next.bodies[hash] = a.bodies[hash]
		}
	}
	a.head, a.stored, a.parts, a.bodies = next.head, next.stored, kept, next.bodies
	acts = append(acts, Adopt{Head: a.head, Index: index})
	if next.direct {
		acts = a.push(now, children(a.relays(a.head.Version), -1), acts)
	}
	acts = a.push(now, a.ownChildren(), acts)
	if next.direct {
		return a.serve(acts)
	}
	return a.settle(acts)
}

func (a *Adopter) ownChildren() []string {
	rank := a.relays(a.head.Version)
	return children(rank, slices.Index(rank, a.cfg.Self.Name))
}

func (a *Adopter) push(now time.Time, names []string, acts []Action) []Action {
	for _, name := range names {
		if name != a.cfg.Self.Name {
			acts = append(acts, a.ask(now, name, a.head.Version))
		}
	}
	return acts
}

// settle ends the start if the platform is down, both rounds are over and no
// reachable peer has a higher version.
func (a *Adopter) settle(acts []Action) []Action {
	if a.ready || a.head.Version == 0 || a.rounds < startRounds || len(a.open) > 0 {
		return acts
	}
	highest := uint64(0)
	for _, h := range a.heard {
		if h.version != a.bad {
			highest = max(highest, h.version)
		}
	}
	if a.head.Version < highest {
		return acts
	}
	return a.serve(acts)
}

func (a *Adopter) serve(acts []Action) []Action {
	if a.ready {
		return acts
	}
	a.ready = true
	return append(acts, Ready{Version: a.head.Version})
}
