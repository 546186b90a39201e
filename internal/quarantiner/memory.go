package quarantiner

import "time"

// memory remembers when something last happened to each of many keys. It forgets the
// oldest ones when there are too many.
type memory[K comparable] struct {
	newer, older map[K]time.Time
}

func newMemory[K comparable]() memory[K] { return memory[K]{newer: make(map[K]time.Time)} }

func (m *memory[K]) add(now time.Time, k K) {
	if _, ok := m.newer[k]; !ok && len(m.newer) >= maxAnswered {
		m.newer, m.older = make(map[K]time.Time), m.newer
	}
	m.newer[k] = now
}

// remove forgets a key if it was last added at the given time.
func (m *memory[K]) remove(at time.Time, k K) {
	if added, ok := m.newer[k]; ok && added.Equal(at) {
		delete(m.newer, k)
	}
}

func (m *memory[K]) at(k K) (at time.Time, ok bool) {
	if at, ok = m.newer[k]; !ok {
		at, ok = m.older[k]
	}
	return at, ok
}
