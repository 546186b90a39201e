package quarantiner

import (
	"slices"
	"time"
)

// Monitor follows the attempts of one instance and counts the ends of targets against them.
// It is not safe for concurrent use.
type Monitor struct {
	*Crashes
	attempts *Attempts
}

// NewMonitor returns a monitor without records.
func NewMonitor() *Monitor { return &Monitor{NewCrashes(), NewAttempts()} }

// Judge says whether a request may be sent to a target.
func (m *Monitor) Judge(now time.Time, s Subject) Verdict {
	if !m.Suspects() {
		return Verdict{Outcome: Allowed}
	}
	parts := s.PartFingerprints()
	v := m.Check(now, s.Service, append(slices.Clip(s.Requests), parts...))
	reason := v.Fingerprint
	if v.Outcome == Quarantined {
		reason = m.reason(s.Service, v.Fingerprint, parts)
	}
	if i := slices.Index(parts, reason); i >= 0 && v.Outcome != Allowed {
		v.Key = Key{Service: s.Service, Part: s.Parts[i]}
	}
	return v
}

// Observe takes over a stored crash. What another instance has found out about the end of a
// target counts against the attempts of this one too, once. Later versions of the record, as
// those of trials and answers, say nothing new of the target, which may even serve on if its
// registration had only lapsed.
func (m *Monitor) Observe(now time.Time, version uint64, r CrashRecord) {
	_, known := m.crashes[r.Name()]
	m.Crashes.Observe(now, version, r)
	if !known {
		m.RecordEnd(now, Target{ID: r.Target, Incarnation: r.Incarnation})
	}
}

// RecordWhole records a whole answer to a request that was sent at a time. That the request
// is sound is shown only once the target has outlived the answer, see Settle. It returns the
// attempts that the target has ended under, and whether a record is to be written.
func (m *Monitor) RecordWhole(now time.Time, t Target, sentAt time.Time, s Subject) (under []Report, changed bool) {
	r := Report{Service: s.Service, Target: t.ID, Incarnation: t.Incarnation, SentAt: sentAt, Begun: true, Closed: s.Closed, Watched: s.Watched, Parts: s.Parts, Requests: s.Requests}
	if len(s.Fingerprints()) == 0 {
		return nil, false
	}
	m.Crashes.RecordWhole(s.Service, s.Fingerprints())
	if len(s.Parts) == 0 && !m.Suspects() {
		return nil, false // nothing watches for the end of the target after the answer
	}
	if m.attempts.AddAnswer(now, r) {
		m.revoke([]Report{r})
		under = []Report{r}
	}
	return under, m.count(now, under)
}

// revoke takes back the answers that targets have ended with.
func (m *Monitor) revoke(list []Report) {
	for _, r := range list {
		m.RevokeWhole(r.Service, Subject{Parts: r.Parts, Requests: r.Requests}.Fingerprints())
	}
}

// RecordInTouch records that the ends of all targets that the store knew of at a time are known.
func (m *Monitor) RecordInTouch(at time.Time) { m.attempts.RecordInTouch(at) }

// RecordAlive records that a watched target was alive at a time. Its answers from
// [SurvivalTime] before that are proofs, see Settle.
func (m *Monitor) RecordAlive(t Target, at time.Time) { m.attempts.RecordAlive(t, at) }

// RecordClosed records that a watched target has closed connections, but accepts others at
// a time.
func (m *Monitor) RecordClosed(t Target, at time.Time) { m.attempts.RecordClosed(t, at) }

// NextSettle returns when the next answer is due for Settle. It reports false if there is
// none.
func (m *Monitor) NextSettle() (time.Time, bool) { return m.attempts.NextSurvival() }

// Settle takes account of the answers that their targets have outlived. It returns whether a
// record is to be written.
func (m *Monitor) Settle(now time.Time) (changed bool) {
	for _, r := range m.attempts.Survived(now) {
		changed = m.RecordSurvived(now, r.Service, r.shared()) || changed
		changed = m.RecordAnswer(now, r.Requests) || changed
	}
	return changed
}

// RecordFailure records an attempt that was not answered whole while nothing shows yet that
// its target has ended. Its results are those of RecordWhole.
func (m *Monitor) RecordFailure(now time.Time, r Report) (under []Report, changed bool) {
	if m.attempts.AddFailure(now, r) {
		under = []Report{r}
	}
	return under, m.count(now, under)
}

// RecordEnd records that a target has ended. Its results are those of RecordWhole.
func (m *Monitor) RecordEnd(now time.Time, t Target) (under []Report, changed bool) {
	under, revoked := m.attempts.End(now, t)
	m.revoke(revoked)
	return under, m.count(now, under)
}

// RecordLapse records that the registration of a target has lapsed. Its results are those of
// RecordWhole.
func (m *Monitor) RecordLapse(now time.Time, t Target) (under []Report, changed bool) {
	under = m.attempts.Lapse(now, t)
	return under, m.count(now, under)
}

// count counts the end of a target against attempts.
func (m *Monitor) count(now time.Time, under []Report) (changed bool) {
	for _, r := range under {
		changed = m.RecordCrash(now, r) || changed
	}
	return changed
}
