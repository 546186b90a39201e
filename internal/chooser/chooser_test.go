package chooser

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

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

const (
	simSlots   = 8
	simCache   = 24 // prefixes per target
	simDecode  = 2 * time.Second
	simPrefill = time.Second // without a cached prefix
	simCached  = 100 * time.Millisecond
)

type waiting struct {
	since time.Time
	begin func(now time.Time)
}

// engine is a target with slots, a queue and an LRU prefix cache.
type engine struct {
	running int
	queue   []waiting
	order   *list.List
	cached  map[uint64]*list.Element
	reports []Load // the last 4 s, one a second
}

func (e *engine) prefill(prefix uint64) (time.Duration, bool) {
	if el, ok := e.cached[prefix]; ok {
		e.order.MoveToFront(el)
		return simCached, true
	}
	e.cached[prefix] = e.order.PushFront(prefix)
	if e.order.Len() > simCache {
		delete(e.cached, e.order.Remove(e.order.Back()).(uint64))
	}
	return simPrefill, false
}

type result struct {
	hits            float64       // share of requests
	mean, p95       time.Duration // in the queue
	first, firstP95 time.Duration // until the first token
}

// simulate runs routers with lagging load reports against engines. Load reports
// are 1 to 3 s old and reach only the router whose request ends.
func simulate(targets, routers int, share float64, length time.Duration, policy func(r *rand.Rand, peers int) Policy) result {
	source := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(source, 1.1, 20, uint64(targets*simCache))
	names := make([]Candidate, targets)
	engines := make(map[string]*engine, targets)
	for i := range names {
		names[i] = Candidate{fmt.Sprintf("side-%d", i), Place{"c", "r"}}
		engines[names[i].Name] = &engine{order: list.New(), cached: make(map[uint64]*list.Element)}
	}
	policies := make([]Policy, routers)
	for i := range policies {
		policies[i] = policy(rand.New(rand.NewPCG(3, uint64(i))), routers)
	}
	var queue events
	push := func(at time.Time, run func(time.Time)) { heap.Push(&queue, event{at, run}) }
	var tick func(time.Time)
	tick = func(now time.Time) {
		for _, e := range engines {
			e.reports = append(e.reports, Load{Running: e.running, Waiting: len(e.queue), Slots: simSlots, At: now})
			e.reports = e.reports[max(0, len(e.reports)-4):]
		}
		push(now.Add(time.Second), tick)
	}
	push(start, tick)

	end := start.Add(length)
	warm := start.Add(length / 3)
	var hits, total int
	var waits, firsts []time.Duration
	rate := share * float64(targets*simSlots) / (simDecode + simCached).Seconds()
	var arrive func(time.Time)
	arrive = func(now time.Time) {
		push(now.Add(time.Duration(source.ExpFloat64()/rate*float64(time.Second))), arrive)
		p := policies[source.IntN(routers)]
		prefix := mix(zipf.Uint64() + 1)
		c, _ := p.Choose(now, Request{Prefix: prefix, Length: simDecode}, names)
		p.Sent(now, c.Name)
		e := engines[c.Name]
		begin := func(at time.Time) {
			e.running++
			cost, hit := e.prefill(prefix)
			if now.After(warm) {
				total++
				firsts = append(firsts, at.Sub(now)+cost)
				waits = append(waits, at.Sub(now))
				if hit {
					hits++
				}
			}
			decode := time.Duration(source.ExpFloat64() * float64(simDecode))
			push(at.Add(cost+decode), func(done time.Time) {
				e.running--
				p.Done(done, c.Name, now)
				lag := time.Second + time.Duration(source.Int64N(int64(2*time.Second)))
				for _, r := range slices.Backward(e.reports) {
					if done.Sub(r.At) >= lag {
						p.Reported(c.Name, r)
						break
					}
				}
				if len(e.queue) > 0 {
					next := e.queue[0]
					e.queue = e.queue[1:]
					next.begin(done)
				}
			})
		}
		if e.running < simSlots {
			begin(now)
			return
		}
		e.queue = append(e.queue, waiting{now, begin})
	}
	push(start, arrive)
	for {
		ev := heap.Pop(&queue).(event)
		if ev.at.After(end) {
			break
		}
		ev.run(ev.at)
	}
	// Requests still queued would otherwise be left out and flatter a bad policy.
	for _, e := range engines {
		for _, w := range e.queue {
			waits = append(waits, end.Sub(w.since))
			firsts = append(firsts, end.Sub(w.since))
		}
	}
	r := result{hits: float64(hits) / float64(total)}
	r.mean, r.p95 = meanAndP95(waits)
	r.first, r.firstP95 = meanAndP95(firsts)
	return r
}

func meanAndP95(list []time.Duration) (mean, p95 time.Duration) {
	slices.Sort(list)
	for _, d := range list {
		mean += d
	}
	return mean / time.Duration(len(list)), list[len(list)*95/100]
}

var policies = []struct {
	name string
	make func(r *rand.Rand, peers int) Policy
}{
	{"affinity", func(r *rand.Rand, n int) Policy { return NewAffinity(Place{"c", "r"}, r, WithPeers(n)) }},
	{"roundrobin", func(r *rand.Rand, _ int) Policy { return NewRoundRobin(r.IntN(1 << 20)) }},
	{"leastload", func(r *rand.Rand, _ int) Policy { return NewLeastLoaded(r) }},
	{"poweroftwo", func(r *rand.Rand, _ int) Policy { return NewPowerOfTwo(r) }},
}

// Reports cache hits and waits of each policy with load reports 1 to 3 s old.
func BenchmarkPolicies(b *testing.B) {
	for _, size := range []struct {
		targets, routers int
		length           time.Duration
	}{{18, 3, 5 * time.Minute}, {1400, 320, 45 * time.Second}} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("targets=%d/%s", size.targets, p.name), func(b *testing.B) {
				for b.Loop() {
					r := simulate(size.targets, size.routers, 0.6, size.length, p.make)
					b.ReportMetric(r.hits, "hits")
					b.ReportMetric(r.mean.Seconds(), "mean-wait-s")
					b.ReportMetric(r.p95.Seconds(), "p95-wait-s")
					b.ReportMetric(r.first.Seconds(), "mean-first-token-s")
					b.ReportMetric(r.firstP95.Seconds(), "p95-first-token-s")
				}
			})
		}
	}
}
