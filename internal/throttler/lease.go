package throttler

import (
	"math/rand/v2"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// leaseTime is how long after a write was sent its writer holds the lease. It covers
	// two renewals that get no response.
	leaseTime = 2500 * time.Millisecond
	// renewInterval is the time between two writes of the holder.
	renewInterval = 800 * time.Millisecond
	// retryInterval is the time after a write that failed.
	retryInterval = 200 * time.Millisecond
	// clockMargin covers clocks of instances that run at different rates, and the time
	// between the use of a permit and the arrival of the request.
	clockMargin = 500 * time.Millisecond
	// takeoverTime is how long another instance must have seen the record unchanged before
	// it takes the lease. By then the lease and all permits given under it have ended.
	takeoverTime = leaseTime + maxColdPermitTime + clockMargin
	// claimInterval is the time that instances leave to those before them in the rank, so
	// that few write at once.
	claimInterval = 100 * time.Millisecond
	maxClaimDelay = time.Second
	// leaseWantedTime is how long after the last ask the lease is kept.
	leaseWantedTime = 3 * time.Second
	// leaseName is the name of the only record.
	leaseName = "fleet"
	// maxLeaseTargets limits the targets in a record.
	maxLeaseTargets = 1024
)

// Lease is the record that names the only instance which may give out permits for cold
// targets. It is immutable.
type Lease struct {
	Group   string       `json:"group"`
	Holder  string       `json:"holder"`  // name of the instance
	Process string       `json:"process"` // differs between processes of one instance
	Addr    string       `json:"addr"`
	Targets []ColdReport `json:"targets,omitempty"` // cold targets that the holder knows
}

// Check validates the record.
func (l Lease) Check() error {
	var f checker.Validator
	f.Require(l.Group == leaseName, "group", "is %q, must be %q", l.Group, leaseName)
	f.Require(l.Holder != "", "holder", "is empty")
	f.Require(l.Process != "", "process", "is empty")
	f.Require(l.Addr != "", "addr", "is empty")
	f.Require(len(l.Targets) <= maxLeaseTargets, "targets", "has %d entries, allowed are %d", len(l.Targets), maxLeaseTargets)
	for _, t := range l.Targets {
		f.AddNested("targets", t.Check())
	}
	return f.Err()
}

// Name returns the name of the record.
func (l Lease) Name() string { return l.Group }

// ColdReport says for how long a target stays cold.
type ColdReport struct {
	Target      string `json:"target"`
	Incarnation int64  `json:"incarnation"`
	Left        int64  `json:"left"` // milliseconds, as known at the time of the report
}

// Check validates the report.
func (r ColdReport) Check() error {
	var f checker.Validator
	f.Require(r.Target != "", "target", "is empty")
	checker.Range(&f, "left", r.Left, 0, maxColdTime.Milliseconds())
	return f.Err()
}

// lease decides when this process may give out permits. It holds the lease for leaseTime
// from before a conditional write that succeeded, and takes over a record that it has seen
// unchanged for takeoverTime. So clocks need not agree, and no two processes hold it, nor
// are permits of two of them in use, at the same time.
type lease struct {
	self      Lease
	record    Lease
	version   uint64    // of the stored record, 0: there is none
	seenAt    time.Time // when the record was first seen in this version, zero: not listed yet
	heldUntil time.Time
	sentAt    time.Time // of the last write
	sending   bool
	nextAt    time.Time // of the next write, not before
	removed   bool      // the record was removed since the last call of due
	wantedAt  time.Time // when permits were last asked for
	claimAt   time.Time // of a record of another process, not before
}

// holds reports whether this process may give out permits.
func (l *lease) holds(now time.Time) bool { return now.Before(l.heldUntil) }

// holder returns the record of the instance that probably holds the lease.
func (l *lease) holder(now time.Time) (Lease, bool) {
	return l.record, l.version > 0 && now.Sub(l.seenAt) < takeoverTime
}

// want records that permits are needed. before is how many instances come first in the rank
// of those that may take the lease.
func (l *lease) want(now time.Time, before int) {
	if now.Sub(l.wantedAt) > leaseWantedTime {
		l.claimAt = now.Add(min(time.Duration(before)*claimInterval, maxClaimDelay+rand.N(maxClaimDelay)))
	}
	l.wantedAt = now
}

// due reports whether the record is to be written now. written or failed must be called
// after the write.
func (l *lease) due(now time.Time) bool {
	if l.removed {
		l.seenAt, l.removed = now, false
	}
	if l.sending || l.seenAt.IsZero() || l.wantedAt.IsZero() || now.Sub(l.wantedAt) > leaseWantedTime || now.Before(l.nextAt) {
		return false
	}
	own := l.version > 0 && l.record.Process == l.self.Process
	if !own && (now.Sub(l.seenAt) < takeoverTime || now.Before(l.claimAt)) {
		return false
	}
	l.sending, l.sentAt = true, now
	return true
}

func (l *lease) written(now time.Time, w recorder.Write[Lease], version uint64) {
	l.sending = false
	if l.sentAt.IsZero() || version < l.version {
		return // the store was restored, or another process has written since
	}
	l.record, l.version, l.seenAt = w.Record, version, now
	l.heldUntil, l.nextAt = l.sentAt.Add(leaseTime), l.sentAt.Add(renewInterval)
}

func (l *lease) failed() {
	l.sending = false
	l.nextAt = l.sentAt.Add(retryInterval)
}

// observe takes over a stored record.
func (l *lease) observe(now time.Time, version uint64, r Lease) {
	if version <= l.version && !l.seenAt.IsZero() {
		return
	}
	l.record, l.version, l.seenAt, l.removed = r, version, now, false
	if r.Process != l.self.Process {
		l.heldUntil = time.Time{}
	}
}

// observeList takes over the list of all records. After a restore an older record, or none,
// may hide one that another process wrote just before.
func (l *lease) observeList(now time.Time, list []recorder.Stored[Lease], restored bool) {
	if restored {
		l.version, l.seenAt, l.heldUntil, l.sentAt = 0, time.Time{}, time.Time{}, time.Time{}
	}
	for _, s := range list {
		l.observe(now, s.Version, s.Record)
	}
	switch {
	case len(list) > 0:
	case l.seenAt.IsZero():
		l.seenAt = now
	case l.version > 0:
		l.remove()
	}
}

// remove records that there is no record. The time counts from the next call of due.
func (l *lease) remove() {
	l.record, l.version, l.heldUntil, l.removed = Lease{}, 0, time.Time{}, true
}
