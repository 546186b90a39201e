package syncer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"daisylane/internal/adopter"
	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/storer"
)

// Keys of the bundle's objects in the platform.
const (
	HeadKey     = "bundle/head"
	ChunkPrefix = "bundle/chunk/"
)

const (
	callTimeout = time.Second
	// A watch returns at least this often, so that a watcher soon detects that it has
	// lost the platform.
	watchWait            = time.Second
	watchRetryDelay      = 500 * time.Millisecond
	maxConcurrentFetches = 16
	actorTimeout         = 2 * time.Second // the actor is blocked longest when it builds an index
)

// Platform is the part of the platform client that the syncer uses.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Item, uint64, error)
}

// Config identifies the process and the trusted authors of bundles.
type Config struct {
	Self  adopter.Peer
	Trust bundler.TrustedKeys
}

// Option configures a [Syncer].
type Option func(*Syncer)

// WithChange sets a function that is called for each adopted version, once
// [Syncer.Index] returns it. The function must not block.
func WithChange(f func(head bundler.Head, x *bundler.Index)) Option {
	return func(s *Syncer) { s.onChange = f }
}

// WithRejection sets a function that is called for each rejected head or chunk. An
// empty peer means that it came from the platform.
func WithRejection(f func(peer string, err error)) Option {
	return func(s *Syncer) { s.onRefusal = f }
}

// Syncer holds the active bundle of a process. It is safe for concurrent use.
type Syncer struct {
	pool      *connector.Pool
	platform  Platform
	onChange  func(bundler.Head, *bundler.Index)
	onRefusal func(string, error)

	system     *actor.ActorSystem
	pid        *actor.PID
	state      *adopter.Adopter // used only by the actor
	fetchSlots chan struct{}
	active     atomic.Pointer[activeVersion]
	ready      chan struct{}

	stopWatch context.CancelFunc // used only by the actor

	mu          sync.Mutex
	ctx         context.Context // context of all calls, nil before Run
	queuedCalls []func(ctx context.Context)
	wg          sync.WaitGroup
}

type activeVersion struct {
	head  bundler.Head
	index *bundler.Index
}

// stateFunc is a message to the actor, which runs it and performs the actions.
type stateFunc func(now time.Time, a *adopter.Adopter) []adopter.Action

// New returns a syncer without a bundle.
func New(cfg Config, pool *connector.Pool, platform Platform, opts ...Option) *Syncer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Syncer{
		pool: pool, platform: platform,
		onChange:   func(bundler.Head, *bundler.Index) {},
		onRefusal:  func(string, error) {},
		state:      adopter.New(adopter.Config{Self: cfg.Self, Trust: cfg.Trust}, random),
		fetchSlots: make(chan struct{}, maxConcurrentFetches),
		ready:      make(chan struct{}),

		stopWatch: func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	noLogs := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })
	s.system = actor.NewActorSystem(noLogs)
	s.pid = s.system.Root.Spawn(actor.PropsFromFunc(s.receive))
	return s
}

// Index returns the index of the active version, nil if there is none.
func (s *Syncer) Index() *bundler.Index {
	if v := s.active.Load(); v != nil {
		return v.index
	}
	return nil
}

// Head returns the head of the active version. Its version is 0 if there is none.
func (s *Syncer) Head() bundler.Head {
	if v := s.active.Load(); v != nil {
		return v.head
	}
	return bundler.Head{}
}

// Ready returns a channel that is closed when the process may serve requests.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// SetPeers replaces the known peers. They must not include the process itself.
func (s *Syncer) SetPeers(peers []adopter.Peer) {
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.SetPeers(now, peers) })
}

// Run keeps the bundle up to date until the context ends. It must be called only once.
func (s *Syncer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.startQueuedCalls(ctx)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.Start(now) })
	ticker := time.NewTicker(adopter.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.Tick(now) })
		}
	}
}

func (s *Syncer) stop() {
	_ = s.system.Root.StopFuture(s.pid).Wait()
	s.wg.Wait()
	s.system.Shutdown()
}

func (s *Syncer) send(f stateFunc) { s.system.Root.Send(s.pid, f) }

func (s *Syncer) receive(ctx actor.Context) {
	f, ok := ctx.Message().(stateFunc)
	if !ok {
		return
	}
	for _, act := range f(time.Now(), s.state) {
		s.perform(act)
	}
}
