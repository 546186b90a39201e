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

// peerListInterval is the interval between reads of the registered entries. It can
// be long because entries push new bundle versions without being asked; the list
// is only used to compare versions.
const peerListInterval = time.Minute

const reasonNotAllowed = "right"

// AccessPolicy decides which accounts may use the side's target.
type AccessPolicy interface {
	// Allows reports whether an account may use a target. version is the bundle
	// version that the router used for its decision. If the side's bundle is older,
	// the router's decision stands.
	Allows(account, target string, version uint64) bool
}

// WithAccessPolicy makes the side refuse requests of accounts that policy does not
// allow to use its target.
func WithAccessPolicy(policy AccessPolicy) Option { return func(s *Side) { s.accessPolicy = policy } }

// WithHandlers makes the side call f to register additional handlers on its server.
func WithHandlers(f func(*connector.Server)) Option { return func(s *Side) { s.extraHandlers = f } }

// BundleSyncer keeps the configuration bundle of a side up to date. It implements
// [AccessPolicy] and [EngineFencing].
type BundleSyncer struct {
	sync     *syncer.Syncer
	registry *PlatformRegistry
	region   string
	log      zerolog.Logger
}

// NewBundleSyncer returns a BundleSyncer that has no bundle yet; Run fetches it.
func NewBundleSyncer(cfg Settings, instance string, pool *connector.Pool, platform *storer.Client, log zerolog.Logger) (*BundleSyncer, error) {
	keys, err := bundler.ParseTrustedKeys(cfg.Trust)
	if err != nil {
		return nil, err
	}
	self := adopter.Peer{Name: instance, Role: watcher.Side, Centre: cfg.Centre, Addr: cfg.advertisedAddr()}
	b := &BundleSyncer{registry: NewPlatformRegistry(platform), region: cfg.Region, log: log}
	b.sync = syncer.New(syncer.Config{Self: self, Trust: keys}, pool, platform,
		syncer.WithChange(func(head bundler.Head, _ *bundler.Index) {
			log.Info().Uint64("version", head.Version).Str("author", head.Author).Msg("bundle in force")
		}),
		syncer.WithRejection(func(peer string, err error) {
			log.Warn().Str("peer", peer).Err(err).Msg("bundle refused")
		}))
	return b, nil
}

// Run keeps the bundle up to date until the context ends.
func (b *BundleSyncer) Run(ctx context.Context) {
	go b.updatePeers(ctx)
	if err := b.sync.Run(ctx); err != nil {
		b.log.Error().Err(err).Msg("bundle updates stopped")
	}
}

func (b *BundleSyncer) updatePeers(ctx context.Context) {
	for ctx.Err() == nil {
		wait := peerListInterval
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

// RegisterHandlers registers the handlers for bundle messages of other processes.
func (b *BundleSyncer) RegisterHandlers(srv *connector.Server) { b.sync.Register(srv) }

// Version returns the active bundle version, or 0 if there is none.
func (b *BundleSyncer) Version() uint64 { return b.sync.Head().Version }

// Allows implements [AccessPolicy].
func (b *BundleSyncer) Allows(account, target string, version uint64) bool {
	head, index := b.sync.Head(), b.sync.Index()
	if index == nil || head.Version < version {
		return true
	}
	a, ok := index.Account(account)
	return ok && a.MayUse(target)
}

// EnforcesFencing implements [EngineFencing]. It returns false while there is no
// bundle.
func (b *BundleSyncer) EnforcesFencing(target string) bool {
	index := b.sync.Index()
	if index == nil {
		return false
	}
	t, ok := index.Target(target)
	return ok && t.RejectsStaleOrders
}
