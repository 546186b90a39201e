package throttler

import (
	"testing"
	"time"

	"daisylane/internal/recorder"
)

// Guards against two processes that hold the lease, or whose permits are in use, at the same
// time: because the former holder does not stop, its successor does not wait, a process that
// has just started or a restore of the store hides the holder, or a write of which the
// response was lost counts as none.
func TestLeaseHasOneHolder(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	process := func(name string) *lease {
		return &lease{self: Lease{Group: leaseName, Holder: name, Process: name, Addr: "10.0.0.1:80"}}
	}
	hold := func() (a *lease, stored []recorder.Stored[Lease]) {
		a = process("a")
		a.observeList(at(-time.Hour), nil, false)
		a.want(start, 0)
		if !a.due(start) {
			t.Fatal("a process takes no lease that nobody holds")
		}
		a.written(at(400*time.Millisecond), recorder.Write[Lease]{Record: a.self}, 7)
		return a, []recorder.Stored[Lease]{{Record: a.self, Version: 7}}
	}
	claims := func(l *lease, now time.Time) bool {
		l.want(now, 0)
		return l.due(now)
	}
	t.Run("holder without renewal", func(t *testing.T) {
		a, _ := hold()
		if !a.holds(at(leaseTime-1)) || a.holds(at(leaseTime)) {
			t.Error("the lease does not end leaseTime after the write was sent")
		}
	})
	t.Run("successor", func(t *testing.T) {
		_, stored := hold()
		b := process("b")
		b.observeList(at(-time.Hour), nil, false)
		b.observe(at(300*time.Millisecond), stored[0].Version, stored[0].Record)
		if earliest := 300*time.Millisecond + takeoverTime; claims(b, at(earliest-1)) || !claims(b, at(earliest)) {
			t.Error("the lease is not taken over after takeoverTime")
		}
	})
	t.Run("just started", func(t *testing.T) {
		_, stored := hold()
		b := process("b")
		if claims(b, at(0)) {
			t.Error("the lease is taken before the list")
		}
		b.observeList(at(time.Second), stored, false)
		if claims(b, at(takeoverTime)) {
			t.Error("the lease is taken too early after a start")
		}
	})
	t.Run("restored", func(t *testing.T) {
		a, _ := hold()
		b := process("b")
		b.observeList(at(-time.Hour), nil, false)
		for _, l := range []*lease{a, b} {
			l.observeList(at(time.Second), nil, true)
			if l.holds(at(time.Second)) || claims(l, at(takeoverTime)) || !claims(l, at(time.Second+takeoverTime)) {
				t.Error("after a restore of the store the lease is not free for takeoverTime")
			}
		}
	})
	t.Run("response lost", func(t *testing.T) {
		a, _ := hold()
		a.want(at(time.Second), 0)
		if !a.due(at(time.Second)) {
			t.Fatal("the lease is not renewed")
		}
		a.failed()
		a.observe(at(2*time.Second), 8, a.self)
		if a.holds(at(leaseTime)) {
			t.Error("a write without a response prolongs the lease")
		}
		if !a.due(at(2 * time.Second)) {
			t.Error("the lease is not renewed after a lost response")
		}
	})
	t.Run("taken by another", func(t *testing.T) {
		a, _ := hold()
		a.observe(at(time.Second), 8, process("b").self)
		if a.holds(at(time.Second)) {
			t.Error("two processes hold the lease")
		}
	})
}
