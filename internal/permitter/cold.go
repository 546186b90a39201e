package permitter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"daisylane/internal/reporter"
	"daisylane/internal/throttler"
)

const (
	// defaultStaleTime is the time without a response of the store after which an instance
	// asks others whether it is cut off, see [WithStaleTime].
	defaultStaleTime = 6 * time.Second
	// contactInterval is the time between two rounds of such questions.
	contactInterval = time.Second
	// maxContacts limits the instances that are asked in a round, spreadPeers those that are
	// told of a restart, which pass it on.
	maxContacts = 32
	spreadPeers = 8
	// touchTime is the time without a response of the store after which a closed connection
	// is told to others. Before, the store tells them soon.
	touchTime = 2 * time.Second
	// pauseTime is the time between two ticks from which this process was suspended.
	pauseTime = 1500 * time.Millisecond
)

// coldState is the part of a [Permitter] for cold targets.
type coldState struct {
	state     *throttler.Cold
	staleTime time.Duration
	contactAt time.Time // not before
	tickAt    time.Time
	shown     map[string]bool
}

func (c *coldState) init() {
	c.staleTime, c.shown, c.state = defaultStaleTime, make(map[string]bool), throttler.NewCold()
}

// WithStaleTime sets the time without a response of the store after which an instance asks
// others whether it is cut off.
func WithStaleTime(d time.Duration) Option { return func(p *Permitter) { p.cold.staleTime = d } }

// UpdateCold calls a function with the state of cold targets while it holds the lock.
func (p *Permitter) UpdateCold(f func(now time.Time, c *throttler.Cold)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(time.Now(), p.cold.state)
}

// RecordInTouch records that the store has just responded.
func (p *Permitter) RecordInTouch(now time.Time) {
	p.UpdateCold(func(_ time.Time, c *throttler.Cold) { c.RecordInTouch(now) })
}

// updateShares computes the shares of this instance for targets that are cold or warm up.
func (p *Permitter) updateShares() {
	var due []string
	// The version is read before the ranks: a change between the two makes the shares due again.
	ranking := throttler.Ranking{Version: p.fleet.RankVersion(), JustStarted: time.Since(p.started) < knownAfter}
	p.UpdateCold(func(now time.Time, c *throttler.Cold) { due = c.SharesDue(now, p.cold.staleTime, ranking) })
	for _, id := range due {
		peers, before := p.fleet.Rank(id)
		p.UpdateCold(func(_ time.Time, c *throttler.Cold) { c.SetShare(id, before, len(peers)+1) })
	}
	if len(due) > 0 {
		p.mu.Lock()
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// ExchangeCold takes over which targets are cold, and replies with those that it knows. News
// are passed on.
func (p *Permitter) ExchangeCold(_ context.Context, r throttler.ColdReports) throttler.ColdReports {
	now := time.Now()
	p.mu.Lock()
	news := p.cold.state.Learn(now, r.Targets)
	reply := p.reports(now)
	p.mu.Unlock()
	if len(news) > 0 {
		go p.spread(news)
	}
	return reply
}

// reports returns what this instance knows. The caller must hold the lock.
func (p *Permitter) reports(now time.Time) throttler.ColdReports {
	return throttler.ColdReports{Age: p.cold.state.Age(now).Milliseconds(), Targets: p.cold.state.Reports(now)}
}

// spread tells some other instances of targets that may have started again.
func (p *Permitter) spread(list []throttler.ColdReport) {
	p.mu.Lock()
	age := p.cold.state.Age(time.Now()).Milliseconds()
	p.mu.Unlock()
	peers, _ := p.fleet.Rank("")
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), spreadPeers)] {
		go func() {
			if _, err := p.peers.ExchangeCold(context.Background(), peer, throttler.ColdReports{Age: age, Targets: list}); err != nil {
				p.log.Debug().Str("peer", peer.Name).Err(err).Msg("peer not told of cold targets")
			}
		}()
	}
}

// RecordCold takes over for how long a target stays cold, as it says.
func (p *Permitter) RecordCold(t throttler.Target, sentAt time.Time, left time.Duration) {
	p.UpdateCold(func(now time.Time, c *throttler.Cold) { c.RecordAnswer(now, sentAt, t, left) })
}

// Suspect records that a target may have started again. certain says that its address
// refused connections, not only that it has closed an idle one.
func (p *Permitter) Suspect(t throttler.Target, certain bool) {
	var r throttler.ColdReport
	var news bool
	p.UpdateCold(func(now time.Time, c *throttler.Cold) {
		r, news = c.Suspect(now, t)
		news = news && (certain || c.Age(now) > touchTime)
	})
	if news {
		p.log.Info().Str("target", t.ID).Bool("refused", certain).Msg("target may have restarted; taken to be cold")
		go p.spread([]throttler.ColdReport{r})
	}
}

// GuardsStart reports whether the start of a service's targets is limited.
func (p *Permitter) GuardsStart(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cold.state.Guards(service)
}

// Tick updates the shares of cold targets, logs changes, and lets an instance without the store find out whether it is cut off.
func (p *Permitter) Tick(ctx context.Context, now time.Time) {
	p.updateShares()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &p.cold
	if !c.tickAt.IsZero() && now.Sub(c.tickAt) > pauseTime {
		c.state.RecordPause()
	}
	c.tickAt = now
	if c.state.Used() && c.state.Age(now) > c.staleTime && now.After(c.contactAt) {
		c.contactAt = now.Add(contactInterval)
		go p.contact(ctx)
	}
	cold := c.state.ColdNow(now)
	for id := range cold {
		if !c.shown[id] {
			p.log.Info().Str("target", id).Msg("target cold")
		}
	}
	for id := range c.shown {
		if !cold[id] {
			p.log.Info().Str("target", id).Msg("target no longer cold")
		}
	}
	if len(cold) != len(c.shown) {
		p.scope.Gauge(reporter.ColdTargets).Update(float64(len(cold)))
	}
	c.shown = cold
}

// contact asks other instances whether they are in touch with the store, and which targets
// are cold. One that refuses connections has ended, so it is on no other side of a partition.
func (p *Permitter) contact(ctx context.Context) {
	peers, _ := p.fleet.Rank("")
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sampled := len(peers) > maxContacts
	peers = peers[:min(len(peers), maxContacts)]
	p.mu.Lock()
	own := p.reports(time.Now())
	p.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked, reached, fresh := 0, 0, false
	for _, peer := range peers {
		wg.Go(func() {
			r, err := p.peers.ExchangeCold(ctx, peer, own)
			mu.Lock()
			defer mu.Unlock()
			var op *net.OpError
			if errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			asked++
			if err != nil {
				return
			}
			reached++
			fresh = fresh || time.Duration(r.Age)*time.Millisecond < p.cold.staleTime
			p.UpdateCold(func(now time.Time, c *throttler.Cold) { c.Learn(now, r.Targets) })
		})
	}
	wg.Wait()
	p.UpdateCold(func(now time.Time, c *throttler.Cold) {
		if c.Age(now) <= p.cold.staleTime || ctx.Err() != nil {
			return
		}
		if c.RecordContacts(asked, reached, sampled, fresh) {
			p.log.Warn().Int("asked", asked).Int("reached", reached).Msg("cut off from the store and most instances; few requests to targets that may be cold")
		}
	})
}

// Reopen records that targets get requests again after their data centre got none.
func (p *Permitter) Reopen(ids []string) {
	p.UpdateCold(func(now time.Time, c *throttler.Cold) {
		for _, id := range ids {
			c.Reopen(now, id)
		}
	})
}
