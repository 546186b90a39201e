package adopter

import (
	"fmt"
	"slices"
	"time"

	"daisylane/internal/placer"
)

// Version returns the active version, 0 if there is none.
func (a *Adopter) Version() uint64 { return a.head.Version }

// Ready reports whether the process may serve requests.
func (a *Adopter) Ready() bool { return a.ready }

// ChunkBody returns a chunk for a peer. The chunk may belong to the active version or
// to one that is being fetched.
func (a *Adopter) ChunkBody(hash string) ([]byte, bool) {
	if body, ok := a.bodies[hash]; ok {
		return body, true
	}
	if a.next == nil {
		return nil, false
	}
	body, ok := a.next.bodies[hash]
	return body, ok
}

// notice returns the notice to send to a peer that has the given version.
func (a *Adopter) notice(now time.Time, theirs uint64) Notice {
	n := Notice{From: a.cfg.Self.Name, Version: a.head.Version, PlatformLost: a.platformLost(now)}
	if theirs < a.head.Version {
		n.Head = a.stored
	}
	return n
}

// shouldWatch reports whether this process should watch the platform: it is one of
// the first entries in rank, or a watcher delegated its watch to it.
func (a *Adopter) shouldWatch(now time.Time) bool {
	if a.cfg.Self.Role != RoleEntry {
		return false
	}
	return now.Before(a.delegatedUntil) || slices.Index(a.watchRank(), a.cfg.Self.Name) < watchersPerCentre
}

func (a *Adopter) platformLost(now time.Time) bool {
	return a.watching && now.Sub(a.lastContact) > contactTimeout
}

// watchRank returns the entries of this data centre in the order in which they are
// chosen as watchers.
func (a *Adopter) watchRank() []string {
	var entries []string
	for _, name := range a.centreMembers {
		if name == a.cfg.Self.Name && a.cfg.Self.Role == RoleEntry || a.peers[name].Role == RoleEntry {
			entries = append(entries, name)
		}
	}
	return placer.Rank("watch/"+a.cfg.Self.Centre, entries)
}

// delegate returns the entry that watches for this process when it loses the platform.
func (a *Adopter) delegate() (Peer, bool) {
	rank := a.watchRank()
	i := slices.Index(rank, a.cfg.Self.Name)
	if i < 0 || len(rank) <= watchersPerCentre {
		return Peer{}, false
	}
	p, ok := a.peers[rank[(i+watchersPerCentre)%len(rank)]]
	return p, ok
}

// pushOrder returns the processes of the data centre in the order in which a version
// is pushed through them. It depends on the version, so that the load of sending is
// not always on the same processes.
func (a *Adopter) pushOrder(version uint64) []string {
	return placer.Rank(fmt.Sprintf("bundle/%d", version), a.centreMembers)
}

// children returns the processes that the process at a position of the push tree
// pushes to. Position -1 is the root: a process that got the version from the
// platform also pushes to its children.
func children(rank []string, position int) []string {
	first := min(fanout*(position+1), len(rank))
	return rank[first:min(first+fanout, len(rank))]
}
