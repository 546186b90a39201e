package accountant

import (
	"context"
	"maps"
	"sync"

	"daisylane/internal/follower"
	"daisylane/internal/storer"
)

// countedStore counts calls and what they read, for the account of a recovery in the log.
type countedStore struct {
	Store
	mu     sync.Mutex
	counts map[string]int
}

func (s *countedStore) add(key string, calls int, items ...storer.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key] += calls
	for _, item := range items {
		s.counts["objects"]++
		s.counts["bytes"] += len(item.Body)
	}
}

// take returns the counts since the last call.
func (s *countedStore) take() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := maps.Clone(s.counts)
	clear(s.counts)
	return counts
}

// Get implements [Store].
func (s *countedStore) Get(ctx context.Context, kind, name string) (storer.Item, error) {
	item, err := s.Store.Get(ctx, kind, name)
	if err != nil {
		s.add("get "+kind, 1)
		return item, err
	}
	s.add("get "+kind, 1, item)
	return item, nil
}

// List implements [Store]. A list of many objects takes several calls.
func (s *countedStore) List(ctx context.Context, kind string) ([]storer.Item, follower.Position, error) {
	items, at, err := s.Store.List(ctx, kind)
	s.add("list "+kind, 1, items...)
	return items, at, err
}

// ListStale implements [Store].
func (s *countedStore) ListStale(ctx context.Context, kind string) ([]storer.Item, follower.Position, error) {
	items, at, err := s.Store.ListStale(ctx, kind)
	s.add("list stale "+kind, 1, items...)
	return items, at, err
}

// Put implements [Store].
func (s *countedStore) Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error) {
	s.add("put "+kind, 1)
	return s.Store.Put(ctx, kind, name, body, version)
}
