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

// Keys of the bundle in the platform.
const (
	HeadKey     = "bundle/head"
	ChunkPrefix = "bundle/chunk/"
)

const (
	callTimeout = time.Second
	// A watch answers at least this often, so that a watcher notices soon that
	// it has lost the platform.
	watchWait  = time.Second
	watchDelay = 500 * time.Millisecond // after a failed watch
	maxFetches = 16
	askTimeout = 2 * time.Second // for the actor, whose longest step builds an index
)

// Platform is the part of the platform client that bundles need.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Item, uint64, error)
}

// Config describes the process.
type Config struct {
	Self  adopter.Peer
	Trust bundler.Trust
}

// Option configures a [Syncer].
type Option func(*Syncer)

// WithChange reports each version that is put in force, after [Syncer.Index]
// returns it. The function must not block.
func WithChange(f func(head bundler.Head, x *bundler.Index)) Option {
	return func(s *Syncer) { s.changed = f }
}

// WithRefusal reports heads and chunks that were not accepted. An empty peer
// means the platform.
func WithRefusal(f func(peer string, err error)) Option {
	return func(s *Syncer) { s.refused = f }
}

// Syncer holds the bundle of a process. It is safe for concurrent use.
type Syncer struct {
	pool     *connector.Pool
	platform Platform
	changed  func(bundler.Head, *bundler.Index)
	refused  func(string, error)

	system  *actor.ActorSystem
	pid     *actor.PID
	state   *adopter.Adopter // of the actor
	fetches chan struct{}
	current atomic.Pointer[version]
	ready   chan struct{}

	stopWatch context.CancelFunc // of the actor

	mu      sync.Mutex
	ctx     context.Context // ends the calls, nil before Run
	waiting []func(ctx context.Context)
	wg      sync.WaitGroup
}

type version struct {
	head  bundler.Head
	index *bundler.Index
}

// step is a message to the actor.
type step func(now time.Time, a *adopter.Adopter) []adopter.Action

// New returns a syncer without a bundle.
func New(cfg Config, pool *connector.Pool, platform Platform, opts ...Option) *Syncer {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Syncer{
		pool: pool, platform: platform,
		changed: func(bundler.Head, *bundler.Index) {},
		refused: func(string, error) {},
		state:   adopter.New(adopter.Config{Self: cfg.Self, Trust: cfg.Trust}, random),
		fetches: make(chan struct{}, maxFetches),
		ready:   make(chan struct{}),

		stopWatch: func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })
	s.system = actor.NewActorSystem(quiet)
	s.pid = s.system.Root.Spawn(actor.PropsFromFunc(s.receive))
	return s
}

// Index returns the index of the version in force, nil if there is none.
func (s *Syncer) Index() *bundler.Index {
	if v := s.current.Load(); v != nil {
		return v.index
	}
	return nil
}

// Head returns the head of the version in force, with version 0 if there is none.
func (s *Syncer) Head() bundler.Head {
	if v := s.current.Load(); v != nil {
		return v.head
	}
	return bundler.Head{}
}

// Ready is closed when the process may serve.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// SetPeers replaces the known peers. It leaves out the process itself.
func (s *Syncer) SetPeers(peers []adopter.Peer) {
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.SetPeers(now, peers) })
}

// Run keeps the bundle up to date until the context ends. It is called once.
func (s *Syncer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.begin(ctx)
	s.send(func(now time.Time, a *adopter.Adopter) []adopter.Action { return a.Start(now) })
	ticker := time.NewTicker(adopter.Round)
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

func (s *Syncer) send(f step) { s.system.Root.Send(s.pid, f) }

func (s *Syncer) receive(ctx actor.Context) {
	f, ok := ctx.Message().(step)
	if !ok {
		return
	}
	for _, act := range f(time.Now(), s.state) {
		s.carryOut(act)
	}
}
