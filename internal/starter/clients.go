package starter

import (
	"net/http"
	"time"

	"daisylane/internal/acceptor"
	"daisylane/internal/gatekeeper"
	"daisylane/internal/receiver"
	"daisylane/internal/resolver"
)

const (
	// Limits of callers until the configuration names others.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 5 * time.Minute
	// maxProbes bounds the descriptors of the listeners for probes and for metrics, each.
	maxProbes = 32
)

// serviceLimits are the limits of all listeners but that for callers. Their requests have
// some hundred bytes. They are answered within half a second, or at the end of a watch, for
// which neighbours wait at most 4 s.
var serviceLimits = acceptor.Limits{
	MaxHeaderBytes: 8 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: defaultIdleTimeout, RequestTimeout: 30 * time.Second,
}

// newServer returns a server with the log and the metrics of the entry.
func (e *entry) newServer(h http.Handler, l acceptor.Limits, opts ...acceptor.Option) *acceptor.Server {
	return acceptor.New(h, l, append(opts, acceptor.WithLog(e.log), acceptor.WithMetrics(e.metrics.Scope()))...)
}

// clientLimits returns the limits of callers.
func clientLimits(l resolver.Limits) acceptor.Limits {
	out := acceptor.Limits{MaxHeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if l.MaxHeaderBytes > 0 {
		out.MaxHeaderBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

// descriptorShares divides the descriptors of an instance.
func descriptorShares(limit int) shares {
	s := acceptor.Descriptors(limit)
	return shares{callers: s / 2, peers: s / 4}
}

// shares are the descriptors of listeners. The rest is for idle connections to targets, the
// store, peers, probes and metrics. A peer that shares its watches has some connections of
// each neighbour for as long as they wait.
type shares struct{ callers, peers int }

// applyClientLimits sets what callers may hold, by the settings and the configuration. It is
// called when one of them has changed.
func (e *entry) applyClientLimits() {
	var l resolver.Limits
	if table := e.receiver.Table(); table != nil {
		l = table.Limits()
	}
	cfg := e.settings.Load().Limits
	body := l.MaxBodyBytes
	if body <= 0 {
		body = receiver.DefaultBodyBytes
	}
	// A single body of the largest size is always served.
	e.memory.SetLimit(max(heldLimit(cfg.Held, cfg.Memory), body+gatekeeper.SmallBody))
	e.callers.SetLimits(clientLimits(l))
	e.callers.SetDescriptors(descriptorShares(cfg.Descriptors).callers)
}

// heldLimit returns the limit of bodies and answers in bytes, by the settings in MiB.
func heldLimit(held, memory int) int64 {
	switch {
	case held > 0:
		return int64(held) << 20
	case memory > 0:
		return gatekeeper.MemoryLimit(int64(memory) << 20)
	}
	return gatekeeper.MemoryLimit(acceptor.MachineMemory())
}
