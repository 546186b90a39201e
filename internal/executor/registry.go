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

// Objects is the part of the platform client that a registration needs.
type Objects interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
}

// PlatformRegistry keeps registrations and closures in the platform. It
// implements [Registry].
type PlatformRegistry struct {
	objects Objects
}

// NewPlatformRegistry returns a registry over the platform's objects.
func NewPlatformRegistry(objects Objects) *PlatformRegistry {
	return &PlatformRegistry{objects: objects}
}

// Register creates the registration. Repeating it after a lost response has no
// further effect.
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
		return fmt.Errorf("read registration back: %w", getErr)
	}
	if !bytes.Equal(item.Body, body) {
		return fmt.Errorf("registration %s belongs to another process: %w", key, err)
	}
	return nil
}

// Closures returns the closed instances.
func (r *PlatformRegistry) Closures(ctx context.Context) ([]string, error) {
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

// Revocations returns the tables of ended reservations by holder.
func (r *PlatformRegistry) Revocations(ctx context.Context) (map[string]reclaimer.Table, error) {
	items, err := r.objects.List(ctx, reclaimer.TablePrefix)
	if err != nil {
		return nil, fmt.Errorf("list ended reservations: %w", err)
	}
	tables := make(map[string]reclaimer.Table, len(items))
	for _, item := range items {
		t, err := checker.Decode[reclaimer.Table](item.Body)
		if err != nil {
			return nil, fmt.Errorf("ended reservations %s: %w", item.Key, err)
		}
		tables[strings.TrimPrefix(item.Key, reclaimer.TablePrefix)] = t
	}
	return tables, nil
}

// Fence returns the number of the newest order to a target, 0 if there is none.
func (r *PlatformRegistry) Fence(ctx context.Context, target string) (uint64, error) {
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

// Deregister deletes the registration.
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
		// A registration that cannot be read belongs to another version of the
		// program and does not hide the others.
		m, err := checker.Decode[watcher.Member](item.Body)
		if err == nil && m.Region == region {
			members = append(members, m)
		}
	}
	return members, nil
}

func (s *Side) member(addr string) watcher.Member {
	if s.cfg.Advertise != "" {
		addr = s.cfg.Advertise
	}
	t := s.cfg.Target
	return watcher.Member{
		Name: s.instance, Role: watcher.Side, Centre: s.cfg.Centre, Region: s.cfg.Region, Addr: addr,
		Target: t.Name, Kind: t.Kind, Model: t.Model, Adapters: t.Adapters,
	}
}
