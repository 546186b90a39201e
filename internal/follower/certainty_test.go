package follower

import (
	"testing"
	"time"
)

// Guards against a version that is taken for certain although the process that was registered
// may have ended, against one that stays uncertain after the store has confirmed it, and
// against a stream that is ascribed to another process than the one that started it.
func TestCertainty(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	process := func(born int64, version string) Target {
		v := target("a")
		v.Incarnation, v.Version = born, version
		return v
	}
	former, next := process(1, "v1"), process(2, "v2")
	const addr = "10.0.0.1:1"
	settled := int(settleTime / time.Millisecond)
	tests := []struct {
		name    string
		steps   func(r *Roster)
		certain bool
		sentAt  int    // of a stream that was sent when the former process was listed, 0: none
		version string // of that stream, empty: not known
	}{
		{name: "undisturbed", steps: func(r *Roster) { r.RecordDialled(at(10), addr) }, certain: true},
		{name: "another address", steps: func(r *Roster) { r.RecordRefused(at(10), "10.0.0.2:1") }, certain: true},
		{name: "closed", steps: func(r *Roster) { r.RecordClosed(at(10), addr) }},
		{name: "call begun before", steps: func(r *Roster) { r.RecordClosed(at(10), addr); r.RecordContact(at(9)) }},
		{name: "closed, still listed", steps: func(r *Roster) { r.RecordClosed(at(10), addr); r.RecordContact(at(11)) }, certain: true, sentAt: 12, version: "v1"},
		{name: "closed, read again", steps: func(r *Roster) { r.RecordClosed(at(10), addr); r.Confirm(at(11), former) }, certain: true},
		{name: "closed, another process read", steps: func(r *Roster) { r.RecordClosed(at(10), addr); r.Confirm(at(11), next) }},
		{name: "refused, still listed", steps: func(r *Roster) { r.RecordRefused(at(10), addr); r.RecordContact(at(11)) }},
		{name: "refused, then accepted", steps: func(r *Roster) {
			r.RecordRefused(at(10), addr)
			r.RecordDialled(at(20), addr)
			r.RecordContact(at(19))
		}},
		{name: "refused, accepted, still listed", steps: func(r *Roster) {
			r.RecordRefused(at(10), addr)
			r.RecordDialled(at(20), addr)
			r.RecordContact(at(21))
		}, certain: true},
		{name: "refused, another process listed", steps: func(r *Roster) { r.RecordRefused(at(10), addr); r.Put(next); r.RecordContact(at(11)) }, certain: true, sentAt: 11, version: "v2"},
		{name: "another process listed by a call begun before", steps: func(r *Roster) { r.RecordClosed(at(10), addr); r.Put(next); r.RecordContact(at(9)) }},
		{name: "still listed right after an outage", steps: func(r *Roster) {
			r.RecordClosed(at(10), addr)
			r.RecordReconnect(at(20))
			r.RecordContact(at(20 + settled - 1))
		}},
		{name: "still listed when targets have registered again", steps: func(r *Roster) {
			r.RecordClosed(at(10), addr)
			r.RecordReconnect(at(20))
			r.RecordContact(at(20 + settled))
		}, certain: true},
		{name: "another process right after an outage", steps: func(r *Roster) {
			r.RecordClosed(at(10), addr)
			r.RecordReconnect(at(20))
			r.Put(next)
			r.RecordContact(at(21))
		}, certain: true, sentAt: 15, version: "v2"},
		{name: "missing from the list after an outage", steps: func(r *Roster) {
			r.RecordClosed(at(10), addr)
			r.RecordReconnect(at(20))
			r.SetList(at(21), nil)
			r.RecordContact(at(20 + settled))
		}},
		{name: "older process of a restored store", steps: func(r *Roster) {
			r.Put(next)
			r.RecordRestore(at(10))
			r.Put(former)
			r.RecordContact(at(11))
		}},
		{name: "stream of an unconfirmed process", steps: func(r *Roster) { r.RecordClosed(at(10), addr) }, sentAt: 11},
		{name: "stream that ends with its process, confirmed before", steps: func(r *Roster) {
			r.RecordClosed(at(10), addr)
			r.Put(next)
			r.RecordContact(at(20))
			r.RecordClosed(at(30), addr)
		}, sentAt: 15, version: "v2"},
		{name: "stream that ends with its process, not confirmed", steps: func(r *Roster) {
			r.RecordRefused(at(10), addr)
			r.RecordClosed(at(30), addr)
			r.Put(next)
			r.RecordContact(at(40))
		}, certain: true, sentAt: 15},
		{name: "stream sent later than the call that confirmed", steps: func(r *Roster) {
			r.RecordRefused(at(10), addr)
			r.Put(next)
			r.RecordContact(at(20))
		}, certain: true, sentAt: 25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRoster()
			r.Put(former)
			r.RecordContact(at(0))
			tt.steps(r)
			if got := !r.IsUncertain("a"); got != tt.certain {
				t.Errorf("certain %v, want %v", got, tt.certain)
			}
			if tt.sentAt == 0 {
				return
			}
			if version, ok := r.StartedBy(former, at(tt.sentAt)); ok != (tt.version != "") || ok && version != tt.version {
				t.Errorf("version of the stream %q, %v, want %q", version, ok, tt.version)
			}
		})
	}
}
