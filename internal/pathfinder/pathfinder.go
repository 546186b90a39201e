// Package pathfinder decides by which way an instance calls the store: directly,
// or through a relay when the direct way fails. A relay is a process of the
// fleet that passes bytes on to the store.
//
// # Usage
//
//	p := pathfinder.New("10.0.0.1:8000")
//	p.SetRelays([]string{"10.1.0.9:7340"})
//	addr, limit := p.Pick(now)
//	...
//	p.Succeeded(addr) or p.Failed(now, addr)
//
// It is a decision package: times go in, and it opens no connection.
package pathfinder

import (
	"slices"
	"time"
)

const (
	// quickLimit bounds a call while other ways are left. The store answers in
	// 4 ms, and in 240 ms when it is slow.
	quickLimit = 400 * time.Millisecond
	// slowLimit bounds a call when every way has failed lately.
	slowLimit   = time.Second
	retryTime   = 3 * time.Second // after which a failed relay is tried again
	probeTime   = time.Second     // between probes of a direct way that failed
	maxFailures = 64              // remembered failed relays

	// ProbeLimit bounds a call that tries the direct way again.
	ProbeLimit = quickLimit
)

// Paths is the state of the ways to one store.
type Paths struct {
	direct string
	relays []string
	failed map[string]time.Time
	relay  string // in use while the direct way fails
	probed time.Time
}

// New returns the ways to the store at an address, without relays.
func New(direct string) *Paths {
	return &Paths{direct: direct, failed: make(map[string]time.Time)}
}

// SetRelays replaces the relays, best first.
func (p *Paths) SetRelays(relays []string) { p.relays = relays }

// Pick returns the address to call and how long the call may take.
func (p *Paths) Pick(now time.Time) (addr string, limit time.Duration) {
	if _, bad := p.failed[p.direct]; !bad {
		return p.direct, p.limit(now)
	}
	if p.relay != "" && p.usable(now, p.relay) && slices.Contains(p.relays, p.relay) {
		return p.relay, p.limit(now)
	}
	for _, r := range p.relays {
		if p.usable(now, r) {
			p.relay = r
			return r, p.limit(now)
		}
	}
	return p.direct, slowLimit
}

// limit returns the time of a call: short while there is another way to try.
func (p *Paths) limit(now time.Time) time.Duration {
	for _, r := range p.relays {
		if p.usable(now, r) {
			return quickLimit
		}
	}
	return slowLimit
}

func (p *Paths) usable(now time.Time, relay string) bool {
	at, bad := p.failed[relay]
	return !bad || now.Sub(at) >= retryTime
}

// Succeeded records an answer.
func (p *Paths) Succeeded(addr string) {
	delete(p.failed, addr)
	if addr == p.direct {
		p.relay = ""
	}
}

// Failed records a call without an answer. It reports whether the address
// worked before.
func (p *Paths) Failed(now time.Time, addr string) bool {
	_, bad := p.failed[addr]
	if len(p.failed) >= maxFailures {
		clear(p.failed)
	}
	p.failed[addr] = now
	return !bad
}

// Probe reports whether the direct way failed and should be tried now.
func (p *Paths) Probe(now time.Time) (addr string, due bool) {
	if _, bad := p.failed[p.direct]; !bad || now.Sub(p.probed) < probeTime {
		return "", false
	}
	p.probed = now
	return p.direct, true
}

// Direct reports whether calls go to the store itself.
func (p *Paths) Direct() bool {
	_, bad := p.failed[p.direct]
	return !bad
}
