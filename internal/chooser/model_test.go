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
	modelSlots    = 8
	modelQueue    = 64
	modelCache    = 24 // prefixes per target
	modelDecode   = 2 * time.Second
	modelPrefill  = time.Second // without a cached prefix
	modelCached   = 100 * time.Millisecond
	modelDeadline = 15 * time.Second // of requests without worth
	modelHops     = 2                // to other targets after refusals, as the retrier allows
	modelWarm     = 2 * time.Minute
	underload     = 0.6
	gateShare     = 1.2 // of a router's share of the slots; what waits at the sides fills gaps
	overload      = 1.5
)

// setup describes one run of the model: routers with a policy each in front of
// sides with the product's admission, and engines with a prefix cache. Demand
// is a multiple of the capacity that the engines have when all prefixes are
// cached. Routers learn the load from answers and refusals only.
type setup struct {
	targets, routers int
	centres          int
	demand           float64
	warm             time.Duration // left out of the figures, 0: [modelWarm]
	length           time.Duration // measured after it
	seed             uint64
	worth            bool // requests differ in worth, length and deadline
	shed             bool // routers admit by worth and deadline
	policy           func(p Place, r *rand.Rand, peers int) Policy
}

// place puts targets and routers into data centres in turn, and those into two
// regions.
func (s setup) place(i int) Place {
	centre := i % max(1, s.centres)
	return Place{fmt.Sprint("c", centre), fmt.Sprint("r", centre%2)}
}

type result struct {
	hits            float64 // share of the started requests
	lost            float64 // share of the requests without a whole answer by the deadline
	hops            float64 // per request
	mean, p95       time.Duration
	first, firstP95 time.Duration // until the first token
	worth           float64       // share of the ideal
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

// call is a request of the model. The length that routers know is an estimate.
type call struct {
	limiter.Request
	arrival time.Time
	prefix  uint64
	decode  time.Duration
	router  *node
	target  *engine
	sent    time.Time
	tried   []string
}

func (c *call) ideal() time.Duration { return c.decode + modelCached }

type node struct {
	policy Policy
	gate   *limiter.Limiter
}

// engine is a target with its side and an LRU prefix cache.
type engine struct {
	name    string
	side    *admitter.Admitter
	order   *list.List
	cached  map[uint64]*list.Element
	history []admitter.Load // of the engine, one a second
	polled  time.Time
	running int
}

func (e *engine) prefill(prefix uint64) (time.Duration, bool) {
	if el, ok := e.cached[prefix]; ok {
		e.order.MoveToFront(el)
		return modelCached, true
	}
	e.cached[prefix] = e.order.PushFront(prefix)
	if e.order.Len() > modelCache {
		delete(e.cached, e.order.Remove(e.order.Back()).(uint64))
	}
	return modelPrefill, false
}

func (e *engine) load() Load {
	l := e.side.Load()
	return Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, At: e.polled}
}

type model struct {
	setup
	random  *rand.Rand
	zipf    *rand.Zipf
	queue   events
	list    *List
	engines map[string]*engine
	routers []*node
	calls   map[string]*call // open
	arrived []*call          // within the measured time
	from    time.Time
	end     time.Time

	started, hits, served, hops int
	earned                      float64 // worth
	waits, firsts               []time.Duration
}

func simulate(s setup) result {
	m := &model{
		setup: s, random: rand.New(rand.NewPCG(s.seed, 2)), engines: make(map[string]*engine), calls: make(map[string]*call),
	}
	m.from = start.Add(cmp.Or(s.warm, modelWarm))
	m.end = m.from.Add(s.length)
	m.zipf = rand.NewZipf(m.random, 1.1, 20, uint64(s.targets*modelCache))
	var candidates []Candidate
	for i := range s.targets {
		e := &engine{
			name: fmt.Sprintf("side-%d", i), order: list.New(), cached: make(map[uint64]*list.Element), polled: start,
			side: admitter.New(admitter.Limits{Slots: modelSlots, Queue: modelQueue}),
		}
		e.side.Register(nil)
		m.engines[e.name] = e
		candidates = append(candidates, Candidate{e.name, s.place(i)})
		m.push(start.Add(time.Duration(m.random.Int64N(int64(time.Second)))), func(now time.Time) { m.poll(now, e) })
	}
	m.list = NewList(candidates)
	for i := range s.routers {
		m.routers = append(m.routers, &node{
			policy: s.policy(s.place(i), rand.New(rand.NewPCG(s.seed, uint64(3+i))), s.routers/max(1, s.centres)),
			gate:   limiter.New(rand.New(rand.NewPCG(s.seed, 1)), int(gateShare*float64(s.targets*modelSlots)/float64(s.routers))),
		})
	}
	m.push(start, m.arrive)
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		e.run(e.at)
	}
	return m.result()
}

func (m *model) push(at time.Time, run func(time.Time)) { heap.Push(&m.queue, event{at, run}) }

func (m *model) measured(now time.Time) bool { return !now.Before(m.from) && now.Before(m.end) }

// poll hands the side the load of the engine 1 to 3 s ago.
func (m *model) poll(now time.Time, e *engine) {
	e.history = append(e.history, admitter.Load{Running: e.running, Slots: modelSlots})
	e.history = e.history[max(0, len(e.history)-4):]
	e.polled = now
	m.apply(now, e, e.side.Report(now, e.history[m.random.IntN(max(1, len(e.history)-1))]))
	if now.Before(m.end) {
		m.push(now.Add(time.Second), func(now time.Time) { m.poll(now, e) })
	}
}

func (m *model) arrive(now time.Time) {
	rate := m.demand * float64(m.targets*modelSlots) / m.meanLength().Seconds()
	if next := now.Add(time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))); next.Before(m.end) {
		m.push(next, m.arrive)
	}
	c := m.call(now)
	m.calls[c.ID] = c
	if m.measured(now) {
		m.arrived = append(m.arrived, c)
	}
	if !m.shed {
		m.send(now, c)
		return
	}
	m.admit(now, c.router, c.router.gate.Offer(now, c.Request))
}

func (m *model) meanLength() time.Duration {
	if m.worth {
		return 5*time.Second/2 + modelCached
	}
	return modelDecode + modelCached
}

func (m *model) call(now time.Time) *call {
	c := &call{arrival: now, prefix: mix(m.zipf.Uint64() + 1), router: m.routers[m.random.IntN(len(m.routers))]}
	c.ID, c.Account, c.Worth = strconv.FormatUint(m.random.Uint64(), 36), "a", 1
	if !m.worth {
		c.decode = time.Duration(m.random.ExpFloat64() * float64(modelDecode))
		c.Length, c.Deadline = m.meanLength(), now.Add(modelDeadline)
		return c
	}
	length := time.Duration((1 + 3*m.random.Float64()) * float64(time.Second))
	c.Worth = []float64{1, 1, 1, 1, 2, 2, 4, 8}[m.random.IntN(8)]
	c.Length = length + modelCached
	c.Deadline = now.Add(length*13/10 + 2*time.Second + time.Duration(m.random.Int64N(int64(8*time.Second))))
	c.decode = time.Duration((0.7 + 0.6*m.random.Float64()) * float64(length))
	return c
}

// admit carries out the decisions of a router's gate.
func (m *model) admit(now time.Time, n *node, actions []limiter.Action) {
	for _, a := range actions {
		switch a.Kind {
		case limiter.Start:
			m.send(now, m.calls[a.ID])
		case limiter.Refuse:
			m.lose(now, m.calls[a.ID])
		}
	}
}

func (m *model) send(now time.Time, c *call) {
	choice, _ := c.router.policy.Choose(now, Request{Prefix: c.prefix, Deadline: c.Deadline, Length: c.Length, Exclude: c.tried}, m.list)
	c.router.policy.Sent(now, choice.Name)
	c.target, c.sent = m.engines[choice.Name], now
	m.apply(now, c.target, c.target.side.Run(now, admitter.Request{ID: c.ID, Deadline: c.Deadline, Worth: c.Worth}))
}

// apply carries out the decisions of a side.
func (m *model) apply(now time.Time, e *engine, actions []admitter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admitter.Start:
			m.begin(now, m.calls[a.ID])
		case admitter.Refuse:
			m.refused(now, m.calls[a.ID])
		}
	}
}

func (m *model) refused(now time.Time, c *call) {
	c.router.policy.Done(now, c.target.name, c.sent)
	c.router.policy.Reported(c.target.name, c.target.load())
	c.tried = append(c.tried, c.target.name)
	if len(c.tried) <= modelHops && now.Before(c.Deadline) {
		if m.measured(c.arrival) {
			m.hops++
		}
		m.send(now, c)
		return
	}
	m.lose(now, c)
	if m.shed {
		m.admit(now, c.router, c.router.gate.Done(now, c.ID))
	}
}

// lose counts the time until the deadline as wait, so that refusals do not
// flatter a policy.
func (m *model) lose(_ time.Time, c *call) {
	delete(m.calls, c.ID)
	if m.measured(c.arrival) {
		m.waits = append(m.waits, c.Deadline.Sub(c.arrival))
		m.firsts = append(m.firsts, c.Deadline.Sub(c.arrival))
	}
}

func (m *model) begin(now time.Time, c *call) {
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
		m.push(c.Deadline, func(now time.Time) { m.ended(now, c) })
		return
	}
	m.push(done, func(now time.Time) {
		if m.measured(c.arrival) {
			m.served++
		}
		if m.measured(now) {
			m.earned += c.Worth
		}
		m.ended(now, c)
	})
}

func (m *model) ended(now time.Time, c *call) {
	delete(m.calls, c.ID)
	e := c.target
	e.running--
	actions := e.side.Ended(now, c.ID, admitter.Usage{})
	c.router.policy.Done(now, e.name, c.sent)
	c.router.policy.Reported(e.name, e.load())
	m.apply(now, e, actions)
	if m.shed {
		m.admit(now, c.router, c.router.gate.Done(now, c.ID))
	}
}

// ideal returns the worth of a schedule that fills the whole capacity with the
// highest worth first. It finds every prefix cached and ignores deadlines and
// gaps, so it is an upper bound.
func (m *model) ideal() float64 {
	slices.SortStableFunc(m.arrived, func(a, b *call) int { return cmp.Compare(b.Worth, a.Worth) })
	left, worth := time.Duration(m.targets*modelSlots)*m.length, 0.0
	for _, c := range m.arrived {
		if left -= c.ideal(); left < 0 {
			break
		}
		worth += c.Worth
	}
	return worth
}

func (m *model) result() result {
	total := float64(len(m.arrived))
	r := result{
		hits: float64(m.hits) / float64(m.started), lost: 1 - float64(m.served)/total,
		hops: float64(m.hops) / total, worth: m.earned / m.ideal(),
	}
	r.mean, r.p95 = meanAndP95(m.waits)
	r.first, r.firstP95 = meanAndP95(m.firsts)
	return r
}

func meanAndP95(list []time.Duration) (mean, p95 time.Duration) {
	slices.Sort(list)
	for _, d := range list {
		mean += d
	}
	return mean / time.Duration(len(list)), list[len(list)*95/100]
}

// simulateSeeds runs a setup with several seeds at once.
func simulateSeeds(s setup, seeds int) []result {
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

// report adds the mean of a figure over the seeds and its largest distance from it.
func report(b *testing.B, list []result, unit string, figure func(r result) float64) {
	mean, spread := summary(list, figure)
	b.ReportMetric(mean, unit)
	b.ReportMetric(spread, unit+"±")
}

func summary(list []result, figure func(r result) float64) (mean, spread float64) {
	for _, r := range list {
		mean += figure(r) / float64(len(list))
	}
	for _, r := range list {
		spread = max(spread, figure(r)-mean, mean-figure(r))
	}
	return mean, spread
}

func average(list []result) result {
	mean := func(figure func(r result) float64) float64 {
		m, _ := summary(list, figure)
		return m
	}
	seconds := func(figure func(r result) time.Duration) time.Duration {
		return time.Duration(mean(func(r result) float64 { return float64(figure(r)) }))
	}
	return result{
		hits: mean(func(r result) float64 { return r.hits }), lost: mean(func(r result) float64 { return r.lost }),
		hops: mean(func(r result) float64 { return r.hops }), worth: mean(func(r result) float64 { return r.worth }),
		mean: seconds(func(r result) time.Duration { return r.mean }), p95: seconds(func(r result) time.Duration { return r.p95 }),
		first:    seconds(func(r result) time.Duration { return r.first }),
		firstP95: seconds(func(r result) time.Duration { return r.firstP95 }),
	}
}

// worse reports whether any wait or time to the first token is longer.
func (r result) worse(other result) bool {
	return r.mean > other.mean || r.p95 > other.p95 || r.first > other.first || r.firstP95 > other.firstP95
}
