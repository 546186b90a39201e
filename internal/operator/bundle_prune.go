package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/bundler"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
)

const (
	pruneTimeout = 10 * time.Minute
	// deleteRate leaves most of the platform's write rate to the fleet.
	deleteRate = rate.Limit(50) // per second
)

// bundlePrune deletes chunks that no kept version refers to. It must not delete a
// chunk that a concurrent push reuses, at whatever point either of them is paused.
// It therefore
//
//  1. lists the chunks with their object versions;
//  2. rewrites the head object with the same head, so that each push that read
//     the head before fails to advance it and starts again;
//  3. deletes unreferenced chunks by their listed versions.
//
// A push that reads the head after step 2 then rewrites all chunks that the head
// does not have, hence after step 1, so the deletes of these chunks fail. Checking
// the chunks after the push advanced the head would not be enough, because the
// delete can come after the check. This requires that the object versions of a key
// never repeat, not even after a delete.
type bundlePrune struct {
	env  *env
	Keep int  `long:"keep" default:"100" value-name:"N" description:"number of versions to keep, including the active one"`
	Days int  `long:"days" default:"2" value-name:"N" description:"also keep versions that were active in the last N days"`
	Dry  bool `long:"dry" description:"only print what would be deleted"`
}

func newBundlePrune(env *env) any { return &bundlePrune{env: env} }

// pruneResult is the result of a prune.
type pruneResult struct {
	Versions int  `json:"versions"` // kept versions
	Chunks   int  `json:"chunks"`   // kept chunks
	Deleted  int  `json:"deleted"`  // deleted chunks
	Heads    int  `json:"heads"`    // deleted records of former versions
	Changed  int  `json:"changed"`  // objects kept because they were written after they were listed
	Dry      bool `json:"dry"`
}

// Execute implements [flags.Commander].
func (c *bundlePrune) Execute([]string) error {
	if c.Keep < 1 || c.Days < 0 {
		return fmt.Errorf("%w: --keep must be 1 or more, --days 0 or more", errUsage)
	}
	p, cfg, err := c.env.platform()
	if err != nil {
		return err
	}
	trust, err := bundler.ParseTrustedKeys(cfg.Trust)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pruneTimeout)
	defer cancel()
	r, err := c.prune(ctx, p, trust)
	if err != nil {
		return fmt.Errorf("prune: %w; retry the command", err)
	}
	return c.env.print(r, func(w io.Writer) {
		verb := "deleted"
		if r.Dry {
			verb = "would delete"
		}
		printLine(w, "%s %d chunks and the records of %d former versions; kept %d chunks of %d versions", verb, r.Deleted, r.Heads, r.Chunks, r.Versions)
		if r.Changed > 0 {
			printLine(w, "%d objects were written meanwhile and stay", r.Changed)
		}
	})
}

func (c *bundlePrune) prune(ctx context.Context, p platformClient, trust bundler.TrustedKeys) (pruneResult, error) {
	listed, err := listChunks(ctx, p)
	if err != nil {
		return pruneResult{}, err
	}
	head, err := c.rewriteHead(ctx, p, trust)
	if err != nil {
		return pruneResult{}, err
	}
	kept, expired, err := c.formerHeads(ctx, p)
	if err != nil {
		return pruneResult{}, err
	}
	needed, err := neededChunks(ctx, p, listed, head, kept)
	if err != nil {
		return pruneResult{}, err
	}
	unneeded := make([]storer.Item, 0)
	for key, item := range listed {
		if _, ok := needed[key]; !ok {
			unneeded = append(unneeded, item)
		}
	}
	r := pruneResult{Versions: 1 + len(kept), Chunks: len(listed) - len(unneeded), Dry: c.Dry}
	if c.Dry {
		r.Deleted, r.Heads = len(unneeded), len(expired)
		return r, nil
	}
	if r.Deleted, err = deleteAll(ctx, p, unneeded); err != nil {
		return r, err
	}
	if r.Heads, err = deleteAll(ctx, p, expired); err != nil {
		return r, err
	}
	r.Changed = len(unneeded) - r.Deleted + len(expired) - r.Heads
	return r, nil
}

// rewriteHead rewrites the head object and returns the head. After a conflict, which
// means that a push advanced the head, it reads the head again.
func (c *bundlePrune) rewriteHead(ctx context.Context, p platformClient, trust bundler.TrustedKeys) (bundler.Head, error) {
	var last error
	for range maxWriteAttempts {
		item, err := p.Get(ctx, syncer.HeadKey)
		if err != nil {
			return bundler.Head{}, fmt.Errorf("read bundle head: %w", err)
		}
		head, err := bundler.DecodeHead(item.Body)
		if err != nil {
			return head, err
		}
		if err := bundler.Verify(head, trust); err != nil {
			return head, fmt.Errorf("bundle in force: %w; add the author to [trust] in the settings", err)
		}
		if c.Dry {
			return head, nil
		}
		_, last = p.Put(ctx, syncer.HeadKey, item.Body, item.Version)
		if last == nil {
			return head, nil
		}
		if !errors.Is(last, storer.ErrConflict) && !errors.Is(last, storer.ErrUncertain) {
			break
		}
	}
	return bundler.Head{}, fmt.Errorf("rewrite bundle head: %w", last)
}

// formerHeads returns the former heads to keep, and the objects of expired ones.
func (c *bundlePrune) formerHeads(ctx context.Context, p platformClient) ([]bundler.Head, []storer.Item, error) {
	items, err := p.List(ctx, formerHeadPrefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list former versions: %w", err)
	}
	oldest := time.Now().AddDate(0, 0, -c.Days)
	var kept []bundler.Head
	var expired []storer.Item
	for i, item := range slices.Backward(items) {
		v, err := decodeFormerHead(item)
		if err != nil {
			return nil, nil, err
		}
		if newer := len(items) - 1 - i; newer < c.Keep-1 || v.Replaced.After(oldest) {
			kept = append(kept, v.Head)
		} else {
			expired = append(expired, item)
		}
	}
	return kept, expired, nil
}
