package watcher

import "time"

// selectCandidates computes the result of [View.Candidates].
func (v *View) selectCandidates(now time.Time, q Query) cachedResult {
	var result cachedResult
	var suspected []*Member
	for _, n := range v.sortedNodes {
		if !n.registered || n.member.Role != Side || !q.matches(n.member) || n.isLeaving() || v.isGone(n) {
			continue
		}
		if !n.isSuspected(now) {
			result.members = append(result.members, n.member)
			continue
		}
		suspected = append(suspected, n.member)
		if end := n.failedDialAt.Add(suspicionTimeout); result.validUntil.IsZero() || end.Before(result.validUntil) {
			result.validUntil = end
		}
	}
	if len(result.members) == 0 {
		result.members = suspected
	}
	return result
}

// Entries returns the entries of a region, or of one of its data centres if centre
// is not empty. It omits leaving and gone entries.
func (v *View) Entries(region, centre string) []*Member {
	var list []*Member
	for _, n := range v.sortedNodes {
		m := n.member
		if m.Role != Entry || m.Region != region || centre != "" && m.Centre != centre {
			continue
		}
		if (n.registered || n.listed) && !n.isLeaving() && !v.isGone(n) {
			list = append(list, m)
		}
	}
	return list
}

// Suspected returns the names of the instances whose last dial failed within
// suspicionTimeout.
func (v *View) Suspected(now time.Time) []string {
	var names []string
	for _, n := range v.sortedNodes {
		if n.isSuspected(now) {
			names = append(names, n.member.Name)
		}
	}
	return names
}

// IsLeaving reports whether an instance is known to be leaving.
func (v *View) IsLeaving(name string) bool {
	n, ok := v.nodes[name]
	return ok && n.isLeaving()
}

// IsGone reports whether an instance has been absent from all lists for goneTimeout.
func (v *View) IsGone(name string) bool {
	if n, ok := v.nodes[name]; ok {
		return v.isGone(n)
	}
	return !v.firstListAt.IsZero() && v.lastListAt.Sub(v.firstListAt) >= goneTimeout
}

// Get returns the last known registration of an instance. Without one, it returns
// the data of the instance list.
func (v *View) Get(name string) (Member, bool) {
	n, ok := v.nodes[name]
	if !ok {
		return Member{}, false
	}
	return *n.member, true
}

func (v *View) isGone(n *node) bool {
	return !n.listed && !n.absentSince.IsZero() && v.lastListAt.Sub(n.absentSince) >= goneTimeout
}

func (n *node) isLeaving() bool { return n.leaving || n.listedLeaving }

func (n *node) isSuspected(now time.Time) bool {
	return !n.failedDialAt.IsZero() && now.Sub(n.failedDialAt) < suspicionTimeout
}
