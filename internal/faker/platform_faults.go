package faker

import (
	"net/http"
	"path"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

// PlatformFaults are the fault switches of the platform. A nil field keeps its value.
type PlatformFaults struct {
	Outage *bool            `json:"outage,omitempty"` // all calls get 503
	Delay  *loader.Duration `json:"delay,omitempty"`  // before a call takes effect
	Lose   *int             `json:"lose,omitempty"`   // the next n writes take effect and their answer is lost
	Cut    *[]string        `json:"cut,omitempty"`    // patterns of client names whose connections break, see [path.Match]
	Rate   *float64         `json:"rate,omitempty"`   // calls per second before 429, 0 for no limit
	Lag    *loader.Duration `json:"lag,omitempty"`    // of the instance list
}

// Check validates the switches.
func (s PlatformFaults) Check() error {
	var f checker.Faults
	f.Require(s.Delay == nil || *s.Delay >= 0, "delay", "is negative")
	f.Require(s.Lose == nil || *s.Lose >= 0, "lose", "is negative")
	f.Require(s.Rate == nil || *s.Rate >= 0, "rate", "is negative")
	f.Require(s.Lag == nil || *s.Lag >= 0, "lag", "is negative")
	if s.Cut != nil {
		for _, pattern := range *s.Cut {
			_, err := path.Match(pattern, "")
			f.Require(err == nil, "cut", "%q is no pattern", pattern)
		}
	}
	return f.Err()
}

type platformState struct {
	outage bool
	delay  loader.Duration
	lose   int
	cut    []string
	lag    loader.Duration
}

// Set changes the fault switches. Waiting watches notice the change at once.
func (p *Platform) Set(s PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	assign(&p.faults.outage, s.Outage)
	assign(&p.faults.delay, s.Delay)
	assign(&p.faults.lose, s.Lose)
	assign(&p.faults.cut, s.Cut)
	assign(&p.faults.lag, s.Lag)
	if s.Rate != nil {
		p.limit = limiter(*s.Rate)
	}
	p.notifyAll()
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// guard counts a call and applies the fault switches. A delayed call takes
// effect even if its client has gone, as behind a slow proxy.
func (p *Platform) guard(count *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		*count++
		delay, limit := p.faults.delay.Std(), p.limit
		p.mu.Unlock()
		if p.refuse(w, r) {
			return
		}
		if !limit.Allow() {
			p.countRefused()
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		next(w, r)
	}
}

// refuse answers a call that an outage or a cut prevents.
func (p *Platform) refuse(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	outage, cut := p.faults.outage, p.faults.cut
	p.mu.Unlock()
	for _, pattern := range cut {
		if ok, _ := path.Match(pattern, r.Header.Get("X-Client")); ok {
			p.countRefused()
			abort()
		}
	}
	if outage {
		p.countRefused()
		fail(w, http.StatusServiceUnavailable, "outage")
	}
	return outage
}

func (p *Platform) countRefused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Refused++
}
