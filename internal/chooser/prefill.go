package chooser

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	prefillSpeed  = 36.7                    // prompt tokens per ms that an engine reads, from the users' sheet of engines
	centreLatency = time.Millisecond        // one way between data centres of a region
	cachedTime    = 30 * time.Second        // a part that was not used for longer counts as evicted
	reportTime    = 1500 * time.Millisecond // after which a load report counts no more
	waitingCost   = 40 * time.Millisecond   // of a request that waits at a target for a slot
	// missPenalty is what reading a shared part again costs the requests behind it,
	// as a multiple of its time: about four wait at twice the usual load.
	missPenalty = 4
	runningCost = time.Millisecond     // by which each running request slows the prefill of another
	rankCost    = 2 * time.Millisecond // breaks ties between targets that are equally idle
	maxParts    = 8192                 // remembered parts of all targets
	freshWeight = 0.1                  // of the newest request in a mean over some seconds at an engine
)

// Part is a piece of a prompt. Requests that begin with the same parts share
// what an engine keeps of them.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what the choice between engines depends on.
type Prompt struct {
	Parts   []Part // in order; the last one belongs to the request itself or its session
	Tokens  int64  // of the whole prompt
	Output  int64  // at most
	Exclude []string

	// What decides whether the request is worth sending, see [Prefill.Admit].
	Aim      time.Duration // until the first token
	Patience time.Duration // until the end of the answer
	Events   int           // that the answer is expected to have
}

// Node is a target as the policy sees it.
type Node struct {
	Name string
	Place
	Slots  int // requests at once
	Memory int // tokens of prompts and outputs, 0: not known
}

func (n *Node) slots() int {
	if n.Slots > 0 {
		return n.Slots
	}
	return expectedSlots
}

// Pick is a chosen target.
type Pick struct {
	Index    int // in the list of nodes
	Scope    Scope
	Reason   string
	Wait     time.Duration // estimated time until the first token
	Backlog  time.Duration // the part of it that passes before the prompt is read
	Standing time.Duration // since when the backlog has not been low
	Cached   int64         // prompt tokens that the target is expected to keep
	Pause    time.Duration // between events of the target's answers of late
	Load     Load          // as the target reported it last

	plain time.Duration // the wait before it was corrected by what earlier ones took
}

// Ticket is a request in flight at a target.
type Ticket struct {
	node  *engineState
	fresh int64 // prompt tokens to read
	whole int64 // tokens in memory
	begun bool
	sent  time.Time
	plain time.Duration // see [Pick]
	last  time.Time     // when the last event came
}

// Prefill chooses engines by the expected time to the first token: prompt tokens
// still to be read there, tokens of this prompt that are not cached, running and
// waiting requests, and distance. Prefixes have a home engine by rendezvous
// hashing, so that routers agree on it without talking. It answers loads where
// long shared prompts make reading them the scarcest resource.
type Prefill struct {
	place   Place
	latency time.Duration // one way between regions
	engines map[string]*engineState
	parts   int
}

type engineState struct {
	hash     uint64
	pending  int64   // prompt tokens of own requests without a first token
	unbegun  int     // number of these
	fresh    float64 // mean prompt tokens that own requests had to read
	memory   int64   // tokens of own requests in flight
	running  int     // own requests in flight
	report   Load
	own      int // running when the report was made
	reported int // unbegun then
	cached   map[uint64]time.Time
	drained  time.Time // when the backlog was low last
	pace     pace
	slowness slowness
}

// NewPrefill returns the policy for a router at a place.
func NewPrefill(place Place) *Prefill {
	return &Prefill{place: place, latency: regionLatency, engines: make(map[string]*engineState)}
}

// Choose selects a node. It reports false if none has room or all are excluded.
func (p *Prefill) Choose(now time.Time, r Prompt, nodes []Node) (Pick, bool) {
	home := p.home(r, nodes)
	best, cost, found := Pick{}, time.Duration(0), false
	for i := range nodes {
		n := &nodes[i]
		if excluded(r.Exclude, n.Name) {
			continue
		}
		e := p.engine(n.Name)
		if !e.fits(now, r, n) {
			continue
		}
		cached := e.kept(now, r.Parts, n.Name == home)
		pick := Pick{Index: i, Scope: p.scope(n.Place), Cached: cached, Reason: ReasonBound}
		if n.Name == home {
			pick.Reason = ReasonPrefix
		}
		pick.plain = e.wait(now, r.Tokens-cached, n.slots()) + p.distance(pick.Scope)
		slow := e.slowness.at(now)
		pick.Wait = time.Duration(float64(pick.plain) * slow)
		pick.Backlog = pick.Wait - time.Duration(float64(readTime(float64(r.Tokens-cached)))*slow)
		if pick.Backlog < lowBacklog || e.drained.IsZero() {
			e.drained = now
		}
		pick.Standing = now.Sub(e.drained)
		price := pick.Wait + missPenalty*readTime(float64(sharedTokens(r.Parts)-cached))
		if !found || price < cost {
			best, cost, found = pick, price, true
		}
	}
	if found {
		e := p.engine(nodes[best.Index].Name)
		best.Pause, best.Load = e.pace.at(now), e.report
	}
	return best, found
}

// Sent records a request sent to a node.
func (p *Prefill) Sent(now time.Time, name string, r Prompt, pick Pick) *Ticket {
	e := p.engine(name)
	t := &Ticket{node: e, fresh: max(0, r.Tokens-pick.Cached), whole: r.Tokens + r.Output, sent: now, plain: pick.plain}
	e.fresh += (float64(t.fresh) - e.fresh) * freshWeight
	e.pending += t.fresh
	e.unbegun++
	e.memory += t.whole
	e.running++
	if p.parts > maxParts {
		p.forgetParts(now)
	}
	for _, part := range shared(r.Parts) {
		if _, ok := e.cached[part.ID]; !ok {
			p.parts++
		}
		e.cached[part.ID] = now
	}
	return t
}

// Began records the first event of an answer.
func (p *Prefill) Began(now time.Time, t *Ticket) {
	if t.begun {
		return
	}
	t.read()
	t.last = now
	t.node.slowness = t.node.slowness.with(now, now.Sub(t.sent), t.plain)
}

// Progressed records a further event of an answer.
func (p *Prefill) Progressed(now time.Time, t *Ticket) {
	t.node.pace = t.node.pace.with(now, now.Sub(t.last))
	t.last = now
}

// read ends the time in which the prompt of the request is read.
func (t *Ticket) read() {
	if !t.begun {
		t.begun = true
		t.node.pending -= t.fresh
		t.node.unbegun--
	}
}

// Done records the end of a request.
func (p *Prefill) Done(t *Ticket) {
	t.read()
	t.node.memory -= t.whole
	t.node.running--
}

// Reported records a load report.
func (p *Prefill) Reported(name string, l Load) {
	e := p.engine(name)
	if l.At.After(e.report.At) {
		e.report, e.own, e.reported = l, e.running, e.unbegun
	}
}

// Forget drops a target that is gone or has started anew.
func (p *Prefill) Forget(name string) {
	if e, ok := p.engines[name]; ok {
		p.parts -= len(e.cached)
		delete(p.engines, name)
	}
}

func (p *Prefill) engine(name string) *engineState {
	e, ok := p.engines[name]
	if !ok {
		e = &engineState{hash: xxhash.Sum64String(name), cached: make(map[uint64]time.Time)}
		p.engines[name] = e
	}
	return e
}

// forgetParts drops parts that count as evicted, or all if that is not enough.
func (p *Prefill) forgetParts(now time.Time) {
	p.parts = 0
	for _, e := range p.engines {
		for id, used := range e.cached {
			if now.Sub(used) > cachedTime/2 {
				delete(e.cached, id)
			}
		}
		p.parts += len(e.cached)
	}
	if p.parts > maxParts {
		for _, e := range p.engines {
			clear(e.cached)
		}
		p.parts = 0
	}
}

// home returns the node that keeps the shared parts of a prompt, by rendezvous
// hashing over the nodes.
func (p *Prefill) home(r Prompt, nodes []Node) string {
	parts := shared(r.Parts)
	if len(parts) == 0 {
		return ""
	}
	key := mix(parts[len(parts)-1].ID)
	best, name := uint64(0), ""
	for i := range nodes {
		if h := mix(key ^ p.engine(nodes[i].Name).hash); name == "" || h > best {
			best, name = h, nodes[i].Name
		}
	}
	return name
}

func (p *Prefill) scope(place Place) Scope {
	switch {
	case place.Centre == p.place.Centre:
		return SameCentre
	case place.Region == p.place.Region:
		return SameRegion
	}
	return OtherRegion
}

func (p *Prefill) distance(s Scope) time.Duration {
	switch s {
	case SameCentre:
		return 0
	case SameRegion:
		return 2 * centreLatency
	}
	return 2 * p.latency
}

// shared returns the parts of a prompt that other requests begin with too.
func shared(parts []Part) []Part {
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

// kept returns the leading prompt tokens that the engine is expected to keep.
func (e *engineState) kept(now time.Time, parts []Part, home bool) int64 {
	var sum int64
	for _, part := range shared(parts) {
		used, ok := e.cached[part.ID]
		if !home && (!ok || now.Sub(used) > cachedTime) {
			break
		}
		sum += int64(part.Tokens)
	}
	return sum
}

// sharedTokens returns the tokens of the parts that other requests begin with too.
func sharedTokens(parts []Part) int64 {
	var n int64
	for _, p := range shared(parts) {
		n += int64(p.Tokens)
	}
	return n
}

// readTime returns how long an engine reads tokens.
func readTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillSpeed * float64(time.Millisecond))
}

// others returns the requests in flight of other routers, by the last report.
func (e *engineState) others(now time.Time) (running, waiting int) {
	if now.Sub(e.report.At) > reportTime {
		return 0, 0
	}
	return max(0, e.report.Running-e.own), e.report.Waiting
}

// wait estimates the time until the first token of a request with the given
// tokens to read. Requests of other routers that wait are assumed to have as much
// to read as the own ones.
func (e *engineState) wait(now time.Time, fresh int64, slots int) time.Duration {
	others, waiting := e.others(now)
	read := float64(e.pending) + float64(fresh) + float64(max(0, waiting-e.reported))*e.fresh
	queued := others + e.running + 1 - slots
	if fresh == 0 {
		queued = max(queued, waiting)
	}
	return readTime(read) + time.Duration(max(0, queued))*waitingCost + time.Duration(others+e.running)*runningCost
}

// fits reports whether the engine has a slot and memory for a request.
func (e *engineState) fits(now time.Time, r Prompt, n *Node) bool {
	others, _ := e.others(now)
	if e.running+others >= 2*n.slots() {
		return false
	}
	return n.Memory == 0 || e.memory+r.Tokens+r.Output <= int64(n.Memory) || e.running == 0
}
