package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/storer"
)

// formerHeadPrefix is the key prefix of replaced heads, which 'bundle prune' reads.
const formerHeadPrefix = "bundle/past/"

// formerHead is a bundle head that was active until it was replaced.
type formerHead struct {
	Head     bundler.Head `json:"head"`
	Replaced time.Time    `json:"replaced"`
}

// Check implements [checker.Checker].
func (p formerHead) Check() error { return p.Head.Check() }

// formerHeadKey pads the version with zeros, so that keys sort by version.
func formerHeadKey(version uint64) string { return fmt.Sprintf("%s%020d", formerHeadPrefix, version) }

// archiveHead stores a head that is about to be replaced. If the replacement fails,
// the next one overwrites the object with its own time.
func archiveHead(ctx context.Context, p platformClient, head bundler.Head) error {
	if head.Version == 0 {
		return nil
	}
	body, err := checker.Encode(formerHead{head, time.Now().UTC()})
	if err != nil {
		return err
	}
	return rewriteObject(ctx, p, formerHeadKey(head.Version), body)
}

// rewriteObject writes an object so that its version is newer than the start of the
// call. It rewrites an existing object even if the content is the same: 'bundle
// prune' deletes by version, so its delete fails if it listed the object before.
func rewriteObject(ctx context.Context, p platformClient, key string, body []byte) error {
	var version uint64
	var last error
	for range maxWriteAttempts {
		_, last = p.Put(ctx, key, body, version)
		if last == nil {
			return nil
		}
		if !errors.Is(last, storer.ErrConflict) && !errors.Is(last, storer.ErrUncertain) {
			return last
		}
		item, err := p.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrAbsent) {
			return err
		}
		version = item.Version
	}
	return fmt.Errorf("%w: %s was changed during each of %d attempts: %w", errConflict, key, maxWriteAttempts, last)
}
