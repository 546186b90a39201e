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

func (m *memory[K]) at(k K) (at time.Time, ok bool) {
	if at, ok = m.newer[k]; !ok {
		at, ok = m.older[k]
	}
	return at, ok
}

// counts counts how often something happened to each of many keys. It forgets the oldest ones
// when there are too many.
type counts[K comparable] struct {
	newer, older map[K]int
}

func newCounts[K comparable]() counts[K] { return counts[K]{newer: make(map[K]int)} }

// of returns the count of a key.
func (c *counts[K]) of(k K) int {
	if n, ok := c.newer[k]; ok {
		return n
	}
	return c.older[k]
}

func (c *counts[K]) add(k K) {
	n := c.of(k) + 1
	if _, ok := c.newer[k]; !ok && len(c.newer) >= maxAnswered {
		c.newer, c.older = make(map[K]int), c.newer
	}
	c.newer[k] = n
}

// remove takes back an add.
func (c *counts[K]) remove(k K) {
	switch n := c.of(k); {
	case n == 0: // forgotten
	case c.newer[k] == n:
		c.newer[k] = n - 1
	default:
		c.older[k] = n - 1
	}
}
