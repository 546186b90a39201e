package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against answers that their target has outlived, but that are not settled yet, being
// lost when the target ends.
func TestEndKeepsSurvivedAnswers(t *testing.T) {
	now, target := time.Now(), Target{ID: "i-1"}
	subject := Subject{Service: service, Parts: []uint64{1, 2, 3}}
	m := NewMonitor()
	for _, age := range []time.Duration{survivalTime, survivalTime / 2} {
		m.RecordWhole(now.Add(-age), target, now.Add(-time.Second), subject)
	}
	if under, _ := m.RecordEnd(now, target); len(under) != 1 {
		t.Errorf("ended under %+v, want the younger answer", under)
	}
	m.Settle(now)
	if _, ok := m.answered.at(partKey{service, subject.PartFingerprints()[0]}); !ok {
		t.Error("the older answer does not count")
	}
}

// Guards against a quarantine of what requests with different prompts have in common because
// many targets end at once, although it was answered before the first of them.
func TestAnsweredBeforeFirstCrash(t *testing.T) {
	now := time.Now()
	subject := func(own uint64) Subject {
		c := Content{Account: "t1", URI: "/plan", Parts: []uint64{1, own}}
		return Subject{Service: service, Parts: c.Parts, Requests: Fingerprints(c)}
	}
	m := NewMonitor()
	m.RecordWhole(now, Target{ID: "i-1"}, now, subject(2))
	m.Settle(now.Add(survivalTime))
	now = now.Add(2 * answeredRecently)
	for i := range 2 * highThreshold {
		s := subject(uint64(100 + i))
		m.RecordCrash(now, Report{Service: service, Target: fmt.Sprint("i-", i), Begun: true, Parts: s.Parts, Requests: s.Requests})
	}
	if v := m.Judge(now, subject(3)); v.Outcome != Allowed {
		t.Errorf("a request that shares the path and the body is %s for %s", v.Outcome, v.Fingerprint)
	}
}

// Guards against attempts at a slow target that count as a crash when its registration lapses,
// or when it ends long after, and against an end of a target that no longer counts.
func TestAbandonedAttempts(t *testing.T) {
	tests := []struct {
		name      string
		abandoned bool
		answered  bool // the target answers a later request
		lapsed    bool // the registration lapses, otherwise the target is known to have ended
		counts    bool
	}{
		{name: "broken off, lapsed", lapsed: true, counts: true},
		{name: "broken off, ended", counts: true},
		{name: "broken off, then back at once", answered: true, counts: true},
		{name: "abandoned, lapsed", abandoned: true, lapsed: true},
		{name: "abandoned, ended", abandoned: true, counts: true},
		{name: "abandoned, then slow only", abandoned: true, answered: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, target := time.Now(), Target{ID: "i-1"}
			m := NewMonitor()
			m.RecordFailure(now, Report{Service: service, Target: target.ID, SentAt: now.Add(-time.Second), Abandoned: tt.abandoned, Requests: request("slow")})
			if now = now.Add(time.Second); tt.answered {
				m.RecordWhole(now, target, now, Subject{Service: service, Parts: []uint64{1, 2}})
			}
			now = now.Add(2 * survivalTime)
			end := m.RecordEnd
			if tt.lapsed {
				end = m.RecordLapse
			}
			if under, _ := end(now, target); (len(under) > 0) != tt.counts {
				t.Errorf("%d attempts count, want some: %v", len(under), tt.counts)
			}
		})
	}
}

// Guards against answers of a target that serves on after its registration has lapsed, which
// count as crashes whenever the record of the lapse changes or comes back from the store.
func TestLapsedTargetServesOn(t *testing.T) {
	now, target := time.Now(), Target{ID: "i-1"}
	subject := Subject{Service: service, Parts: []uint64{1, 2}, Requests: request("healthy")}
	m := NewMonitor()
	m.RecordFailure(now, Report{Service: service, Target: target.ID, SentAt: now, Requests: request("broken off")})
	m.RecordLapse(now, target)
	for version := range uint64(3) {
		now = now.Add(suspicionDelay)
		m.RecordWhole(now, target, now.Add(-survivalTime), subject)
		m.Observe(now, version+1, CrashRecord{Service: service, Target: target.ID, Requests: request("broken off")})
		m.Settle(now.Add(survivalTime))
	}
	if _, suspected := m.suspicions[subject.Requests[0]]; suspected {
		t.Error("an answered request is suspected")
	}
}

// Guards against an answer that its target did not outlive and that counts as a proof, because
// the target is back at once and its new registration is known late.
func TestLateEnd(t *testing.T) {
	for _, tt := range []struct {
		name     string
		inTouch  time.Duration // after the answer
		survived bool
	}{{"store not heard since", survivalTime / 2, false}, {"store heard since", survivalTime, true}} {
		t.Run(tt.name, func(t *testing.T) {
			now, target := time.Now(), Target{ID: "i-1"}
			subject := Subject{Service: service, Parts: []uint64{1, 2}, Closed: true}
			m := NewMonitor()
			m.RecordWhole(now, target, now, subject)
			m.RecordInTouch(now.Add(tt.inTouch))
			m.Settle(now.Add(survivalTime))
			m.RecordEnd(now.Add(2*survivalTime), target)
			m.RecordInTouch(now.Add(2 * survivalTime))
			m.Settle(now.Add(2 * survivalTime))
			if _, survived := m.answered.at(partKey{service, subject.PartFingerprints()[0]}); survived != tt.survived {
				t.Errorf("part counts as answered: %v, want %v", survived, tt.survived)
			}
		})
	}
}

// Guards against a part that crashes targets after answers that look whole and so counts as
// answered, like the path and body that all requests share: the instance, which knows some of the
// crashes without the part, as records of the others come late, refuses that path and body instead,
// also for requests without the part, and refusals do not name the part.
func TestPartInWholeAnswers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		own, other int  // crashes under answers of this instance, and of those known without the part
		paths      bool // requests share their path and body, not only parts
		healthy    Outcome
	}{
		{"half of the crashes known with the part", 3, 3, true, Allowed},
		// Only the records of the others can end this quarantine, but the part is known.
		{"few crashes known with the part", 2, 4, true, Quarantined},
		{"few crashes known with the part, another part is quarantined", 2, 4, false, Quarantined},
	} {
		t.Run(tt.name, func(t *testing.T) {
			subject := func(parts ...uint64) Subject {
				c := Content{Account: "t1", URI: "/plan", Parts: append(parts, rand.Uint64())}
				if !tt.paths {
					c.URI = fmt.Sprint("/plan/", rand.Uint64())
				}
				return Subject{Service: service, Parts: c.Parts, Requests: Fingerprints(c), Closed: true}
			}
			now, m := time.Now(), NewMonitor()
			m.ObserveList(now, nil, false)
			m.RecordInTouch(now) // not since: no answer proves anything
			for range 20 {
				m.RecordWhole(now, Target{ID: "i-healthy"}, now, subject(common, other))
			}
			for i := range tt.own + tt.other {
				now = now.Add(100 * time.Millisecond)
				id, healthy := fmt.Sprint("i-", i), subject(common, other)
				m.RecordSent(healthy)
				if i%2 == 0 && i/2 < tt.own {
					s, sentAt := subject(common, deadly, other), now
					m.RecordSent(s)
					m.RecordWhole(now, Target{ID: id}, sentAt, s)
					m.RecordEnd(now, Target{ID: id})
				}
				m.RecordCrash(now, Report{Service: service, Target: id, Begun: true, Parts: healthy.Parts, Requests: healthy.Requests})
			}
			if v := m.Judge(now, subject(common, deadly, other)); v.Outcome != Quarantined || v.Key.Part != deadly {
				t.Errorf("request with the part is %s for %s, part %x", v.Outcome, v.Fingerprint, v.Key.Part)
			}
			if v := m.Judge(now, subject(common, other)); v.Outcome != tt.healthy || v.Key.Part == deadly {
				t.Errorf("request without the part is %s for %s, part %x", v.Outcome, v.Fingerprint, v.Key.Part)
			}
		})
	}
}

// Guards against healthy answers that are taken back because their target ends later, and against
// an answer that its target has ended with and that stays, as the end is found late.
func TestRevokedAnswers(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * survivalTime} {
		now, target, m := time.Now(), Target{ID: "i-1"}, NewMonitor()
		m.RecordInTouch(now) // not since: no answer proves anything
		for _, part := range []uint64{common, deadly} {
			now = now.Add(2 * survivalTime)
			m.RecordWhole(now, target, now.Add(-beginDelay), Subject{Service: service, Parts: []uint64{part, fourth}, Closed: true})
		}
		m.RecordEnd(now.Add(late), target)
		for part, want := range map[uint64]int{common: 1, deadly: 0} {
			if n := m.whole.of(partKey{service, partFingerprints([]uint64{part, fourth})[0]}); n != want {
				t.Errorf("end known %v after the last answer: part %d counts as answered %d times, want %d", late, part, n, want)
			}
		}
	}
}

// Guards against an answer that counts as a proof because the end of its target is found late, as
// the watch of the connections runs late on a slow machine or the target
// takes a while to end.
func TestWatchedAnswer(t *testing.T) {
	const step = survivalTime / 2
	target := Target{ID: "i-1"}
	tests := []struct {
		name     string
		closed   bool // the answer ended with its connection
		watch    func(m *Monitor, now time.Time)
		survived bool
	}{
		{"watch runs late", false, func(*Monitor, time.Time) {}, false},
		{"alive too shortly after the answer", false, func(m *Monitor, now time.Time) { m.RecordAlive(target, now.Add(-2*step)) }, false},
		{"another process is alive", false, func(m *Monitor, now time.Time) { m.RecordAlive(Target{ID: "i-1", Incarnation: 1}, now) }, false},
		{"alive", false, func(m *Monitor, now time.Time) { m.RecordAlive(target, now) }, true},
		{"connection closed, store not heard since", false, func(m *Monitor, now time.Time) { m.RecordClosed(target, now) }, false},
		{"connection closed, store heard since", false, func(m *Monitor, now time.Time) { m.RecordClosed(target, now.Add(-survivalTime)); m.RecordInTouch(now) }, true},
		{"connection closed, store not heard since it was", false, func(m *Monitor, now time.Time) { m.RecordClosed(target, now); m.RecordInTouch(now) }, false},
		{"answer ended with its connection, store heard since, watch runs late", true, func(m *Monitor, now time.Time) { m.RecordInTouch(now) }, false},
		{"answer ended with its connection, alive, store heard since", true, func(m *Monitor, now time.Time) { m.RecordAlive(target, now); m.RecordInTouch(now) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, m := time.Now(), NewMonitor()
			s := Subject{Service: service, Parts: []uint64{common, deadly, other}, Closed: tt.closed, Watched: true}
			m.RecordInTouch(now)
			m.RecordWhole(now, target, now, s)
			now = now.Add(3 * step)
			tt.watch(m, now)
			m.Settle(now)
			m.RecordEnd(now.Add(step), target)
			m.Settle(now.Add(step))
			if _, survived := m.answered.at(partKey{service, s.PartFingerprints()[0]}); survived != tt.survived {
				t.Errorf("part counts as answered: %v, want %v", survived, tt.survived)
			}
		})
	}
}
