package executor

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"daisylane/internal/checker"
	"daisylane/internal/fencer"
	"daisylane/internal/reclaimer"
	"daisylane/internal/recoverer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

// ObjectStore is the part of the platform client that a [PlatformRegistry] uses.
type ObjectStore interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
}

// PlatformRegistry implements [Registry] and [EntryLister] on the objects of the
// platform.
type PlatformRegistry struct {
	objects ObjectStore
}

// NewPlatformRegistry returns a registry that uses the given objects.
func NewPlatformRegistry(objects ObjectStore) *PlatformRegistry {
	return &PlatformRegistry{objects: objects}
}

// Register creates the registration. It is idempotent, so it can be retried after a
// lost response.
func (r *PlatformRegistry) Register(ctx context.Context, m watcher.Member) error {
	body, err := checker.Encode(m)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	key := watcher.Key(m.Role, m.Name)
	if _, err = r.objects.Put(ctx, key, body, 0); err == nil {
		return nil
	}
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
		return fmt.Errorf("create registration: %w", err)
	}
	item, getErr := r.objects.Get(ctx, key)
	if getErr != nil {
		return fmt.Errorf("read existing registration: %w", getErr)
	}
	if !bytes.Equal(item.Body, body) {
		return fmt.Errorf("registration %s belongs to another process: %w", key, err)
	}
	return nil
}

// ClosedHolders returns the names of the closed holders.
func (r *PlatformRegistry) ClosedHolders(ctx context.Context) ([]string, error) {
	prefix := recoverer.ClosureKey("")
	items, err := r.objects.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list closures: %w", err)
	}
	closed := make([]string, 0, len(items))
	for _, item := range items {
		closed = append(closed, strings.TrimPrefix(item.Key, prefix))
	}
	return closed, nil
}

// Revocations returns the tables of revoked reservations by holder.
func (r *PlatformRegistry) Revocations(ctx context.Context) (map[string]reclaimer.Table, error) {
	items, err := r.objects.List(ctx, reclaimer.TablePrefix)
	if err != nil {
		return nil, fmt.Errorf("list revoked reservations: %w", err)
	}
	tables := make(map[string]reclaimer.Table, len(items))
	for _, item := range items {
		t, err := checker.Decode[reclaimer.Table](item.Body)
		if err != nil {
			return nil, fmt.Errorf("decode revoked reservations %s: %w", item.Key, err)
		}
		tables[strings.TrimPrefix(item.Key, reclaimer.TablePrefix)] = t
	}
	return tables, nil
}

// LatestOrderNumber returns the number of the newest order to a target, or 0 if there
// is none. Its error texts are sent to the operator in refusals.
func (r *PlatformRegistry) LatestOrderNumber(ctx context.Context, target string) (uint64, error) {
	item, err := r.objects.Get(ctx, fencer.Key(target))
	if errors.Is(err, storer.ErrAbsent) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the number of the newest order: %w", err)
	}
	f, err := checker.Decode[fencer.Fence](item.Body)
	if err != nil {
		return 0, fmt.Errorf("newest order %s: %w", item.Key, err)
	}
	return f.Number, nil
}

// Deregister deletes the registration. It does nothing if there is none.
func (r *PlatformRegistry) Deregister(ctx context.Context, m watcher.Member) error {
	key := watcher.Key(m.Role, m.Name)
	item, err := r.objects.Get(ctx, key)
	if err == nil {
		err = r.objects.Delete(ctx, key, item.Version)
	}
	if err != nil && !errors.Is(err, storer.ErrAbsent) {
		return fmt.Errorf("delete registration: %w", err)
	}
	return nil
}

// Entries returns the registered entries of a region.
func (r *PlatformRegistry) Entries(ctx context.Context, region string) ([]watcher.Member, error) {
	items, err := r.objects.List(ctx, watcher.Key(watcher.Entry, ""))
	if err != nil {
		return nil, fmt.Errorf("list entries: %w", err)
	}
	var members []watcher.Member
	for _, item := range items {
		// An entry of another program version may write a registration that this
		// version cannot decode. It is skipped so that the others remain usable.
		m, err := checker.Decode[watcher.Member](item.Body)
		if err == nil && m.Region == region {
			members = append(members, m)
		}
	}
	return members, nil
}

// registration returns the registration of the side, which listens at addr.
func (s *Side) registration(addr string) watcher.Member {
	if s.cfg.Advertise != "" {
		addr = s.cfg.Advertise
	}
	t := s.cfg.Target
	return watcher.Member{
		Name: s.instance, Role: watcher.Side, Centre: s.cfg.Centre, Region: s.cfg.Region, Addr: addr,
		Target: t.Name, Kind: t.Kind, Model: t.Model, Adapters: t.Adapters,
	}
}
