package chooser

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A shorter backlog counts as none: it is a typical prompt that is half prefilled.
	lowBacklog = 80 * time.Millisecond
	// A prompt part that was not used for longer counts as evicted from the prefix cache.
	cacheTTL = 30 * time.Second
	// Older load reports are ignored.
	reportTTL = 1500 * time.Millisecond
	// Cost of a prefix cache miss for the requests queued behind it, as a multiple of
	// its prefill time: about four requests wait at twice the usual load.
	missPenalty  = 4
	tieBreakCost = 2 * time.Millisecond // between targets that are equally idle
	// Share of the time by which a first token is overdue that counts as backlog. With more,
	// single long prompts count for too much.
	overdueShare = 0.6
	// Limit of the prompt parts that are tracked over all targets.
	maxTrackedParts = 8192
	// Weight of the newest request in the mean of uncached tokens, which covers the
	// last seconds at an engine.
	uncachedMeanWeight = 0.1
)

// Part is a segment of a prompt. Requests that begin with the same parts share
// their entries in the prefix cache of an engine.
type Part struct {
	ID     uint64
	Tokens int
}

// PrefillRequest is the part of a request that the choice of an engine depends on.
type PrefillRequest struct {
	Parts     []Part // in order; the last one is specific to the request or its session
	Tokens    int64  // length of the whole prompt
	MaxOutput int64  // limit of the output tokens
	Priority  int    // 0 is the most urgent
	Service   string // of engines whose latency is learned, empty: the defaults apply
	Exclude   []string
	Soonest   bool // prefer the engine that answers soonest, whatever has to be read again

	// Not used by the choice, but by the decision whether to send the request.
	Account          string        // client account, empty: none
	FirstTokenTarget time.Duration // objective of the time to first token
	ResponseTimeout  time.Duration // until the end of the response
	ExpectedEvents   int           // of the response
}

// Node is a target that [PrefillPolicy] may choose.
type Node struct {
	Name string
	Place
	Slots  int // limit of concurrent requests
	Memory int // capacity in tokens of prompts and outputs, 0: unknown
}

func (n *Node) slotsOrDefault() int {
	if n.Slots > 0 {
		return n.Slots
	}
	return defaultSlots
}

// PrefillChoice is a chosen target.
type PrefillChoice struct {
	Index         int // in the list of nodes
	Scope         Scope
	Reason        string
	Wait          time.Duration // estimated time to first token
	Backlog       time.Duration // the part of Wait before the prefill of this prompt starts
	BacklogAge    time.Duration // time since the backlog was last below lowBacklog
	CachedTokens  int64         // prompt tokens expected in the prefix cache of the target
	EventInterval time.Duration // recent mean interval between events of the target's responses
	Load          Load          // last report of the target

	inputs   features
	estimate float64 // Wait in milliseconds before the correction by the slowdown of the engine
}

// InFlightRequest is the state of a request that was sent to a target and has not
// ended.
type InFlightRequest struct {
	state          *engineState
	uncachedTokens int64 // prompt tokens to prefill
	memoryTokens   int64 // prompt tokens and limit of the output tokens
	prefillDone    bool
	sentAt         time.Time
	priority       int
	inputs         features
	estimate       float64   // see [PrefillChoice]
	lastEvent      time.Time // time of the last event
}

// PrefillPolicy chooses engines by the expected time to first token. This depends on
// the prompt tokens that the engine has yet to prefill, the uncached tokens of this
// prompt, running and waiting requests, and distance. Rendezvous hashing gives each
// prefix a preferred engine, so that routers agree on it without communication. The
// policy is meant for workloads with long shared prompts, where prefill is the
// bottleneck.
type PrefillPolicy struct {
	place     Place
	latency   time.Duration // one way between regions
	engines   map[string]*engineState
	services  map[string]*serviceModel
	states    []*engineState                            // of the nodes of a choice, reused between choices
	partCount int                                       // entries of cachedParts of all engines
	observe   func(c PrefillChoice, cost time.Duration) // nil: not observed
}

// engineState is the state that a router tracks for an engine. "Own" requests are
// those that this router has sent.
type engineState struct {
	hash               uint64
	pendingTokens      int64   // prompt tokens of own requests without a first token
	pendingRequests    int     // own requests without a first token
	meanUncachedTokens float64 // moving mean of the uncached prompt tokens of own requests
	memoryTokens       int64   // sum over own requests in flight
	running            int     // own requests in flight
	report             Load
	runningAtReport    int                   // value of running when the report arrived
	pendingAtReport    int                   // value of pendingRequests when the report arrived
	cachedParts        map[uint64]time.Time  // time of the last use by part ID
	lowBacklogAt       [priorities]time.Time // by priority, last time that the backlog was below lowBacklog
	eventInterval      intervalAverage
	slowdown           slowdown
	service            *serviceModel      // nil: not chosen from yet
	lastEvent          time.Time          // time of the last event of own requests
	pending            []*InFlightRequest // own requests without a first token, oldest first
}

// NewPrefillPolicy returns the policy for a router at a place.
func NewPrefillPolicy(place Place) *PrefillPolicy {
	return &PrefillPolicy{place: place, latency: regionLatency, engines: make(map[string]*engineState), services: make(map[string]*serviceModel)}
}

// Choose selects a node. It reports false if no node that is not excluded has
// capacity.
func (p *PrefillPolicy) Choose(now time.Time, r PrefillRequest, nodes []Node) (PrefillChoice, bool) {
	p.states = p.states[:0]
	for i := range nodes {
		p.states = append(p.states, p.engine(nodes[i].Name))
	}
	preferred := p.preferredNode(r, nodes)
	service := p.service(r.Service)
	class := min(max(0, r.Priority), priorities-1)
	model := service.model(class)
	best, cost, found := PrefillChoice{}, time.Duration(0), false
	for i := range nodes {
		n := &nodes[i]
		if excluded(r.Exclude, n.Name) {
			continue
		}
		e := p.states[i]
		e.service = service
		if !e.fits(now, r, n) {
			continue
		}
		cached := e.cachedTokens(now, r.Parts, n.Name == preferred)
		choice := PrefillChoice{Index: i, Scope: p.scope(n.Place), CachedTokens: cached, Reason: ReasonBound}
		if n.Name == preferred {
			choice.Reason = ReasonPrefix
		}
		x := e.features(now, r.Tokens, r.Tokens-cached, n.slotsOrDefault(), choice.Scope)
		choice.inputs, choice.estimate = x, model.estimate(&x)
		factor := e.slowdown.at(now)
		choice.Wait = milliseconds(choice.estimate*factor) + milliseconds(overdueShare*e.overdue(now, r.Priority))
		own := model.cost(featureConstant) + x[featureUncached]*model.cost(featureUncached) + x[featurePairs]*model.cost(featurePairs)
		choice.Backlog = choice.Wait - milliseconds(own*factor)
		lowAt := &e.lowBacklogAt[class]
		if choice.Backlog < lowBacklog || lowAt.IsZero() {
			*lowAt = now
		}
		choice.BacklogAge = now.Sub(*lowAt)
		missPenalty := missPenalty
		if r.Soonest {
			missPenalty = 0
		}
		nodeCost := choice.Wait + milliseconds(float64(missPenalty)*float64(sharedTokens(r.Parts)-cached)/1000*model.cost(featureUncached))
		if p.observe != nil {
			p.observe(choice, nodeCost)
		}
		if !found || nodeCost < cost {
			best, cost, found = choice, nodeCost, true
		}
	}
	if found {
		e := p.states[best.Index]
		best.EventInterval, best.Load = e.eventInterval.at(now), e.report
	}
	return best, found
}

// RecordSent records that a request was sent to a node.
func (p *PrefillPolicy) RecordSent(now time.Time, name string, r PrefillRequest, choice PrefillChoice) *InFlightRequest {
	e := p.engine(name)
	req := &InFlightRequest{state: e, uncachedTokens: max(0, r.Tokens-choice.CachedTokens), memoryTokens: r.Tokens + r.MaxOutput, sentAt: now, priority: r.Priority, inputs: choice.inputs, estimate: choice.estimate}
	e.meanUncachedTokens += (float64(req.uncachedTokens) - e.meanUncachedTokens) * uncachedMeanWeight
	if s := e.service; s != nil {
		s.meanUncachedTokens += (float64(req.uncachedTokens) - s.meanUncachedTokens) * uncachedMeanWeight
	}
	e.pendingTokens += req.uncachedTokens
	e.pending = append(e.pending, req)
	e.pendingRequests++
	e.memoryTokens += req.memoryTokens
	e.running++
	if p.partCount > maxTrackedParts {
		p.evictParts(now)
	}
	for _, part := range sharedParts(r.Parts) {
		if _, ok := e.cachedParts[part.ID]; !ok {
			p.partCount++
		}
		e.cachedParts[part.ID] = now
	}
	return req
}

// RecordFirstEvent records the first event of a response.
func (p *PrefillPolicy) RecordFirstEvent(now time.Time, req *InFlightRequest) {
	if req.prefillDone {
		return
	}
	req.finishPrefill()
	req.lastEvent, req.state.lastEvent = now, now
	took := float64(now.Sub(req.sentAt)) / float64(time.Millisecond)
	factor := req.state.slowdown.at(now)
	req.state.slowdown = req.state.slowdown.with(now, took, req.estimate)
	if s := req.state.service; s != nil && s.learns {
		s.model(req.priority).update(now, &req.inputs, took/factor)
	}
}

// RecordEvent records a later event of a response.
func (p *PrefillPolicy) RecordEvent(now time.Time, req *InFlightRequest) {
	req.state.eventInterval = req.state.eventInterval.with(now, now.Sub(req.lastEvent))
	req.lastEvent, req.state.lastEvent = now, now
}

// LastEvent returns the time of the last event that a target has sent of own requests.
func (p *PrefillPolicy) LastEvent(name string) time.Time {
	if e, ok := p.engines[name]; ok {
		return e.lastEvent
	}
	return time.Time{}
}

// finishPrefill removes the request from the prefill backlog of the engine.
func (req *InFlightRequest) finishPrefill() {
	if !req.prefillDone {
		req.prefillDone = true
		req.state.pendingTokens -= req.uncachedTokens
		req.state.pending = slices.DeleteFunc(req.state.pending, func(r *InFlightRequest) bool { return r == req })
		req.state.pendingRequests--
	}
}

// RecordDone records the end of a request.
func (p *PrefillPolicy) RecordDone(req *InFlightRequest) {
	req.finishPrefill()
	req.state.memoryTokens -= req.memoryTokens
	req.state.running--
}

// RecordLoad records a load report.
func (p *PrefillPolicy) RecordLoad(name string, l Load) {
	e := p.engine(name)
	if l.At.After(e.report.At) {
		if e.service != nil {
			e.service.running.add(l.At, float64(l.Running))
			e.service.waiting.add(l.At, float64(l.Waiting))
		}
		e.report, e.runningAtReport, e.pendingAtReport = l, e.running, e.pendingRequests
	}
}

// Forget removes the state of a target that no longer exists or has restarted.
func (p *PrefillPolicy) Forget(name string) {
	if e, ok := p.engines[name]; ok {
		p.partCount -= len(e.cachedParts)
		delete(p.engines, name)
	}
}

// engine returns the state of an engine and creates it if necessary.
func (p *PrefillPolicy) engine(name string) *engineState {
	e, ok := p.engines[name]
	if !ok {
		e = &engineState{hash: xxhash.Sum64String(name), cachedParts: make(map[uint64]time.Time)}
		p.engines[name] = e
	}
	return e
}

// evictParts removes parts that were not used for half of cacheTTL, or all parts if
// that does not free enough entries.
func (p *PrefillPolicy) evictParts(now time.Time) {
	p.partCount = 0
	for _, e := range p.engines {
		for id, used := range e.cachedParts {
			if now.Sub(used) > cacheTTL/2 {
				delete(e.cachedParts, id)
			}
		}
		p.partCount += len(e.cachedParts)
	}
	if p.partCount > maxTrackedParts {
		for _, e := range p.engines {
			clear(e.cachedParts)
		}
		p.partCount = 0
	}
}

// preferredNode returns the node that should cache the shared parts of a prompt, by
// rendezvous hashing over the nodes, whose states are in p.states. Without shared parts it returns "".
func (p *PrefillPolicy) preferredNode(r PrefillRequest, nodes []Node) string {
	parts := sharedParts(r.Parts)
	if len(parts) == 0 {
		return ""
	}
	key := mix(parts[len(parts)-1].ID)
	best, name := uint64(0), ""
	for i := range nodes {
		if h := mix(key ^ p.states[i].hash); name == "" || h > best {
			best, name = h, nodes[i].Name
		}
	}
	return name
}

func (p *PrefillPolicy) scope(place Place) Scope {
	switch {
	case place.Centre == p.place.Centre:
		return SameCentre
	case place.Region == p.place.Region:
		return SameRegion
	}
	return OtherRegion
}

// service returns the model of a service and creates it if necessary.
func (p *PrefillPolicy) service(name string) *serviceModel {
	s, ok := p.services[name]
	if !ok {
		s = &serviceModel{learns: name != ""}
		p.services[name] = s
	}
	return s
}

// sharedParts returns the parts of a prompt that other requests may begin with, too.
func sharedParts(parts []Part) []Part {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

func excluded(list []string, name string) bool {
	for _, e := range list {
		if e == name {
			return true
		}
	}
	return false
}

// cachedTokens returns the number of leading prompt tokens that the engine is
// expected to have cached. The preferred engine counts as having all shared parts.
func (e *engineState) cachedTokens(now time.Time, parts []Part, preferred bool) int64 {
	var sum int64
	for _, part := range sharedParts(parts) {
		used, ok := e.cachedParts[part.ID]
		if !preferred && (!ok || now.Sub(used) > cacheTTL) {
			break
		}
		sum += int64(part.Tokens)
	}
	return sum
}

// sharedTokens returns the number of tokens of the shared parts.
func sharedTokens(parts []Part) int64 {
	var n int64
	for _, p := range sharedParts(parts) {
		n += int64(p.Tokens)
	}
	return n
}

// milliseconds converts a number of milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// otherRequests returns the running requests of other routers and those that wait
// besides the own ones, according to the last report. As the report of an engine whose
// latency is learned ages, the mean of all engines of the service replaces it: with many
// routers each sees few reports.
func (e *engineState) otherRequests(now time.Time) (running, waiting float64) {
	age := now.Sub(e.report.At)
	if age <= reportTTL {
		running, waiting = float64(max(0, e.report.Running-e.runningAtReport)), float64(max(0, e.report.Waiting-e.pendingAtReport))
	}
	s := e.service
	if s == nil || !s.learns {
		return running, waiting
	}
	weight := 0.0
	if !e.report.At.IsZero() {
		weight = math.Exp(-age.Seconds() / reportWeight.Seconds())
	}
	running = weight*float64(max(0, e.report.Running-e.runningAtReport)) + (1-weight)*max(0, s.running.mean()-float64(e.running))
	waiting = weight*float64(max(0, e.report.Waiting-e.pendingAtReport)) + (1-weight)*max(0, s.waiting.mean()-float64(e.pendingRequests))
	return running, waiting
}

// features returns the inputs of the estimate of the time to first token of a request
// with the given number of tokens, of which some are not cached. Waiting requests of
// other routers are assumed to have as many uncached tokens as own requests on average.
func (e *engineState) features(now time.Time, tokens, uncached int64, slots int, scope Scope) features {
	others, waiting := e.otherRequests(now)
	queued := others + float64(e.running+1-slots)
	if uncached == 0 && now.Sub(e.report.At) <= reportTTL {
		queued = max(queued, float64(e.report.Waiting))
	}
	mean := e.meanUncachedTokens
	if e.service != nil && e.service.learns {
		mean = e.service.meanUncachedTokens
	}
	x := features{
		featureConstant: 1,
		featureUncached: float64(uncached) / 1e3,
		featurePairs:    float64(uncached) * (float64(tokens) - float64(uncached)/2) / 1e6,
		featureBacklog:  float64(e.pendingTokens) / 1e3,
		featureOthers:   waiting * mean / 1e3,
		featureRunning:  others + float64(e.running),
		featureQueued:   max(0, queued),
	}
	switch scope {
	case SameRegion:
		x[featureSameRegion] = 1
	case OtherRegion:
		x[featureOtherRegion] = 1
	}
	return x
}

// overdue returns by how many milliseconds the first token of an own request, which is at
// least as urgent, is later than expected.
func (e *engineState) overdue(now time.Time, priority int) float64 {
	late := 0.0
	for _, r := range e.pending {
		if r.priority <= priority {
			late = max(late, float64(now.Sub(r.sentAt))/float64(time.Millisecond)-r.estimate)
		}
	}
	return late
}

// fits reports whether the engine has a slot and memory for a request.
func (e *engineState) fits(now time.Time, r PrefillRequest, n *Node) bool {
	others, _ := e.otherRequests(now)
	if float64(e.running)+others >= float64(2*n.slotsOrDefault()) {
		return false
	}
	return n.Memory == 0 || e.memoryTokens+r.Tokens+r.MaxOutput <= int64(n.Memory) || e.running == 0
}
