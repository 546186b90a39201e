// Package quarantiner decides which parts of prompts and which requests are kept away from
// targets because targets crash under them.
//
// A crash counts against all requests that the target had not answered, and against the
// parts of the prompts of those that it had begun to answer, or was about to. One that is
// never answered between several crashes is quarantined, if no other explains them, see
// [Crashes]. A request that is not shared by others is suspected first; what healthy requests
// have too is quarantined only if nothing else explains the crashes, and healthy ones are
// tried at once. An answer that its target survives ends the quarantine at all instances.
//
// Crashes are counted in records that all instances share, so that they come to the same
// verdict, whichever of them saw the crashes. Whether a target has ended may be known only
// after the attempt, see [Attempts]; [Monitor] joins both.
//
// The package does not read the clock and does no I/O. It answers two loads, and both at
// once: callers that send one request again and again that ends each target it reaches, at
// any instance, and callers that send requests with such a part, no two of them alike;
// beside healthy requests that share all but that.
//
// # Usage
//
//	m := quarantiner.NewMonitor()
//	m.RecordCrash(now, quarantiner.Report{Service: "pool", Target: "i-1", Begun: true, Parts: parts})
//	for _, w := range m.Due(now) {
//		// write it on condition of w.Version, then call m.Written, m.Failed or m.Gone
//	}
//	if v := m.Judge(now, subject); v.Outcome == quarantiner.Quarantined {
//		// refuse the request until v.RetryAfter
//	}
package quarantiner

import (
	"slices"
	"time"
)

// SurvivalTime is how long a target has to outlive an answer before the answer shows that the
// parts of the prompt are sound.
const SurvivalTime = 500 * time.Millisecond

const (
	// crashThreshold is the number of crashes that quarantine a request or part.
	crashThreshold = 3
	// highThreshold is the same for what was answered before, or for parts whose requests
	// only waited at the targets.
	highThreshold = 5
	// What was answered so shortly before a crash did not cause it.
	answeredRecently = time.Second
	// Crashes that come together, as in a loss of power, count as one for what was answered
	// before.
	sameMoment = 500 * time.Millisecond
	// sameWait is the same for parts of requests that only waited at the targets. It is
	// shorter, as such a part may crash several targets in a second.
	sameWait = 100 * time.Millisecond
	// Pause before the first trial. It grows with each trial that ends in a crash.
	firstPause = 30 * time.Second
	// What is at no further crash is no longer suspected after this time.
	suspicionTime = 10 * time.Minute
	// releaseTime is how long the crashes that an answer has made void are remembered.
	releaseTime = time.Minute
	// maxAnswered limits the parts that are remembered as answered, twice.
	maxAnswered = 4096
	// maxKnownDelay spreads the writes of instances that have an answer.
	maxKnownDelay = 500 * time.Millisecond
)

// shared returns the parts that other requests may have too.
func shared(parts []uint64) []uint64 { return parts[:max(0, len(parts)-1)] }

// Key identifies a part of the prompts for a service.
type Key struct {
	Service string
	Part    uint64
}

// Target identifies a target that may have ended.
type Target struct {
	ID          string
	Incarnation int64
}

// Report is a crash as seen by the instance whose request was at the target.
type Report struct {
	Service     string
	Target      string
	Incarnation int64
	SentAt      time.Time // when the request was sent to the target
	Begun       bool      // the target had begun to answer the request
	About       bool      // it was about to, see [Crashes]
	Closed      bool      // the answer ended with the connection
	Watched     bool      // the target is watched, see [Monitor.RecordAlive]
	Abandoned   bool      // this instance ended the attempt, for example as the target was too slow
	Parts       []uint64
	Requests    []Fingerprint // of the request
}

func (r Report) target() Target { return Target{r.Target, r.Incarnation} }

// shared returns what other requests may have too: the parts and the request without its
// prompt.
func (r Report) shared() []Fingerprint {
	list := partFingerprints(r.Parts)
	for _, id := range r.Requests {
		if !id.isExact() {
			list = append(list, id)
		}
	}
	return list
}

// suspects returns what the crash counts against.
func (r Report) suspects() []Fingerprint {
	parts := partFingerprints(r.Parts)
	switch {
	case r.Begun:
	case r.About:
		for i := range parts {
			parts[i] = parts[i].waiting()
		}
	default:
		parts = nil
	}
	return append(slices.Clip(r.Requests), parts...)
}

// Subject is what a request is judged by.
type Subject struct {
	Service  string
	Parts    []uint64      // of the prompt, if other requests may have one too
	Requests []Fingerprint // empty: not known
	Retry    bool          // it was sent to a target before
	Closed   bool          // its answer ended with the connection
	Watched  bool          // the target of its answer is watched, see [Monitor.RecordAlive]
}

// Fingerprints returns those of the request and of the parts that others may have too.
func (s Subject) Fingerprints() []Fingerprint {
	return append(slices.Clip(s.Requests), s.PartFingerprints()...)
}

// PartFingerprints returns those of the parts alone.
func (s Subject) PartFingerprints() []Fingerprint { return partFingerprints(s.Parts) }

// Outcome says what may be done with a request.
type Outcome string

// Outcomes of a check.
const (
	Allowed     Outcome = "allowed"
	Quarantined Outcome = "quarantined"
	TrialDue    Outcome = "trialdue" // a trial may begin, see [Crashes.BeginTrial]
)

// Verdict is the result of a check.
type Verdict struct {
	Outcome     Outcome
	Key         Key           // of the quarantined part, or of the part that explains the quarantine of the request, if one is known
	Fingerprint Fingerprint   // of the quarantined request, or of the part
	RetryAfter  time.Duration // until the next trial
}
