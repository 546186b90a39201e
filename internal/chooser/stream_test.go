package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Properties of an engine, from the data sheet of the repair desk workload.
const (
	engineSlots        = 64
	engineMemory       = 365_510 // token capacity, for running requests and for the prefix cache each
	prefillChunk       = 4096    // prompt tokens prefilled per step
	stepTime           = 4340 * time.Microsecond
	stepTimePerRequest = 151 * time.Microsecond // added to a step by each decoding request
	tokensPerEvent     = 4
	maxEventInterval   = 800 * time.Millisecond // between events of a response that is in time
	maxOutput          = 4                      // limit of the output, as a multiple of the mean
	minRetryDelay      = 400 * time.Millisecond // lower limit of the mean retry delay, as in the receiver
)

// workload is a kind of request on the data sheet of the repair desk.
type workload struct {
	name             string
	sharedLength     float64 // mean length of a shared prompt part
	sharedPrefixes   int     // number of different shared parts
	ownLength        float64 // mean length of the part that is specific to a request
	events           int     // mean per response
	rate             float64 // per second
	firstTokenTarget time.Duration
	responseTimeout  time.Duration
	worth            float64 // of a response in time
	lateWorth        float64 // of a late response
}

var repairDesk = []workload{
	{"repair-plan", 13_300, 61, 3720, 30, 10.8, 1200 * time.Millisecond, 10 * time.Second, 2.8, 0.85},
	{"fitter-summary", 6300, 24, 2890, 13, 4.36, time.Second, 6 * time.Second, 2.5, 0.74},
	{"quick-question", 350, 40, 1110, 43, 10.7, 800 * time.Millisecond, 12 * time.Second, 0.38, 0.11},
}

// simStream is a request and the state of its streamed response.
type simStream struct {
	workload        *workload
	prompt          PrefillRequest
	arrived         time.Time
	router          int
	inFlight        *InFlightRequest
	uncachedTokens  int // prompt tokens that are not prefilled yet
	tokens          int // output so far
	events          int // of the whole response
	firstEvent      time.Time
	lastEvent       time.Time
	longestInterval time.Duration // longest interval between events
	ended           bool
	retryAt         time.Time // time of the retry after a refusal
}

func (s *simStream) inTime() bool {
	return s.firstEvent.Sub(s.arrived) <= s.workload.firstTokenTarget && s.longestInterval <= maxEventInterval
}

// batchEngine simulates an engine with continuous batching: it prefills prompts in
// chunks between decode steps, in which each running request gets a token.
type batchEngine struct {
	clock       time.Time // end of the last step
	stepFactor  float64   // step time relative to the data sheet
	waiting     []*simStream
	active      []*simStream
	cachedParts []Part // least recently used first
}

// fillBatch moves waiting requests to the batch while slots and memory allow, until
// the given number of uncached prompt tokens is reached.
func (e *batchEngine) fillBatch(tokens int) {
	memory := 0
	for _, s := range e.active {
		memory += int(s.prompt.Tokens) + s.tokens
	}
	for len(e.waiting) > 0 && len(e.active) < engineSlots && tokens > 0 {
		s := e.waiting[0]
		memory += int(s.prompt.Tokens)
		if len(e.active) > 0 && memory > engineMemory {
			return
		}
		e.waiting = e.waiting[1:]
		s.uncachedTokens = int(s.prompt.Tokens)
		for _, p := range sharedParts(s.prompt.Parts) {
			i := slices.Index(e.cachedParts, p)
			if i < 0 {
				break
			}
			s.uncachedTokens -= p.Tokens
			e.cachedParts = append(slices.Delete(e.cachedParts, i, i+1), p)
		}
		e.active = append(e.active, s)
		tokens -= s.uncachedTokens
	}
}

// cacheParts adds the parts of a prompt to the prefix cache and evicts the least
// recently used ones.
func (e *batchEngine) cacheParts(parts []Part) {
	for _, p := range parts {
		if i := slices.Index(e.cachedParts, p); i >= 0 {
			e.cachedParts = slices.Delete(e.cachedParts, i, i+1)
		}
		e.cachedParts = append(e.cachedParts, p)
	}
	room := engineMemory
	for i := len(e.cachedParts) - 1; i >= 0; i-- {
		if room -= e.cachedParts[i].Tokens; room < 0 {
			e.cachedParts = slices.Clone(e.cachedParts[i+1:])
			return
		}
	}
}

// step runs one step and returns the requests that have an event, including those
// that ended.
func (e *batchEngine) step() []*simStream {
	budget := prefillChunk
	for _, s := range e.active {
		budget -= s.uncachedTokens
	}
	e.fillBatch(budget)
	read, decoding := 0, 0
	for _, s := range e.active {
		if s.uncachedTokens <= 0 {
			decoding++
			continue
		}
		n := min(s.uncachedTokens, prefillChunk-read)
		s.uncachedTokens -= n
		read += n
		if s.uncachedTokens == 0 {
			e.cacheParts(s.prompt.Parts)
		}
	}
	took := stepTime + time.Duration(decoding)*stepTimePerRequest + prefillTime(float64(read))
	e.clock = e.clock.Add(time.Duration(float64(took) * e.stepFactor))
	var updated []*simStream
	for _, s := range e.active {
		if s.uncachedTokens > 0 {
			continue
		}
		s.tokens++
		s.ended = s.tokens >= s.events*tokensPerEvent
		if s.tokens == 1 || s.tokens%tokensPerEvent == 0 || s.ended {
			updated = append(updated, s)
		}
	}
	e.active = slices.DeleteFunc(e.active, func(s *simStream) bool { return s.ended })
	return updated
}

// drop removes a request whose caller has disconnected.
func (e *batchEngine) drop(s *simStream) {
	same := func(t *simStream) bool { return t == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.active = slices.DeleteFunc(e.active, same)
}

// placement chooses engines for the requests of four routers, or refuses them with a
// retry delay. The first event of each response carries a load report.
type placement interface {
	place(router int, now time.Time, r PrefillRequest) (engine int, t *InFlightRequest, after time.Duration, ok bool)
	firstEvent(router int, now time.Time, engine int, t *InFlightRequest, l Load)
	event(router int, now time.Time, t *InFlightRequest)
	done(router int, t *InFlightRequest)
}

// outcomeCounts counts the requests of a workload by outcome.
type outcomeCounts struct {
	sent, inTime, late, refused, timedOut int
	large, largeServed                    int // requests with at least three times the mean prompt length
}

func (a outcomeCounts) plus(b outcomeCounts) outcomeCounts {
	return outcomeCounts{
		a.sent + b.sent, a.inTime + b.inTime, a.late + b.late, a.refused + b.refused, a.timedOut + b.timedOut,
		a.large + b.large, a.largeServed + b.largeServed,
	}
}

// served returns the share of the requests that got a complete response.
func (a outcomeCounts) served() float64 { return float64(a.inTime+a.late) / float64(max(1, a.sent)) }

// streamSim simulates a load on nine engines, three of which are slower.
type streamSim struct {
	engines    []*batchEngine
	policy     placement
	inFlight   map[*simStream]int // index of the engine
	result     map[string]outcomeCounts
	retryQueue []*simStream // refused requests, ordered by time of the retry
}

func (sim *streamSim) count(s *simStream, add outcomeCounts) {
	if float64(s.prompt.Tokens) >= 3*(s.workload.sharedLength+s.workload.ownLength) {
		add.large, add.largeServed = add.sent, add.inTime+add.late
	}
	sim.result[s.workload.name] = sim.result[s.workload.name].plus(add)
}

// run advances the engines to a time and removes requests that timed out.
func (sim *streamSim) run(until time.Time) {
	for i, e := range sim.engines {
		for e.clock.Before(until) {
			if len(e.active)+len(e.waiting) == 0 {
				e.clock = until
				break
			}
			for _, s := range e.step() {
				sim.deliverEvent(i, e, s)
			}
		}
	}
	for s, i := range sim.inFlight {
		if until.Sub(s.arrived) > s.workload.responseTimeout {
			sim.engines[i].drop(s)
			sim.policy.done(s.router, s.inFlight)
			sim.count(s, outcomeCounts{timedOut: 1})
			delete(sim.inFlight, s)
		}
	}
}

// deliverEvent passes an event to the router and counts a request that ended.
func (sim *streamSim) deliverEvent(i int, e *batchEngine, s *simStream) {
	if s.firstEvent.IsZero() {
		s.firstEvent, s.lastEvent = e.clock, e.clock
		sim.policy.firstEvent(s.router, e.clock, i, s.inFlight, Load{Running: len(e.active), Waiting: len(e.waiting), Slots: engineSlots, At: e.clock})
	} else {
		sim.policy.event(s.router, e.clock, s.inFlight)
	}
	s.longestInterval, s.lastEvent = max(s.longestInterval, e.clock.Sub(s.lastEvent)), e.clock
	if !s.ended {
		return
	}
	sim.policy.done(s.router, s.inFlight)
	if s.inTime() {
		sim.count(s, outcomeCounts{inTime: 1})
	} else {
		sim.count(s, outcomeCounts{late: 1})
	}
	delete(sim.inFlight, s)
}

// simulateStreams sends a multiple of the usual load of the repair desk to engines
// with empty prefix caches. It returns the outcomes by workload.
func simulateStreams(seed uint64, factor float64, p placement) map[string]outcomeCounts {
	const length = 30 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	begin := time.Unix(1000, 0)
	sim := &streamSim{policy: p, inFlight: make(map[*simStream]int), result: make(map[string]outcomeCounts)}
	for i := range 9 {
		sim.engines = append(sim.engines, &batchEngine{clock: begin, stepFactor: []float64{1, 1, 1.3}[i%3]})
	}
	rate := 0.0
	for _, k := range repairDesk {
		rate += k.rate
	}
	now := begin
	for now.Sub(begin) < length {
		now = now.Add(time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second)))
		sim.runRetries(rng, now)
		s := newStream(rng, seed, rate, now)
		sim.count(s, outcomeCounts{sent: 1})
		sim.offer(rng, now, s)
	}
	sim.runRetries(rng, now.Add(length))
	return sim.result
}

// runRetries advances to a time and sends the retries that are due until then.
func (sim *streamSim) runRetries(rng *rand.Rand, until time.Time) {
	for len(sim.retryQueue) > 0 && sim.retryQueue[0].retryAt.Before(until) {
		s := sim.retryQueue[0]
		sim.retryQueue = sim.retryQueue[1:]
		sim.offer(rng, s.retryAt, s)
	}
	sim.run(until)
}

// offer places a request. A refused caller retries once, at a random router.
func (sim *streamSim) offer(rng *rand.Rand, now time.Time, s *simStream) {
	sim.run(now)
	r := s.prompt
	r.ResponseTimeout -= now.Sub(s.arrived)
	i, t, after, ok := sim.policy.place(s.router, now, r)
	switch {
	case ok:
		s.inFlight = t
		sim.engines[i].waiting = append(sim.engines[i].waiting, s)
		sim.inFlight[s] = i
	case s.retryAt.IsZero():
		after = max(after, minRetryDelay)
		s.retryAt, s.router = now.Add(after/2+time.Duration(rng.Int64N(int64(after)))), rng.IntN(4)
		sim.retryQueue = append(sim.retryQueue, s)
		slices.SortStableFunc(sim.retryQueue, func(a, b *simStream) int { return a.retryAt.Compare(b.retryAt) })
	default:
		sim.count(s, outcomeCounts{refused: 1})
	}
}

// newStream returns a random request with the mix and the size distribution of the
// data sheet.
func newStream(rng *rand.Rand, seed uint64, rate float64, now time.Time) *simStream {
	k := 0
	for x := rng.Float64() * rate; k < len(repairDesk)-1 && x > repairDesk[k].rate; k++ {
		x -= repairDesk[k].rate
	}
	w := &repairDesk[k]
	id := uint64(k)<<32 + uint64(rng.IntN(w.sharedPrefixes))
	common := int(lognormal(rand.New(rand.NewPCG(id, seed)), w.sharedLength, 0.7))
	own := int(lognormal(rng, w.ownLength, 1.1))
	events := 1 + min(int(lognormal(rng, float64(w.events), 1.4)), maxOutput*w.events)
	return &simStream{
		workload: w, arrived: now, router: rng.IntN(4), events: events,
		prompt: PrefillRequest{
			Parts:  []Part{{ID: id, Tokens: common}, {ID: rng.Uint64(), Tokens: own}},
			Tokens: int64(common + own), MaxOutput: int64(maxOutput * w.events * tokensPerEvent),
			FirstTokenTarget: w.firstTokenTarget, ResponseTimeout: w.responseTimeout, ExpectedEvents: int(lognormal(rng, float64(events), 0.5)),
		},
	}
}

// lognormal returns a sample of a log-normal distribution with the given mean.
func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// prefillPlacement uses one [PrefillPolicy] per router.
type prefillPlacement struct {
	routers []*PrefillPolicy
	nodes   []Node
	admit   bool // apply [PrefillPolicy.Admit]
}

func newPrefillPlacement(admit bool) *prefillPlacement {
	p := &prefillPlacement{admit: admit}
	for i := range 9 {
		p.nodes = append(p.nodes, Node{Name: fmt.Sprint("engine-", i), Place: Place{"a", "r"}, Slots: engineSlots, Memory: engineMemory})
	}
	for range 4 {
		p.routers = append(p.routers, NewPrefillPolicy(Place{"a", "r"}))
	}
	return p
}

func (p *prefillPlacement) place(router int, now time.Time, r PrefillRequest) (int, *InFlightRequest, time.Duration, bool) {
	pick, ok := p.routers[router].Choose(now, r, p.nodes)
	if !ok {
		return 0, nil, 0, false
	}
	if after, ok := p.routers[router].Admit(r, pick); !ok && p.admit {
		return 0, nil, after, false
	}
	return pick.Index, p.routers[router].RecordSent(now, p.nodes[pick.Index].Name, r, pick), 0, true
}

func (p *prefillPlacement) firstEvent(router int, now time.Time, engine int, t *InFlightRequest, l Load) {
	p.routers[router].RecordFirstEvent(now, t)
	p.routers[router].RecordLoad(p.nodes[engine].Name, l)
}

func (p *prefillPlacement) event(router int, now time.Time, t *InFlightRequest) {
	p.routers[router].RecordEvent(now, t)
}

func (p *prefillPlacement) done(router int, t *InFlightRequest) { p.routers[router].RecordDone(t) }

// baselinePlacement ignores prompts. It chooses engines by round robin, or by the
// least load that they reported to the router.
type baselinePlacement struct {
	least bool
	next  int
	loads [4][9]int
}

func (p *baselinePlacement) place(router int, _ time.Time, _ PrefillRequest) (int, *InFlightRequest, time.Duration, bool) {
	p.next++
	if !p.least {
		return p.next % 9, nil, 0, true
	}
	best := p.next % 9
	for i, n := range p.loads[router] {
		if n < p.loads[router][best] {
			best = i
		}
	}
	return best, nil, 0, true
}

func (p *baselinePlacement) firstEvent(router int, _ time.Time, engine int, _ *InFlightRequest, l Load) {
	p.loads[router][engine] = l.Running + l.Waiting
}

func (*baselinePlacement) event(int, time.Time, *InFlightRequest) {}

func (*baselinePlacement) done(int, *InFlightRequest) {}

// earnedWorthShare returns the worth that callers received as a share of the worth
// of all requests in time.
func earnedWorthShare(result map[string]outcomeCounts) float64 {
	var got, all float64
	for _, k := range repairDesk {
		r := result[k.name]
		got += float64(r.inTime)*k.worth + float64(r.late)*k.lateWorth
		all += float64(r.sent) * k.worth
	}
	return got / all
}

// Guards against congestion collapse at up to six times the usual load of the
// repair desk: prompts that engines cannot prefill in time slow all responses until
// hardly any ends in time. At each load, callers must receive more worth than with
// round robin and with the least reported load. Beyond twice the usual load, which
// the engines can sustain, they must also receive more than without refusals; up to
// there, refusals may cost them 1.5 percentage points.
//
// Neither a workload nor large prompts may starve. By the users' limits, the served
// share of a workload is at least a quarter of the served share of all requests,
// and that of its large prompts at least half of the workload's.
func TestAdmissionUnderOverload(t *testing.T) {
	const seeds, sustainable = 3, 2
	runFactor := func(factor float64, make func() placement) map[string]outcomeCounts {
		sum := map[string]outcomeCounts{}
		for seed := range uint64(seeds) {
			for name, r := range simulateStreams(seed, factor, make()) {
				sum[name] = sum[name].plus(r)
			}
		}
		return sum
	}
	for _, factor := range []float64{1, 2, 3, 4, 6} {
		own := runFactor(factor, func() placement { return newPrefillPlacement(true) })
		admitAll := earnedWorthShare(runFactor(factor, func() placement { return newPrefillPlacement(false) }))
		roundRobin := earnedWorthShare(runFactor(factor, func() placement { return &baselinePlacement{} }))
		leastLoad := earnedWorthShare(runFactor(factor, func() placement { return &baselinePlacement{least: true} }))
		t.Logf("%v times the usual load: worth received %.3f, without refusals %.3f, round robin %.3f, least load %.3f", factor, earnedWorthShare(own), admitAll, roundRobin, leastLoad)
		if factor <= sustainable && earnedWorthShare(own) < admitAll-0.015 || factor > sustainable && earnedWorthShare(own) <= admitAll {
			t.Errorf("%v times the usual load: worth received %.3f, without refusals %.3f", factor, earnedWorthShare(own), admitAll)
		}
		if earnedWorthShare(own) <= max(roundRobin, leastLoad) {
			t.Errorf("%v times the usual load: worth received %.3f, round robin %.3f, least load %.3f", factor, earnedWorthShare(own), roundRobin, leastLoad)
		}
		var all outcomeCounts
		for _, r := range own {
			all = all.plus(r)
		}
		for name, r := range own {
			if r.served() < all.served()/4 {
				t.Errorf("%v times the usual load: served share of %s is %.3f, of all %.3f", factor, name, r.served(), all.served())
			}
			if large := float64(r.largeServed) / float64(r.large); large < r.served()/2 {
				t.Errorf("%v times the usual load: served share of large prompts of %s is %.3f, of the workload %.3f", factor, name, large, r.served())
			}
		}
	}
}
