package starter

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

const (
	coldSeconds  = 6
	coldAllowed  = 8 // 2 a second x 1.5 + 5
	coldStarting = 2 // runners that start again
)

// gate passes connections on to the store until it is closed.
type gate struct {
	mu     sync.Mutex
	closed bool
	conns  []net.Conn
}

// startGate returns a gate and its address.
func startGate(t *testing.T, store string) (*gate, string) {
	g := &gate{}
	return g, platformtest.Listen(t, func(c net.Conn) {
		to, err := net.Dial("tcp", store)
		if err != nil {
			t.Error(err)
			return
		}
		defer to.Close()
		g.mu.Lock()
		closed := g.closed
		g.conns = append(g.conns, c, to)
		g.mu.Unlock()
		if closed {
			return
		}
		go func() { _, _ = io.Copy(to, c) }()
		_, _ = io.Copy(c, to)
	})
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// Guards against sending targets that have just started as many requests as warm ones, from
// instances in touch with the store and from one that can't learn of the start there; against
// sending them none; and against holding back requests after the cold time.
func TestColdTargets(t *testing.T) {
	var mu sync.Mutex
	reached := make([][]time.Time, 5)
	f := startFleet(t, 2, len(reached), func(runner int, _ platformtest.Request) platformtest.Response {
		mu.Lock()
		defer mu.Unlock()
		reached[runner] = append(reached[runner], time.Now())
		return platformtest.Response{Events: 4, Delay: 20 * time.Millisecond}
	})
	f.store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(`{"version":4,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/plan/","route_type":"streaming",
		"timeout_ms":5000,"target_latency_ms":1000,"service":"s1","max_attempts":2}],
		"services":[{"name":"s1","max_conns":90,"engine_name":{"slots":64,"kv_capacity":99999,"stride":4},"cold_start_s":6,"cold_per_s":2}],
		"limits":{"max_body_bytes":4096},"tenants":[{"name":"t1","api_keys":["k1"],"prepaid":100000000}]}`))
	cut, addr := startGate(t, f.addr)
	direct := f.addr
	f.addr = addr
	f.startEntry()
	f.addr = direct
	var calls []fleetCall
	var wg sync.WaitGroup
	phase := func(d time.Duration) {
		for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				c := f.send(f.callers[i%len(f.callers)], strconv.FormatInt(f.nextID.Add(1), 16))
				mu.Lock()
				defer mu.Unlock()
				if i%len(f.callers) < 2 { // the third entry gets no tokens from the store
					calls = append(calls, c)
				}
			})
		}
	}
	arrivals := func(runner int, from time.Time, d time.Duration) (list []time.Time) {
		mu.Lock()
		defer mu.Unlock()
		for _, at := range reached[runner] {
			if at.After(from) && at.Before(from.Add(d)) {
				list = append(list, at)
			}
		}
		return list
	}
	begun := time.Now()
	phase(2 * time.Second)
	cut.close()
	phase(7 * time.Second) // until the third entry finds that it has lost touch
	for _, r := range f.runners[:coldStarting] {
		r.runner.Close()
	}
	phase(400 * time.Millisecond)
	started := time.Now()
	for _, r := range f.runners[:coldStarting] {
		registration := r.runner.Registration(r.service, "a")
		registration["born"] = started.UnixMilli()
		f.store.Put(platform.KindRunners, r.id, registration)
		if err := r.runner.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	phase(coldSeconds*time.Second + 6*time.Second)
	warm := time.Now()
	phase(2 * time.Second)
	wg.Wait()

	for i := range coldStarting {
		before := len(arrivals(i, begun, 2*time.Second))
		cold := arrivals(i, started, coldSeconds*time.Second)
		most, after := 0, len(arrivals(i, warm, 2*time.Second))
		for _, from := range cold {
			most = max(most, len(arrivals(i, from.Add(-1), time.Second)))
		}
		t.Logf("runner %d: %d in 2 s before, %d while cold, at most %d in a second, %d in 2 s when warm", i, before, len(cold), most, after)
		if before < 2*coldAllowed {
			t.Errorf("%d requests in 2 s reached runner %d before it started again, the test needs more", before, i)
		}
		if most > coldAllowed {
			t.Errorf("%d requests in a second reached runner %d while cold, allowed are %d", most, i, coldAllowed)
		}
		if len(cold) < coldSeconds/2 {
			t.Errorf("%d requests reached runner %d in the %d s for which it is cold, want %d", len(cold), i, coldSeconds, coldSeconds/2)
		}
		if after < before/2 {
			t.Errorf("%d requests in 2 s reached runner %d when it was warm again, %d before", after, i, before)
		}
	}
	served := 0
	for _, c := range calls {
		if c.events == 4 {
			served++
		}
	}
	if served < len(calls)*95/100 {
		t.Errorf("%d of %d requests were served, though three runners were warm", served, len(calls))
		for i, out := range f.logs {
			t.Logf("entry %d: %v", i, outcomes(out.String()))
		}
	}
	t.Logf("%d of %d served", served, len(calls))
}

// outcomes counts the log lines of an entry by message and outcome.
func outcomes(log string) map[string]int {
	m := make(map[string]int)
	for line := range strings.Lines(log) {
		var l struct{ Msg, Outcome, Level, Error string }
		if json.Unmarshal([]byte(line), &l) == nil {
			m[l.Msg+"/"+l.Outcome]++
		}
	}
	return m
}
