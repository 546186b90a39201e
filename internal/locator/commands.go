package locator

import "daisylane/internal/watcher"

// MarkLeaving records that a side has announced that it is leaving.
func (l *Locator) MarkLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.MarkLeaving(name)
}

// RecordDial records the result of a dial to an address.
func (l *Locator) RecordDial(addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if name, ok := l.addrs[addr]; ok {
		l.view.RecordDial(l.now(), name, err == nil)
	}
}

// Add records an instance that is known from another source than the platform, for
// example a peer from the settings during a platform outage. It does not replace an
// existing registration.
func (l *Locator) Add(m watcher.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.members[m.Name]; ok {
		return
	}
	l.members[m.Name] = watcher.Registration{Member: m}
	l.addrs[m.Addr] = m.Name
	l.view.Register(l.now(), m, 1)
}
