// Package cacher shares watches of the store among the instances of a data centre. For
// each kind of objects one of them watches the store; its neighbours wait for its news
// instead of watching too. Who that is follows from rendezvous hashing, so the kinds have
// different watchers.
//
// # Usage
//
//	d := cacher.NewDirectory("a", "10.0.0.4:7340")
//	peers := lender.NewClient(lender.WithTransport(d.Transport))
//	c := cacher.New(store, accounting, d, cacher.WithKind("config", 3*time.Second))
//	mux := c.Handler(peerHandler)
//	go c.Run(ctx)
//	follower.New(c, "config", handler).Run(ctx)
//
// A [Cache] is a [follower.Source]. Lists go to the store. A neighbour asks for the changes
// since a position. It goes to the store itself, at once, if the watcher says that it can't
// serve, and after the wait of a watch if it says nothing, so a change is known as early
// as with a watch of its own whose response is lost. What a watcher answers proves contact
// with the store as of the watcher's last response, see [Cache.Contact].
//
// [View] and [Selector] decide, without a network or a clock. They are made for up to some
// 50 instances in a data centre, and objects that change a few times a second.
package cacher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/messenger"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

const (
	// answerMargin is the part of the wait of a watch that is left to the answer of a
	// watcher, so that one that is silent is noticed when a watch would end.
	answerMargin = 250 * time.Millisecond
	// transferTime is how long an answer that has begun may take. A configuration of 1 MB
	// takes 1.1 s on a link of 10 Mbit/s.
	transferTime = 2 * time.Second
	// contactMargin is how much older than the wait of a watch the last response of the
	// store may be: a slow response, the pause before the next watch, and some lag. It is
	// less than what is left of the tolerated delay for a call of the neighbour.
	contactMargin = 600 * time.Millisecond
	// quickFailure is how long asking may take before the store is asked for what has
	// changed in this time.
	quickFailure = 300 * time.Millisecond
	// resyncWait makes the store answer a watch at once.
	resyncWait = time.Millisecond
)

// Store is the store that is watched. Era increases each time that it is restored from an
// older copy.
type Store interface {
	follower.Source
	Era() int64
}

// Ranker returns the other instances in the order in which they are responsible for a key,
// and how many of them come before this instance.
type Ranker interface {
	Rank(key string) (peers []granter.Lender, before int)
}

// Asker asks a watcher.
type Asker interface {
	Ask(ctx context.Context, addr string, a Ask) (Reply, error)
}

// Cache serves the followers of one instance, and its neighbours. It is safe for
// concurrent use.
type Cache struct {
	store     Store
	ranker    Ranker
	directory *Directory
	asker     Asker
	log       zerolog.Logger
	scope     tally.Scope
	clock     func() time.Duration
	answers   answers

	mu    sync.Mutex
	kinds map[string]*kind // the map does not change
}

// kind is the state of one kind of objects.
type kind struct {
	wait     time.Duration // of a watch, with the interval
	interval time.Duration // least time between watches of the store
	view     View
	selector *Selector
	changed  chan struct{} // closed when the view changes
	via      string        // address of the watcher, empty: this instance
}

// Option changes a setting of a [Cache].
type Option func(*Cache)

// WithKind shares the watches of a kind, which wait as long as given.
func WithKind(name string, wait time.Duration) Option {
	return func(c *Cache) {
		c.kinds[name] = &kind{wait: wait, selector: NewSelector(), changed: make(chan struct{})}
	}
}

// WithInterval sets the least time between the watches of a kind by this instance, so that a
// burst of changes arrives in few responses. The wait of the kind must include it.
func WithInterval(name string, interval time.Duration) Option {
	return func(c *Cache) {
		if k := c.kinds[name]; k != nil {
			k.interval = interval
		}
	}
}

// WithAsker sets how watchers are asked, by default over HTTP.
func WithAsker(a Asker) Option { return func(c *Cache) { c.asker = a } }

// WithMemory sets what accounts for the answers to neighbours. Without room, they are refused.
func WithMemory(m Memory) Option { return func(c *Cache) { c.answers.memory = m } }

// WithClock sets the clock, which must go on while the machine is suspended.
func WithClock(clock func() time.Duration) Option { return func(c *Cache) { c.clock = clock } }

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(c *Cache) { c.log = log } }

// WithScope sets where metrics are recorded.
func WithScope(scope tally.Scope) Option { return func(c *Cache) { c.scope = scope } }

// New returns a cache of a store. It shares the watches with the instances that are in the
// same data centre according to the directory.
func New(store Store, ranker Ranker, d *Directory, opts ...Option) *Cache {
	start := time.Now()
	c := &Cache{
		store: store, ranker: ranker, directory: d, log: zerolog.Nop(), scope: tally.NoopScope, kinds: make(map[string]*kind),
		answers: answers{memory: unlimited{}, encoded: make(map[answerKey]*encoded)},
		clock:   func() time.Duration { return time.Since(start) },
	}
	for _, o := range opts {
		o(c)
	}
	if c.asker == nil {
		c.asker = client{messenger.NewClient(d.Transport)}
	}
	return c
}

// Contact returns a time at which the view of a kind was known to match the store, the
// zero time if it never was.
func (c *Cache) Contact(name string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.kinds[name]; k != nil && k.view.everListed {
		return time.Now().Add(k.view.contact - c.clock())
	}
	return time.Time{}
}

// List implements [follower.Source]. It always reads the store.
func (c *Cache) List(ctx context.Context, name string) ([]storer.Item, follower.Position, error) {
	items, at, err := c.store.List(ctx, name)
	if err == nil {
		c.update(name, func(k *kind, now time.Duration) {
			k.view.Listed(now, at)
			k.selector.RecordDirect(now, nil)
		})
	}
	return items, at, err
}

// Watch implements [follower.Source].
func (c *Cache) Watch(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Change, follower.Position, error) {
	if c.store.Era() != after.Era {
		return nil, after, fmt.Errorf("watch %s from era %d: %w", name, after.Era, follower.ErrHistoryGone)
	}
	began, next := c.clock(), askNext
	for next == askNext && c.clock()-began < quickFailure {
		addr, ok := c.nextWatcher(name)
		if !ok {
			break
		}
		var changes []follower.Change
		var at follower.Position
		if changes, at, next = c.ask(ctx, name, addr, after, wait-(c.clock()-began)); next == served {
			return changes, at, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, after, fmt.Errorf("watch %s: %w", name, err)
		}
	}
	if c.directPaused(name) {
		return nil, after, fmt.Errorf("watch %s: %w: only neighbours are asked", name, storer.ErrUnavailable)
	}
	if next == resync || c.clock()-began >= quickFailure {
		wait = resyncWait // what has changed meanwhile is late already
	} else {
		waiter.Sleep(ctx, c.untilWatch(name))
	}
	return c.watchStore(ctx, name, after, wait)
}

// untilWatch returns how long a watch of the store has to wait for the interval of its kind.
func (c *Cache) untilWatch(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || !k.view.direct || k.view.lost {
		return 0
	}
	return k.view.contact + k.interval - c.clock()
}

// outcome is what follows from the answer of a watcher.
type outcome int

const (
	served  outcome = iota
	askNext         // the watcher can't serve, another one may
	resync          // the store has changes that the watcher can't tell
)

// watchStore watches the store itself.
func (c *Cache) watchStore(ctx context.Context, name string, after follower.Position, wait time.Duration) ([]follower.Change, follower.Position, error) {
	changes, at, err := c.store.Watch(ctx, name, after, wait)
	c.update(name, func(k *kind, now time.Duration) {
		switch {
		case errors.Is(err, follower.ErrHistoryGone):
			k.view.Forget()
			k.selector.RecordDirect(now, nil)
			return
		case err != nil:
			k.view.Lost()
		default:
			k.view.Add(now, after, at, changes, true)
			if wait > resyncWait {
				c.recordVia(name, k, "")
			}
		}
		k.selector.RecordDirect(now, err)
	})
	return changes, at, err
}

// recordVia logs who watches a kind if that has changed.
func (c *Cache) recordVia(name string, k *kind, addr string) {
	if k.via != addr {
		k.via = addr
		c.log.Info().Str("kind", name).Str("addr", addr).Msg("watcher of the store changed")
	}
}

// update changes the state of a kind and wakes the neighbours that wait for it.
func (c *Cache) update(name string, change func(k *kind, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return
	}
	change(k, c.clock())
	close(k.changed)
	k.changed = make(chan struct{})
}

// nextWatcher returns the neighbour to be asked, if any.
func (c *Cache) nextWatcher(name string) (addr string, ok bool) {
	k := c.kinds[name]
	if k == nil {
		return "", false
	}
	before := c.neighboursBefore(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.selector.Next(c.clock(), before)
}

// directPaused reports whether the store did not answer lately, so that this instance
// leaves it to its watcher to find out when it does.
func (c *Cache) directPaused(name string) bool {
	k := c.kinds[name]
	if k == nil || len(c.neighboursBefore(name)) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !k.selector.DirectDue(c.clock())
}

// neighboursBefore returns the addresses of the instances of this data centre that come
// before this one as the watcher of a kind.
func (c *Cache) neighboursBefore(name string) []string {
	peers, before := c.ranker.Rank("watch/" + name)
	var addrs []string
	for _, p := range peers[:before] {
		if c.directory.isNeighbour(p.Addr) {
			addrs = append(addrs, p.Addr)
		}
	}
	return addrs
}

// ask asks a watcher for the changes since a position.
func (c *Cache) ask(ctx context.Context, name, addr string, after follower.Position, wait time.Duration) ([]follower.Change, follower.Position, outcome) {
	limit := c.kinds[name].wait + contactMargin
	sent, poll := c.clock(), max(0, wait-answerMargin)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(poll+answerMargin, cancel)
	defer timer.Stop()
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Reset(transferTime) }})
	reply, err := c.asker.Ask(callCtx, addr, Ask{Kind: name, Era: after.Era, Revision: after.Revision, Wait: poll.Milliseconds(), Age: limit.Milliseconds()})
	if ctx.Err() != nil {
		return nil, after, askNext
	}
	result, next := "refused", askNext
	var changes []follower.Change
	at := follower.Position{Era: after.Era, Revision: max(after.Revision, reply.Revision)}
	c.update(name, func(k *kind, now time.Duration) {
		contact := sent + time.Duration(reply.Contact)*time.Millisecond
		switch {
		case err != nil:
			k.selector.RecordFailure(now, addr)
			result = "failed"
		case reply.Refused == Gone, reply.Era > after.Era:
			next = resync
		case reply.Refused != "":
			k.selector.RecordRefusal(now, addr, reply.Refused)
		case reply.Era != after.Era, c.store.Era() != after.Era, now-contact > limit, !k.selector.Proves(contact):
			k.selector.RecordRefusal(now, addr, Away)
		default:
			k.selector.RecordAnswer(addr)
			result, next = "served", served
			changes = reply.changes()
			k.view.Add(contact, after, at, changes, false)
			c.recordVia(name, k, addr)
		}
	})
	c.scope.Tagged(map[string]string{"kind": name, "result": result}).Counter(reporter.NeighbourWatches).Inc(1)
	if err != nil {
		c.log.Warn().Str("kind", name).Str("addr", addr).Err(err).Msg("watcher of the store does not answer")
	}
	return changes, at, next
}

// serve answers a neighbour. It waits until there is something to tell.
func (c *Cache) serve(ctx context.Context, a Ask) Reply {
	arrived, k := c.clock(), c.kinds[a.Kind]
	if k == nil {
		return Reply{Refused: Idle}
	}
	for {
		c.mu.Lock()
		now, changed := c.clock(), k.changed
		reply, until := k.view.Answer(now, arrived, c.store.Era(), a)
		c.mu.Unlock()
		if until <= now {
			return reply
		}
		timer := time.NewTimer(until - now)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return reply
		}
		timer.Stop()
	}
}

// Handler adds the questions of neighbours to what peers are served.
func (c *Cache) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+watchPath, messenger.Handle(maxAskBytes, c.respond))
	mux.Handle("/", next)
	return c.directory.handler(mux)
}
