package starter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"daisylane/internal/follower"
	"daisylane/internal/reporter"
	"daisylane/platform"
)

const (
	// maxConfirmRate limits the reads of registrations after ends of connections, of all
	// instances together, per second. It is a share of the 2,000 reads that the store allows.
	maxConfirmRate = 200
	// confirmBurst is how many of them all instances together make at once, and
	// maxConfirmBurst how many one instance does.
	confirmBurst    = 600
	maxConfirmBurst = 20
	// confirmTimeout limits such a read. A watch confirms the target otherwise.
	confirmTimeout = 300 * time.Millisecond
	// answerDelay is how long a response may be under way from the store to the neighbour that
	// watches it for this instance: the timeout of a call.
	answerDelay = time.Second
	// silentTime is by how much a watch may exceed its wait. After a longer time the store was
	// silent.
	silentTime = 500 * time.Millisecond
)

// ends tells the roster which connections to targets have ended, and reads the registrations
// of these targets again. It implements [forwarder.Observer].
type ends struct {
	e       *entry
	reads   *rate.Limiter
	mu      sync.Mutex
	reading map[string]bool // IDs of targets
}

func newEnds(e *entry) *ends {
	return &ends{e: e, reads: rate.NewLimiter(maxConfirmRate, maxConfirmBurst), reading: make(map[string]bool)}
}

// Closed implements [forwarder.Observer].
func (o *ends) Closed(addr string) {
	o.observe(func(r *follower.Roster) []follower.Target { return r.RecordClosed(time.Now(), addr) }, "a connection has ended")
}

// Refused implements [forwarder.Observer].
func (o *ends) Refused(addr string) {
	o.observe(func(r *follower.Roster) []follower.Target { return r.RecordRefused(time.Now(), addr) }, "the address refuses connections")
}

// Dialled implements [forwarder.Observer].
func (o *ends) Dialled(addr string) {
	o.observe(func(r *follower.Roster) []follower.Target { return r.RecordDialled(time.Now(), addr) }, "the address accepts connections again")
}

func (o *ends) observe(record func(*follower.Roster) []follower.Target, why string) {
	var uncertain []follower.Target
	o.e.dispatcher.WithRoster(func(r *follower.Roster) { uncertain = record(r) })
	for _, t := range uncertain {
		if !o.e.hasResumable(t.Service) {
			continue
		}
		o.e.log.Info().Str("target", t.ID).Str("addr", t.Addr).Str("version", t.Version).Str("reason", why).Msg("version of target is uncertain")
		go o.confirm(t)
	}
}

// confirm reads the registration of a target whose version is uncertain, so that a connection
// that ended without its process has no effect. It does nothing while the store is silent.
func (o *ends) confirm(t follower.Target) {
	if o.e.targetsLost.Load() || !o.begin(t.ID) {
		return
	}
	defer o.end(t.ID)
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	// A process that has just ended is still registered.
	if o.e.pool.RefusesNext(ctx, t.Addr) {
		return
	}
	begun := time.Now()
	item, err := o.e.store.Get(ctx, platform.KindRunners, t.ID)
	if err != nil {
		o.e.log.Warn().Err(err).Str("target", t.ID).Msg("version of target not confirmed; waiting for a watch")
		return
	}
	listed, err := platform.DecodeRunner(t.ID, item.Body)
	if err != nil {
		o.e.log.Warn().Err(err).Msg("target object is invalid; its version stays uncertain")
		return
	}
	ok := false
	o.e.dispatcher.WithRoster(func(r *follower.Roster) { ok = r.Confirm(begun, listed) })
	if ok {
		o.e.announceCertain(listed)
	}
}

// begin reports whether the registration of a target may be read now. The caller must call end
// then.
func (o *ends) begin(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	instances := max(1, o.e.accounting.InstanceCount())
	o.reads.SetLimit(rate.Limit(maxConfirmRate / float64(instances)))
	o.reads.SetBurst(min(max(1, confirmBurst/instances), maxConfirmBurst))
	if o.reading[id] || !o.reads.Allow() {
		return false
	}
	o.reading[id] = true
	return true
}

func (o *ends) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.reading, id)
}

// hasResumable reports whether streams of a service may be resumed.
func (e *entry) hasResumable(service string) bool {
	table := e.receiver.Table()
	if table == nil {
		return false
	}
	for _, r := range table.Routes() {
		if r.Resumable && r.Uses(service) {
			return true
		}
	}
	return false
}

// recordTargetContact records that the view of targets matches a response to a watch or list
// that was begun at the given time.
func (e *entry) recordTargetContact(begun time.Time) {
	now := time.Now()
	silent := now.Sub(begun) > follower.WatchWait(e.cfg.ChangeDelay())+silentTime
	if at := e.watches.Contact(platform.KindRunners).Add(-answerDelay); !e.watches.IsWatcher(platform.KindRunners) && at.Before(begun) {
		begun = at
	}
	var certain []follower.Target
	e.dispatcher.WithRoster(func(r *follower.Roster) {
		if silent {
			r.RecordSilence(now)
		}
		certain = r.RecordContact(begun)
		e.metrics.Scope().Gauge(reporter.UncertainTargets).Update(float64(len(r.AppendUncertain(nil))))
	})
	e.announceCertain(certain...)
}

// announceCertain tells the receiver of targets whose version is certain again.
func (e *entry) announceCertain(targets ...follower.Target) {
	for _, t := range targets {
		if !e.hasResumable(t.Service) {
			continue // no stream depends on it
		}
		e.log.Info().Str("target", t.ID).Str("addr", t.Addr).Str("version", t.Version).Msg("version of target is certain again")
	}
	e.receiver.LearnOrigins()
}
