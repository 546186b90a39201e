// Package permitter obtains permits to send requests to targets with a limit, from the
// instance that gives them out for each target. The decisions are made by package
// throttler.
//
// # Usage
//
//	p := permitter.New("entry-1", fleet, peers, permitter.WithLog(log))
//	go p.Run(ctx)
//	closed = p.AppendClosed(closed, time.Now(), "pool", 12)
//	p.Take(time.Now(), chosen)
package permitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/granter"
	"daisylane/internal/recorder"
	"daisylane/internal/reporter"
	"daisylane/internal/throttler"
)

const (
	// peerBackoff is how long a peer is not asked after a failed call.
	peerBackoff = 2 * time.Second
	// maxPeersAsked limits the peers that are asked one after the other.
	maxPeersAsked = 3
	// maxHops limits how often an ask is passed on, if instances disagree about the home.
	maxHops = 2
	// knownAfter is the time after which the other instances know a new one. Until then
	// it is not the home of any target, because a former one still is.
	knownAfter = 15 * time.Second
)

// Fleet knows the instances.
type Fleet interface {
	// Rank returns the other instances in the order in which they are the home of a key,
	// and how many of them come before this instance.
	Rank(key string) (peers []granter.Lender, before int)
	// RankVersion returns a number from 1 that increases each time that the order changes.
	RankVersion() int64
}

// Peers calls other instances.
type Peers interface {
	AskPermits(ctx context.Context, peer granter.Lender, a throttler.Ask) (throttler.Grant, error)
	ExchangeCold(ctx context.Context, peer granter.Lender, r throttler.ColdReports) (throttler.ColdReports, error)
}

// Permitter keeps the requests of one instance within the limits of targets. It is safe
// for concurrent use.
type Permitter struct {
	name    string
	fleet   Fleet
	peers   Peers
	log     zerolog.Logger
	scope   tally.Scope
	started time.Time
	signal  chan struct{} // a request could use a target without a permit
	wake    func()        // called when records are to be stored

	mu      sync.Mutex
	state   *throttler.Throttle
	backoff map[string]time.Time // until when a peer is not asked, by name
	changed chan struct{}        // closed when permits have come
	shown   map[string]float64   // limits that were logged
	cold    coldState
}

// Option changes a setting of a [Permitter].
type Option func(*Permitter)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(p *Permitter) { p.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(p *Permitter) { p.scope = s } }

// WithStart sets when this instance started.
func WithStart(at time.Time) Option { return func(p *Permitter) { p.started = at } }

// New returns the permitter of an instance.
func New(name string, f Fleet, peers Peers, opts ...Option) *Permitter {
	p := &Permitter{
		name: name, fleet: f, peers: peers, log: zerolog.Nop(), scope: tally.NoopScope, wake: func() {}, started: time.Now(), signal: make(chan struct{}, 1),
		state: throttler.New(), backoff: make(map[string]time.Time), changed: make(chan struct{}), shown: make(map[string]float64),
	}
	p.cold.init()
	for _, o := range opts {
		o(p)
	}
	return p
}

// OnChange sets what is called when records are to be stored. It must be called before
// the permitter is used.
func (p *Permitter) OnChange(f func()) { p.wake = f }

// Run asks for permits until the context ends.
func (p *Permitter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signal:
		}
		p.mu.Lock()
		due := p.state.AsksDue(time.Now())
		p.mu.Unlock()
		for _, a := range due {
			go p.ask(ctx, a)
		}
	}
}

// ask asks for permits and takes over the reply.
func (p *Permitter) ask(ctx context.Context, a throttler.Ask) {
	a.Instance = p.name
	g, err := p.askHome(ctx, a)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.state.AskLost(time.Now(), a.Target)
		return
	}
	p.state.Granted(time.Now(), a.Target, g)
	if g.Permits > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

// askHome passes an ask on to the home of its target. If all instances that come before
// this one can't be reached, this one is the home.
func (p *Permitter) askHome(ctx context.Context, a throttler.Ask) (throttler.Grant, error) {
	peers, before := p.fleet.Rank(a.Target)
	young := time.Since(p.started) < knownAfter
	if a.Deputy {
		if young {
			return throttler.Grant{Declined: true}, nil
		}
		return p.grant(a), nil
	}
	if a.Hops++; a.Hops <= maxHops {
		for _, peer := range peers[:min(before, maxPeersAsked)] {
			if g, ok := p.call(ctx, peer, a); ok {
				return g, nil
			}
		}
	}
	if young {
		// The instances that don't know this one yet take another one for the home.
		a.Deputy = true
		for _, peer := range peers[before:min(len(peers), before+maxPeersAsked)] {
			if g, ok := p.call(ctx, peer, a); ok && !g.Declined {
				return g, nil
			}
		}
	}
	if ctx.Err() != nil {
		return throttler.Grant{}, fmt.Errorf("ask for permits of %s: %w", a.Target, ctx.Err())
	}
	return p.grant(a), nil
}

// grant gives out permits as the home.
func (p *Permitter) grant(a throttler.Ask) throttler.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Grant(time.Now(), a)
}

// call asks a peer, unless it could not be reached just before.
func (p *Permitter) call(ctx context.Context, peer granter.Lender, a throttler.Ask) (throttler.Grant, bool) {
	if p.inBackoff(peer.Name) {
		return throttler.Grant{}, false
	}
	g, err := p.peers.AskPermits(ctx, peer, a)
	if err != nil && ctx.Err() == nil {
		p.recordFailure(peer, err)
	}
	return g, err == nil
}

func (p *Permitter) inBackoff(peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.backoff[peer])
}

func (p *Permitter) recordFailure(peer granter.Lender, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, until := range p.backoff {
		if now.After(until) {
			delete(p.backoff, name)
		}
	}
	p.backoff[peer.Name] = now.Add(peerBackoff)
	p.log.Warn().Str("peer", peer.Name).Err(err).Msg("peer gives no permits")
}

// GrantPermits replies to the ask of another instance.
func (p *Permitter) GrantPermits(ctx context.Context, a throttler.Ask) throttler.Grant {
	g, err := p.askHome(ctx, a)
	if err != nil {
		return throttler.Grant{} // the caller has gone
	}
	return g
}

// RecordLimit takes over what a response of a target says about its limit, nil if it
// names none.
func (p *Permitter) RecordLimit(t throttler.Target, sentAt time.Time, perSecond *float64) {
	p.update(func(s *throttler.Throttle) bool {
		changed := s.RecordLimit(time.Now(), t, sentAt, perSecond)
		if changed {
			time.AfterFunc(throttler.MaxWriteDelay, p.wake)
		}
		return changed
	})
}

// ForgetUnlisted forgets the limits of the targets that are not listed, also of those that
// left while no instance was running.
func (p *Permitter) ForgetUnlisted(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.state.Limits() {
		if !listed(id) {
			p.state.Forget(time.Now(), id)
		}
	}
}

// RecordRequest counts a request to a service.
func (p *Permitter) RecordRequest(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordRequest(time.Now(), service)
}

// AppendClosed appends the targets of a service that may get no request now. ready is the
// number of its ready targets.
func (p *Permitter) AppendClosed(list []string, now time.Time, service string, ready int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list = p.cold.state.AppendClosed(list, now, service)
	n := len(list)
	if list = p.state.AppendClosed(list, now, service, ready); len(list) > n {
		select {
		case p.signal <- struct{}{}:
		default:
		}
	}
	return list
}

// Take uses a permit for a request to a target, if the target has a limit.
func (p *Permitter) Take(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Take(now, id)
	p.cold.state.Take(now, id)
}

// OpensIn returns the shortest time until one of the given targets may get a request, 0
// if none of them has a limit.
func (p *Permitter) OpensIn(now time.Time, ids []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	limited, cold := p.state.OpensIn(now, ids), p.cold.state.OpensIn(now, ids)
	if limited == 0 || cold > 0 && cold < limited {
		return cold
	}
	return limited
}

// Await waits until permits come, at most for the given time.
func (p *Permitter) Await(ctx context.Context, d time.Duration) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Group returns the shared records.
func (p *Permitter) Group() *recorder.GroupOf[throttler.Record] {
	return recorder.NewGroup("limit", func(use func(recorder.Records[throttler.Record])) {
		p.update(func(s *throttler.Throttle) bool { use(s); return true })
	})
}

// update changes the state. If the function says that limits may have changed, it logs
// those that have begun, changed or ended.
func (p *Permitter) update(change func(*throttler.Throttle) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !change(p.state) {
		return
	}
	now := p.state.Limits()
	for id, perSecond := range now {
		if old, ok := p.shown[id]; !ok || old != perSecond {
			p.log.Info().Str("target", id).Float64("persecond", perSecond).Msg("target limited")
		}
	}
	for id := range p.shown {
		if _, ok := now[id]; !ok {
			p.log.Info().Str("target", id).Msg("target no longer limited")
		}
	}
	if len(now) != len(p.shown) {
		p.scope.Gauge(reporter.LimitedTargets).Update(float64(len(now)))
	}
	p.shown = now
}
