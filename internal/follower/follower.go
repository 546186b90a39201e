// Package follower keeps a view of objects in the store current: it lists a
// kind, then waits for changes, and lists again when the history is gone or the
// store was out of reach.
//
// # Usage
//
//	f := follower.New(store, "config", handler, follower.WithWait(3*time.Second))
//	f.Run(ctx)
//
// [Roster] is the view of the targets.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

const (
	defaultWait = 4 * time.Second // a silent watch is noticed a second after it
	minPause    = 100 * time.Millisecond
	maxPause    = 400 * time.Millisecond // keeps the first read after an outage within half a second
	minCycle    = 150 * time.Millisecond // between watches, so that a burst of changes comes in few answers
)

// ErrHistory means that the changes since a revision are no longer known.
var ErrHistory = errors.New("history is gone")

// Change is one change of an object.
type Change struct {
	Item    storer.Item
	Deleted bool
}

// Source lists and watches objects.
type Source interface {
	List(ctx context.Context, kind string) ([]storer.Item, int64, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}

// Handler gets what a follower learns, one call at a time.
type Handler interface {
	Listed(items []storer.Item)
	Changed(changes []Change)
	Lost(err error) // the store does not answer; called once until it answers again
	Regained()      // before the first Listed or Changed after Lost
	Current()       // the view was current when the store answered
}

// Follower follows one kind of objects.
type Follower struct {
	source  Source
	kind    string
	handler Handler
	wait    time.Duration
	lost    bool
}

// Option changes a setting of a [Follower].
type Option func(*Follower)

// WithWait sets how long one watch waits for a change.
func WithWait(d time.Duration) Option { return func(f *Follower) { f.wait = d } }

// New returns a follower of a kind.
func New(source Source, kind string, h Handler, opts ...Option) *Follower {
	f := &Follower{source: source, kind: kind, handler: h, wait: defaultWait}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var at int64
	listed, pause := false, minPause
	for ctx.Err() == nil {
		var err error
		if listed {
			at, err = f.watch(ctx, at)
			listed = !errors.Is(err, ErrHistory)
		} else {
			at, err = f.list(ctx)
			listed = err == nil
		}
		if err == nil || errors.Is(err, ErrHistory) {
			pause = minPause
			waiter.Pause(ctx, minCycle)
			continue
		}
		if ctx.Err() == nil && !f.lost {
			f.lost = true
			f.handler.Lost(err)
		}
		waiter.Pause(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxPause)
	}
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	items, at, err := f.source.List(ctx, f.kind)
	if err != nil {
		return 0, err
	}
	f.found()
	f.handler.Listed(items)
	f.handler.Current()
	return at, nil
}

func (f *Follower) watch(ctx context.Context, at int64) (int64, error) {
	changes, next, err := f.source.Watch(ctx, f.kind, at, f.wait)
	if err != nil {
		return at, err
	}
	f.found()
	if len(changes) > 0 {
		f.handler.Changed(changes)
	}
	f.handler.Current()
	return next, nil
}

func (f *Follower) found() {
	if f.lost {
		f.lost = false
		f.handler.Regained()
	}
}
