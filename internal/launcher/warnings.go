package launcher

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

// warningStore keeps the warnings about requests that end targets beside the
// registrations. It implements [recorder.Store].
type warningStore struct{ platform *storer.Client }

// Put implements [recorder.Store].
func (s warningStore) Put(ctx context.Context, _, name string, body []byte, version uint64) (storer.Item, error) {
	next, err := s.platform.Put(ctx, watcher.WarningPrefix+name, body, version)
	if err != nil {
		return current(name, err)
	}
	return storer.Item{Key: name, Version: next, Body: body}, nil
}

// Remove implements [recorder.Store].
func (s warningStore) Remove(ctx context.Context, _, name string, version uint64) (storer.Item, error) {
	if err := s.platform.Delete(ctx, watcher.WarningPrefix+name, version); err != nil {
		return current(name, err)
	}
	return storer.Item{}, nil
}

// current returns the current object if a write failed because of it.
func current(name string, err error) (storer.Item, error) {
	err = fmt.Errorf("warning %s: %w", name, err)
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return storer.Item{}, err
	}
	if conflict.Version == 0 {
		return storer.Item{}, fmt.Errorf("%w: %w", storer.ErrAbsent, err)
	}
	return storer.Item{Key: name, Version: conflict.Version, Body: conflict.Body}, err
}
