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
	// crashWriteDelay collects the requests that a crash ends at one instance.
	crashWriteDelay = 20 * time.Millisecond
	// crashSpreadStep is by how much each further instance of the fleet extends the random delay
	// that is added, up to maxCrashSpread. All instances that had requests at a target write the
	// same record when it crashes: a call of 20 ms for each of them.
	crashSpreadStep = 20 * time.Millisecond
	maxCrashSpread  = 500 * time.Millisecond
	// urgentSpreadShare is the part of that delay that is left for what was at another crash too
	// and never answered, as it may be close to a quarantine.
	urgentSpreadShare = 5
	// healthyPause is the time between the first trials with requests that may be healthy: an
	// answer, and what a target has to outlive it by.
	healthyPause = 2 * time.Second
	// judgeInterval bounds the work for requests that are refused.
	judgeInterval = 100 * time.Millisecond
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

// suspicion is what is known of one request, or of one part.
type suspicion struct {
	crashes   map[*crash]bool // true: the target had begun to answer, if this is a part
	sent      int             // requests with it that this instance has sent since the first crash
	changedAt time.Time       // when the last crash or trial was learned of
	trying    bool            // a trial is being claimed
	depth     int             // position of a part in the prompt, unknownDepth if it was not seen here
}

// partKey identifies a part at a service.
type partKey struct {
	service string
	id      Fingerprint
}

// unknownDepth is deeper than any: a part that this instance has not seen is no popular one.
const unknownDepth = math.MaxInt

// Crashes holds the recent crashes of one process and derives from them the requests, and
// the parts of prompts, under which targets end. It is not safe for concurrent use.
//
// What crashes targets is never answered, so each answer that its target survives takes the
// request and its parts out of the crashes. Of several that are at the same crashes, the one
// explains them of which most requests crashed a target: requests with a popular part are
// answered as well, or are on their way. As a popular part is at all targets that crash
// together, crashes of one moment count once for what was answered before, and an answer
// shortly before a crash clears it.
//
// A quarantine may hit healthy requests until one of them is answered. So a request that
// lacks what may explain the crashes as well is tried at once. If it is answered, its parts
// are sound everywhere; if not, fewer explanations are left for the next one.
type Crashes struct {
	crashes     map[string]*crash // by name
	suspicions  map[Fingerprint]*suspicion
	suspected   map[Fingerprint]bool            // with enough crashes for a quarantine
	quarantined map[Fingerprint][][]Fingerprint // with the rivals, see rivals
	voided      map[string]voided               // by name of the crash
	answered    memory[partKey, time.Time]      // when targets last outlived answers
	whole       counts[partKey]                 // whole answers to requests with what is shared
	wholeExact  counts[partKey]                 // whole answers to exact requests
	listed      bool
	judgedAt    time.Time // last judgement that took account of the requests sent
	fleetSize   func() int
}

// NewCrashes returns an empty state.
func NewCrashes() *Crashes {
	return &Crashes{
		crashes: make(map[string]*crash), suspicions: make(map[Fingerprint]*suspicion), suspected: make(map[Fingerprint]bool),
		quarantined: make(map[Fingerprint][][]Fingerprint), voided: make(map[string]voided), answered: newMemory[partKey, time.Time](),
		whole: newCounts[partKey](), wholeExact: newCounts[partKey](), fleetSize: func() int { return 1 },
	}
}

// SetFleetSize sets what returns the number of instances. It must be called before the first
// crash.
func (c *Crashes) SetFleetSize(f func() int) { c.fleetSize = f }

// Quarantined returns the requests in quarantine.
func (c *Crashes) Quarantined() []Fingerprint { return slices.Collect(maps.Keys(c.quarantined)) }

// isQuarantined reports whether a request or part is in quarantine.
func (c *Crashes) isQuarantined(id Fingerprint) bool {
	_, ok := c.quarantined[id]
	return ok
}

// Listed reports whether the stored records were taken over.
func (c *Crashes) Listed() bool { return c.listed }

// Suspects reports whether any request is suspected.
func (c *Crashes) Suspects() bool { return len(c.suspicions) > 0 }

// Check says whether a request to a service may be sent to a target. A part counts once a
// target of the service has crashed under it.
func (c *Crashes) Check(now time.Time, service string, ids []Fingerprint) Verdict {
	c.recordDepths(ids)
	v := c.check(now, service, ids)
	if v.Outcome != Allowed && now.Sub(c.judgedAt) >= judgeInterval {
		c.judgedAt = now
		c.judge()
		v = c.check(now, service, ids)
	}
	return v
}

func (c *Crashes) check(now time.Time, service string, ids []Fingerprint) Verdict {
	v := Verdict{Outcome: Allowed}
	for _, id := range ids {
		s := c.suspicions[id]
		if !c.isQuarantined(id) || !s.concerns(id, service) {
			continue
		}
		left := c.pause(id, c.mayBeHealthy(id, ids)) - now.Sub(s.changedAt)
		if left > 0 || s.trying {
			return Verdict{Outcome: Quarantined, Fingerprint: id, RetryAfter: max(left, sameMoment)}
		}
		if v.Outcome == Allowed {
			v = Verdict{Outcome: TrialDue, Fingerprint: id}
		}
	}
	return v
}

// reason returns the part that explains best why a request is refused for a fingerprint. That is
// the fingerprint itself if it is a part that was never answered. Otherwise it is a part in
// quarantine, if a whole request is, or one that was never answered, was at more than one crash
// and is in fewer requests. It returns the fingerprint if there is none.
func (c *Crashes) reason(service string, id Fingerprint, parts []Fingerprint) Fingerprint {
	if id.IsPart() && c.proof(id) == unanswered {
		return id
	}
	part, refused := id, c.suspicions[id]
	var best *suspicion
	for _, p := range parts {
		s := c.suspicions[p]
		if p == id || s == nil || !s.concerns(p, service) {
			continue
		}
		if c.isQuarantined(p) && !id.IsPart() {
			return p
		}
		rare := len(s.crashes) >= p.rivalThreshold() && s.sent < refused.sent && c.proof(p) == unanswered
		if rare && (best == nil || cmp.Or(cmp.Compare(len(s.crashes), len(best.crashes)), cmp.Compare(best.sent, s.sent)) > 0) {
			part, best = p, s
		}
	}
	return part
}

// concerns reports whether a service is to be kept from the request or part.
func (s *suspicion) concerns(id Fingerprint, service string) bool {
	if !id.IsPart() {
		return true
	}
	for e := range s.crashes {
		if e.record.Service == service {
			return true
		}
	}
	return false
}

// mayBeHealthy reports whether a request with a quarantined fingerprint lacks what may
// explain the crashes as well. One crash may have a reason of its own.
func (c *Crashes) mayBeHealthy(id Fingerprint, ids []Fingerprint) bool {
	unexplained := 0
	for _, rivals := range c.quarantined[id] {
		if !slices.ContainsFunc(rivals, func(rival Fingerprint) bool { return !slices.Contains(ids, rival) }) {
			unexplained++
		}
	}
	return unexplained <= 1
}

// rivals returns for each crash under a request or part what may explain it as well: what was
// at another crash too and was never answered.
func (c *Crashes) rivals(id Fingerprint) (list [][]Fingerprint) {
	for e := range c.suspicions[id].crashes {
		var rivals []Fingerprint
		for other := range subjects(e.record.Requests) {
			if other != id && len(c.suspicions[other].crashes) >= other.rivalThreshold() && c.proof(other) == unanswered {
				rivals = append(rivals, other)
			}
		}
		list = append(list, rivals)
	}
	return list
}

// RecordSent records that a request is to be sent to targets.
func (c *Crashes) RecordSent(subject Subject) {
	if !c.Suspects() {
		return
	}
	for _, id := range subject.Fingerprints() {
		if s, ok := c.suspicions[id]; ok {
			s.sent++
		}
	}
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

// pause returns the time without a request to a target before the next trial, with one that
// may be healthy or with any.
func (c *Crashes) pause(id Fingerprint, healthy bool) time.Duration {
	trials := 0
	for e := range c.suspicions[id].crashes {
		for _, trial := range e.record.Trials {
			if trial == id {
				trials++
			}
		}
	}
	pause := firstPause
	if healthy && trials == 0 {
		return 0
	}
	if healthy {
		pause, trials = healthyPause, trials-1
	}
	for range trials {
		pause = min(requestPauseFactor*pause, maxRequestPause)
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
		if says(list, id) || e.answered[id.subject()] || c.isVoid(now, e, id) || c.answeredLately(now, r.Service, id) {
			continue
		}
		if more, ok := c.withRequest(list, id); ok {
			list, e.added[id] = more, true
		}
	}
	if len(list) == len(e.record.Requests) {
		return false
	}
	c.replace(now, e, e.record.WithRequests(list))
	c.scheduleWrite(e, now.Add(c.crashDelay(suspects)))
	c.recordDepths(suspects)
	c.judge()
	return true
}

// crashDelay returns how long the write of a crash waits for others of this instance, and for
// those of other instances.
func (c *Crashes) crashDelay(suspects []Fingerprint) time.Duration {
	spread := min(time.Duration(c.fleetSize()-1)*crashSpreadStep, maxCrashSpread)
	urgent := slices.ContainsFunc(suspects, func(id Fingerprint) bool {
		s, ok := c.suspicions[id.subject()]
		return ok && len(s.crashes) > 1 && c.proof(id.subject()) == unanswered
	})
	if urgent {
		spread /= urgentSpreadShare
	}
	if spread <= 0 {
		return crashWriteDelay
	}
	return crashWriteDelay + rand.N(spread)
}

// says reports whether a list has a request or part. One that waited at the target is also in
// the list if the target had begun to answer another request with it.
func says(list []Fingerprint, id Fingerprint) bool {
	return slices.Contains(list, id) || slices.Contains(list, id.subject())
}

// answeredLately reports whether a request or part was answered so shortly ago that it did
// not cause a crash.
func (c *Crashes) answeredLately(now time.Time, service string, id Fingerprint) bool {
	at, ok := c.answered.at(partKey{service, id.subject()})
	return ok && now.Sub(at) < answeredRecently
}

// proof is what is known for something at all services whose targets have crashed under it.
type proof int

const (
	unanswered proof = iota
	answered         // whole, but a target may have ended right after that
	survived         // a target has outlived an answer
)

// proof returns what speaks for a request or part.
func (c *Crashes) proof(id Fingerprint) proof {
	least := survived
	for e := range c.suspicions[id].crashes {
		k := partKey{e.record.Service, id}
		if _, ok := c.answered.at(k); ok && !id.isExact() {
			continue
		}
		if c.wholeOf(id).of(k) == 0 {
			return unanswered
		}
		least = answered
	}
	return least
}

// RecordWhole records an answer whose target may end with it. It clears nothing, but what is
// never answered is suspected first.
func (c *Crashes) RecordWhole(service string, ids []Fingerprint) {
	for _, id := range ids {
		c.wholeOf(id).add(partKey{service, id})
	}
}

// RevokeWhole takes back RecordWhole for an answer whose target has ended with it, as far as is
// known. Otherwise what crashes targets after an answer that looks whole counts as answered, like
// the healthy requests that share its path and body.
func (c *Crashes) RevokeWhole(service string, ids []Fingerprint) {
	for _, id := range ids {
		c.wholeOf(id).remove(partKey{service, id})
	}
}

// wholeOf returns the memory of whole answers for the kind of a fingerprint. Exact requests,
// most of which never come again, have one of their own and do not displace what is shared.
func (c *Crashes) wholeOf(id Fingerprint) *counts[partKey] {
	if id.isExact() {
		return &c.wholeExact
	}
	return &c.whole
}

// RecordSurvived records that targets of a service have outlived answers to requests with
// something that other requests share, so that it does not crash them. It returns whether a
// record is to be written.
func (c *Crashes) RecordSurvived(now time.Time, service string, ids []Fingerprint) bool {
	for _, id := range ids {
		c.answered.put(partKey{service, id}, now)
	}
	return c.releaseAll(now, ids, func(e *crash) bool { return e.record.Service == service })
}

// Repeated reports whether a request, or a part of it, was at more than one crash and not
// answered since.
func (c *Crashes) Repeated(r Report) bool {
	return slices.ContainsFunc(r.suspects(), func(id Fingerprint) bool {
		s, ok := c.suspicions[id.subject()]
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
		s := c.suspicions[other.subject()]
		return s != nil && len(s.crashes) == 1
	})
	if c.suspicions[id.subject()] == nil || at < 0 {
		return nil, false
	}
	list[at] = id
	return list, true
}

// RecordAnswer records that a target has answered a request whole, so that it does not
// crash targets. It returns whether a record is to be written.
func (c *Crashes) RecordAnswer(now time.Time, ids []Fingerprint) bool {
	return c.releaseAll(now, ids, func(*crash) bool { return true })
}

// releaseAll takes requests and parts out of the crashes that a function selects.
func (c *Crashes) releaseAll(now time.Time, ids []Fingerprint, from func(*crash) bool) bool {
	changed := false
	for _, id := range ids {
		if s, ok := c.suspicions[id]; ok {
			changed = c.release(now, id, s, from) || changed
		}
	}
	if changed {
		c.judge()
	}
	return changed
}

// release takes a request or part out of crashes. The writes of the instances are spread.
func (c *Crashes) release(now time.Time, id Fingerprint, s *suspicion, from func(*crash) bool) bool {
	at, changed := now, false
	switch {
	case c.isQuarantined(id):
	case len(s.crashes) > 1:
		at = now.Add(rand.N(maxKnownDelay))
	default:
		at = now.Add(answerWriteDelay + rand.N(answerWriteDelay))
	}
	maps.DeleteFunc(c.voided, func(_ string, v voided) bool { return now.Sub(v.at) > releaseTime })
	for e := range maps.Clone(s.crashes) {
		if !from(e) {
			continue
		}
		changed = true
		c.answered.put(partKey{e.record.Service, id}, now)
		delete(e.added, id)
		delete(e.added, id.waiting())
		c.void(now, e, id)
		if e.version > 0 || e.sending {
			e.answered[id] = true
			c.scheduleWrite(e, at)
		}
		c.replace(now, e, e.record.WithRequests(slices.DeleteFunc(slices.Clone(e.record.Requests), func(other Fingerprint) bool { return other.subject() == id })))
	}
	return changed
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
	return ok && now.Sub(v.at) <= releaseTime && v.requests[id.subject()]
}

// scheduleWrite makes a record due at the given time, or earlier if it is so already.
func (c *Crashes) scheduleWrite(e *crash, at time.Time) {
	if e.writeAt.IsZero() || at.Before(e.writeAt) {
		e.writeAt = at
	}
}

// replace exchanges the record of a crash and updates what is known of its requests.
func (c *Crashes) replace(now time.Time, e *crash, r CrashRecord) {
	before, after := subjects(e.record.Requests), subjects(r.Requests)
	for id := range before {
		s := c.suspicions[id]
		delete(s.crashes, e)
		if _, stays := after[id]; len(s.crashes) == 0 && !stays {
			delete(c.suspicions, id)
		}
		if len(s.crashes) < crashThreshold {
			delete(c.suspected, id)
		}
	}
	for id, begun := range after {
		s, ok := c.suspicions[id]
		if !ok {
			s = &suspicion{crashes: make(map[*crash]bool), depth: unknownDepth}
			c.suspicions[id] = s
		}
		s.crashes[e] = begun
		if len(s.crashes) >= crashThreshold {
			c.suspected[id] = true
		}
		if _, was := before[id]; !was {
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

// subjects returns the requests and parts of a list, and whether targets had begun to answer
// the parts.
func subjects(list []Fingerprint) map[Fingerprint]bool {
	m := make(map[Fingerprint]bool, len(list))
	for _, id := range list {
		m[id.subject()] = m[id.subject()] || !id.isWaiting()
	}
	return m
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

// suspect is a request, or a part, during a judgement.
type suspect struct {
	id       Fingerprint
	proof    proof
	sent     int // requests with it, by this instance
	begun    int // crashes after the target had begun to answer, whatever explains them
	evidence evidence
	score    float64
	depth    int // of a part
}

// evidence is the number of crashes that count against a request or part.
type evidence struct {
	begun int // of them, those of targets that had begun to answer
	all   int
}

// suffices reports whether the crashes that nothing else explains are enough for a quarantine.
// If most of the requests did not crash a target, or not yet, more crashes are needed. That
// share is of all crashes: the requests sent before include those of explained crashes.
func (s suspect) suffices() bool {
	few := s.evidence.begun >= crashThreshold && s.begun > s.sent && s.proof == unanswered
	return few || s.evidence.all >= highThreshold
}

// judge derives the requests and parts in quarantine. The one with the highest score explains
// its crashes, and the others are judged by the rest.
func (c *Crashes) judge() {
	clear(c.quarantined)
	explained := make(map[*crash]bool)
	var left []suspect
	for id := range c.suspected {
		s := suspect{id: id, depth: c.suspicions[id].depth, sent: c.suspicions[id].sent, proof: c.proof(id)}
		s.evidence = c.evidence(s, explained)
		s.begun = s.evidence.begun
		if s.suffices() {
			s.score = s.evidence.score(s.sent)
			left = append(left, s)
		}
	}
	slices.SortFunc(left, compareSuspects)
	for _, s := range left {
		if len(explained) > 0 {
			s.evidence = c.evidence(s, explained)
		}
		if !s.suffices() || c.rarerExplains(s, explained) {
			continue
		}
		c.quarantined[s.id] = c.rivals(s.id)
		for e := range c.suspicions[s.id].crashes {
			explained[e] = true
		}
	}
}

// rarerExplains reports whether something that fewer requests have was at most of the crashes
// as well. The others may not be reported yet: the end of a target is known sooner for the
// other requests at it than for one that looks answered. Exact requests are not shared by
// others, so nothing is rarer.
func (c *Crashes) rarerExplains(s suspect, explained map[*crash]bool) bool {
	if s.id.isExact() {
		return false
	}
	n := 0
	counts := make(map[Fingerprint]int)
	for e := range c.suspicions[s.id].crashes {
		if explained[e] {
			continue
		}
		n++
		for id := range subjects(e.record.Requests) {
			counts[id]++
		}
	}
	for id, count := range counts {
		if other := c.suspicions[id]; 2*count > n && count >= id.rivalThreshold() && other.sent < s.sent && c.proof(id) <= s.proof {
			return true
		}
	}
	return false
}

// score is the number of crashes times the share of the requests that crashed a target. That
// share is 1 for what crashes targets; it is lower for a part that healthy requests have too,
// and so is the score, the more of them there are. The crashes are those of all instances and
// the requests those of this one, so the share is capped. Otherwise a healthy request that is
// in quarantine by mistake keeps its high score, as it is not sent any more, and hides the one
// that goes on crashing targets.
func (e evidence) score(sent int) float64 {
	n := float64(e.begun+e.all) / 2
	return n * min(1, n/float64(max(1, sent)))
}

// sentShared returns how many requests with it this instance has sent, 0 for an exact request.
// That is no measure for an exact one: only its quarantine keeps it from being sent.
func (s suspect) sentShared() int {
	if s.id.isExact() {
		return 0
	}
	return s.sent
}

// compareSuspects orders those that were answered before last, then by score, the less often
// sent ones first, exact requests first, then by how special a part is.
func compareSuspects(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(a.proof, b.proof),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.sentShared(), b.sentShared()),
		cmp.Compare(a.id&kindBits, b.id&kindBits),
		cmp.Compare(b.depth, a.depth),
		cmp.Compare(a.id, b.id),
	)
}

// evidence returns the crashes of a request or part that are not explained. Those that came
// together count once for a known one, and for requests that waited.
func (c *Crashes) evidence(s suspect, explained map[*crash]bool) (n evidence) {
	known, moment := s.proof == survived, sameMoment
	if !known {
		moment = sameWait
	}
	var together []time.Time
	for e, begun := range c.suspicions[s.id].crashes {
		switch {
		case explained[e]:
		case (known || !begun) && !e.apart:
			together = append(together, e.seenAt)
		case begun:
			n.begun, n.all = n.begun+1, n.all+1
		default:
			n.all++
		}
	}
	slices.SortFunc(together, time.Time.Compare)
	var last time.Time
	for _, at := range together {
		if last.IsZero() || at.Sub(last) >= moment {
			n.all, last = n.all+1, at
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
	stored, before := subjects(r.Requests), subjects(e.record.Requests)
	for id := range e.answered {
		if _, ok := stored[id]; !ok {
			delete(e.answered, id)
		}
	}
	for id := range before {
		if _, ok := stored[id]; !ok && !e.added[id] && !e.added[id.waiting()] {
			c.answered.put(partKey{r.Service, id}, now) // answered at another instance
		}
	}
	for id := range stored {
		_, ok := before[id]
		switch {
		case e.answered[id]:
		case c.isVoid(now, e, id):
			e.answered[id] = true
			c.scheduleWrite(e, now.Add(rand.N(hastenedDelay)))
		case !ok:
			c.hastenAnswers(now, id)
		}
	}
	list := slices.DeleteFunc(slices.Clone(r.Requests), func(id Fingerprint) bool { return e.expired || e.answered[id.subject()] })
	for id := range e.added {
		if says(r.Requests, id) || e.expired {
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

// NextWrite returns when the next change is due. It reports false if there is none.
func (c *Crashes) NextWrite() (at time.Time, ok bool) {
	for _, e := range c.crashes {
		if !e.sending && !e.writeAt.IsZero() && (!ok || e.writeAt.Before(at)) {
			at, ok = e.writeAt, true
		}
	}
	return at, ok
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
		id = id.subject()
		if end := c.suspicions[id].changedAt.Add(requestQuarantineTime); c.isQuarantined(id) && end.After(at) {
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
		if (oldest == nil || e.seenAt.Before(oldest.seenAt)) && !slices.ContainsFunc(e.record.Requests, func(id Fingerprint) bool { return len(c.suspicions[id.subject()].crashes) > 1 }) {
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
