package adopter

import (
	"fmt"
	"slices"
	"time"

	"daisylane/internal/placer"
)

// Version returns the version in force, 0 if there is none.
func (a *Adopter) Version() uint64 { return a.head.Version }

// Ready reports whether the process may serve.
func (a *Adopter) Ready() bool { return a.ready }

// Body returns a chunk for a peer, of the version in force or of one that is
// being fetched.
func (a *Adopter) Body(hash string) ([]byte, bool) {
	if body, ok := a.bodies[hash]; ok {
		return body, true
	}
	if a.next == nil {
		return nil, false
	}
	body, ok := a.next.bodies[hash]
	return body, ok
}

// notice returns the notice for a peer that has the given version.
func (a *Adopter) notice(now time.Time, theirs uint64) Notice {
	n := Notice{From: a.cfg.Self.Name, Version: a.head.Version, Blind: a.blind(now)}
	if theirs < a.head.Version {
		n.Head = a.stored
	}
	return n
}

// shouldWatch reports whether this process watches the platform: it is one of
// the first entries in rank, or one of these passed the duty on.
func (a *Adopter) shouldWatch(now time.Time) bool {
	if a.cfg.Self.Role != RoleEntry {
		return false
	}
	return now.Before(a.delegated) || slices.Index(a.watchRank(), a.cfg.Self.Name) < watchersPerCentre
}

func (a *Adopter) blind(now time.Time) bool {
	return a.watching && now.Sub(a.contact) > blindAfter
}

// watchRank returns the entries of the own data centre in the order in which
// they are asked to watch.
func (a *Adopter) watchRank() []string {
	var entries []string
	for _, name := range a.local {
		if name == a.cfg.Self.Name && a.cfg.Self.Role == RoleEntry || a.peers[name].Role == RoleEntry {
			entries = append(entries, name)
		}
	}
	return placer.Rank("watch/"+a.cfg.Self.Centre, entries)
}

// delegate returns the entry that a blind watcher passes its duty to.
func (a *Adopter) delegate() (Peer, bool) {
	rank := a.watchRank()
	i := slices.Index(rank, a.cfg.Self.Name)
	if i < 0 || len(rank) <= watchersPerCentre {
		return Peer{}, false
	}
	p, ok := a.peers[rank[(i+watchersPerCentre)%len(rank)]]
	return p, ok
}

// relays returns the order in which a version spreads through the data centre.
// It differs by version, so that no process always has the most to send.
func (a *Adopter) relays(version uint64) []string {
	return placer.Rank(fmt.Sprintf("bundle/%d", version), a.local)
}

// children returns the peers to which the process at a position pushes. A
// watcher pushes to the children of position -1, too.
func children(rank []string, position int) []string {
	first := min(fanout*(position+1), len(rank))
	return rank[first:min(first+fanout, len(rank))]
}
