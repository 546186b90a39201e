package launcher

import (
	"context"
	"crypto/rand"
	"math"
	mrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"daisylane/internal/bundler"
	"daisylane/internal/limiter"
	"daisylane/internal/router"
	"daisylane/internal/waiter"
)

const (
	gateTick     = 100 * time.Millisecond
	sizeInterval = time.Second
	// burstSeconds is how much of an account's rate may come at once.
	burstSeconds = 2
	noLimit      = 1_000_000
)

// gate admits requests by the limits of their account and by worth and deadline
// when the entry is full.
type gate struct {
	mu      sync.Mutex
	state   *limiter.Limiter
	waiting map[string]chan limiter.Action // by request id
}

func newGate(capacity int) *gate {
	source := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	return &gate{state: limiter.New(source, capacity), waiting: make(map[string]chan limiter.Action)}
}

// run gives up queued requests that are too late until the context ends.
func (g *gate) run(ctx context.Context) {
	waiter.Every(ctx, gateTick, func(now time.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(g.state.Tick(now))
	})
}

// resize changes how many requests may be in flight.
func (g *gate) resize(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.state.Resize(time.Now(), capacity))
}

// adopt takes over the limits of a bundle.
func (g *gate) adopt(accounts []bundler.Account) {
	limits := make(map[string]limiter.Limit)
	for _, a := range accounts {
		if l, ok := limitOf(a); ok {
			limits[a.Name] = l
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.SetLimits(time.Now(), limits)
}

func limitOf(a bundler.Account) (limiter.Limit, bool) {
	if a.Rate == 0 && a.Inflight == 0 {
		return limiter.Limit{}, false
	}
	l := limiter.Limit{Rate: noLimit, Burst: noLimit, Concurrent: noLimit}
	if a.Rate > 0 {
		l.Rate, l.Burst = a.Rate, max(1, int(math.Ceil(a.Rate*burstSeconds)))
	}
	if a.Inflight > 0 {
		l.Concurrent = a.Inflight
	}
	return l, true
}

// Acquire implements [router.Limits].
func (g *gate) Acquire(ctx context.Context, account bundler.Account, worth float64, deadline time.Time) (func(), *router.Error) {
	id := rand.Text()
	decided := make(chan limiter.Action, 2)
	g.mu.Lock()
	g.waiting[id] = decided
	g.dispatch(g.state.Offer(time.Now(), limiter.Request{ID: id, Account: account.Name, Worth: worth, Deadline: deadline}))
	g.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			g.done(id)
			return nil, &router.Error{
				Status: http.StatusServiceUnavailable, Type: "notrun", Reason: "deadline", RetryAfter: time.Second,
				Message: "the request's timeout passed before it could start",
			}
		case a := <-decided:
			switch a.Kind {
			case limiter.Start:
				return func() { g.done(id) }, nil
			case limiter.Refuse:
				g.forget(id)
				return nil, gateError(a)
			}
		}
	}
}

func gateError(a limiter.Action) *router.Error {
	status := http.StatusServiceUnavailable
	if a.Cause == limiter.CauseRate || a.Cause == limiter.CauseConcurrent {
		status = http.StatusTooManyRequests
	}
	return &router.Error{
		Status: status, Type: "notrun", Reason: a.Reason, RetryAfter: a.After,
		Message: "the request was not admitted (" + a.Cause + "), come back later",
	}
}

func (g *gate) done(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.dispatch(g.state.Done(time.Now(), id))
}

func (g *gate) forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
}

// dispatch hands decisions to the requests that wait for them. The lock is held.
func (g *gate) dispatch(actions []limiter.Action) {
	for _, a := range actions {
		if decided, ok := g.waiting[a.ID]; ok {
			select {
			case decided <- a:
			default:
			}
		}
	}
}

// sizeGate follows the capacity of the targets.
func (p *process) sizeGate(ctx context.Context) {
	t := time.NewTicker(sizeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if n, ok := p.fleet.capacity(p.cfg.Limits.Share); ok {
				p.gate.resize(min(n, p.cfg.Limits.Inflight))
			}
		}
	}
}
