package executor

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/adopter"
	"daisylane/internal/bundler"
	"daisylane/internal/connector"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
	"daisylane/internal/watcher"
)

// peersInterval is how often the side reads the registered entries. Entries push
// new versions by themselves; the list is for comparing versions.
const peersInterval = time.Minute

const reasonRight = "right"

// Rights tells which accounts may use the side's target.
type Rights interface {
	// Allows reports whether an account may use a target. The version is that of
	// the bundle by which the router decided: a side that has an older one leaves
	// the decision to the router.
	Allows(account, target string, version uint64) bool
}

// WithRights makes the side refuse requests of accounts without the right to its target.
func WithRights(r Rights) Option { return func(s *Side) { s.rights = r } }

// WithHandlers registers further handlers on the side's server.
func WithHandlers(f func(*connector.Server)) Option { return func(s *Side) { s.handlers = f } }

// Bundle keeps the bundle of a side up to date. It implements [Rights] and [Engines].
type Bundle struct {
	sync     *syncer.Syncer
	registry *PlatformRegistry
	region   string
	log      zerolog.Logger
}

// NewBundle returns the bundle of a side without a version.
func NewBundle(cfg Settings, instance string, pool *connector.Pool, platform *storer.Client, log zerolog.Logger) (*Bundle, error) {
	trust, err := bundler.ParseTrust(cfg.Trust)
	if err != nil {
		return nil, err
	}
	self := adopter.Peer{Name: instance, Role: watcher.Side, Centre: cfg.Centre, Addr: cfg.address()}
	b := &Bundle{registry: NewPlatformRegistry(platform), region: cfg.Region, log: log}
	b.sync = syncer.New(syncer.Config{Self: self, Trust: trust}, pool, platform,
		syncer.WithChange(func(head bundler.Head, _ *bundler.Index) {
			log.Info().Uint64("version", head.Version).Str("author", head.Author).Msg("bundle in force")
		}),
		syncer.WithRefusal(func(peer string, err error) {
			log.Warn().Str("peer", peer).Err(err).Msg("bundle refused")
		}))
	return b, nil
}

// Run keeps the bundle up to date until the context ends.
func (b *Bundle) Run(ctx context.Context) {
	go b.feedPeers(ctx)
	if err := b.sync.Run(ctx); err != nil {
		b.log.Error().Err(err).Msg("bundle is not kept up to date")
	}
}

func (b *Bundle) feedPeers(ctx context.Context) {
	for ctx.Err() == nil {
		wait := peersInterval
		entries, err := b.registry.Entries(ctx, b.region)
		if err != nil || len(entries) == 0 {
			wait = registerInterval
		}
		peers := make([]adopter.Peer, 0, len(entries))
		for _, m := range entries {
			peers = append(peers, adopter.Peer{Name: m.Name, Role: m.Role, Centre: m.Centre, Addr: m.Addr})
		}
		if len(peers) > 0 {
			b.sync.SetPeers(peers)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// Register adds the handlers for other processes.
func (b *Bundle) Register(srv *connector.Server) { b.sync.Register(srv) }

// Version returns the version in force, 0 if there is none.
func (b *Bundle) Version() uint64 { return b.sync.Head().Version }

// Allows implements [Rights].
func (b *Bundle) Allows(account, target string, version uint64) bool {
	head, index := b.sync.Head(), b.sync.Index()
	if index == nil || head.Version < version {
		return true
	}
	a, ok := index.Account(account)
	return ok && a.Reaches(target)
}

// Fences implements [Engines].
func (b *Bundle) Fences(target string) bool {
	index := b.sync.Index()
	if index == nil {
		return false
	}
	t, ok := index.Target(target)
	return ok && t.Fences
}
