package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"

	"golang.org/x/sync/errgroup"

	"daisylane/internal/bundler"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
)

// maxConcurrentCalls is the maximum number of concurrent calls to the platform.
const maxConcurrentCalls = 8

// baseVersionLine matches the first line of the output of 'bundle show', from which
// 'bundle push' detects the version that an edited file is based on.
var baseVersionLine = regexp.MustCompile(`^# version (\d+) `)

func parseBaseVersion(data []byte) (uint64, bool) {
	m := baseVersionLine.FindSubmatch(data)
	if m == nil {
		return 0, false
	}
	n, err := strconv.ParseUint(string(m[1]), 10, 64)
	return n, err == nil
}

func readBundle(file string) (bundler.Bundle, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return bundler.Bundle{}, nil, fmt.Errorf("read bundle: %w", err)
	}
	b, err := bundler.Parse(data)
	if err != nil {
		return b, nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, data, nil
}

// published is the active bundle.
type published struct {
	head          bundler.Head
	objectVersion uint64 // version of the head object
	bundle        bundler.Bundle
	chunks        bundler.ChunkStore
}

// readPublished reads and verifies the active bundle. If there is none, the head
// has version 0.
func readPublished(ctx context.Context, p platformClient, trust bundler.TrustedKeys) (published, error) {
	head, stored, err := readHead(ctx, p)
	if err != nil || head.Version == 0 {
		return published{}, err
	}
	if err := bundler.Verify(head, trust); err != nil {
		return published{}, fmt.Errorf("bundle in force: %w; add the author to [trust] in the settings", err)
	}
	chunks := make(bundler.ChunkStore)
	for missing := chunks.Missing(head); len(missing) > 0; missing = chunks.Missing(head) {
		if err := fetchChunks(ctx, p, chunks, missing); err != nil {
			return published{}, err
		}
	}
	b, err := chunks.Merge(head)
	if err != nil {
		return published{}, err
	}
	return published{head, stored, b, chunks}, nil
}

func readHead(ctx context.Context, p platformClient) (bundler.Head, uint64, error) {
	item, err := p.Get(ctx, syncer.HeadKey)
	if errors.Is(err, storer.ErrAbsent) {
		return bundler.Head{}, 0, nil
	}
	if err != nil {
		return bundler.Head{}, 0, fmt.Errorf("read bundle head: %w", err)
	}
	head, err := bundler.DecodeHead(item.Body)
	return head, item.Version, err
}

func fetchChunks(ctx context.Context, p platformClient, chunks bundler.ChunkStore, hashes []string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	var mu sync.Mutex
	for _, hash := range hashes {
		group.Go(func() error {
			item, err := p.Get(ctx, syncer.ChunkPrefix+hash)
			if err != nil {
				return fmt.Errorf("read bundle chunk: %w", err)
			}
			mu.Lock()
			defer mu.Unlock()
			return chunks.Add(hash, item.Body)
		})
	}
	return group.Wait()
}
