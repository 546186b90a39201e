package watcher

import (
	"cmp"
	"slices"
	"time"
)

// Candidates returns the targets that may receive work, ordered by instance
// name. Suspected ones are returned only if there is no other. The values and
// the list are shared and must not be changed. The list is kept until the next
// change, because it is asked for with every request.
func (v *View) Candidates(now time.Time, q Query) []*Member {
	a, ok := v.answers[q]
	if ok && (a.until.IsZero() || now.Before(a.until)) {
		return a.members
	}
	if len(v.answers) >= maxAnswers {
		clear(v.answers)
	}
	a = v.answer(now, q)
	v.answers[q] = a
	return a.members
}

// List replaces what the instance list said before.
func (v *View) List(now time.Time, rows []Listed) {
	if now.Before(v.lastList) {
		return
	}
	clear(v.answers)
	if v.lastList.IsZero() || now.Sub(v.lastList) > maxListGap {
		v.restartAbsence(now)
	}
	v.lastList = now
	for _, n := range v.order {
		n.listed = false
	}
	for _, r := range rows {
		n := v.node(r.Name)
		n.listed, n.listLeaves, n.absent = true, r.State == Leaving, time.Time{}
		if !n.registered {
			n.member = &Member{Name: r.Name, Role: r.Role, Centre: r.Centre, Region: r.Region, Addr: r.Addr}
		}
	}
	for _, n := range v.order {
		if !n.listed && n.absent.IsZero() {
			n.absent = now
		}
	}
	v.forget(now)
}

// Register records a registration of the given object version. Versions that
// are not newer than the last registration or removal are ignored. Versions of
// an object must keep growing when it is deleted and created again.
func (v *View) Register(now time.Time, m Member, version uint64) {
	n := v.node(m.Name)
	if version <= n.version {
		return
	}
	clear(v.answers)
	if !n.registered {
		n.leaving = n.leaving && n.version == 0
		n.failed = time.Time{}
	}
	n.member, n.version, n.registered = &m, version, true
	if !n.listed {
		n.absent = now
	}
}

// Remove records that the registration was deleted at the given version.
func (v *View) Remove(name string, version uint64) {
	n := v.node(name)
	if version <= n.version {
		return
	}
	n.version, n.registered = version, false
	clear(v.answers)
}

// Sync replaces all registrations, after a watch lost its place.
func (v *View) Sync(now time.Time, list []Registration) {
	clear(v.answers)
	present := make(map[string]bool, len(list))
	for _, r := range list {
		present[r.Member.Name] = true
		v.Register(now, r.Member, r.Version)
	}
	for _, n := range v.order {
		n.registered = n.registered && present[n.member.Name]
	}
}

// Leave records a side's own statement that it is leaving.
func (v *View) Leave(name string) {
	v.node(name).leaving = true
	clear(v.answers)
}

// Dialed records the result of a dial.
func (v *View) Dialed(now time.Time, name string, ok bool) {
	n := v.node(name)
	clear(v.answers)
	if !ok {
		n.failed = now
		return
	}
	n.failed = time.Time{}
	if !n.listed {
		n.absent = now
	}
}

// restartAbsence makes all absences count from now.
func (v *View) restartAbsence(now time.Time) {
	v.firstList = now
	for _, n := range v.order {
		n.absent = time.Time{}
	}
}

// forget drops instances that are long gone. Gone still reports them, because
// an unknown instance counts as absent since the first list.
func (v *View) forget(now time.Time) {
	v.order = slices.DeleteFunc(v.order, func(n *node) bool {
		old := !n.listed && !n.registered && now.Sub(n.absent) > forgetAfter && now.Sub(v.firstList) > forgetAfter
		if old {
			delete(v.nodes, n.member.Name)
		}
		return old
	})
}

func (v *View) node(name string) *node {
	if n, ok := v.nodes[name]; ok {
		return n
	}
	n := &node{member: &Member{Name: name}, absent: v.lastList}
	v.nodes[name] = n
	at, _ := slices.BinarySearchFunc(v.order, name, func(n *node, name string) int {
		return cmp.Compare(n.member.Name, name)
	})
	v.order = slices.Insert(v.order, at, n)
	return n
}
