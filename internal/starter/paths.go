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

var (
	errPathFailed = errors.New("path to the store failed")
	errNotTried   = errors.New("the store does not answer other calls")
)

// maxOpenTime is how long a call waits while other calls get no response. A call that was
// made would fail after this time.
const maxOpenTime = time.Second

// paths implements [platform.PathSelector]. When a path fails, the calls in flight on
// it are cancelled at once, so that they are retried on another path.
type paths struct {
	log zerolog.Logger

	mu     sync.Mutex
	state  *pathfinder.Paths
	calls  map[*call]bool
	ended  chan struct{} // closed when a call has ended
	direct bool
}

// call is a call to the store in flight.
type call struct {
	callerCtx context.Context
	addr      string
	cancel    context.CancelCauseFunc
	tried     bool // admitted while nothing answered
	answered  bool // its response has begun
}

func newPaths(direct string, log zerolog.Logger) *paths {
	return &paths{log: log, state: pathfinder.New(direct), calls: make(map[*call]bool), ended: make(chan struct{}), direct: true}
}

// setRelays replaces the relays, in order of preference.
func (p *paths) setRelays(relays []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetRelays(relays)
}

// Open implements [platform.PathSelector]. While the store answers no other call it waits,
// and the path that it returns in the end is over already.
func (p *paths) Open(ctx context.Context) platform.StorePath {
	end := time.Now().Add(maxOpenTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		wait, tried := p.state.Admit(now)
		if wait == 0 {
			addr, limit := p.state.SelectAddr(now)
			return p.registerCall(ctx, addr, limit, tried)
		}
		if ctx.Err() != nil || !now.Before(end) {
			ctx, cancel := context.WithCancelCause(ctx)
			cancel(errNotTried)
			return platform.StorePath{Context: ctx, Done: func(error) {}}
		}
		p.waitForEnd(ctx, min(wait, end.Sub(now)))
	}
}

// waitForEnd waits until a call ends, at most for the given time. The caller holds mu, which
// is released meanwhile.
func (p *paths) waitForEnd(ctx context.Context, wait time.Duration) {
	ended := p.ended
	p.mu.Unlock()
	defer p.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// registerCall records a call in flight and returns its path. The caller holds mu.
func (p *paths) registerCall(ctx context.Context, addr string, limit time.Duration, tried bool) platform.StorePath {
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(callerCtx)
	c := &call{callerCtx: callerCtx, addr: addr, cancel: cancel, tried: tried}
	p.calls[c] = true
	return platform.StorePath{
		Context: ctx, Addr: addr, Limit: limit, Done: func(err error) { p.finishCall(c, err) },
		Answered: func() { p.recordAnswer(c) },
	}
}

// recordAnswer records that the response to a call has begun, so a failure of another call,
// which a large response may hold up on a slow link, does not cancel it.
func (p *paths) recordAnswer(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.answered = true
}

func (p *paths) finishCall(c *call, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, c)
	c.cancel(nil)
	if c.tried {
		p.state.Tried()
	}
	defer func() {
		close(p.ended)
		p.ended = make(chan struct{})
	}()
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
		if c.addr == addr && !c.answered {
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
	return p.registerCall(ctx, addr, pathfinder.ProbeTimeout, false), true
}
