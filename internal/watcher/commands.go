package watcher

import (
	"cmp"
	"slices"
	"time"
)

// Candidates returns the sides that match a query and may receive requests, ordered
// by instance name. It returns suspected sides only if there are no others. The
// caller must not modify the result. The result is cached until the view changes,
// because every request needs it.
func (v *View) Candidates(now time.Time, q Query) []*Member {
	result, ok := v.results[q]
	if ok && (result.validUntil.IsZero() || now.Before(result.validUntil)) {
		return result.members
	}
	if len(v.results) >= maxCachedResults {
		clear(v.results)
	}
	result = v.selectCandidates(now, q)
	v.results[q] = result
	return result.members
}

// SetList replaces the data of the previous instance list. Older lists are ignored.
func (v *View) SetList(now time.Time, rows []ListRow) {
	if now.Before(v.lastListAt) {
		return
	}
	clear(v.results)
	if v.lastListAt.IsZero() || now.Sub(v.lastListAt) > maxListGap {
		v.restartAbsence(now)
	}
	v.lastListAt = now
	for _, n := range v.sortedNodes {
		n.listed = false
	}
	for _, r := range rows {
		n := v.node(r.Name)
		n.listed, n.listedLeaving, n.absentSince = true, r.State == StateLeaving, time.Time{}
		if !n.registered {
			n.member = &Member{Name: r.Name, Role: r.Role, Centre: r.Centre, Region: r.Region, Addr: r.Addr}
		}
	}
	for _, n := range v.sortedNodes {
		if !n.listed && n.absentSince.IsZero() {
			n.absentSince = now
		}
	}
	v.forget(now)
}

// Register records a registration with the given object version. Versions that are
// not newer than the last registration or removal are ignored. The versions of an
// object must increase even if it is deleted and created again.
func (v *View) Register(now time.Time, m Member, version uint64) {
	n := v.node(m.Name)
	if version <= n.version {
		return
	}
	clear(v.results)
	if !n.registered {
		n.leaving = n.leaving && n.version == 0
		n.failedDialAt = time.Time{}
	}
	n.member, n.version, n.registered = &m, version, true
	if !n.listed {
		n.absentSince = now
	}
}

// Remove records that the registration was deleted at the given version.
func (v *View) Remove(name string, version uint64) {
	n := v.node(name)
	if version <= n.version {
		return
	}
	n.version, n.registered = version, false
	clear(v.results)
}

// ReplaceRegistrations replaces all registrations, after a watch could not resume.
func (v *View) ReplaceRegistrations(now time.Time, list []Registration) {
	clear(v.results)
	present := make(map[string]bool, len(list))
	for _, r := range list {
		present[r.Member.Name] = true
		v.Register(now, r.Member, r.Version)
	}
	for _, n := range v.sortedNodes {
		n.registered = n.registered && present[n.member.Name]
	}
}

// MarkLeaving records that a side has announced that it is leaving.
func (v *View) MarkLeaving(name string) {
	v.node(name).leaving = true
	clear(v.results)
}

// RecordDial records whether a dial to an instance succeeded.
func (v *View) RecordDial(now time.Time, name string, ok bool) {
	n := v.node(name)
	clear(v.results)
	if !ok {
		n.failedDialAt = now
		return
	}
	n.failedDialAt = time.Time{}
	if !n.listed {
		n.absentSince = now
	}
}

// restartAbsence restarts the absence of all instances. The caller sets
// their absentSince again.
func (v *View) restartAbsence(now time.Time) {
	v.firstListAt = now
	for _, n := range v.sortedNodes {
		n.absentSince = time.Time{}
	}
}

// forget removes instances that have been absent for forgetTimeout. IsGone still
// reports them as gone, because an unknown instance counts as absent since the first list.
func (v *View) forget(now time.Time) {
	v.sortedNodes = slices.DeleteFunc(v.sortedNodes, func(n *node) bool {
		expired := !n.listed && !n.registered && now.Sub(n.absentSince) > forgetTimeout && now.Sub(v.firstListAt) > forgetTimeout
		if expired {
			delete(v.nodes, n.member.Name)
		}
		return expired
	})
}

// node returns the state of an instance and creates it if necessary.
func (v *View) node(name string) *node {
	if n, ok := v.nodes[name]; ok {
		return n
	}
	n := &node{member: &Member{Name: name}, absentSince: v.lastListAt}
	v.nodes[name] = n
	at, _ := slices.BinarySearchFunc(v.sortedNodes, name, func(n *node, name string) int {
		return cmp.Compare(n.member.Name, name)
	})
	v.sortedNodes = slices.Insert(v.sortedNodes, at, n)
	return n
}
