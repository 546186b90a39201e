// Package quarantiner decides which parts of prompts and which requests are kept away from
// targets because targets crash under them.
//
// A crash counts against all requests that the target had not answered. A request that
// comes again and again and is never answered is quarantined after three crashes, unless
// another one explains them, see [Crashes]. Of requests that differ, the parts of their
// prompts are judged, see [Quarantine]:
//
// A crash counts against the parts of those requests that the target was about to answer.
// A part whose requests are answered is sound, so only one that is never answered between
// several crashes is quarantined. Requests that share the caller or the other parts are
// not affected. Crashes are counted in records that all instances share, so that each
// comes to the same verdict, whichever of them saw the crashes. After a pause one request
// of the whole fleet is let through as a trial. If it is answered, the quarantine ends.
//
// A target may also end later, after any event of an answer. So a crash counts against the
// parts of all requests that the target had begun to answer, too, until one with the part is
// answered whole and its target outlives the answer, see [Crashes]. Whether a target has
// ended may be known only after the attempt, see [Attempts].
//
// The package does not read the clock and does no I/O. It answers two loads: callers that
// send one request again and again that ends each target it reaches, at any instance, and
// callers that send requests with such a part, no two of them alike.
//
// # Usage
//
//	q := quarantiner.New()
//	q.RecordCrash(now, quarantiner.Report{Service: "pool", Target: "i-1", Begun: true, Parts: parts})
//	for _, w := range q.Due(now) {
//		// write it on condition of w.Version, then call q.Written, q.Failed or q.Gone
//	}
//	if v := q.Check(now, "pool", parts); v.Outcome == quarantiner.Quarantined {
//		// refuse the request until v.RetryAfter
//	}
package quarantiner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// crashThreshold is the number of crashes that quarantine a part which no instance
	// has seen answered.
	crashThreshold = 3
	// highThreshold is the same for a part that was answered before, or whose requests
	// only waited at the targets.
	highThreshold = 5
	// maxCrashes limits the crashes of a record. The oldest ones are dropped.
	maxCrashes = 8
	// A part that was answered so shortly before a crash did not cause it.
	answeredRecently = time.Second
	// Crashes that come together, as in a loss of power, count as one, unless the targets
	// had begun to answer a request with the part.
	sameMoment = 500 * time.Millisecond
	// Pause before the first trial. It doubles with each trial that ends in a crash.
	firstPause = 30 * time.Second
	maxPause   = 10 * time.Minute
	// A part without a further crash is no longer suspected after this time.
	suspicionTime = 10 * time.Minute
	// releaseTime is how long the crashes that an answer has made void are remembered.
	releaseTime = time.Minute
	// maxRecords limits the records of the fleet, maxPartsPerCrash those that one crash
	// can add.
	maxRecords       = 256
	maxPartsPerCrash = 4
	// maxAnswered limits the parts that are remembered as answered, twice.
	maxAnswered = 4096
	// maxKnownDelay spreads the writes of instances that know a part as answered.
	maxKnownDelay = 500 * time.Millisecond
)

// Key identifies a part of the prompts for a service.
type Key struct {
	Service string
	Part    uint64
}

// Name returns the name of the record.
func (k Key) Name() string { return k.Service + "." + strconv.FormatUint(k.Part, 16) }

// parseName returns the key of the record with a name.
func parseName(name string) (Key, bool) {
	i := strings.LastIndexByte(name, '.')
	if i < 0 {
		return Key{}, false
	}
	id, err := strconv.ParseUint(name[i+1:], 16, 64)
	return Key{name[:i], id}, err == nil
}

// Crash is the end of a target under a request with the part.
type Crash struct {
	Target      string `json:"target"`
	Incarnation int64  `json:"incarnation"`
	Begun       bool   `json:"begun"`  // the target had begun to answer the request
	Trial       bool   `json:"trial"`  // the request was a trial
	Moment      int    `json:"moment"` // equal for crashes that came together
}

// Target identifies a target that may have ended.
type Target struct {
	ID          string
	Incarnation int64
}

func (c Crash) target() Target { return Target{c.Target, c.Incarnation} }

func (c Crash) sameTarget(d Crash) bool { return c.target() == d.target() }

// Record is what the fleet knows about a suspected part. It is immutable.
type Record struct {
	Service string  `json:"service"`
	Part    string  `json:"part"`  // hexadecimal ID
	Depth   int     `json:"depth"` // position in the prompt
	Known   bool    `json:"known"` // some instance has seen it answered before the crashes
	Crashes []Crash `json:"crashes"`
	Trials  int     `json:"trials"` // trials begun
}

// Check validates the record.
func (r Record) Check() error {
	var f checker.Validator
	f.Require(r.Service != "", "service", "is empty")
	_, err := strconv.ParseUint(r.Part, 16, 64)
	f.Require(err == nil, "part", "is %q, want a hexadecimal number", r.Part)
	checker.Range(&f, "depth", r.Depth, 0, 1<<16)
	checker.Range(&f, "crashes", len(r.Crashes), 0, maxCrashes)
	checker.Range(&f, "trials", r.Trials, 0, 1<<30)
	return f.Err()
}

// Name returns the name of the record.
func (r Record) Name() string { return r.Key().Name() }

// Key returns the key of a valid record.
func (r Record) Key() Key {
	id, _ := strconv.ParseUint(r.Part, 16, 64) // checked on decoding
	return Key{r.Service, id}
}

// WithCrash returns the record with one more crash, of the same moment as the last one or
// of a new one. A target counts once.
func (r Record) WithCrash(c Crash, together bool) Record {
	for i, known := range r.Crashes {
		if known.sameTarget(c) {
			if c.Begun && !known.Begun {
				r.Crashes = slices.Clone(r.Crashes)
				r.Crashes[i].Begun = true
			}
			return r
		}
	}
	if n := len(r.Crashes); n > 0 {
		c.Moment = r.Crashes[n-1].Moment
		if !together || c.Begun {
			c.Moment++
		}
	}
	crashes := append(slices.Clone(r.Crashes), c)
	r.Crashes = crashes[max(0, len(crashes)-maxCrashes):]
	return r
}

// over returns the number of moments of crashes beyond the threshold, without the
// explained ones.
func (r Record) over(explained map[Target]bool) int {
	n, last := 0, -1
	for _, c := range r.Crashes {
		if c.Moment != last && !explained[c.target()] {
			n, last = n+1, c.Moment
		}
	}
	return n - r.threshold()
}

// WithKnown returns the record of a part that was answered before.
func (r Record) WithKnown() Record { r.Known = true; return r }

// WithTrial returns the record with one more trial.
func (r Record) WithTrial() Record { r.Trials++; return r }

// threshold returns the number of crashes that quarantine the part.
func (r Record) threshold() int {
	if r.Known || r.begun() == 0 {
		return highThreshold
	}
	return crashThreshold
}

// begun returns the number of targets that had begun to answer a request with the part.
func (r Record) begun() (n int) {
	for _, c := range r.Crashes {
		if c.Begun {
			n++
		}
	}
	return n
}

// pause returns the time without a request to a target before the next trial.
func (r Record) pause() time.Duration {
	pause := firstPause
	for _, c := range r.Crashes {
		if c.Trial {
			pause = min(2*pause, maxPause)
		}
	}
	return pause
}

// Report is a crash as seen by the instance whose request was at the target.
type Report struct {
	Service     string
	Target      string
	Incarnation int64
	SentAt      time.Time // when the request was sent to the target
	Begun       bool      // the target had begun to answer the request
	Trial       bool      // the request was a trial
	Parts       []uint64
	Requests    []Fingerprint // of the request
}

func (r Report) target() Target { return Target{r.Target, r.Incarnation} }

// suspects returns what the crash counts against, besides the records of parts. A request
// that only waited at the target tells nothing about its parts.
func (r Report) suspects() []Fingerprint {
	if !r.Begun {
		return r.Requests
	}
	return append(slices.Clip(r.Requests), partFingerprints(r.Parts)...)
}

// Subject is what a request is judged by.
type Subject struct {
	Service  string
	Parts    []uint64      // of the prompt, if other requests may have one too
	Requests []Fingerprint // empty: no request is suspected
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
	TrialDue    Outcome = "trialdue" // a trial may begin, see [Quarantine.BeginTrial]
)

// Verdict is the result of a check.
type Verdict struct {
	Outcome     Outcome
	Key         Key           // of the quarantined part, if it is a part
	Fingerprint Fingerprint   // of the quarantined request, or of the part
	RetryAfter  time.Duration // until the next trial
}

// Write is a change of a stored record.
type Write = recorder.Write[Record]

// Stored is a stored record with its version.
type Stored = recorder.Stored[Record]
