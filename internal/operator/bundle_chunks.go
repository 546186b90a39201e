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

// chunkPages is the number of lists that read all chunks. The first byte of the
// hash selects one, so that each stays small at planned size.
const chunkPages = 256

// listChunks returns all chunks by key.
func listChunks(ctx context.Context, p platform) (map[string]storer.Item, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCalls)
	var mu sync.Mutex
	all := make(map[string]storer.Item)
	for page := range chunkPages {
		group.Go(func() error {
			items, err := p.List(ctx, fmt.Sprintf("%s%02x", syncer.ChunkPrefix, page))
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

func decodePast(item storer.Item) (past, error) {
	v, err := checker.Decode[past](item.Body)
	if err != nil {
		return v, fmt.Errorf("former version %s: %w", item.Key, err)
	}
	return v, nil
}

// neededChunks returns the keys of the chunks that the heads need. Chunks of
// the first level are read, because they can list others. Of a former version
// they can be missing, if an earlier prune kept fewer versions.
func neededChunks(ctx context.Context, p platform, listed map[string]storer.Item, head bundler.Head, former []bundler.Head) (map[string]struct{}, error) {
	parts := make(bundler.Parts)
	needed := make(map[string]struct{})
	for i, h := range append([]bundler.Head{head}, former...) {
		for _, hash := range h.Chunks {
			err := addChunk(ctx, p, listed, parts, hash)
			if errors.Is(err, storer.ErrAbsent) && i > 0 {
				continue
			}
			if err != nil {
				return nil, fmt.Errorf("chunk of version %d: %w", h.Version, err)
			}
		}
		for _, hash := range slices.Concat(h.Chunks, parts.Missing(h)) {
			needed[syncer.ChunkPrefix+hash] = struct{}{}
		}
	}
	for hash := range maps.Keys(parts) {
		needed[syncer.ChunkPrefix+hash] = struct{}{}
	}
	return needed, nil
}

func addChunk(ctx context.Context, p platform, listed map[string]storer.Item, parts bundler.Parts, hash string) error {
	if _, ok := parts[hash]; ok {
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
	return parts.Add(hash, item.Body)
}

// deleteAll deletes the objects whose version is still the listed one and
// returns their number. One whose answer was lost is left to the next prune.
func deleteAll(ctx context.Context, p platform, items []storer.Item) (int, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCalls)
	pace := rate.NewLimiter(deleteRate, maxCalls)
	var deleted atomic.Int64
	for _, item := range items {
		group.Go(func() error {
			if err := pace.Wait(ctx); err != nil {
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
