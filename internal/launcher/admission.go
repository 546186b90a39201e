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
	admissionTick  = 100 * time.Millisecond
	resizeInterval = time.Second
	// burstSeconds is the burst size of an account in seconds of its rate.
	burstSeconds = 2
	unlimited    = 1_000_000
)

// admissionController implements [router.AdmissionController]. It enforces the
// limits per account and, when the entry is at its limit, queues requests by worth
// and deadline.
type admissionController struct {
	mu             sync.Mutex
	requestLimiter *limiter.Limiter
	waiters        map[string]chan limiter.Action // by the request ID of the limiter
}

func newAdmissionController(capacity int) *admissionController {
	source := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	return &admissionController{requestLimiter: limiter.New(source, capacity), waiters: make(map[string]chan limiter.Action)}
}

// run starts or refuses queued requests periodically until the context ends. It
// refuses those that can no longer meet their deadline.
func (c *admissionController) run(ctx context.Context) {
	waiter.Every(ctx, admissionTick, func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dispatch(c.requestLimiter.Tick(now))
	})
}

// resize sets the maximum number of requests in flight.
func (c *admissionController) resize(capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.requestLimiter.Resize(time.Now(), capacity))
}

// setLimits applies the account limits of a bundle.
func (c *admissionController) setLimits(accounts []bundler.Account) {
	limits := make(map[string]limiter.Limit)
	for _, a := range accounts {
		if l, ok := accountLimit(a); ok {
			limits[a.Name] = l
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLimiter.SetLimits(time.Now(), limits)
}

func accountLimit(a bundler.Account) (limiter.Limit, bool) {
	if a.Rate == 0 && a.Inflight == 0 {
		return limiter.Limit{}, false
	}
	l := limiter.Limit{Rate: unlimited, Burst: unlimited, Concurrent: unlimited}
	if a.Rate > 0 {
		l.Rate, l.Burst = a.Rate, max(1, int(math.Ceil(a.Rate*burstSeconds)))
	}
	if a.Inflight > 0 {
		l.Concurrent = a.Inflight
	}
	return l, true
}

// Acquire implements [router.AdmissionController].
func (c *admissionController) Acquire(ctx context.Context, account bundler.Account, worth float64, deadline time.Time) (func(), *router.Error) {
	id := rand.Text()
	decided := make(chan limiter.Action, 2)
	c.mu.Lock()
	c.waiters[id] = decided
	c.dispatch(c.requestLimiter.Offer(time.Now(), limiter.Request{ID: id, Account: account.Name, Worth: worth, Deadline: deadline}))
	c.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			c.release(id)
			return nil, &router.Error{
				Status: http.StatusServiceUnavailable, Type: "notrun", Reason: "deadline", RetryAfter: time.Second,
				Message: "the request's timeout passed before it could start",
			}
		case a := <-decided:
			switch a.Kind {
			case limiter.Start:
				return func() { c.release(id) }, nil
			case limiter.Refuse:
				c.removeWaiter(id)
				return nil, admissionError(a)
			}
		}
	}
}

func admissionError(a limiter.Action) *router.Error {
	status := http.StatusServiceUnavailable
	if a.Cause == limiter.CauseRate || a.Cause == limiter.CauseConcurrent {
		status = http.StatusTooManyRequests
	}
	return &router.Error{
		Status: status, Type: "notrun", Reason: a.Reason, RetryAfter: a.RetryAfter,
		Message: "the request was not admitted (" + a.Cause + "), come back later",
	}
}

func (c *admissionController) release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
	c.dispatch(c.requestLimiter.Done(time.Now(), id))
}

func (c *admissionController) removeWaiter(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
}

// dispatch sends decisions to the waiting requests. The caller must hold the lock.
func (c *admissionController) dispatch(actions []limiter.Action) {
	for _, a := range actions {
		if decided, ok := c.waiters[a.ID]; ok {
			select {
			case decided <- a:
			default:
			}
		}
	}
}

// resizeAdmission adapts the limit of requests in flight to the capacity of the
// targets until the context ends.
func (p *process) resizeAdmission(ctx context.Context) {
	t := time.NewTicker(resizeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if n, ok := p.balancer.inFlightLimit(p.cfg.Limits.Share); ok {
				p.admission.resize(min(n, p.cfg.Limits.Inflight))
			}
		}
	}
}
