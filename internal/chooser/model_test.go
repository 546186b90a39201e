package chooser

import (
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/limiter"
)

var start = time.Unix(1_700_000_000, 0)

const (
	modelSlots         = 8
	modelQueue         = 64
	modelCache         = 24 // prefixes per target
	modelDecode        = 2 * time.Second
	modelPrefill       = time.Second // without a cached prefix
	modelCachedPrefill = 100 * time.Millisecond
	modelDeadline      = 15 * time.Second // of requests without worth
	modelMaxRetries    = 2                // at other targets after refusals, as in the retrier
	modelWarmUp        = 2 * time.Minute
	underload          = 0.6
	// In-flight limit of a router as a multiple of its share of the slots. Requests
	// that wait at the sides fill gaps.
	routerLimitShare = 1.2
	overload         = 1.5
)

// simConfig describes one simulation: routers with a policy each, sides that use the
// real admission control, and engines with a prefix cache. Demand is a multiple of
// the capacity that the engines have when all prefixes are cached. Routers get load
// reports only with responses and refusals.
type simConfig struct {
	targets, routers int
	centres          int
	demand           float64
	warmUp           time.Duration // not measured, 0: modelWarmUp
	length           time.Duration // measured time after the warm-up
	seed             uint64
	worth            bool // requests differ in worth, length and deadline
	shed             bool // routers shed load by worth and deadline
	policy           func(p Place, r *rand.Rand, peers int) Policy
}

// place assigns targets and routers to data centres in turn, and data centres to two
// regions.
func (s simConfig) place(i int) Place {
	centre := i % max(1, s.centres)
	return Place{fmt.Sprint("c", centre), fmt.Sprint("r", centre%2)}
}

type result struct {
	hits                float64 // cache hits as a share of the started requests
	lost                float64 // share of the requests without a complete response by the deadline
	hops                float64 // retries at other targets per request
	mean, p95           time.Duration
	meanFirst, p95First time.Duration // time to first token
	worth               float64       // as a share of the ideal schedule
}

// event is a step of the simulation at a simulated time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simCall is a simulated request. The length that routers know is an estimate.
type simCall struct {
	limiter.Request
	arrival time.Time
	prefix  uint64
	decode  time.Duration
	router  *simRouter
	target  *simEngine
	sent    time.Time
	tried   []string
}

func (c *simCall) idealLength() time.Duration { return c.decode + modelCachedPrefill }

type simRouter struct {
	policy  Policy
	shedder *limiter.Limiter
}

// simEngine is a target with its side and an LRU prefix cache.
type simEngine struct {
	name      string
	admission *admitter.Admitter
	recency   *list.List
	cached    map[uint64]*list.Element
	history   []admitter.Load // load of the engine, one sample per second
	polled    time.Time
	running   int
}

// prefill returns the prefill time of a request and whether its prefix was cached.
func (e *simEngine) prefill(prefix uint64) (time.Duration, bool) {
	if el, ok := e.cached[prefix]; ok {
		e.recency.MoveToFront(el)
		return modelCachedPrefill, true
	}
	e.cached[prefix] = e.recency.PushFront(prefix)
	if e.recency.Len() > modelCache {
		delete(e.cached, e.recency.Remove(e.recency.Back()).(uint64))
	}
	return modelPrefill, false
}

func (e *simEngine) load() Load {
	l := e.admission.Load()
	return Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: e.polled}
}

type simulation struct {
	simConfig
	source        *rand.Rand
	zipf          *rand.Zipf
	eventQueue    events
	list          *List
	engines       map[string]*simEngine
	routers       []*simRouter
	openCalls     map[string]*simCall // not ended, by ID
	measuredCalls []*simCall          // that arrived in the measured time
	measureStart  time.Time
	measureEnd    time.Time

	started, hits, served, hops int
	servedWorth                 float64 // sum over requests served in the measured time
	waits, firsts               []time.Duration
}

func simulate(s simConfig) result {
	m := &simulation{
		simConfig: s, source: rand.New(rand.NewPCG(s.seed, 2)), engines: make(map[string]*simEngine), openCalls: make(map[string]*simCall),
	}
	m.measureStart = start.Add(cmp.Or(s.warmUp, modelWarmUp))
	m.measureEnd = m.measureStart.Add(s.length)
	m.zipf = rand.NewZipf(m.source, 1.1, 20, uint64(s.targets*modelCache))
	var candidates []Candidate
	for i := range s.targets {
		e := &simEngine{
			name: fmt.Sprintf("side-%d", i), recency: list.New(), cached: make(map[uint64]*list.Element), polled: start,
			admission: admitter.New(admitter.Limits{Slots: modelSlots, Queue: modelQueue}),
		}
		e.admission.Register(nil)
		m.engines[e.name] = e
		candidates = append(candidates, Candidate{e.name, s.place(i)})
		m.push(start.Add(time.Duration(m.source.Int64N(int64(time.Second)))), func(now time.Time) { m.poll(now, e) })
	}
	m.list = NewList(candidates)
	for i := range s.routers {
		m.routers = append(m.routers, &simRouter{
			policy:  s.policy(s.place(i), rand.New(rand.NewPCG(s.seed, uint64(3+i))), s.routers/max(1, s.centres)),
			shedder: limiter.New(rand.New(rand.NewPCG(s.seed, 1)), int(routerLimitShare*float64(s.targets*modelSlots)/float64(s.routers))),
		})
	}
	m.push(start, m.arrive)
	for len(m.eventQueue) > 0 {
		e := heap.Pop(&m.eventQueue).(event)
		e.run(e.at)
	}
	return m.result()
}

func (m *simulation) push(at time.Time, run func(time.Time)) {
	heap.Push(&m.eventQueue, event{at, run})
}

func (m *simulation) measured(now time.Time) bool {
	return !now.Before(m.measureStart) && now.Before(m.measureEnd)
}

// poll gives the side the load that the engine had 1 to 3 s ago.
func (m *simulation) poll(now time.Time, e *simEngine) {
	e.history = append(e.history, admitter.Load{Running: e.running, Slots: modelSlots})
	e.history = e.history[max(0, len(e.history)-4):]
	e.polled = now
	m.apply(now, e, e.admission.SetLoad(now, e.history[m.source.IntN(max(1, len(e.history)-1))]))
	if now.Before(m.measureEnd) {
		m.push(now.Add(time.Second), func(now time.Time) { m.poll(now, e) })
	}
}

func (m *simulation) arrive(now time.Time) {
	rate := m.demand * float64(m.targets*modelSlots) / m.meanLength().Seconds()
	if next := now.Add(time.Duration(m.source.ExpFloat64() / rate * float64(time.Second))); next.Before(m.measureEnd) {
		m.push(next, m.arrive)
	}
	c := m.call(now)
	m.openCalls[c.ID] = c
	if m.measured(now) {
		m.measuredCalls = append(m.measuredCalls, c)
	}
	if !m.shed {
		m.send(now, c)
		return
	}
	m.admit(now, c.router, c.router.shedder.Offer(now, c.Request))
}

func (m *simulation) meanLength() time.Duration {
	if m.worth {
		return 5*time.Second/2 + modelCachedPrefill
	}
	return modelDecode + modelCachedPrefill
}

func (m *simulation) call(now time.Time) *simCall {
	c := &simCall{arrival: now, prefix: mix(m.zipf.Uint64() + 1), router: m.routers[m.source.IntN(len(m.routers))]}
	c.ID, c.Account, c.Worth = strconv.FormatUint(m.source.Uint64(), 36), "a", 1
	if !m.worth {
		c.decode = time.Duration(m.source.ExpFloat64() * float64(modelDecode))
		c.RunTime, c.Deadline = m.meanLength(), now.Add(modelDeadline)
		return c
	}
	length := time.Duration((1 + 3*m.source.Float64()) * float64(time.Second))
	c.Worth = []float64{1, 1, 1, 1, 2, 2, 4, 8}[m.source.IntN(8)]
	c.RunTime = length + modelCachedPrefill
	c.Deadline = now.Add(length*13/10 + 2*time.Second + time.Duration(m.source.Int64N(int64(8*time.Second))))
	c.decode = time.Duration((0.7 + 0.6*m.source.Float64()) * float64(length))
	return c
}

// admit applies the decisions of a router's limiter.
func (m *simulation) admit(now time.Time, n *simRouter, actions []limiter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case limiter.Start:
			m.send(now, m.openCalls[a.ID])
		case limiter.Refuse:
			m.recordLoss(now, m.openCalls[a.ID])
		}
	}
}

func (m *simulation) send(now time.Time, c *simCall) {
	choice, _ := c.router.policy.Choose(now, Request{Prefix: c.prefix, Deadline: c.Deadline, Length: c.RunTime, Exclude: c.tried}, m.list)
	c.router.policy.RecordSent(now, choice.Name)
	c.target, c.sent = m.engines[choice.Name], now
	m.apply(now, c.target, c.target.admission.Admit(now, admitter.Request{ID: c.ID, Deadline: c.Deadline, Worth: c.Worth}))
}

// apply applies the decisions of a side.
func (m *simulation) apply(now time.Time, e *simEngine, actions []admitter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admitter.Start:
			m.startCall(now, m.openCalls[a.ID])
		case admitter.Refuse:
			m.retryOrLose(now, m.openCalls[a.ID])
		}
	}
}

func (m *simulation) retryOrLose(now time.Time, c *simCall) {
	c.router.policy.RecordDone(now, c.target.name, c.sent)
	c.router.policy.RecordLoad(c.target.name, c.target.load())
	c.tried = append(c.tried, c.target.name)
	if len(c.tried) <= modelMaxRetries && now.Before(c.Deadline) {
		if m.measured(c.arrival) {
			m.hops++
		}
		m.send(now, c)
		return
	}
	m.recordLoss(now, c)
	if m.shed {
		m.admit(now, c.router, c.router.shedder.Done(now, c.ID))
	}
}

// recordLoss ends a lost request. It records the time until the deadline as wait, so
// that refusals do not improve the results of a policy.
func (m *simulation) recordLoss(_ time.Time, c *simCall) {
	delete(m.openCalls, c.ID)
	if m.measured(c.arrival) {
		m.waits = append(m.waits, c.Deadline.Sub(c.arrival))
		m.firsts = append(m.firsts, c.Deadline.Sub(c.arrival))
	}
}

func (m *simulation) startCall(now time.Time, c *simCall) {
	c.target.running++
	cost, hit := c.target.prefill(c.prefix)
	if m.measured(c.arrival) {
		m.started++
		m.waits = append(m.waits, now.Sub(c.arrival))
		m.firsts = append(m.firsts, now.Add(cost).Sub(c.arrival))
		if hit {
			m.hits++
		}
	}
	done := now.Add(cost + c.decode)
	if done.After(c.Deadline) {
		m.push(c.Deadline, func(now time.Time) { m.finishCall(now, c) })
		return
	}
	m.push(done, func(now time.Time) {
		if m.measured(c.arrival) {
			m.served++
		}
		if m.measured(now) {
			m.servedWorth += c.Worth
		}
		m.finishCall(now, c)
	})
}

func (m *simulation) finishCall(now time.Time, c *simCall) {
	delete(m.openCalls, c.ID)
	e := c.target
	e.running--
	actions := e.admission.End(now, c.ID, admitter.Usage{})
	c.router.policy.RecordDone(now, e.name, c.sent)
	c.router.policy.RecordLoad(e.name, e.load())
	m.apply(now, e, actions)
	if m.shed {
		m.admit(now, c.router, c.router.shedder.Done(now, c.ID))
	}
}

// ideal returns the worth of a schedule that fills the whole capacity in order of
// decreasing worth. It is an upper bound, as it assumes that every prefix is cached
// and ignores deadlines and gaps.
func (m *simulation) ideal() float64 {
	slices.SortStableFunc(m.measuredCalls, func(a, b *simCall) int { return cmp.Compare(b.Worth, a.Worth) })
	left, worth := time.Duration(m.targets*modelSlots)*m.length, 0.0
	for _, c := range m.measuredCalls {
		if left -= c.idealLength(); left < 0 {
			break
		}
		worth += c.Worth
	}
	return worth
}

func (m *simulation) result() result {
	total := float64(len(m.measuredCalls))
	r := result{
		hits: float64(m.hits) / float64(m.started), lost: 1 - float64(m.served)/total,
		hops: float64(m.hops) / total, worth: m.servedWorth / m.ideal(),
	}
	r.mean, r.p95 = meanAndP95(m.waits)
	r.meanFirst, r.p95First = meanAndP95(m.firsts)
	return r
}

func meanAndP95(list []time.Duration) (mean, p95 time.Duration) {
	slices.Sort(list)
	for _, d := range list {
		mean += d
	}
	return mean / time.Duration(len(list)), list[len(list)*95/100]
}

// simulateSeeds runs a simulation with several seeds concurrently.
func simulateSeeds(s simConfig, seeds int) []result {
	list := make([]result, seeds)
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() {
			s := s
			s.seed = uint64(i + 1)
			list[i] = simulate(s)
		})
	}
	wg.Wait()
	return list
}

// report adds the mean of a metric over the seeds and the largest deviation from it.
func report(b *testing.B, list []result, unit string, metric func(r result) float64) {
	mean, spread := summary(list, metric)
	b.ReportMetric(mean, unit)
	b.ReportMetric(spread, unit+"±")
}

func summary(list []result, metric func(r result) float64) (mean, spread float64) {
	for _, r := range list {
		mean += metric(r) / float64(len(list))
	}
	for _, r := range list {
		spread = max(spread, metric(r)-mean, mean-metric(r))
	}
	return mean, spread
}

func average(list []result) result {
	mean := func(metric func(r result) float64) float64 {
		m, _ := summary(list, metric)
		return m
	}
	seconds := func(metric func(r result) time.Duration) time.Duration {
		return time.Duration(mean(func(r result) float64 { return float64(metric(r)) }))
	}
	return result{
		hits: mean(func(r result) float64 { return r.hits }), lost: mean(func(r result) float64 { return r.lost }),
		hops: mean(func(r result) float64 { return r.hops }), worth: mean(func(r result) float64 { return r.worth }),
		mean: seconds(func(r result) time.Duration { return r.mean }), p95: seconds(func(r result) time.Duration { return r.p95 }),
		meanFirst: seconds(func(r result) time.Duration { return r.meanFirst }),
		p95First:  seconds(func(r result) time.Duration { return r.p95First }),
	}
}

// worse reports whether any wait or time to first token is longer than in other.
func (r result) worse(other result) bool {
	return r.mean > other.mean || r.p95 > other.p95 || r.meanFirst > other.meanFirst || r.p95First > other.p95First
}
