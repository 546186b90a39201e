package starter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/pathfinder"
	"daisylane/internal/storer"
	"daisylane/platform"
)

var errPathFailed = errors.New("the way to the store failed")

// paths implements [platform.Paths]. Calls that wait on a way that fails end at
// once, so that they are made again by another one.
type paths struct {
	log zerolog.Logger

	mu     sync.Mutex
	state  *pathfinder.Paths
	calls  map[*call]bool
	direct bool
}

type call struct {
	caller context.Context
	addr   string
	cancel context.CancelCauseFunc
}

func newPaths(direct string, log zerolog.Logger) *paths {
	return &paths{log: log, state: pathfinder.New(direct), calls: make(map[*call]bool), direct: true}
}

// setRelays replaces the relays, best first.
func (p *paths) setRelays(relays []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetRelays(relays)
}

// Open implements [platform.Paths].
func (p *paths) Open(ctx context.Context) platform.Way {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, limit := p.state.Pick(time.Now())
	return p.open(ctx, addr, limit)
}

// open registers a call. The caller holds the lock.
func (p *paths) open(ctx context.Context, addr string, limit time.Duration) platform.Way {
	caller := ctx
	ctx, cancel := context.WithCancelCause(caller)
	c := &call{caller, addr, cancel}
	p.calls[c] = true
	return platform.Way{Context: ctx, Addr: addr, Limit: limit, Done: func(err error) { p.done(c, err) }}
}

func (p *paths) done(c *call, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
	c.cancel(nil)
	if err != nil && c.caller.Err() != nil {
		return // given up by its caller, which says nothing about the way
	}
	if !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain) {
		p.state.Succeeded(c.addr)
	} else if p.state.Failed(time.Now(), c.addr) {
		p.end(c.addr)
	}
	if direct := p.state.Direct(); direct != p.direct {
		p.direct = direct
		p.log.Info().Bool("direct", direct).AnErr("error", err).Msg("way to the store changed")
	}
}

// end ends the calls to an address. The caller holds the lock.
func (p *paths) end(addr string) {
	for c := range p.calls {
		if c.addr == addr {
			c.cancel(errPathFailed)
		}
	}
}

// probe returns a call to the direct address if it should be tried again.
func (p *paths) probe(ctx context.Context) (platform.Way, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, due := p.state.Probe(time.Now())
	if !due {
		return platform.Way{}, false
	}
	return p.open(ctx, addr, pathfinder.ProbeLimit), true
}
