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

var errPathFailed = errors.New("path to the store failed")

// paths implements [platform.PathSelector]. When a path fails, the calls in flight on
// it are cancelled at once, so that they are retried on another path.
type paths struct {
	log zerolog.Logger

	mu     sync.Mutex
	state  *pathfinder.Paths
	calls  map[*call]bool
	direct bool
}

// call is a call to the store in flight.
type call struct {
	callerCtx context.Context
	addr      string
	cancel    context.CancelCauseFunc
}

func newPaths(direct string, log zerolog.Logger) *paths {
	return &paths{log: log, state: pathfinder.New(direct), calls: make(map[*call]bool), direct: true}
}

// setRelays replaces the relays, in order of preference.
func (p *paths) setRelays(relays []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetRelays(relays)
}

// Open implements [platform.PathSelector].
func (p *paths) Open(ctx context.Context) platform.StorePath {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, limit := p.state.SelectAddr(time.Now())
	return p.registerCall(ctx, addr, limit)
}

// registerCall records a call in flight and returns its path. The caller holds mu.
func (p *paths) registerCall(ctx context.Context, addr string, limit time.Duration) platform.StorePath {
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(callerCtx)
	c := &call{callerCtx, addr, cancel}
	p.calls[c] = true
	return platform.StorePath{Context: ctx, Addr: addr, Limit: limit, Done: func(err error) { p.finishCall(c, err) }}
}

func (p *paths) finishCall(c *call, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
	c.cancel(nil)
	if err != nil && c.callerCtx.Err() != nil {
		return // cancelled by its caller, so the result is unrelated to the path
	}
	if !errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain) {
		p.state.RecordSuccess(c.addr)
	} else if p.state.RecordFailure(time.Now(), c.addr) {
		p.cancelCalls(c.addr)
	}
	if direct := p.state.UsesDirect(); direct != p.direct {
		p.direct = direct
		p.log.Info().Bool("direct", direct).AnErr("error", err).Msg("way to the store changed")
	}
}

// cancelCalls cancels the calls in flight to an address. The caller holds mu.
func (p *paths) cancelCalls(addr string) {
	for c := range p.calls {
		if c.addr == addr {
			c.cancel(errPathFailed)
		}
	}
}

// probe returns a path for a call to the direct address if that address failed
// and a retry is due.
func (p *paths) probe(ctx context.Context) (platform.StorePath, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, due := p.state.StartProbe(time.Now())
	if !due {
		return platform.StorePath{}, false
	}
	return p.registerCall(ctx, addr, pathfinder.ProbeTimeout), true
}
