// Package pathfinder selects the address at which an instance calls the store: the
// store itself, or a relay when direct calls fail. A relay is a process of the fleet
// that forwards bytes to the store.
//
// # Usage
//
//	p := pathfinder.New("10.0.0.1:8000")
//	p.SetRelays([]string{"10.1.0.9:7340"})
//	if wait, tried := p.Admit(now); wait == 0 {
//		addr, limit := p.SelectAddr(now)
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
	probeInterval   = time.Second     // between probes of the store after a failed direct call, doubles up to maxProbeInterval
	// maxProbeInterval is how long calls may take a relay after the store can be reached
	// directly again.
	maxProbeInterval = 4 * time.Second
	// tryInterval is the time between two calls while nothing answers, over all callers of
	// the process. It is the time in which a call by a relay fails, so relays are tried as
	// fast as without it.
	tryInterval    = shortTimeout
	maxFailedAddrs = 64 // addresses whose failures are remembered

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
	probePause  time.Duration
	failedInRow map[string]bool // addresses that have failed since the last response
	lastTry     time.Time       // when a call was admitted while nothing answered
	trying      int             // calls that were admitted while nothing answered
}

// New returns the state for the store at an address, without relays.
func New(direct string) *Paths {
	return &Paths{direct: direct, failedAt: make(map[string]time.Time), failedInRow: make(map[string]bool)}
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
	if p.relayLeft(now) {
		return shortTimeout
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
	clear(p.failedInRow)
	p.lastGood = addr
	if addr == p.direct {
		p.activeRelay, p.probePause = "", 0
	}
}

// RecordFailure records that a call got no response. It returns false if the address
// had already failed.
func (p *Paths) RecordFailure(now time.Time, addr string) bool {
	_, bad := p.failedAt[addr]
	if len(p.failedAt) >= maxFailedAddrs {
		clear(p.failedAt)
		clear(p.failedInRow)
	}
	p.failedAt[addr], p.failedInRow[addr] = now, true
	return !bad
}

// away reports whether nothing answers: a direct call and one by a relay have failed, or
// there is no relay to be tried.
func (p *Paths) away(now time.Time) bool {
	return p.failedInRow[p.direct] && (len(p.failedInRow) > 1 || !p.relayLeft(now))
}

// relayLeft reports whether a relay may answer that has not failed lately.
func (p *Paths) relayLeft(now time.Time) bool {
	return slices.ContainsFunc(p.relays, func(r string) bool { return p.usable(now, r) })
}

// Admit reports whether a call may be made now, and otherwise how long it has to wait
// unless another call gets a response or fails before. While nothing answers, one call at a
// time shows that it does again; the others would only be charged. tried says that Tried
// must be called when the call ends.
func (p *Paths) Admit(now time.Time) (wait time.Duration, tried bool) {
	if !p.away(now) {
		return 0, false
	}
	if since := now.Sub(p.lastTry); since < tryInterval && (p.trying > 0 || !p.relayLeft(now)) {
		return tryInterval - since, false
	}
	p.lastTry = now
	p.trying++
	return 0, true
}

// Tried records the end of a call that was admitted while nothing answered.
func (p *Paths) Tried() { p.trying-- }

// StartProbe returns the store's address if direct calls fail and a probe is due. It
// records the time of the probe.
func (p *Paths) StartProbe(now time.Time) (addr string, due bool) {
	if _, bad := p.failedAt[p.direct]; !bad || now.Sub(p.lastProbe) < p.probePause {
		return "", false
	}
	p.lastProbe, p.probePause = now, min(max(probeInterval, 2*p.probePause), maxProbeInterval)
	return p.direct, true
}

// UsesDirect reports whether calls go directly to the store.
func (p *Paths) UsesDirect() bool {
	_, bad := p.failedAt[p.direct]
	return !bad
}
