package launcher

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"daisylane/internal/adopter"
	"daisylane/internal/bundler"
	"daisylane/internal/reporter"
	"daisylane/internal/syncer"
	"daisylane/internal/watcher"
)

const peerUpdateInterval = time.Second

// setUpBundles creates the syncer that keeps the configuration bundle up to date.
func (p *process) setUpBundles(context.Context, io.Writer) error {
	trust, err := bundler.ParseTrustedKeys(p.cfg.Trust)
	if err != nil {
		return err
	}
	self := adopter.Peer{Name: p.instance, Role: watcher.Entry, Centre: p.cfg.Centre, Addr: p.self().Addr}
	p.bundles = syncer.New(syncer.Config{Self: self, Trust: trust}, p.pool, p.platform,
		syncer.WithChange(p.bundleActivated),
		syncer.WithRejection(func(peer string, err error) {
			p.log.Warn().Str("peer", peer).Err(err).Msg("bundle refused")
		}))
	p.bundles.Register(p.peerServer)
	return nil
}

func (p *process) bundleActivated(head bundler.Head, x *bundler.Index) {
	p.log.Info().Uint64("version", head.Version).Str("author", head.Author).Dur("delay", time.Since(head.Time)).Msg("bundle in force")
	p.metrics.Scope().Gauge(reporter.BundleVersion).Update(float64(head.Version))
	p.metrics.Scope().Histogram(reporter.BundleDelaySeconds, reporter.SecondsBuckets).RecordDuration(time.Since(head.Time))
	p.admission.setLimits(x.Accounts())
}

// peers returns the registered processes that are not gone, sorted by name.
func (p *process) peers() []adopter.Peer {
	var peers []adopter.Peer
	for _, role := range []string{watcher.Entry, watcher.Side} {
		for _, m := range p.members.Registered(role) {
			if !p.members.IsGone(m.Name) {
				peers = append(peers, adopter.Peer{Name: m.Name, Role: role, Centre: m.Centre, Addr: m.Addr})
			}
		}
	}
	slices.SortFunc(peers, func(a, b adopter.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// updatePeers passes membership changes to the syncer until the context ends.
func (p *process) updatePeers(ctx context.Context) {
	t := time.NewTicker(peerUpdateInterval)
	defer t.Stop()
	var last []adopter.Peer
	for {
		// SetPeers ranks all peers again, so it is called only after a change.
		if peers := p.peers(); !slices.Equal(peers, last) {
			p.bundles.SetPeers(peers)
			last = peers
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// index returns the active bundle, or nil until the syncer is ready. Before that,
// the bundle may come from the first peer that responded and be older than the
// bundle that is active at other processes.
func (p *process) index() *bundler.Index {
	select {
	case <-p.bundles.Ready():
		return p.bundles.Index()
	default:
		return nil
	}
}
