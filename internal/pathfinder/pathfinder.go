// Package pathfinder selects the address at which an instance calls the store: the
// store itself, or a relay when direct calls fail. A relay is a process of the fleet
// that forwards bytes to the store.
//
// # Usage
//
//	p := pathfinder.New("10.0.0.1:8000")
//	p.SetRelays([]string{"10.1.0.9:7340"})
//	addr, limit := p.SelectAddr(now)
//	...
//	p.RecordSuccess(addr) or p.RecordFailure(now, addr)
//
// The package only decides. It gets the time as an argument and opens no connections.
package pathfinder

import (
	"slices"
	"time"
)

const (
	// shortTimeout applies while a relay is left to try. The store responds in 4 ms, or
	// in 240 ms when it is slow.
	shortTimeout = 400 * time.Millisecond
	// longTimeout applies when no relay is left to try.
	longTimeout     = time.Second
	relayRetryDelay = 3 * time.Second // before a failed relay is tried again
	probeInterval   = time.Second     // between probes of the store after a failed direct call
	maxFailedAddrs  = 64              // addresses whose failures are remembered

	// ProbeTimeout is the timeout of a probe of the store.
	ProbeTimeout = shortTimeout
)

// Paths holds the addresses of one store and their recent failures. It is not safe for
// concurrent use.
type Paths struct {
	direct      string
	relays      []string
	failedAt    map[string]time.Time
	activeRelay string // relay in use while direct calls fail
	lastGood    string // address that responded last, empty if none has
	lastProbe   time.Time
}

// New returns the state for the store at an address, without relays.
func New(direct string) *Paths {
	return &Paths{direct: direct, failedAt: make(map[string]time.Time)}
}

// SetRelays replaces the relays, in order of preference.
func (p *Paths) SetRelays(relays []string) { p.relays = relays }

// SelectAddr returns the address to call and the timeout of the call. If direct calls
// fail, it selects a relay and keeps it for later calls.
func (p *Paths) SelectAddr(now time.Time) (addr string, limit time.Duration) {
	if _, bad := p.failedAt[p.direct]; !bad {
		return p.direct, p.callTimeout(now)
	}
	if p.activeRelay != "" && p.usable(now, p.activeRelay) && slices.Contains(p.relays, p.activeRelay) {
		return p.activeRelay, p.callTimeout(now)
	}
	for _, r := range p.relays {
		if p.usable(now, r) {
			p.activeRelay = r
			return r, p.callTimeout(now)
		}
	}
	if addr := p.fallbackAddr(); addr != p.direct {
		return addr, shortTimeout
	}
	return p.direct, longTimeout
}

// fallbackAddr returns the address to call when all have failed lately: the one that
// responded last, since one lost response says little about it, or the one that failed
// first if none has responded yet.
func (p *Paths) fallbackAddr() string {
	if p.lastGood == p.direct || slices.Contains(p.relays, p.lastGood) {
		return p.lastGood
	}
	addr := p.direct
	for _, r := range p.relays {
		if p.failedAt[r].Before(p.failedAt[addr]) {
			addr = r
		}
	}
	return addr
}

// callTimeout returns the timeout of a call, which is short while a relay can be tried.
func (p *Paths) callTimeout(now time.Time) time.Duration {
	for _, r := range p.relays {
		if p.usable(now, r) {
			return shortTimeout
		}
	}
	return longTimeout
}

func (p *Paths) usable(now time.Time, relay string) bool {
	at, bad := p.failedAt[relay]
	return !bad || now.Sub(at) >= relayRetryDelay
}

// RecordSuccess records that a call got a response.
func (p *Paths) RecordSuccess(addr string) {
	delete(p.failedAt, addr)
	p.lastGood = addr
	if addr == p.direct {
		p.activeRelay = ""
	}
}

// RecordFailure records that a call got no response. It returns false if the address
// had already failed.
func (p *Paths) RecordFailure(now time.Time, addr string) bool {
	_, bad := p.failedAt[addr]
	if len(p.failedAt) >= maxFailedAddrs {
		clear(p.failedAt)
	}
	p.failedAt[addr] = now
	return !bad
}

// StartProbe returns the store's address if direct calls fail and a probe is due. It
// records the time of the probe.
func (p *Paths) StartProbe(now time.Time) (addr string, due bool) {
	if _, bad := p.failedAt[p.direct]; !bad || now.Sub(p.lastProbe) < probeInterval {
		return "", false
	}
	p.lastProbe = now
	return p.direct, true
}

// UsesDirect reports whether calls go directly to the store.
func (p *Paths) UsesDirect() bool {
	_, bad := p.failedAt[p.direct]
	return !bad
}
