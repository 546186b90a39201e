// Package locator keeps the membership view of a process up to date.
//
// It registers the process as object member/<role>/<instance>, watches the
// registrations of other processes and polls the platform's instance list. During a
// platform outage the last view stays in use; failed dials and refusals of leaving
// sides still update it.
//
// # Usage
//
//	l := locator.New(platform, self)
//	err := l.Register(ctx)
//	go l.Run(ctx)
//	entries := l.Entries(region, "")
package locator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

const (
	defaultListInterval = 5 * time.Second
	watchWait           = 25 * time.Second
	retryInterval       = time.Second
)

// Platform is the part of the platform client that the locator uses.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Item, uint64, error)
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// Locator maintains the membership view of a process. It is safe for concurrent use.
type Locator struct {
	platform Platform
	self     watcher.Member
	interval time.Duration
	log      zerolog.Logger
	now      func() time.Time

	mu                  sync.Mutex
	view                *watcher.View
	members             map[string]watcher.Registration // by full instance name
	addrs               map[string]string               // address to full instance name
	instanceList        []storer.Instance
	registrationsListed bool // the registrations were listed at least once

	warnings WarningHandler
}

// WarningHandler receives the warnings about requests that end targets, which are stored
// beside the registrations. The calls are sequential.
type WarningHandler interface {
	Listed(items []storer.Item)
	Changed(changes []follower.Change)
}

type noWarnings struct{}

func (noWarnings) Listed([]storer.Item)      {}
func (noWarnings) Changed([]follower.Change) {}

// Option configures a locator.
type Option func(*Locator)

// WithLogger sets the logger. The default discards events.
func WithLogger(log zerolog.Logger) Option { return func(l *Locator) { l.log = log } }

// WithListInterval sets the interval between reads of the instance list.
func WithListInterval(d time.Duration) Option { return func(l *Locator) { l.interval = d } }

// WithWarnings sets what receives the stored warnings. Their keys are passed on without
// [watcher.WarningPrefix].
func WithWarnings(h WarningHandler) Option { return func(l *Locator) { l.warnings = h } }

// New returns a locator for the process that self describes.
func New(platform Platform, self watcher.Member, opts ...Option) *Locator {
	l := &Locator{
		platform: platform,
		self:     self,
		interval: defaultListInterval,
		log:      zerolog.Nop(),
		now:      time.Now,
		view:     watcher.New(),
		members:  make(map[string]watcher.Registration),
		addrs:    make(map[string]string),
		warnings: noWarnings{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Register writes the registration of this process. If the result of the write is
// unknown, it reads the object back: the key is unique to the process, so an existing
// object is its own registration.
func (l *Locator) Register(ctx context.Context) error {
	body, err := checker.Encode(l.self)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	key := watcher.Key(l.self.Role, l.self.Name)
	_, err = l.platform.Put(ctx, key, body, 0)
	if err == nil || errors.Is(err, storer.ErrConflict) {
		return nil
	}
	if errors.Is(err, storer.ErrUncertain) {
		_, err = l.platform.Get(ctx, key)
	}
	if err != nil {
		return fmt.Errorf("register %s: %w", key, err)
	}
	return nil
}

// Deregister deletes the registration during a graceful shutdown.
func (l *Locator) Deregister(ctx context.Context) error {
	key := watcher.Key(l.self.Role, l.self.Name)
	item, err := l.platform.Get(ctx, key)
	if errors.Is(err, storer.ErrAbsent) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("deregister %s: %w", key, err)
	}
	if err := l.platform.Delete(ctx, key, item.Version); err != nil && !errors.Is(err, storer.ErrUncertain) {
		return fmt.Errorf("deregister %s: %w", key, err)
	}
	return nil
}

// Run keeps the view up to date until the context ends.
func (l *Locator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.watchMembers(ctx) })
	wg.Go(func() { l.listInstances(ctx) })
	wg.Wait()
}

func (l *Locator) watchMembers(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = l.listMembers(ctx)
		} else {
			after, err = l.watchOnce(ctx, after)
		}
		if err != nil {
			after = 0 // changes may have been missed, so list again
		}
		if err != nil && ctx.Err() == nil {
			l.log.Warn().Err(err).Msg("registrations not read; retrying")
			sleep(ctx, retryInterval)
		}
	}
}

// listMembers reads all registrations and returns the revision to watch from. The
// highest version in the listing is a safe start, because every change after the
// listing has a higher version.
func (l *Locator) listMembers(ctx context.Context) (uint64, error) {
	items, err := l.platform.List(ctx, watcher.KeyPrefix)
	if err != nil {
		return 0, fmt.Errorf("list registrations: %w", err)
	}
	after := uint64(1)
	var list []watcher.Registration
	var warnings []storer.Item
	for _, item := range items {
		after = max(after, item.Version)
		if name, ok := strings.CutPrefix(item.Key, watcher.WarningPrefix); ok {
			item.Key = name
			warnings = append(warnings, item)
			continue
		}
		m, err := watcher.ParseMember(item.Body)
		if err != nil {
			l.log.Warn().Str("key", item.Key).Err(err).Msg("invalid registration ignored")
			continue
		}
		list = append(list, watcher.Registration{Member: m, Version: item.Version})
	}
	l.replaceRegistrations(list)
	l.warnings.Listed(warnings)
	return after, nil
}

// replaceRegistrations replaces all known registrations with a complete listing, after
// a start or after a watch that may have missed changes.
func (l *Locator) replaceRegistrations(list []watcher.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.members)
	clear(l.addrs)
	for _, r := range list {
		l.members[r.Member.Name] = r
		l.addrs[r.Member.Addr] = r.Member.Name
	}
	l.view.ReplaceRegistrations(l.now(), list)
	l.registrationsListed = true
	l.applyInstanceList()
}

func (l *Locator) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	items, revision, err := l.platform.Watch(ctx, watcher.KeyPrefix, after, watchWait)
	if err != nil {
		return after, fmt.Errorf("watch registrations: %w", err)
	}
	var warnings []follower.Change
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, watcher.WarningPrefix); ok {
			deleted := item.Version == 0
			if deleted {
				item.Version = revision
			}
			item.Key = name
			warnings = append(warnings, follower.Change{Item: item, Deleted: deleted})
			continue
		}
		l.applyRegistration(item)
	}
	if len(warnings) > 0 {
		l.warnings.Changed(warnings)
	}
	return revision, nil
}

// applyRegistration records one changed registration. An empty body means that the
// object was deleted.
func (l *Locator) applyRegistration(item storer.Item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := item.Key[strings.LastIndexByte(item.Key, '/')+1:]
	if len(item.Body) == 0 {
		l.view.Remove(name, item.Version)
		if r, ok := l.members[name]; ok {
			delete(l.members, name)
			if l.addrs[r.Member.Addr] == name {
				delete(l.addrs, r.Member.Addr)
			}
		}
		return
	}
	m, err := watcher.ParseMember(item.Body)
	if err != nil {
		l.log.Warn().Str("key", item.Key).Err(err).Msg("invalid registration ignored")
		return
	}
	l.members[m.Name] = watcher.Registration{Member: m, Version: item.Version}
	l.addrs[m.Addr] = m.Name
	l.view.Register(l.now(), m, item.Version)
	l.applyInstanceList()
}

func (l *Locator) listInstances(ctx context.Context) {
	for ctx.Err() == nil {
		rows, err := l.platform.Instances(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			l.log.Warn().Err(err).Msg("instance list not read; retrying")
		default:
			l.mu.Lock()
			l.instanceList = rows
			l.applyInstanceList()
			l.mu.Unlock()
		}
		sleep(ctx, l.interval)
	}
}

// applyInstanceList passes the instance list to the view with full instance names. The
// platform lists a machine by the name in its settings; this name refers to the newest
// incarnation that registered under it. Older incarnations are treated as absent. The
// caller holds mu.
func (l *Locator) applyInstanceList() {
	if l.instanceList == nil {
		return
	}
	newest := make(map[string]watcher.Registration)
	for _, r := range l.members {
		base := watcher.BaseName(r.Member.Name)
		if known, ok := newest[base]; !ok || r.Version > known.Version {
			newest[base] = r
		}
	}
	listed := make([]watcher.ListRow, 0, len(l.instanceList))
	for _, row := range l.instanceList {
		name := row.Name
		if r, ok := newest[name]; ok {
			name = r.Member.Name
		}
		listed = append(listed, watcher.ListRow{
			Name: name, Role: row.Role, Centre: row.Centre, Region: row.Region, Addr: row.Addr, State: string(row.State),
		})
	}
	l.view.SetList(l.now(), listed)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
