package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"daisylane/internal/scheduler"
)

// deployment describes the engines and the load of one simulated deployment.
type deployment struct {
	workloads        []workload
	engines, routers int
	speeds           []float64 // step time of the engines in turn, relative to stepTime
	slots            int
	memory           int     // token capacity, for running requests and for the prefix cache each
	chunk            int     // prompt tokens prefilled per step
	tokensPerMs      float64 // prefilled
	pairCost         float64 // milliseconds per million pairs of tokens, added to the prefill
	stepTime         time.Duration
	stepPerRequest   time.Duration // added to a step by each decoding request
	firstDelay       time.Duration // before a request reaches the queue of the engine
	reportLag        time.Duration // age of the oldest load report
	tokensPerEvent   int
	maxEventInterval time.Duration // between events of a response that is in time
	byPriority       bool          // engines admit the most urgent request first
	impatient        bool          // callers come back after a third of their remaining time at the latest
	contended        bool          // engines are at times slowed by others on their machine
	slowness         bool          // load reports include the slowness of the machine
	speedUp          float64       // factor of the speed of all engines from the middle on, 0: none
	accounts         int           // with equal usual demand, 0: not distinguished
	surge            float64       // demand of the first account as a multiple of its usual demand
}

const (
	tokensPerEvent = 4
	maxOutput      = 4                      // limit of the output, as a multiple of the mean
	minRetryDelay  = 400 * time.Millisecond // lower limit of the mean retry delay, as in the receiver

	contendedFactor = 2.5
	contendedShare  = 0.15
	contendedSpell  = 600 * time.Millisecond
)

// workload is a kind of request on the data sheet of a deployment.
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
	priority         int
}

// repairDesk is the deployment of the repair desk. Its workloads have equal priority.
var repairDesk = deployment{
	workloads: []workload{
		{"repair-plan", 13_300, 61, 3720, 30, 10.8, 1200 * time.Millisecond, 10 * time.Second, 2.8, 0.85, 0},
		{"fitter-summary", 6300, 24, 2890, 13, 4.36, time.Second, 6 * time.Second, 2.5, 0.74, 0},
		{"quick-question", 350, 40, 1110, 43, 10.7, 800 * time.Millisecond, 12 * time.Second, 0.38, 0.11, 0},
	},
	engines: 9, routers: 4, speeds: []float64{1, 1, 1.3}, slots: 64, memory: 365_510, chunk: 4096, tokensPerMs: 36.7,
	stepTime: 4340 * time.Microsecond, stepPerRequest: 151 * time.Microsecond, tokensPerEvent: tokensPerEvent, maxEventInterval: 800 * time.Millisecond,
}

// helpDesk is a deployment with long prompts of low and short ones of high urgency, on
// engines of unequal speed with small chunks and a long delay before any first token.
// Its engines can read 1.3 times the usual load.
var helpDesk = deployment{
	workloads: []workload{
		{"long", 13_300, 61, 3720, 30, 17, 2500 * time.Millisecond, 10 * time.Second, 1.8, 0.28, 2},
		{"middle", 6300, 24, 2890, 13, 7, time.Second, 6 * time.Second, 2.9, 0.29, 1},
		{"short", 350, 40, 1110, 43, 17, 800 * time.Millisecond, 12 * time.Second, 0.96, 0.04, 0},
	},
	engines: 9, routers: 4, speeds: []float64{1, 0.7, 1.6, 1, 1.2}, slots: 64, memory: 365_510, chunk: 1024, tokensPerMs: 45, pairCost: 0.3,
	stepTime: 4100 * time.Microsecond, stepPerRequest: 130 * time.Microsecond, firstDelay: 60 * time.Millisecond, reportLag: 200 * time.Millisecond,
	tokensPerEvent: 5, maxEventInterval: 500 * time.Millisecond, byPriority: true, impatient: true,
}

func (d deployment) rate() float64 {
	sum := 0.0
	for _, w := range d.workloads {
		sum += w.rate
	}
	return sum
}

// surgeFactor returns the demand of all accounts as a multiple of the usual demand.
func (d deployment) surgeFactor() float64 {
	if d.accounts == 0 {
		return 1
	}
	return (float64(d.accounts-1) + d.surge) / float64(d.accounts)
}

// scaled returns the deployment with engines whose speed is a multiple of this one's.
func (d deployment) scaled(speed float64) deployment {
	d.tokensPerMs *= speed
	d.pairCost /= speed
	d.stepTime = time.Duration(float64(d.stepTime) / speed)
	d.stepPerRequest = time.Duration(float64(d.stepPerRequest) / speed)
	return d
}

// simStream is a request and the state of its streamed response.
type simStream struct {
	workload        *workload
	account         int
	prompt          PrefillRequest
	arrived         time.Time
	router          int
	inFlight        *InFlightRequest
	sent            time.Time
	estimate        time.Duration // of the time from sent to the first event
	readyAt         time.Time     // when the request reaches the queue of the engine
	uncachedTokens  int           // prompt tokens that are not prefilled yet
	tokens          int           // output so far
	events          int           // of the whole response
	expectedEvents  int           // by the caller's hint
	firstEvent      time.Time
	lastEvent       time.Time
	longestInterval time.Duration // longest interval between events
	ended           bool
	retryAt         time.Time // time of the retry after a refusal
	retried         bool
}

func (s *simStream) inTime(d *deployment) bool {
	return s.firstEvent.Sub(s.arrived) <= s.workload.firstTokenTarget && s.longestInterval <= d.maxEventInterval
}

// batchEngine simulates an engine with continuous batching: it prefills prompts in
// chunks between decode steps, in which each running request gets a token.
type batchEngine struct {
	*deployment
	clock       time.Time // end of the last step
	stepFactor  float64   // step time relative to the data sheet
	waiting     []*simStream
	active      []*simStream
	cachedParts []Part // least recently used first

	rng          *rand.Rand
	slow         bool // at present, by contention
	slowChangeAt time.Time
	report       Load // older than the last one
	lastReport   Load
}

// factor returns the present step time relative to the data sheet.
func (e *batchEngine) factor() float64 {
	for e.contended && !e.clock.Before(e.slowChangeAt) {
		mean := contendedSpell
		if e.slow = !e.slow && !e.slowChangeAt.IsZero(); !e.slow {
			mean = time.Duration(float64(contendedSpell) * (1 - contendedShare) / contendedShare)
		}
		e.slowChangeAt = e.clock.Add(time.Duration(e.rng.ExpFloat64() * float64(mean)))
	}
	if e.slow {
		return e.stepFactor * contendedFactor
	}
	return e.stepFactor
}

// load returns the load report for a response at the present time.
func (e *batchEngine) load() Load {
	l := Load{Running: len(e.active), Waiting: len(e.waiting), Slots: e.slots, At: e.clock}
	if e.slowness {
		l.Slowness = e.factor() / e.stepFactor
	}
	if e.clock.Sub(e.lastReport.At) >= e.reportLag/2 {
		e.report, e.lastReport = e.lastReport, l
	}
	if e.reportLag == 0 || e.report.Slots == 0 {
		return l
	}
	l.Running, l.Waiting, l.Slowness = e.report.Running, e.report.Waiting, e.report.Slowness
	return l
}

// fillBatch moves waiting requests to the batch while slots and memory allow, until
// the given number of uncached prompt tokens is reached.
func (e *batchEngine) fillBatch(tokens int) {
	memory := 0
	for _, s := range e.active {
		memory += int(s.prompt.Tokens) + s.tokens
	}
	for len(e.waiting) > 0 && tokens > 0 {
		i := e.next()
		if i < 0 {
			return
		}
		s := e.waiting[i]
		memory += int(s.prompt.Tokens)
		for len(e.active) > 0 && (memory > e.memory || len(e.active) >= e.slots) {
			freed, ok := e.preempt(s.workload.priority)
			if !ok {
				return
			}
			memory -= freed
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
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

// preempt returns the newest of the least urgent requests to the queue, if it is less
// urgent than a priority, and the memory that it frees.
func (e *batchEngine) preempt(priority int) (freed int, ok bool) {
	newest := -1
	for i, s := range e.active {
		if e.byPriority && s.workload.priority > priority && (newest < 0 || s.workload.priority >= e.active[newest].workload.priority) {
			newest = i
		}
	}
	if newest < 0 {
		return 0, false
	}
	s := e.active[newest]
	e.active = slices.Delete(e.active, newest, newest+1)
	e.waiting = append(e.waiting, s)
	return int(s.prompt.Tokens) + s.tokens, true
}

// next returns the index of the waiting request to admit, -1 if none has arrived.
func (e *batchEngine) next() int {
	best := -1
	for i, s := range e.waiting {
		if s.readyAt.After(e.clock) {
			continue
		}
		if best < 0 || e.byPriority && s.workload.priority < e.waiting[best].workload.priority {
			best = i
		}
	}
	return best
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
	room := e.memory
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
	budget := e.chunk
	for _, s := range e.active {
		budget -= s.uncachedTokens
	}
	e.fillBatch(budget)
	read, decoding, pairs := 0, 0, 0.0
	for _, s := range e.active {
		if s.uncachedTokens <= 0 {
			decoding++
			continue
		}
		n := min(s.uncachedTokens, e.chunk-read)
		pairs += float64(n) * (float64(s.prompt.Tokens) - float64(s.uncachedTokens) + float64(n)/2) / 1e6
		s.uncachedTokens -= n
		read += n
		if s.uncachedTokens == 0 {
			e.cacheParts(s.prompt.Parts)
		}
	}
	took := e.stepTime + time.Duration(decoding)*e.stepPerRequest + time.Duration((float64(read)/e.tokensPerMs+pairs*e.pairCost)*float64(time.Millisecond))
	e.clock = e.clock.Add(time.Duration(float64(took) * e.factor()))
	var updated []*simStream
	for _, s := range e.active {
		if s.uncachedTokens > 0 {
			continue
		}
		s.tokens++
		s.ended = s.tokens >= s.events*e.tokensPerEvent
		if s.tokens == 1 || s.tokens%e.tokensPerEvent == 0 || s.ended {
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

// placed is the decision of a [placement]: an engine, or a refusal with a retry delay.
type placed struct {
	engine   int
	inFlight *InFlightRequest
	estimate time.Duration
	after    time.Duration
	ok       bool
}

// placement chooses engines for the requests of routers. The first event of each
// response carries a load report.
type placement interface {
	place(router int, now time.Time, s *simStream) placed
	firstEvent(now time.Time, engine int, s *simStream, l Load)
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

func (a outcomeCounts) minus(b outcomeCounts) outcomeCounts {
	return outcomeCounts{
		a.sent - b.sent, a.inTime - b.inTime, a.late - b.late, a.refused - b.refused, a.timedOut - b.timedOut,
		a.large - b.large, a.largeServed - b.largeServed,
	}
}

// served returns the share of the requests that got a complete response.
func (a outcomeCounts) served() float64 { return float64(a.inTime+a.late) / float64(max(1, a.sent)) }

// streamSim simulates a load on the engines of a deployment.
type streamSim struct {
	deployment *deployment
	engines    []*batchEngine
	policy     placement
	inFlight   map[*simStream]int // index of the engine
	result     map[string]outcomeCounts
	others     map[string]outcomeCounts // of the accounts without a surge
	retryQueue []*simStream             // refused requests, ordered by time of the retry
	firsts     map[string][]time.Duration
	errors     []float64 // of the estimates, relative to the measured time to first event
	errorsFrom time.Time // earlier estimates are not counted
}

func (sim *streamSim) count(s *simStream, add outcomeCounts) {
	if float64(s.prompt.Tokens) >= 3*(s.workload.sharedLength+s.workload.ownLength) {
		add.large, add.largeServed = add.sent, add.inTime+add.late
	}
	sim.result[s.workload.name] = sim.result[s.workload.name].plus(add)
	if s.account > 0 {
		sim.others[s.workload.name] = sim.others[s.workload.name].plus(add)
	}
}

// run advances the engines to a time and removes requests that timed out.
func (sim *streamSim) run(until time.Time) {
	for i, e := range sim.engines {
		for e.clock.Before(until) {
			if len(e.active)+len(e.waiting) == 0 {
				e.clock = until
				break
			}
			if len(e.active) == 0 && e.next() < 0 {
				e.clock = until
				for _, s := range e.waiting {
					if s.readyAt.Before(e.clock) {
						e.clock = s.readyAt
					}
				}
				continue
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
		sim.policy.firstEvent(e.clock, i, s, e.load())
		sim.firsts[s.workload.name] = append(sim.firsts[s.workload.name], e.clock.Sub(s.arrived))
		if took := e.clock.Sub(s.sent); s.sent.After(sim.errorsFrom) {
			sim.errors = append(sim.errors, math.Abs(s.estimate.Seconds()/took.Seconds()-1))
		}
	} else {
		sim.policy.event(s.router, e.clock, s.inFlight)
	}
	s.longestInterval, s.lastEvent = max(s.longestInterval, e.clock.Sub(s.lastEvent)), e.clock
	if !s.ended {
		return
	}
	sim.policy.done(s.router, s.inFlight)
	if s.inTime(sim.deployment) {
		sim.count(s, outcomeCounts{inTime: 1})
	} else {
		sim.count(s, outcomeCounts{late: 1})
	}
	delete(sim.inFlight, s)
}

// burst multiplies the rate of a workload for some time.
type burst struct {
	workload string
	factor   float64
	from, to time.Duration
}

// simulateStreams sends a multiple of the usual load of a deployment, with a burst, to
// engines with empty prefix caches.
func simulateStreams(seed uint64, d deployment, factor float64, b burst, p placement) *streamSim {
	const length = 30 * time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	begin := time.Unix(1000, 0)
	sim := &streamSim{
		deployment: &d, policy: p, inFlight: make(map[*simStream]int), result: make(map[string]outcomeCounts), others: make(map[string]outcomeCounts),
		firsts: make(map[string][]time.Duration), errorsFrom: begin.Add(length / 6),
	}
	for i := range d.engines {
		sim.engines = append(sim.engines, &batchEngine{deployment: &d, clock: begin, stepFactor: d.speeds[i%len(d.speeds)], rng: rand.New(rand.NewPCG(seed, uint64(100+i)))})
	}
	boost := 1.0
	if b.workload != "" {
		boost = b.factor
	}
	rate := d.rate() * d.surgeFactor() * boost // thinned to the present rate of each workload
	now, spedUp := begin, false
	for now.Sub(begin) < length {
		now = now.Add(time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second)))
		if d.speedUp > 0 && !spedUp && now.Sub(begin) > length/2 {
			sim.runRetries(rng, now)
			for _, e := range sim.engines {
				e.stepFactor /= d.speedUp
			}
			spedUp = true
		}
		sim.runRetries(rng, now)
		s := newStream(rng, seed, &d, now)
		inBurst := s.workload.name == b.workload && now.Sub(begin) >= b.from && now.Sub(begin) < b.to
		if boost > 1 && !inBurst && rng.Float64() > 1/boost {
			continue
		}
		sim.count(s, outcomeCounts{sent: 1})
		sim.offer(rng, now, s)
	}
	for end := now.Add(length); now.Before(end); {
		now = now.Add(time.Second)
		sim.runRetries(rng, now)
	}
	return sim
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
	switch p := sim.policy.place(s.router, now, s); {
	case p.ok:
		s.inFlight, s.sent, s.estimate, s.readyAt = p.inFlight, now, p.estimate, now.Add(sim.deployment.firstDelay)
		e := sim.engines[p.engine]
		e.waiting = append(e.waiting, s)
		sim.inFlight[s] = p.engine
	case !s.retried:
		after := max(p.after, minRetryDelay)
		delay := after/2 + time.Duration(rng.Int64N(int64(after)))
		s.retried, s.router = true, rng.IntN(sim.deployment.routers)
		if sim.deployment.impatient {
			delay = min(delay, (s.workload.responseTimeout-now.Sub(s.arrived))/3)
		}
		sim.offerAt(s, now.Add(delay))
	default:
		sim.count(s, outcomeCounts{refused: 1})
	}
}

// offerAt offers a request again later.
func (sim *streamSim) offerAt(s *simStream, at time.Time) {
	s.retryAt = at
	i, _ := slices.BinarySearchFunc(sim.retryQueue, at, func(q *simStream, at time.Time) int {
		if q.retryAt.After(at) {
			return 1
		}
		return -1
	})
	sim.retryQueue = slices.Insert(sim.retryQueue, i, s)
}

// newStream returns a random request with the mix and the size distribution of the
// data sheet.
func newStream(rng *rand.Rand, seed uint64, d *deployment, now time.Time) *simStream {
	k := 0
	for x := rng.Float64() * d.rate(); k < len(d.workloads)-1 && x > d.workloads[k].rate; k++ {
		x -= d.workloads[k].rate
	}
	w := &d.workloads[k]
	id := uint64(k)<<32 + uint64(rng.IntN(w.sharedPrefixes))
	common := int(lognormal(rand.New(rand.NewPCG(id, seed)), w.sharedLength, 0.7))
	own := int(lognormal(rng, w.ownLength, 1.1))
	events := 1 + min(int(lognormal(rng, float64(w.events), 1.4)), maxOutput*w.events)
	account := 0
	if d.accounts > 0 {
		account = max(0, int(rng.Float64()*(float64(d.accounts-1)+d.surge)-d.surge+1))
	}
	return &simStream{
		workload: w, account: account, arrived: now, router: rng.IntN(d.routers), events: events,
		prompt: PrefillRequest{
			Parts:  []Part{{ID: id, Tokens: common}, {ID: rng.Uint64(), Tokens: own}},
			Tokens: int64(common + own), MaxOutput: int64(maxOutput * w.events * d.tokensPerEvent), Priority: w.priority, Service: "engines",
		},
		expectedEvents: int(lognormal(rng, float64(events), 0.5)),
	}
}

// lognormal returns a sample of a log-normal distribution with the given mean.
func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// prefillPlacement uses one [PrefillPolicy] per router.
type prefillPlacement struct {
	routers    []*PrefillPolicy
	schedulers []*scheduler.Scheduler
	nodes      []Node
	admit      bool // apply [scheduler.Scheduler]
	anonymous  bool // requests do not name their accounts
}

func newPrefillPlacement(d deployment, admit bool) *prefillPlacement {
	p := &prefillPlacement{admit: admit}
	for i := range d.engines {
		p.nodes = append(p.nodes, Node{Name: fmt.Sprint("engine-", i), Place: Place{"a", "r"}, Slots: d.slots, Memory: d.memory})
	}
	for range d.routers {
		p.routers = append(p.routers, NewPrefillPolicy(Place{"a", "r"}))
		p.schedulers = append(p.schedulers, scheduler.New())
	}
	return p
}

func (p *prefillPlacement) place(router int, now time.Time, s *simStream) placed {
	r := s.prompt
	pick, ok := p.routers[router].Choose(now, r, p.nodes)
	if !ok {
		return placed{}
	}
	if p.admit {
		v := p.decide(router, now, s, pick, false)
		if !v.Admit {
			r.Soonest = true
			soonest, _ := p.routers[router].Choose(now, r, p.nodes)
			w := p.decide(router, now, s, soonest, true)
			if !w.Admit {
				return placed{after: min(v.After, w.After)}
			}
			pick = soonest
		}
	}
	return placed{engine: pick.Index, inFlight: p.routers[router].RecordSent(now, p.nodes[pick.Index].Name, r, pick), estimate: pick.Wait, ok: true}
}

// decide decides about a request as the receiver does.
func (p *prefillPlacement) decide(router int, now time.Time, s *simStream, pick PrefillChoice, elsewhere bool) scheduler.Decision {
	account := ""
	if !p.anonymous {
		account = fmt.Sprint("account-", s.account)
	}
	return p.schedulers[router].Decide(now, scheduler.Request{
		Priority: s.prompt.Priority, Account: account, Objective: s.workload.firstTokenTarget, Left: s.workload.responseTimeout - now.Sub(s.arrived), Elsewhere: elsewhere,
	}, scheduler.Estimate{Wait: pick.Wait, Backlog: pick.Backlog, BacklogAge: pick.BacklogAge, Rest: time.Duration(s.expectedEvents) * pick.EventInterval})
}

func (p *prefillPlacement) firstEvent(now time.Time, engine int, s *simStream, l Load) {
	p.routers[s.router].RecordFirstEvent(now, s.inFlight)
	p.routers[s.router].RecordLoad(p.nodes[engine].Name, l)
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

func (p *baselinePlacement) place(router int, _ time.Time, _ *simStream) placed {
	p.next++
	if !p.least {
		return placed{engine: p.next % 9, ok: true}
	}
	best := p.next % 9
	for i, n := range p.loads[router] {
		if n < p.loads[router][best] {
			best = i
		}
	}
	return placed{engine: best, ok: true}
}

func (p *baselinePlacement) firstEvent(_ time.Time, engine int, s *simStream, l Load) {
	p.loads[s.router][engine] = l.Running + l.Waiting
}

func (*baselinePlacement) event(int, time.Time, *InFlightRequest) {}

func (*baselinePlacement) done(int, *InFlightRequest) {}

// earnedWorthShare returns the worth that callers received as a share of the worth
// of all requests in time.
func (d deployment) earnedWorthShare(result map[string]outcomeCounts) float64 {
	var got, all float64
	for _, k := range d.workloads {
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
			for name, r := range simulateStreams(seed, repairDesk, factor, burst{}, make()).result {
				sum[name] = sum[name].plus(r)
			}
		}
		return sum
	}
	for _, factor := range []float64{1, 2, 3, 4, 6} {
		own := runFactor(factor, func() placement { return newPrefillPlacement(repairDesk, true) })
		admitAll := repairDesk.earnedWorthShare(runFactor(factor, func() placement { return newPrefillPlacement(repairDesk, false) }))
		roundRobin := repairDesk.earnedWorthShare(runFactor(factor, func() placement { return &baselinePlacement{} }))
		leastLoad := repairDesk.earnedWorthShare(runFactor(factor, func() placement { return &baselinePlacement{least: true} }))
		t.Logf("%v times the usual load: worth received %.3f, without refusals %.3f, round robin %.3f, least load %.3f", factor, repairDesk.earnedWorthShare(own), admitAll, roundRobin, leastLoad)
		if factor <= sustainable && repairDesk.earnedWorthShare(own) < admitAll-0.015 || factor > sustainable && repairDesk.earnedWorthShare(own) <= admitAll {
			t.Errorf("%v times the usual load: worth received %.3f, without refusals %.3f", factor, repairDesk.earnedWorthShare(own), admitAll)
		}
		if repairDesk.earnedWorthShare(own) <= max(roundRobin, leastLoad) {
			t.Errorf("%v times the usual load: worth received %.3f, round robin %.3f, least load %.3f", factor, repairDesk.earnedWorthShare(own), roundRobin, leastLoad)
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
