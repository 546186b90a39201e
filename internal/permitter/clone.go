package permitter

import (
	"maps"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/throttler"
)

// Clone returns a permitter with a copy of the state, for questions about targets. It asks no
// other instance and must not be run.
func (p *Permitter) Clone() *Permitter {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &Permitter{
		name: p.name, fleet: p.fleet, peers: p.peers, log: zerolog.Nop(), scope: tally.NoopScope, started: p.started, signal: make(chan struct{}, 1), wake: func() {},
		state: p.state.Clone(), backoff: make(map[string]time.Time), changed: make(chan struct{}), shown: maps.Clone(p.shown), cold: p.cold,
	}
	c.cold.state, c.cold.shown = p.cold.state.Clone(), maps.Clone(p.cold.shown)
	return c
}

// AppendCold appends the targets of a service that may get no request now because they are
// cold or warm up. They are some of those of [Permitter.AppendClosed].
func (p *Permitter) AppendCold(list []string, now time.Time, service string) []string {
	p.UpdateCold(func(_ time.Time, c *throttler.Cold) { list = c.AppendClosed(list, now, service) })
	return list
}
