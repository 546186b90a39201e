// Package recorder keeps records that all instances share, as objects in the store. Each
// record is changed on condition of its version. What the records mean is decided by the
// package that has them in a [Records].
//
// # Usage
//
//	crashes := recorder.NewGroup("crash", func(use func(recorder.Records[quarantiner.CrashRecord])) { ... })
//	r := recorder.New(store, log, crashes, limits)
//	go r.Run(ctx)
//	go follower.New(store, recorder.Kind, r).Run(ctx)
package recorder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// Kind is the kind of the stored objects.
const Kind = "warnings"

const (
	// minRetryDelay is the pause after a write that failed. It doubles up to maxRetryDelay, as a
	// store that is away for long gets a priced call from each instance otherwise.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// minConflictPause is the longest pause after a conflict, which doubles up to maxConflictPause
	// with each further one. The version that a conflict returns is current for a moment only, so
	// the write is repeated at once unless there were several conflicts.
	minConflictPause = time.Millisecond
	maxConflictPause = 400 * time.Millisecond
	// sweepInterval is how often writes without a signal are looked for.
	sweepInterval = 100 * time.Millisecond
)

// Record is a record with a name that is unique among those of its type.
type Record interface {
	checker.Checker
	Name() string
}

// Write is a change of a stored record.
type Write[R Record] struct {
	Name    string
	Record  R
	Version uint64 // of the stored record, 0: there is none
	Remove  bool
}

// Stored is a stored record with its version.
type Stored[R Record] struct {
	Record  R
	Version uint64
}

// Records decides about the records of one type.
type Records[R Record] interface {
	// Due returns the changes to be stored now. Written, Failed or Gone follows for each.
	Due(now time.Time) []Write[R]
	Written(now time.Time, w Write[R], version uint64)
	Failed(w Write[R])
	Gone(w Write[R]) // the record to be changed does not exist
	Observe(now time.Time, version uint64, r R)
	ObserveRemoved(name string, version uint64)
	// ObserveList takes over all records, also after the store went back to an older copy.
	ObserveList(now time.Time, list []Stored[R], restored bool)
}

// Store holds the records. Both writes are conditional on the version; with
// [storer.ErrConflict] they return the current object.
type Store interface {
	Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error)
	Remove(ctx context.Context, kind, name string, version uint64) (storer.Item, error)
}

// Reader reads single records.
type Reader interface {
	Get(ctx context.Context, kind, name string) (storer.Item, error)
}

// Group is the part of a [Recorder] for one type of records.
type Group interface {
	prefix() string
	store(ctx context.Context, s Store) (failed error, again bool)
	list(items []storer.Item, restored bool, log zerolog.Logger)
	change(c follower.Change, log zerolog.Logger)
}

// GroupOf is the group of the records of type R.
type GroupOf[R Record] struct {
	kind string
	with func(use func(Records[R]))
}

// NewGroup returns a group. The names of its objects begin with kind. with calls a function
// with the records while it holds their lock.
func NewGroup[R Record](kind string, with func(use func(Records[R]))) *GroupOf[R] {
	return &GroupOf[R]{kind: kind, with: with}
}

func (g *GroupOf[R]) prefix() string { return g.kind + "." }

// Get reads one record.
func (g *GroupOf[R]) Get(ctx context.Context, s Reader, name string) (Stored[R], error) {
	item, err := s.Get(ctx, Kind, g.prefix()+name)
	if err != nil {
		return Stored[R]{}, fmt.Errorf("read warning %s: %w", name, err)
	}
	r, err := g.decode(item)
	if err != nil {
		return Stored[R]{}, fmt.Errorf("decode warning %s: %w", name, err)
	}
	return Stored[R]{r, item.Version}, nil
}

// Put makes one write. With [storer.ErrConflict] it returns the current record, if the
// store sent it.
func (g *GroupOf[R]) Put(ctx context.Context, s Store, w Write[R]) (Stored[R], error) {
	var item storer.Item
	var err error
	if w.Remove {
		item, err = s.Remove(ctx, Kind, g.prefix()+w.Name, w.Version)
	} else {
		var body []byte
		if body, err = checker.Encode(w.Record); err != nil {
			return Stored[R]{}, fmt.Errorf("encode warning %s: %w", w.Name, err)
		}
		item, err = s.Put(ctx, Kind, g.prefix()+w.Name, body, w.Version)
	}
	switch {
	case err == nil:
		return Stored[R]{w.Record, item.Version}, nil
	case errors.Is(err, storer.ErrConflict) && len(item.Body) > 0:
		r, decodeErr := g.decode(item)
		if decodeErr != nil {
			return Stored[R]{}, errors.Join(err, decodeErr)
		}
		return Stored[R]{r, item.Version}, err
	}
	return Stored[R]{}, err
}

func (g *GroupOf[R]) decode(item storer.Item) (R, error) {
	r, err := checker.Decode[R](item.Body)
	if err == nil && g.prefix()+r.Name() != item.Key {
		err = fmt.Errorf("warning %s is stored as %s", r.Name(), item.Key)
	}
	return r, err
}

// store makes the writes that are due. A conflict is no failure: the current record is
// taken over, and the change is due again if it still matters.
func (g *GroupOf[R]) store(ctx context.Context, s Store) (failed error, again bool) {
	var due []Write[R]
	g.with(func(records Records[R]) { due = records.Due(time.Now()) })
	for _, w := range due {
		if unreachable(failed) {
			g.with(func(records Records[R]) { records.Failed(w) })
			continue
		}
		stored, err := g.Put(ctx, s, w)
		g.with(func(records Records[R]) {
			switch {
			case err == nil:
				records.Written(time.Now(), w, stored.Version)
			case errors.Is(err, storer.ErrAbsent):
				records.Gone(w)
				again = true
			case errors.Is(err, storer.ErrConflict) && stored.Version > 0:
				records.Failed(w)
				records.Observe(time.Now(), stored.Version, stored.Record)
				again = true
			default:
				records.Failed(w)
				failed = errors.Join(failed, err)
			}
		})
	}
	return failed, again
}

// unreachable reports whether the store did not respond, or refused the call because it is
// overloaded, so that other writes would fail too.
func unreachable(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUncertain)
}

func (g *GroupOf[R]) list(items []storer.Item, restored bool, log zerolog.Logger) {
	var list []Stored[R]
	for _, item := range items {
		if !strings.HasPrefix(item.Key, g.prefix()) {
			continue
		}
		r, err := g.decode(item)
		if err != nil {
			logInvalid(log, item, err)
			continue
		}
		list = append(list, Stored[R]{r, item.Version})
	}
	g.with(func(records Records[R]) { records.ObserveList(time.Now(), list, restored) })
}

func (g *GroupOf[R]) change(c follower.Change, log zerolog.Logger) {
	name, ok := strings.CutPrefix(c.Item.Key, g.prefix())
	if !ok {
		return
	}
	if c.Deleted {
		g.with(func(records Records[R]) { records.ObserveRemoved(name, c.Item.Version) })
		return
	}
	r, err := g.decode(c.Item)
	if err != nil {
		logInvalid(log, c.Item, err)
		return
	}
	g.with(func(records Records[R]) { records.Observe(time.Now(), c.Item.Version, r) })
}

func logInvalid(log zerolog.Logger, item storer.Item, err error) {
	log.Error().Err(err).Str("name", item.Key).Uint64("version", item.Version).Msg("stored warning is invalid; ignoring it")
}

// Recorder reads and writes the records of its groups. It implements [follower.Handler].
type Recorder struct {
	store  Store
	log    zerolog.Logger
	groups []Group
	signal chan struct{}
	// reconnected receives a value when the store responds again.
	reconnected chan struct{}
	restored    bool // used by the calls of the follower only
	onSync      func(now time.Time)
}

// New returns a recorder.
func New(store Store, log zerolog.Logger, groups ...Group) *Recorder {
	return &Recorder{store: store, log: log, groups: groups, signal: make(chan struct{}, 1), reconnected: make(chan struct{}, 1), onSync: func(time.Time) {}}
}

// Wake makes Run look for changes that are due.
func (r *Recorder) Wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Run stores changes of the records until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	delay, conflictPause := minRetryDelay, minConflictPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signal:
		case <-sweep.C:
		}
		var failed error
		again := false
		for _, s := range r.groups {
			if unreachable(failed) {
				break
			}
			err, repeat := s.store(ctx, r.store)
			failed, again = errors.Join(failed, err), again || repeat
		}
		switch {
		case failed != nil && ctx.Err() == nil:
			r.log.Warn().Err(failed).Msg("warning not stored; retrying")
			r.pause(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		case again:
			delay = minRetryDelay // the store responds
			waiter.Sleep(ctx, rand.N(conflictPause))
			conflictPause = min(2*conflictPause, maxConflictPause)
		default:
			delay, conflictPause = minRetryDelay, minConflictPause
			continue
		}
		r.Wake()
	}
}

// pause waits, but not longer than until the store responds again.
func (r *Recorder) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.reconnected:
	case <-timer.C:
	}
}

// Listed implements [follower.Handler].
func (r *Recorder) Listed(items []storer.Item) {
	for _, s := range r.groups {
		s.list(items, r.restored, r.log)
	}
	r.restored = false
	r.Wake()
}

// Changed implements [follower.Handler].
func (r *Recorder) Changed(changes []follower.Change) {
	for _, c := range changes {
		for _, s := range r.groups {
			s.change(c, r.log)
		}
	}
	r.Wake()
}

// Disconnected implements [follower.Handler].
func (r *Recorder) Disconnected(err error) { r.log.Warn().Err(err).Msg("warnings are not followed") }

// Reconnected implements [follower.Handler].
func (r *Recorder) Reconnected() {
	r.log.Info().Msg("warnings are followed again")
	select {
	case r.reconnected <- struct{}{}:
	default:
	}
}

// Restored implements [follower.Handler].
func (r *Recorder) Restored() {
	r.restored = true
	r.log.Warn().Msg("store was restored from an older copy; warnings are stored again")
}

// OnSync sets what is called when the view matched the store at a time. It must be called
// before the recorder is used.
func (r *Recorder) OnSync(f func(now time.Time)) { r.onSync = f }

// Synced implements [follower.Handler].
func (r *Recorder) Synced(time.Time) { r.onSync(time.Now()) }
