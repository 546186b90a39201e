package faker

import (
	"net/http"
	"path"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

// PlatformFaults are the fault switches of the platform. A nil field leaves the current
// value unchanged.
type PlatformFaults struct {
	Outage        *bool            `json:"outage,omitempty"` // all calls get status 503
	Delay         *loader.Duration `json:"delay,omitempty"`  // delay before a call takes effect
	LoseResponses *int             `json:"lose,omitempty"`   // the next n writes take effect without a response
	CutClients    *[]string        `json:"cut,omitempty"`    // client name patterns to disconnect, see [path.Match]
	RateLimit     *float64         `json:"rate,omitempty"`   // calls per second before status 429, 0 for no limit
	InstanceLag   *loader.Duration `json:"lag,omitempty"`    // delay of changes to the instance list
}

// Check validates the fault switches.
func (s PlatformFaults) Check() error {
	var f checker.Validator
	f.Require(s.Delay == nil || *s.Delay >= 0, "delay", "is negative")
	f.Require(s.LoseResponses == nil || *s.LoseResponses >= 0, "lose", "is negative")
	f.Require(s.RateLimit == nil || *s.RateLimit >= 0, "rate", "is negative")
	f.Require(s.InstanceLag == nil || *s.InstanceLag >= 0, "lag", "is negative")
	if s.CutClients != nil {
		for _, pattern := range *s.CutClients {
			_, err := path.Match(pattern, "")
			f.Require(err == nil, "cut", "%q is not a pattern", pattern)
		}
	}
	return f.Err()
}

type platformFaultState struct {
	outage        bool
	delay         loader.Duration
	loseResponses int
	cutClients    []string
	instanceLag   loader.Duration
}

// SetFaults updates the fault switches. Pending watches are woken to apply them at once.
func (p *Platform) SetFaults(s PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	setIfPresent(&p.faults.outage, s.Outage)
	setIfPresent(&p.faults.delay, s.Delay)
	setIfPresent(&p.faults.loseResponses, s.LoseResponses)
	setIfPresent(&p.faults.cutClients, s.CutClients)
	setIfPresent(&p.faults.instanceLag, s.InstanceLag)
	if s.RateLimit != nil {
		p.rateLimiter = newLimiter(*s.RateLimit)
	}
	p.notifyAllWatches()
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// withFaults counts a call and applies the fault switches. A delayed call takes
// effect even if its client disconnects, as it would behind a slow proxy.
func (p *Platform) withFaults(count *uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		*count++
		delay, limit := p.faults.delay.Std(), p.rateLimiter
		p.mu.Unlock()
		if p.refuse(w, r) {
			return
		}
		if !limit.Allow() {
			p.countRefused()
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "rate limit")
			return
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		next(w, r)
	}
}

// refuse rejects a call that an outage or a cut applies to and reports whether it did.
// On a cut it closes the connection and does not return.
func (p *Platform) refuse(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	outage, cut := p.faults.outage, p.faults.cutClients
	p.mu.Unlock()
	for _, pattern := range cut {
		if ok, _ := path.Match(pattern, r.Header.Get("X-Client")); ok {
			p.countRefused()
			abortConnection()
		}
	}
	if outage {
		p.countRefused()
		writeError(w, http.StatusServiceUnavailable, "outage")
	}
	return outage
}

func (p *Platform) countRefused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Refused++
}
