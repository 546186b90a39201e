package locator

import (
	"slices"

	"daisylane/internal/watcher"
)

// Self returns the registration of this process.
func (l *Locator) Self() watcher.Member { return l.self }

// Ready reports whether the registrations were listed at least once.
func (l *Locator) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registrationsListed
}

// Candidates returns the targets that match the query and may receive requests.
func (l *Locator) Candidates(q watcher.Query) []*watcher.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Candidates(l.now(), q)
}

// Entries returns the entries of a region, or of one of its data centres if centre is
// not empty. It leaves out entries whose last dial failed recently, except this
// process itself.
func (l *Locator) Entries(region, centre string) []*watcher.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspected := l.view.Suspected(l.now())
	entries := l.view.Entries(region, centre)
	return slices.DeleteFunc(slices.Clone(entries), func(m *watcher.Member) bool {
		return m.Name != l.self.Name && slices.Contains(suspected, m.Name)
	})
}

// Registered returns all registered instances of a role, including suspected and
// leaving ones.
func (l *Locator) Registered(role string) []watcher.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []watcher.Member
	for _, r := range l.members {
		if r.Member.Role == role {
			list = append(list, r.Member)
		}
	}
	return list
}

// Get returns the registration of an instance in the view.
func (l *Locator) Get(name string) (watcher.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Get(name)
}

// IsGone reports whether an instance has been absent from the instance list long enough
// to count as removed.
func (l *Locator) IsGone(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.IsGone(name)
}

// IsSuspected reports whether the last dial to an instance failed recently.
func (l *Locator) IsSuspected(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.view.Suspected(l.now()), name)
}
