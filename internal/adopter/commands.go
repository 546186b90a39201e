package adopter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisylane/internal/bundler"
)

// New returns an adopter that has no bundle.
func New(cfg Config, rnd *rand.Rand) *Adopter {
	return &Adopter{cfg: cfg, rnd: rnd, peerStates: make(map[string]peerState), centreMembers: []string{cfg.Self.Name}}
}

// SetPeers replaces the known peers. They must not include the process itself.
func (a *Adopter) SetPeers(now time.Time, peers []Peer) []Action {
	a.peers = make(map[string]Peer, len(peers))
	a.peerNames, a.centreMembers = nil, []string{a.cfg.Self.Name}
	for _, p := range peers {
		a.peers[p.Name] = p
		a.peerNames = append(a.peerNames, p.Name)
		if p.Centre == a.cfg.Self.Centre {
			a.centreMembers = append(a.centreMembers, p.Name)
		}
	}
	slices.Sort(a.peerNames)
	for name := range a.peerStates {
		if _, ok := a.peers[name]; !ok {
			delete(a.peerStates, name)
		}
	}
	return a.updateWatch(now, nil)
}

// Start begins the startup by reading the head from the platform.
func (a *Adopter) Start(now time.Time) []Action {
	a.lastContact = now
	return a.updateWatch(now, []Action{ReadHead{}})
}

// Tick runs one periodic round. Call it every [RoundInterval].
func (a *Adopter) Tick(now time.Time) []Action {
	acts := a.updateWatch(now, nil)
	if !a.ready {
		return a.startupRound(now, acts)
	}
	if len(a.peerNames) > 0 {
		name := a.peerNames[a.rnd.IntN(len(a.peerNames))]
		acts = append(acts, a.noticeTo(now, name, 0))
	}
	if !a.watching && (len(a.peerNames) == 0 || a.consecutiveFailures >= maxConsecutiveFailures) {
		acts = append(acts, ReadHead{})
	}
	if p, ok := a.delegate(); ok && a.platformLost(now) {
		acts = append(acts, a.noticeTo(now, p.Name, 0))
	}
	return acts
}

// startupRound reads the platform again. If an earlier read failed, it also asks all
// peers of the data centre.
func (a *Adopter) startupRound(now time.Time, acts []Action) []Action {
	acts = append(acts, ReadHead{})
	if a.rounds > 0 && now.Sub(a.roundStarted) >= RoundInterval {
		acts = a.askCentre(now, acts)
	}
	return acts
}

func (a *Adopter) askCentre(now time.Time, acts []Action) []Action {
	a.rounds++
	a.roundStarted = now
	a.unanswered = make(map[string]struct{})
	for _, name := range a.centreMembers {
		if name != a.cfg.Self.Name {
			a.unanswered[name] = struct{}{}
			acts = append(acts, a.noticeTo(now, name, 0))
		}
	}
	return acts
}

// HandlePlatformHead handles the result of a read or watch. The head is empty if the
// object is absent or unchanged. During startup, a head that cannot be verified is
// handled like a failed read: the peers are asked.
func (a *Adopter) HandlePlatformHead(now time.Time, head []byte, err error) []Action {
	if err != nil {
		if a.ready || a.rounds > 0 {
			return nil
		}
		return a.askCentre(now, nil)
	}
	a.lastContact = now
	if len(head) == 0 {
		return nil
	}
	acts := a.handleHead(now, "", head)
	if !a.ready && a.rounds == 0 && slices.ContainsFunc(acts, isRejection) {
		return a.askCentre(now, acts)
	}
	return acts
}

// HandleNotice handles a notice from a peer and returns the answer.
func (a *Adopter) HandleNotice(now time.Time, n Notice) (Notice, []Action) {
	var acts []Action
	if n.PlatformLost && a.cfg.Self.Role == RoleEntry {
		a.delegatedUntil = now.Add(delegationTTL)
		acts = a.updateWatch(now, acts)
	}
	if _, known := a.peers[n.From]; known && n.Version > a.head.Version {
		a.peerStates[n.From] = peerState{version: n.Version}
		acts = append(acts, a.noticeTo(now, n.From, 0))
	}
	return a.notice(now, n.Version), acts
}

// HandleAnswer handles the answer to a [SendNotice].
func (a *Adopter) HandleAnswer(now time.Time, sent SendNotice, n Notice) []Action {
	var acts []Action
	if len(n.Head) > 0 {
		acts = a.handleHead(now, sent.Peer.Name, n.Head)
	}
	if slices.ContainsFunc(acts, isRejection) {
		return append(acts, a.HandleNoticeFailure(now, sent)...)
	}
	a.consecutiveFailures = 0
	a.peerStates[sent.Peer.Name] = peerState{version: n.Version}
	delete(a.unanswered, sent.Peer.Name)
	return a.finishStartup(acts)
}

func isRejection(act Action) bool {
	_, ok := act.(ReportRejection)
	return ok
}

// HandleNoticeFailure handles a [SendNotice] that got no valid answer. A failed push is
// retried once, and is also sent to the peers that the unreachable peer would have
// pushed to. A peer that is known to have a newer version is asked again at once,
// because the next round picks a peer at random and may pick another one.
func (a *Adopter) HandleNoticeFailure(now time.Time, sent SendNotice) []Action {
	name := sent.Peer.Name
	a.consecutiveFailures++
	state := a.peerStates[name]
	if state.failures++; state.failures < maxPeerFailures {
		a.peerStates[name] = state
	} else {
		delete(a.peerStates, name)
	}
	if sent.PushedVersion > 0 {
		return a.pushAround(now, sent)
	}
	if _, known := a.peers[name]; known && state.version > a.head.Version && state.failures < maxPeerFailures {
		return []Action{a.noticeTo(now, name, 0)}
	}
	delete(a.unanswered, name)
	return a.finishStartup(nil)
}

func (a *Adopter) pushAround(now time.Time, sent SendNotice) []Action {
	rank := a.pushOrder(sent.PushedVersion)
	i := slices.Index(rank, sent.Peer.Name)
	if i < 0 || sent.PushedVersion != a.head.Version || a.peerStates[sent.Peer.Name].failures != 1 {
		return nil
	}
	return a.push(now, append(children(rank, i), sent.Peer.Name), nil)
}

// HandleChunk handles a fetched chunk.
func (a *Adopter) HandleChunk(now time.Time, f FetchChunk, body []byte) []Action {
	if a.next == nil {
		return nil
	}
	if _, wanted := a.next.attempts[f.Hash]; !wanted {
		return nil
	}
	if err := a.next.chunks.Add(f.Hash, body); err != nil {
		return append(a.HandleChunkFailure(now, f), ReportRejection{From: f.Peer.Name, Err: err})
	}
	a.next.bodies[f.Hash] = body
	delete(a.next.attempts, f.Hash)
	if len(a.next.attempts) > 0 {
		return nil
	}
	return a.adoptOrFetch(now, nil)
}

// HandleChunkFailure handles a failed fetch. It retries with two fetches at once, so
// that losing one of them does not cost another timeout. After maxFetchAttempts it
// abandons the version until the platform or a peer announces it again.
func (a *Adopter) HandleChunkFailure(_ time.Time, f FetchChunk) []Action {
	if a.next == nil {
		return nil
	}
	tries, wanted := a.next.attempts[f.Hash]
	if !wanted {
		return nil
	}
	if tries >= maxFetchAttempts {
		a.next = nil
		return nil
	}
	return []Action{a.fetchChunk(f.Hash), a.fetchChunk(f.Hash)}
}

func (a *Adopter) noticeTo(now time.Time, name string, pushed uint64) SendNotice {
	return SendNotice{Peer: a.peers[name], Notice: a.notice(now, a.head.Version), PushedVersion: pushed}
}

// updateWatch starts or stops the watch after a change of peers or of delegations.
func (a *Adopter) updateWatch(now time.Time, acts []Action) []Action {
	want := a.shouldWatch(now)
	if want == a.watching {
		return acts
	}
	a.watching = want
	a.lastContact = now
	return append(acts, SetWatch{On: want})
}

// handleHead verifies a head. If it is newer than the active and the pending version,
// it becomes the pending version and its missing chunks are fetched.
func (a *Adopter) handleHead(now time.Time, from string, stored []byte) []Action {
	head, err := bundler.DecodeHead(stored)
	if err != nil {
		return []Action{ReportRejection{From: from, Err: fmt.Errorf("decode head: %w", err)}}
	}
	if (from != "" || a.ready) && head.Version <= a.head.Version || head.Version == a.invalidVersion {
		return nil
	}
	if err := bundler.Verify(head, a.cfg.Trust); err != nil {
		return []Action{ReportRejection{From: from, Err: err}}
	}
	if head.Version <= a.head.Version {
		return a.markReady(nil) // the platform has no newer version than the peers
	}
	if a.next != nil && head.Version <= a.next.head.Version {
		if head.Version == a.next.head.Version {
			a.next.addSource(from)
		}
		return nil
	}
	next := &pending{
		head: head, stored: stored, attempts: make(map[string]int),
		chunks: a.chunks.Only(head), bodies: make(map[string][]byte),
	}
	next.addSource(from)
	a.next = next
	return a.adoptOrFetch(now, nil)
}

func (p *pending) addSource(from string) {
	if from == "" {
		p.direct = true
		return
	}
	if !slices.Contains(p.sources, from) {
		p.sources = append(p.sources, from)
	}
}

// adoptOrFetch adopts the pending version if all of its chunks are present. Otherwise
// it fetches the chunks that are known to be missing.
func (a *Adopter) adoptOrFetch(now time.Time, acts []Action) []Action {
	missing := a.next.chunks.Missing(a.next.head)
	if len(missing) == 0 {
		return a.adopt(now, acts)
	}
	for _, hash := range missing {
		acts = append(acts, a.fetchChunk(hash))
	}
	return acts
}

// fetchChunk chooses the source of a chunk. A peer that announced the version has its
// chunks. Every third attempt reads the platform. A process without a bundle tries
// any peer of its data centre first, so that a restart of the whole data centre does
// not read every chunk from the platform.
func (a *Adopter) fetchChunk(hash string) FetchChunk {
	tries := a.next.attempts[hash]
	a.next.attempts[hash] = tries + 1
	sources := a.next.sources
	if len(sources) == 0 && a.head.Version == 0 && len(a.centreMembers) > 1 {
		sources = a.centreMembers[1:]
	}
	if len(sources) == 0 || tries%3 == 2 {
		return FetchChunk{Hash: hash}
	}
	return FetchChunk{Hash: hash, Peer: a.peers[sources[a.rnd.IntN(len(sources))]]}
}

func (a *Adopter) adopt(now time.Time, acts []Action) []Action {
	next := a.next
	a.next = nil
	b, err := next.chunks.Merge(next.head)
	var index *bundler.Index
	if err == nil {
		index, err = bundler.NewIndex(b)
	}
	if err != nil {
		a.invalidVersion = next.head.Version
		a.rounds = max(a.rounds, 1) // during startup, fall back to the peers
		return append(acts, ReportRejection{Err: fmt.Errorf("version %d of %s: %w", next.head.Version, next.head.Author, err)})
	}
	kept := next.chunks.Only(next.head)
	for hash := range kept {
		if _, ok := next.bodies[hash]; !ok {
			next.bodies[hash] = a.bodies[hash]
		}
	}
	a.head, a.stored, a.chunks, a.bodies = next.head, next.stored, kept, next.bodies
	acts = append(acts, Adopt{Head: a.head, Index: index})
	if next.direct {
		acts = a.push(now, children(a.pushOrder(a.head.Version), -1), acts)
	}
	acts = a.push(now, a.ownChildren(), acts)
	if next.direct {
		return a.markReady(acts)
	}
	return a.finishStartup(acts)
}

func (a *Adopter) ownChildren() []string {
	rank := a.pushOrder(a.head.Version)
	return children(rank, slices.Index(rank, a.cfg.Self.Name))
}

func (a *Adopter) push(now time.Time, names []string, acts []Action) []Action {
	for _, name := range names {
		if name != a.cfg.Self.Name {
			acts = append(acts, a.noticeTo(now, name, a.head.Version))
		}
	}
	return acts
}

// finishStartup marks the process ready during a platform outage, once both startup
// rounds are over and no reachable peer has a higher version.
func (a *Adopter) finishStartup(acts []Action) []Action {
	if a.ready || a.head.Version == 0 || a.rounds < startupRounds || len(a.unanswered) > 0 {
		return acts
	}
	highest := uint64(0)
	for _, h := range a.peerStates {
		if h.version != a.invalidVersion {
			highest = max(highest, h.version)
		}
	}
	if a.head.Version < highest {
		return acts
	}
	return a.markReady(acts)
}

func (a *Adopter) markReady(acts []Action) []Action {
	if a.ready {
		return acts
	}
	a.ready = true
	return append(acts, Ready{Version: a.head.Version})
}
