package faker

import (
	"cmp"
	"container/list"
	"slices"
)

// queue hands out slots by priority, then in order of arrival.
type queue struct {
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

func (q *queue) enter(priority int) *waiter {
	w := &waiter{priority, make(chan struct{})}
	q.waiting = append(q.waiting, w)
	slices.SortStableFunc(q.waiting, func(a, b *waiter) int { return cmp.Compare(a.priority, b.priority) })
	q.serve()
	return w
}

// leave gives back the slot of w, or its place in the queue.
func (q *queue) leave(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.free++
	q.serve()
}

func (q *queue) serve() {
	for q.free > 0 && len(q.waiting) > 0 {
		close(q.waiting[0].ready)
		q.waiting = q.waiting[1:]
		q.free--
	}
}

// cache keeps the most recently used prefix blocks.
type cache struct {
	limit int
	order *list.List
	byKey map[uint64]*list.Element
}

func newCache(limit int) cache {
	return cache{limit, list.New(), make(map[uint64]*list.Element)}
}

func (c *cache) size() int { return c.order.Len() }

// touch returns how many leading blocks were cached and caches all of them.
func (c *cache) touch(blocks []uint64) int {
	hits := 0
	for i, b := range blocks {
		if el, ok := c.byKey[b]; ok {
			c.order.MoveToFront(el)
			if hits == i {
				hits++
			}
			continue
		}
		c.byKey[b] = c.order.PushFront(b)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.byKey, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return hits
}
