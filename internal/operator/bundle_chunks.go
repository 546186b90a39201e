package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
)

// chunkPrefixes is the number of list calls that read all chunks, one for each value
// of the first byte of the hash. This keeps each list small at the planned size.
const chunkPrefixes = 256

// listChunks returns all chunks by key.
func listChunks(ctx context.Context, p platformClient) (map[string]storer.Item, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	var mu sync.Mutex
	all := make(map[string]storer.Item)
	for prefix := range chunkPrefixes {
		group.Go(func() error {
			items, err := p.List(ctx, fmt.Sprintf("%s%02x", syncer.ChunkPrefix, prefix))
			if err != nil {
				return fmt.Errorf("list bundle chunks: %w", err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, item := range items {
				all[item.Key] = item
			}
			return nil
		})
	}
	return all, group.Wait()
}

func decodeFormerHead(item storer.Item) (formerHead, error) {
	v, err := checker.Decode[formerHead](item.Body)
	if err != nil {
		return v, fmt.Errorf("former version %s: %w", item.Key, err)
	}
	return v, nil
}

// neededChunks returns the keys of the chunks that the heads refer to. First-level
// chunks are read, because they can list other chunks. Those of a former version
// can be missing if an earlier prune kept fewer versions.
func neededChunks(ctx context.Context, p platformClient, listed map[string]storer.Item, head bundler.Head, former []bundler.Head) (map[string]struct{}, error) {
	chunks := make(bundler.ChunkStore)
	needed := make(map[string]struct{})
	for i, h := range append([]bundler.Head{head}, former...) {
		for _, hash := range h.Chunks {
			err := addChunk(ctx, p, listed, chunks, hash)
			if errors.Is(err, storer.ErrAbsent) && i > 0 {
				continue
			}
			if err != nil {
				return nil, fmt.Errorf("chunk of version %d: %w", h.Version, err)
			}
		}
		for _, hash := range slices.Concat(h.Chunks, chunks.Missing(h)) {
			needed[syncer.ChunkPrefix+hash] = struct{}{}
		}
	}
	for hash := range maps.Keys(chunks) {
		needed[syncer.ChunkPrefix+hash] = struct{}{}
	}
	return needed, nil
}

func addChunk(ctx context.Context, p platformClient, listed map[string]storer.Item, chunks bundler.ChunkStore, hash string) error {
	if _, ok := chunks[hash]; ok {
		return nil
	}
	key := syncer.ChunkPrefix + hash
	item, ok := listed[key]
	if !ok {
		var err error
		if item, err = p.Get(ctx, key); err != nil {
			return err
		}
	}
	return chunks.Add(hash, item.Body)
}

// deleteAll deletes the objects that still have their listed version and returns
// the number of confirmed deletions. It skips objects that were changed or no longer
// exist. If a response was lost, the next prune deletes the object if it still
// exists.
func deleteAll(ctx context.Context, p platformClient, items []storer.Item) (int, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	limiter := rate.NewLimiter(deleteRate, maxConcurrentCalls)
	var deleted atomic.Int64
	for _, item := range items {
		group.Go(func() error {
			if err := limiter.Wait(ctx); err != nil {
				return fmt.Errorf("delete %s: %w", item.Key, err)
			}
			err := p.Delete(ctx, item.Key, item.Version)
			switch {
			case err == nil:
				deleted.Add(1)
			case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrAbsent), errors.Is(err, storer.ErrUncertain):
			default:
				return err
			}
			return nil
		})
	}
	err := group.Wait()
	return int(deleted.Load()), err
}
