package quarantiner

// memory remembers a value for each of many keys. It forgets the keys that were changed first
// when there are too many.
type memory[K comparable, V any] struct {
	newer, older map[K]V
}

func newMemory[K comparable, V any]() memory[K, V] {
	return memory[K, V]{newer: make(map[K]V)}
}

func (m *memory[K, V]) put(k K, v V) {
	if _, ok := m.newer[k]; !ok && len(m.newer) >= maxAnswered {
		m.newer, m.older = make(map[K]V), m.newer
	}
	m.newer[k] = v
}

// at returns the value of a key.
func (m *memory[K, V]) at(k K) (v V, ok bool) {
	if v, ok = m.newer[k]; !ok {
		v, ok = m.older[k]
	}
	return v, ok
}

// counts counts how often something happened to each of many keys.
type counts[K comparable] struct{ memory[K, int] }

func newCounts[K comparable]() counts[K] { return counts[K]{newMemory[K, int]()} }

// of returns the count of a key.
func (c *counts[K]) of(k K) int {
	n, _ := c.at(k)
	return n
}

func (c *counts[K]) add(k K) { c.put(k, c.of(k)+1) }

// remove takes back an add. It does not make the key a recent one.
func (c *counts[K]) remove(k K) {
	switch n := c.of(k); {
	case n == 0: // forgotten
	case c.newer[k] == n:
		c.newer[k] = n - 1
	default:
		c.older[k] = n - 1
	}
}
