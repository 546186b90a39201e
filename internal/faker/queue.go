package faker

import (
	"cmp"
	"container/list"
	"slices"
)

// slotQueue assigns slots by priority, then in order of arrival.
type slotQueue struct {
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

func (q *slotQueue) enqueue(priority int) *waiter {
	w := &waiter{priority, make(chan struct{})}
	q.waiting = append(q.waiting, w)
	slices.SortStableFunc(q.waiting, func(a, b *waiter) int { return cmp.Compare(a.priority, b.priority) })
	q.assignSlots()
	return w
}

// release frees the slot of w, or removes w from the queue if it has none yet.
func (q *slotQueue) release(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.free++
	q.assignSlots()
}

func (q *slotQueue) assignSlots() {
	for q.free > 0 && len(q.waiting) > 0 {
		close(q.waiting[0].ready)
		q.waiting = q.waiting[1:]
		q.free--
	}
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	maxBlocks int
	recency   *list.List
	byKey     map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) prefixCache {
	return prefixCache{maxBlocks, list.New(), make(map[uint64]*list.Element)}
}

func (c *prefixCache) size() int { return c.recency.Len() }

// lookupAndInsert inserts all blocks and returns how many leading blocks were cached
// before.
func (c *prefixCache) lookupAndInsert(blocks []uint64) int {
	hits := 0
	for i, b := range blocks {
		if el, ok := c.byKey[b]; ok {
			c.recency.MoveToFront(el)
			if hits == i {
				hits++
			}
			continue
		}
		c.byKey[b] = c.recency.PushFront(b)
	}
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Back()
		delete(c.byKey, oldest.Value.(uint64))
		c.recency.Remove(oldest)
	}
	return hits
}
