package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/recorder"
)

const (
	// A trial of a request may cost a target, so the pauses grow faster than for parts.
	requestPauseFactor = 4
	maxRequestPause    = time.Hour
	// requestQuarantineTime is how long a request that does not come again stays in
	// quarantine.
	requestQuarantineTime = 2 * maxRequestPause
	// maxCrashRecords limits the crashes that the fleet remembers, maxRequestsPerCrash the
	// requests of one and the parts of their prompts: an engine with 64 slots and a queue.
	maxCrashRecords     = 256
	maxRequestsPerCrash = 384
	maxTrialsPerCrash   = 64
	// CrashWriteDelay collects the requests that a crash ends at one instance.
	CrashWriteDelay = 20 * time.Millisecond
	// answerWriteDelay collects the answers to requests that are not close to a quarantine.
	answerWriteDelay = time.Second
	// hastenedDelay spreads the writes of answers that the other instances need.
	hastenedDelay = 100 * time.Millisecond
)

// CrashRecord is the end of a target as stored: the requests that it had not answered.
// It is immutable.
type CrashRecord struct {
	Service     string        `json:"service"`
	Target      string        `json:"target"`
	Incarnation int64         `json:"incarnation"`
	Requests    []Fingerprint `json:"requests"` // without those that were answered since
	Trials      []Fingerprint `json:"trials"`   // requests that were tried since, once for each trial
}

// Check validates the record.
func (r CrashRecord) Check() error {
	var f checker.Validator
	f.Require(r.Service != "", "service", "is empty")
	f.Require(r.Target != "", "target", "is empty")
	checker.Range(&f, "requests", len(r.Requests), 0, maxRequestsPerCrash)
	checker.Range(&f, "trials", len(r.Trials), 0, maxTrialsPerCrash)
	sorted := slices.Sorted(slices.Values(r.Requests))
	f.Require(len(slices.Compact(sorted)) == len(r.Requests), "requests", "has the same request twice")
	return f.Err()
}

// Name returns the name of the record.
func (r CrashRecord) Name() string {
	return strings.Join([]string{r.Service, r.Target, strconv.FormatInt(r.Incarnation, 10)}, ".")
}

// WithRequests returns the record with other requests.
func (r CrashRecord) WithRequests(list []Fingerprint) CrashRecord { r.Requests = list; return r }

// WithTrial returns the record with one more trial. The oldest ones are dropped.
func (r CrashRecord) WithTrial(id Fingerprint) CrashRecord {
	list := append(slices.Clone(r.Trials), id)
	r.Trials = list[max(0, len(list)-maxTrialsPerCrash):]
	return r
}

// CrashWrite is a change of a stored crash.
type CrashWrite = recorder.Write[CrashRecord]

// StoredCrash is a stored crash with its version.
type StoredCrash = recorder.Stored[CrashRecord]

// crash is the state of one crash.
type crash struct {
	record   CrashRecord // as stored, with the changes below
	version  uint64      // of the stored record, 0: none
	apart    bool        // it was not learned of when it happened
	added    map[Fingerprint]bool
	answered map[Fingerprint]bool // to be removed from the stored record
	writeAt  time.Time
	sending  bool
	seenAt   time.Time // when it was learned of
	expires  time.Time
	expired  bool // the stored record is to be removed
}

// voided are the requests of a crash that were answered. A write from before the answers may
// be done later.
type voided struct {
	requests map[Fingerprint]bool
	at       time.Time // when the last one was answered
}

// suspicion is what is known of one request.
type suspicion struct {
	crashes   map[*crash]bool
	changedAt time.Time // when the last crash or trial was learned of
	trying    bool      // a trial is being claimed
	depth     int       // position of a part in the prompt, unknownDepth if it was not seen here
}

// unknownDepth is deeper than any: a part that this instance has not seen is no popular one.
const unknownDepth = math.MaxInt

// Crashes holds the recent crashes of one process and derives from them the requests under
// which targets end. It is not safe for concurrent use.
//
// A request that crashes its targets is never answered, so each answer takes the request
// out of the crashes. Sound requests that are at the same targets are told apart by the
// crashes that they have no part in.
//
// The same is true of the parts of prompts. As many requests have a popular part, it is at
// all targets that crash together, so crashes of one moment count once for a part that was
// answered before, and an answer shortly before a crash clears it. Of several parts that are
// at the same crashes, one that was never answered explains them before one that was.
type Crashes struct {
	crashes     map[string]*crash // by name
	suspicions  map[Fingerprint]*suspicion
	suspected   map[Fingerprint]bool // requests with enough crashes for a quarantine
	quarantined map[Fingerprint]bool
	voided      map[string]voided   // by name of the crash
	answered    memory[Fingerprint] // when targets last outlived answers to parts at this instance
	pending     map[Fingerprint]int // answers to parts that targets may not outlive
	listed      bool
}

// NewCrashes returns an empty state.
func NewCrashes() *Crashes {
	return &Crashes{crashes: make(map[string]*crash), suspicions: make(map[Fingerprint]*suspicion), suspected: make(map[Fingerprint]bool), quarantined: make(map[Fingerprint]bool), voided: make(map[string]voided), answered: newMemory[Fingerprint](), pending: make(map[Fingerprint]int)}
}

// Quarantined returns the requests in quarantine.
func (c *Crashes) Quarantined() []Fingerprint { return slices.Collect(maps.Keys(c.quarantined)) }

// Listed reports whether the stored records were taken over.
func (c *Crashes) Listed() bool { return c.listed }

// Suspects reports whether any request is suspected.
func (c *Crashes) Suspects() bool { return len(c.suspicions) > 0 }

// Check says whether a request with the given fingerprints may be sent to a target.
func (c *Crashes) Check(now time.Time, ids []Fingerprint) Verdict {
	v := Verdict{Outcome: Allowed}
	c.recordDepths(ids)
	for _, id := range ids {
		if !c.quarantined[id] {
			continue
		}
		s := c.suspicions[id]
		left := c.pause(id) - now.Sub(s.changedAt)
		if left > 0 || s.trying || v.Outcome != Allowed {
			return Verdict{Outcome: Quarantined, Fingerprint: id, RetryAfter: max(left, sameMoment)}
		}
		v = Verdict{Outcome: TrialDue, Fingerprint: id}
	}
	return v
}

// recordDepths records the positions of the suspected parts of a prompt.
func (c *Crashes) recordDepths(ids []Fingerprint) {
	depth := 0
	for _, id := range ids {
		if !id.IsPart() {
			continue
		}
		if s, ok := c.suspicions[id]; ok {
			s.depth = depth
		}
		depth++
	}
}

// pause returns the time without a request to a target before the next trial.
func (c *Crashes) pause(id Fingerprint) time.Duration {
	pause := firstPause
	for e := range c.suspicions[id].crashes {
		for _, trial := range e.record.Trials {
			if trial == id {
				pause = min(requestPauseFactor*pause, maxRequestPause)
			}
		}
	}
	return pause
}

// RecordCrash records that a target ended before it had answered a request. It returns
// whether a record is to be written.
func (c *Crashes) RecordCrash(now time.Time, r Report) bool {
	record := CrashRecord{Service: r.Service, Target: r.Target, Incarnation: r.Incarnation}
	e, ok := c.crashes[record.Name()]
	if !ok {
		if !c.makeRoom(now) {
			return false
		}
		e = c.add(now, record)
	}
	list, suspects := e.record.Requests, r.suspects()
	for _, id := range suspects {
		if slices.Contains(list, id) || e.answered[id] || c.isVoid(now, e, id) || c.answeredLately(now, id) {
			continue
		}
		if more, ok := c.withRequest(list, id); ok {
			list, e.added[id] = more, true
		}
	}
	if len(list) == len(e.record.Requests) {
		return false
	}
	c.scheduleWrite(e, now.Add(CrashWriteDelay))
	c.replace(now, e, e.record.WithRequests(list))
	c.recordDepths(suspects)
	c.judge()
	return true
}

// answeredLately reports whether a part was answered so shortly ago that it did not cause a
// crash.
func (c *Crashes) answeredLately(now time.Time, id Fingerprint) bool {
	at, ok := c.answered.at(id)
	return c.pending[id] > 0 || ok && now.Sub(at) < answeredRecently
}

// isKnown reports whether a part was answered before at this instance.
func (c *Crashes) isKnown(id Fingerprint) bool {
	_, ok := c.answered.at(id)
	return ok || c.pending[id] > 0
}

// RecordAnswered records an answer to a request with the parts. It counts for them until
// RecordSurvived or RecordFatal says whether the target has outlived it.
func (c *Crashes) RecordAnswered(parts []Fingerprint) {
	for _, id := range parts {
		c.pending[id]++
	}
}

// RecordSurvived records that targets have outlived answers to requests with the parts, so
// that the parts do not crash targets. It returns whether a record is to be written.
func (c *Crashes) RecordSurvived(now time.Time, parts []Fingerprint) bool {
	c.RecordFatal(parts)
	for _, id := range parts {
		c.answered.add(now, id)
	}
	return c.RecordAnswer(now, parts)
}

// RecordFatal takes back answers that targets have not outlived.
func (c *Crashes) RecordFatal(parts []Fingerprint) {
	for _, id := range parts {
		if c.pending[id]--; c.pending[id] <= 0 {
			delete(c.pending, id)
		}
	}
}

// Repeated reports whether a request, or a part of it, was at more than one crash and not
// answered since.
func (c *Crashes) Repeated(r Report) bool {
	return slices.ContainsFunc(r.suspects(), func(id Fingerprint) bool {
		s, ok := c.suspicions[id]
		return ok && len(s.crashes) > 1
	})
}

// add adds a crash without requests.
func (c *Crashes) add(now time.Time, r CrashRecord) *crash {
	e := &crash{record: r, added: make(map[Fingerprint]bool), answered: make(map[Fingerprint]bool), seenAt: now, expires: expiry(now)}
	c.crashes[r.Name()] = e
	return e
}

// withRequest adds a request to those of a crash. If there are too many, it takes the
// place of one that was at no other crash.
func (c *Crashes) withRequest(list []Fingerprint, id Fingerprint) ([]Fingerprint, bool) {
	list = slices.Clone(list)
	if len(list) < maxRequestsPerCrash {
		return append(list, id), true
	}
	at := slices.IndexFunc(list, func(other Fingerprint) bool {
		return c.suspicions[other] != nil && len(c.suspicions[other].crashes) == 1
	})
	if c.suspicions[id] == nil || at < 0 {
		return nil, false
	}
	list[at] = id
	return list, true
}

// RecordAnswer records that a target has answered a request whole, so that it does not
// crash targets. It returns whether a record is to be written.
func (c *Crashes) RecordAnswer(now time.Time, ids []Fingerprint) bool {
	changed := false
	for _, id := range ids {
		if s, ok := c.suspicions[id]; ok {
			c.release(now, id, s)
			changed = true
		}
	}
	if changed {
		c.judge()
	}
	return changed
}

// release takes a request out of all crashes. The writes of the instances are spread.
func (c *Crashes) release(now time.Time, id Fingerprint, s *suspicion) {
	at := now
	switch {
	case c.quarantined[id]:
	case len(s.crashes) > 1:
		at = now.Add(rand.N(maxKnownDelay))
	default:
		at = now.Add(answerWriteDelay + rand.N(answerWriteDelay))
	}
	maps.DeleteFunc(c.voided, func(_ string, v voided) bool { return now.Sub(v.at) > releaseTime })
	for e := range maps.Clone(s.crashes) {
		delete(e.added, id)
		c.void(now, e, id)
		if e.version > 0 || e.sending {
			e.answered[id] = true
			c.scheduleWrite(e, at)
		}
		c.replace(now, e, e.record.WithRequests(without(e.record.Requests, id)))
	}
}

// void remembers that a request of a crash was answered.
func (c *Crashes) void(now time.Time, e *crash, id Fingerprint) {
	name := e.record.Name()
	v, ok := c.voided[name]
	if !ok && len(c.voided) >= maxCrashRecords {
		return
	}
	if !ok {
		v.requests = make(map[Fingerprint]bool)
	}
	if len(v.requests) < maxRequestsPerCrash {
		v.requests[id] = true
	}
	v.at = now
	c.voided[name] = v
}

// isVoid reports whether a request of a crash was answered lately.
func (c *Crashes) isVoid(now time.Time, e *crash, id Fingerprint) bool {
	v, ok := c.voided[e.record.Name()]
	return ok && now.Sub(v.at) <= releaseTime && v.requests[id]
}

// without returns a list without one request.
func without(list []Fingerprint, id Fingerprint) []Fingerprint {
	return slices.DeleteFunc(slices.Clone(list), func(other Fingerprint) bool { return other == id })
}

// scheduleWrite makes a record due at the given time, or earlier if it is so already.
func (c *Crashes) scheduleWrite(e *crash, at time.Time) {
	if e.writeAt.IsZero() || at.Before(e.writeAt) {
		e.writeAt = at
	}
}

// replace exchanges the record of a crash and updates what is known of its requests.
func (c *Crashes) replace(now time.Time, e *crash, r CrashRecord) {
	for _, id := range e.record.Requests {
		s := c.suspicions[id]
		delete(s.crashes, e)
		if len(s.crashes) == 0 && !slices.Contains(r.Requests, id) {
			delete(c.suspicions, id)
		}
		if len(s.crashes) < id.threshold() {
			delete(c.suspected, id)
		}
	}
	for _, id := range r.Requests {
		s, ok := c.suspicions[id]
		if !ok {
			s = &suspicion{crashes: make(map[*crash]bool), depth: unknownDepth}
			c.suspicions[id] = s
		}
		s.crashes[e] = true
		if len(s.crashes) >= id.threshold() {
			c.suspected[id] = true
		}
		if !slices.Contains(e.record.Requests, id) {
			s.changedAt = now
		}
	}
	for id := range newTrials(e.record.Trials, r.Trials) {
		if s, ok := c.suspicions[id]; ok {
			s.changedAt = now
		}
	}
	e.record = r
}

// newTrials returns the requests that were tried more often after a change.
func newTrials(before, after []Fingerprint) map[Fingerprint]bool {
	count := make(map[Fingerprint]int)
	for _, id := range after {
		count[id]++
	}
	for _, id := range before {
		count[id]--
	}
	more := make(map[Fingerprint]bool)
	for id, n := range count {
		if n > 0 {
			more[id] = true
		}
	}
	return more
}

// suspectRequest is a request, or a part, during a judgement.
type suspectRequest struct {
	id      Fingerprint
	known   bool // a part that was answered before at this instance
	crashes int
	depth   int // of a part
}

// judge derives the requests and parts in quarantine. The one with most crashes explains
// these, and the others are judged by the rest.
func (c *Crashes) judge() {
	clear(c.quarantined)
	explained := make(map[*crash]bool)
	var left []suspectRequest
	for id := range c.suspected {
		s := suspectRequest{id: id, depth: c.suspicions[id].depth, known: c.isKnown(id)}
		s.crashes = c.count(s, explained)
		left = append(left, s)
	}
	slices.SortFunc(left, compareRequests)
	for _, s := range left {
		if c.count(s, explained) < s.threshold() {
			continue
		}
		c.quarantined[s.id] = true
		for e := range c.suspicions[s.id].crashes {
			explained[e] = true
		}
	}
}

// compareRequests orders known parts last, then by crashes, exact requests first, then by how
// special a part is.
func compareRequests(a, b suspectRequest) int {
	switch {
	case a.known != b.known && a.known:
		return 1
	case a.known != b.known:
		return -1
	}
	return cmp.Or(
		cmp.Compare(b.crashes, a.crashes),
		cmp.Compare(a.id&kindBits, b.id&kindBits),
		cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.id, b.id),
	)
}

// threshold returns the number of crashes that quarantine the request or part.
func (s suspectRequest) threshold() int {
	if s.known {
		return highThreshold
	}
	return s.id.threshold()
}

// count returns the number of crashes of a request that are not explained. For a known part,
// those that came together count once.
func (c *Crashes) count(s suspectRequest, explained map[*crash]bool) int {
	n := 0
	var moments []time.Time
	for e := range c.suspicions[s.id].crashes {
		switch {
		case explained[e]:
		case s.known && !e.apart:
			moments = append(moments, e.seenAt)
		default:
			n++
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var last time.Time
	for _, at := range moments {
		if last.IsZero() || at.Sub(last) >= sameMoment {
			n, last = n+1, at
		}
	}
	return n
}

// BeginTrial returns the write that claims a trial of a request. The caller must then call
// EndClaim.
func (c *Crashes) BeginTrial(id Fingerprint) (CrashWrite, bool) {
	s, ok := c.suspicions[id]
	if !ok || s.trying {
		return CrashWrite{}, false
	}
	var latest *crash
	for e := range s.crashes {
		if latest == nil || e.version > latest.version {
			latest = e
		}
	}
	if latest.version == 0 || latest.expired {
		return CrashWrite{}, false
	}
	s.trying = true
	return CrashWrite{Name: latest.record.Name(), Record: latest.record.WithTrial(id), Version: latest.version}, true
}

// EndClaim ends the claim of a trial. If it was stored, Observe has to be called before.
func (c *Crashes) EndClaim(id Fingerprint) {
	if s, ok := c.suspicions[id]; ok {
		s.trying = false
	}
}

// Observe takes over a stored record.
func (c *Crashes) Observe(now time.Time, version uint64, r CrashRecord) {
	e, ok := c.crashes[r.Name()]
	if !ok {
		e = c.add(now, r.WithRequests(nil))
		e.apart = !c.listed
	}
	if version <= e.version {
		return
	}
	e.version = version
	for id := range e.answered {
		if !slices.Contains(r.Requests, id) {
			delete(e.answered, id)
		}
	}
	for _, id := range r.Requests {
		switch {
		case e.answered[id]:
		case c.isVoid(now, e, id):
			e.answered[id] = true
			c.scheduleWrite(e, now.Add(rand.N(hastenedDelay)))
		case !slices.Contains(e.record.Requests, id):
			c.hastenAnswers(now, id)
		}
	}
	list := slices.DeleteFunc(slices.Clone(r.Requests), func(id Fingerprint) bool { return e.expired || e.answered[id] })
	for id := range e.added {
		if slices.Contains(r.Requests, id) || e.expired {
			delete(e.added, id)
		} else if len(list) < maxRequestsPerCrash {
			list = append(list, id)
		}
	}
	c.replace(now, e, r.WithRequests(list))
	c.judge()
}

// hastenAnswers makes answers to a request due that the others need now that another target
// has crashed with it.
func (c *Crashes) hastenAnswers(now time.Time, id Fingerprint) {
	for _, e := range c.crashes {
		if e.answered[id] {
			c.scheduleWrite(e, now.Add(rand.N(hastenedDelay)))
		}
	}
}

// ObserveRemoved takes over the removal of a stored record.
func (c *Crashes) ObserveRemoved(name string, version uint64) {
	e, ok := c.crashes[name]
	if !ok || version < e.version {
		return
	}
	if len(e.added) > 0 {
		e.version = 0 // what was not stored yet is stored anew
		return
	}
	c.drop(e)
}

// drop removes a crash.
func (c *Crashes) drop(e *crash) {
	c.replace(time.Time{}, e, e.record.WithRequests(nil))
	delete(c.crashes, e.record.Name())
	c.judge()
}

// ObserveList takes over the list of all stored records. If the store was restored from
// an older copy, records that it lacks now are stored again.
func (c *Crashes) ObserveList(now time.Time, list []StoredCrash, restored bool) {
	defer func() { c.listed = true }()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Record.Name()] = true
		if e, ok := c.crashes[s.Record.Name()]; ok && restored {
			c.storeAgain(e, now) // its versions are given out again
		}
		c.Observe(now, s.Version, s.Record)
	}
	for name, e := range c.crashes {
		switch {
		case listed[name]:
		case restored && !e.expired && len(e.record.Requests) > 0:
			c.storeAgain(e, now.Add(rand.N(maxKnownDelay)))
		case len(e.added) > 0:
			e.version = 0
		default:
			c.drop(e)
		}
	}
	c.judge()
}

// storeAgain makes all requests of a crash due.
func (c *Crashes) storeAgain(e *crash, at time.Time) {
	e.version = 0
	for _, id := range e.record.Requests {
		e.added[id] = true
	}
	c.scheduleWrite(e, at)
}

// Due returns the changes that are to be stored now. The caller must call Written, Failed
// or Gone for each.
func (c *Crashes) Due(now time.Time) []CrashWrite {
	c.expire(now)
	var due []CrashWrite
	for name, e := range c.crashes {
		switch {
		case e.sending:
		case e.version == 0 && len(e.record.Requests) == 0:
			c.drop(e)
		case e.expired, len(e.record.Requests) == 0 && len(e.answered) > 0 && !now.Before(e.writeAt):
			e.sending, e.writeAt = true, time.Time{}
			due = append(due, CrashWrite{Name: name, Record: e.record, Version: e.version, Remove: true})
		case len(e.added)+len(e.answered) > 0 && !now.Before(e.writeAt):
			e.sending, e.writeAt = true, time.Time{}
			due = append(due, CrashWrite{Name: name, Record: e.record, Version: e.version})
		}
	}
	return due
}

// expiry returns when an instance removes a crash that it learns of now. Instances differ,
// so that few of them try to remove the same one.
func expiry(now time.Time) time.Time { return now.Add(suspicionTime + rand.N(suspicionTime)) }

// expire ends old crashes. Those of a request in quarantine stay.
func (c *Crashes) expire(now time.Time) {
	changed := false
	for _, e := range c.crashes {
		if e.expired || !now.After(e.expires) {
			continue
		}
		if e.expires = c.heldUntil(e); !now.Before(e.expires) {
			e.expired, changed = true, true
			c.replace(now, e, e.record.WithRequests(nil))
		}
	}
	if changed {
		c.judge()
	}
}

// heldUntil returns how long a crash is kept because of a request in quarantine.
func (c *Crashes) heldUntil(e *crash) (at time.Time) {
	for _, id := range e.record.Requests {
		if end := c.suspicions[id].changedAt.Add(requestQuarantineTime); c.quarantined[id] && end.After(at) {
			at = end
		}
	}
	return at
}

// makeRoom makes sure that there is room for one more crash. It drops the oldest one
// without a request that is close to a quarantine, and returns false if there is none.
func (c *Crashes) makeRoom(now time.Time) bool {
	n := 0
	var oldest *crash
	for _, e := range c.crashes {
		if e.expired {
			continue
		}
		n++
		if (oldest == nil || e.seenAt.Before(oldest.seenAt)) && !slices.ContainsFunc(e.record.Requests, func(id Fingerprint) bool { return len(c.suspicions[id].crashes) > 1 }) {
			oldest = e
		}
	}
	if n < maxCrashRecords {
		return true
	}
	if oldest == nil {
		return false
	}
	oldest.expired = true
	c.replace(now, oldest, oldest.record.WithRequests(nil))
	c.judge()
	return true
}

// Written records that a change is stored, with its new version.
func (c *Crashes) Written(now time.Time, w CrashWrite, version uint64) {
	e, ok := c.crashes[w.Name]
	if !ok {
		return
	}
	e.sending = false
	switch {
	case !w.Remove:
		c.Observe(now, version, w.Record)
	case len(e.added) > 0:
		e.version = 0
	default:
		c.drop(e)
	}
}

// Failed records that a change was not stored, or that this is not known.
func (c *Crashes) Failed(w CrashWrite) {
	if e, ok := c.crashes[w.Name]; ok {
		e.sending = false
	}
}

// Gone records that the record to be changed does not exist.
func (c *Crashes) Gone(w CrashWrite) {
	c.Failed(w)
	c.ObserveRemoved(w.Name, w.Version)
}
