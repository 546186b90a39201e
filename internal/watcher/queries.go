package watcher

import "time"

func (v *View) answer(now time.Time, q Query) answer {
	var a answer
	var suspected []*Member
	for _, n := range v.order {
		if !n.registered || n.member.Role != Side || !q.matches(n.member) || n.stops() || v.gone(n) {
			continue
		}
		if !n.suspected(now) {
			a.members = append(a.members, n.member)
			continue
		}
		suspected = append(suspected, n.member)
		if end := n.failed.Add(suspectTime); a.until.IsZero() || end.Before(a.until) {
			a.until = end
		}
	}
	if len(a.members) == 0 {
		a.members = suspected
	}
	return a
}

// Entries returns the entries of a region, or of one of its data centres if
// centre is not empty. Leaving and gone entries are left out.
func (v *View) Entries(region, centre string) []*Member {
	var list []*Member
	for _, n := range v.order {
		m := n.member
		if m.Role != Entry || m.Region != region || centre != "" && m.Centre != centre {
			continue
		}
		if (n.registered || n.listed) && !n.stops() && !v.gone(n) {
			list = append(list, m)
		}
	}
	return list
}

// Suspected returns the names of the instances whose last dial failed recently.
func (v *View) Suspected(now time.Time) []string {
	var names []string
	for _, n := range v.order {
		if n.suspected(now) {
			names = append(names, n.member.Name)
		}
	}
	return names
}

// Leaving reports whether an instance is known to be leaving.
func (v *View) Leaving(name string) bool {
	n, ok := v.nodes[name]
	return ok && n.stops()
}

// Gone reports whether an instance was absent from all lists of [goneAfter].
func (v *View) Gone(name string) bool {
	if n, ok := v.nodes[name]; ok {
		return v.gone(n)
	}
	return !v.firstList.IsZero() && v.lastList.Sub(v.firstList) >= goneAfter
}

// Get returns what is known about an instance.
func (v *View) Get(name string) (Member, bool) {
	n, ok := v.nodes[name]
	if !ok {
		return Member{}, false
	}
	return *n.member, true
}

func (v *View) gone(n *node) bool {
	return !n.listed && !n.absent.IsZero() && v.lastList.Sub(n.absent) >= goneAfter
}

func (n *node) stops() bool { return n.leaving || n.listLeaves }

func (n *node) suspected(now time.Time) bool {
	return !n.failed.IsZero() && now.Sub(n.failed) < suspectTime
}
