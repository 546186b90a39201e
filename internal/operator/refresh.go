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

// pastPrefix has the heads that were replaced, for 'bundle prune'.
const pastPrefix = "bundle/past/"

// past is a head that was in force.
type past struct {
	Head     bundler.Head `json:"head"`
	Replaced time.Time    `json:"replaced"`
}

// Check implements [checker.Checker].
func (p past) Check() error { return p.Head.Check() }

// pastKey has leading zeros, so that keys are in the order of versions.
func pastKey(version uint64) string { return fmt.Sprintf("%s%020d", pastPrefix, version) }

// archive keeps a head that is about to be replaced. If the replacement fails,
// a later one writes the object again with its own time.
func archive(ctx context.Context, p platform, head bundler.Head) error {
	if head.Version == 0 {
		return nil
	}
	body, err := checker.Encode(past{head, time.Now().UTC()})
	if err != nil {
		return err
	}
	return refresh(ctx, p, pastKey(head.Version), body)
}

// refresh writes an object so that its version is newer than the call. An
// existing object with the same content is written again: 'bundle prune' deletes
// by version, so that it fails for an object that was listed before.
func refresh(ctx context.Context, p platform, key string, body []byte) error {
	var version uint64
	var last error
	for range maxUpdates {
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
	return fmt.Errorf("%w: %s was changed during each of %d attempts: %w", errConflict, key, maxUpdates, last)
}
