package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

const (
	entryCount = 3
	appCount   = 2 // runners of the plain service
	poolCount  = 3 // of the engine service
	// drainTime is how long a runner that left the list goes on, from the users' bounds.
	drainTime = 2500 * time.Millisecond
)

// runs is what runners saw of one request.
type runs struct {
	count   int
	account string
	keyed   bool // the caller's key was passed on
}

// world is a fleet with its outside, and what they saw.
type world struct {
	t       *testing.T
	ip      string // of the proxies and the side
	seed    uint64
	dir     string
	store   *platformtest.Store
	links   []*proxy // of each entry to the store
	entries []*process
	side    *process

	mu       sync.Mutex
	targets  []*target
	added    int
	rng      *rand.Rand
	calls    map[string]call
	ran      map[string]runs
	prepaid  map[string]int64
	newest   int
	healthy  bool // runners make no mistakes
	calm     time.Time
	failures []string
}

// target is a runner behind a proxy.
type target struct {
	runner  *platformtest.Runner
	link    *proxy
	service string
}

func newWorld(t *testing.T, seed uint64, binaries string) *world {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	octet := 20 + os.Getpid()%200 // several soaks may run side by side
	w := &world{
		ip: fmt.Sprintf("127.%d.0.1", octet), t: t, seed: seed, dir: dir, rng: rand.New(rand.NewPCG(seed, 1)), calls: make(map[string]call), ran: make(map[string]runs),
		prepaid: map[string]int64{"a1": 10_000_000, "a2": 4000, "a3": 2000},
	}
	t.Cleanup(w.clean)
	store, addr := platformtest.Start(t)
	w.store = store
	for i := range appCount + poolCount {
		service := "app"
		if i >= appCount {
			service = "pool"
		}
		w.addTarget(service)
	}
	w.configure()
	w.side = newProcess(t, dir, filepath.Join(binaries, "side"), "side-1", w.ip, addr)
	for i := range entryCount {
		link := startProxy(t, w.ip, addr)
		w.links = append(w.links, link)
		ip := fmt.Sprintf("127.%d.0.%d", octet, 10+i)
		w.entries = append(w.entries, newProcess(t, dir, filepath.Join(binaries, "entry"), fmt.Sprint("edge-", i), ip, link.addr()))
	}
	return w
}

// clean keeps the logs of a world that failed.
func (w *world) clean() {
	if w.t.Failed() {
		w.t.Logf("seed %d: logs are in %s", w.seed, w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) record(k call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[k.id] = k
}

func (w *world) version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest
}

// addTarget starts a runner and registers it.
func (w *world) addTarget(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.added++
	id := fmt.Sprint("i-", w.added)
	r, err := platformtest.NewBehaving(id, func(s platformtest.Seen) platformtest.Answer { return w.behave(id, service, s) })
	if err != nil {
		w.t.Error(err)
		return
	}
	w.t.Cleanup(r.Close)
	t := &target{runner: r, link: startProxy(w.t, w.ip, r.Addr()), service: service}
	w.targets = append(w.targets, t)
	w.register(t, "ready")
}

// replace drains a runner, lets it go and starts another one.
func (w *world) replace(t *target, drain time.Duration) {
	w.mu.Lock()
	i := slices.Index(w.targets, t)
	if i < 0 {
		w.mu.Unlock()
		return
	}
	w.targets = slices.Delete(w.targets, i, i+1)
	w.mu.Unlock()
	w.addTarget(t.service)
	w.register(t, "draining")
	time.Sleep(drain)
	w.store.Delete(platform.KindRunners, t.runner.ID)
	time.Sleep(drainTime) // it goes on serving for a while
	t.runner.Close()
}

func (w *world) register(t *target, state string) {
	entry := t.runner.Entry(t.service, "a")
	entry["address"], entry["state"] = t.link.addr(), state
	w.store.Put(platform.KindRunners, t.runner.ID, entry)
}

// behave decides how a runner answers, and remembers what it ran.
func (w *world) behave(id, service string, s platformtest.Seen) platformtest.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Header.Get("Daisylane-Expect-Instance") != id {
		return platformtest.Answer{Moved: true}
	}
	luck := 100
	if !w.healthy {
		luck = w.rng.IntN(100)
	}
	if luck < 5 {
		return platformtest.Answer{NotRun: true, Status: http.StatusServiceUnavailable}
	}
	name := s.Header.Get("Daisylane-Attempt-Id")
	r := w.ran[name]
	r.count++
	r.account, r.keyed = s.Header.Get("Daisylane-Tenant"), s.Header.Get("Api-Key") != ""
	w.ran[name] = r
	a := platformtest.Answer{Body: "run of " + name, Delay: time.Duration(w.rng.IntN(20)) * time.Millisecond}
	if service == "pool" {
		a.Events, a.Pause = streamEvents, time.Duration(w.rng.IntN(30))*time.Millisecond
	}
	switch {
	case luck < 8:
		a.Reset = true
	case luck < 11:
		a.Cut, a.Torn = 1+w.rng.IntN(streamEvents-1), w.rng.IntN(2) == 0
	case luck < 13:
		a = platformtest.Answer{Status: http.StatusInternalServerError, Body: "failed"}
	case luck < 15:
		a.Stray = true
	case luck < 16:
		a.Delay = 700 * time.Millisecond
	}
	return a
}

// configure puts a new version in force. Each adds a route, and tokens to a3.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest++
	w.prepaid["a3"] += 300
	type object = map[string]any
	route := func(path, kind, service string, attempts int) object {
		return object{
			"name": strings.Trim(path, "/"), "hostname": "a.example", "path_prefix": path, "route_type": kind, "timeout_ms": 2500,
			"target_latency_ms": 500, "service": service, "max_attempts": attempts, "resumable": path == "/sum/",
		}
	}
	routes := []object{
		route("/book/", "non_idempotent", "app", 2), route("/look/", "idempotent", "app", 2),
		route("/plan/", "streaming", "pool", 2), route("/sum/", "streaming", "pool", 2),
	}
	for n := 1; n <= w.newest; n++ {
		routes = append(routes, route(fmt.Sprintf("/v%d/", n), "idempotent", "app", 2))
	}
	var tenants []object
	for _, name := range []string{"a1", "a2", "a3"} {
		tenants = append(tenants, object{"name": name, "api_keys": []string{name}, "prepaid": w.prepaid[name]})
	}
	w.store.Put(platform.KindConfig, platform.ConfigName, object{
		"version": w.newest, "routes": routes, "tenants": tenants, "limits": object{"max_body_bytes": 4096},
		"services": []object{
			{"name": "app", "max_conns": 50},
			{"name": "pool", "max_conns": 50, "engine_name": object{"slots": 8, "kv_capacity": 100_000, "stride": perEvent}},
		},
	})
}

// verify checks all that was seen against the promises.
func (w *world) verify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	got := make(map[string]int64)
	for id, k := range w.calls {
		if k.events > 0 {
			got[k.account] += promptTokens + int64(k.events)*perEvent
		}
		w.verifyCall(id, k, w.ran[id])
	}
	for id, r := range w.ran {
		if k, ok := w.calls[id]; !ok || r.account != k.account || r.keyed {
			w.failures = append(w.failures, fmt.Sprintf("runners ran %s as %+v, callers sent %+v", id, r, k))
		}
	}
	for account, tokens := range got {
		if tokens > w.prepaid[account] {
			w.failures = append(w.failures, fmt.Sprintf("account %s got %d tokens of %d", account, tokens, w.prepaid[account]))
		}
	}
}

// verifyCall checks one request. The caller holds the lock.
func (w *world) verifyCall(id string, k call, r runs) {
	fault := ""
	limit := 1
	if k.path == "/look/" || k.path == "/sum/" || strings.HasPrefix(k.path, "/v") {
		limit = 2
	}
	switch {
	case r.count > limit:
		fault = fmt.Sprintf("ran %d times, allowed are %d", r.count, limit)
	case k.status == http.StatusOK && k.err == nil && !whole(k):
		fault = "an answer that looks whole is not the runner's"
	case k.status >= 400 && k.status < 500 && r.count > 0, k.status == http.StatusServiceUnavailable && r.count > 0:
		fault = "refused as not run, but it ran"
	case !w.calm.IsZero() && k.began.After(w.calm) && k.err != nil && r.count > 0:
		fault = "broken off in a planned stop"
	}
	if fault != "" {
		w.failures = append(w.failures, fmt.Sprintf("%s: %s: status %d, %d events, %d runs, error %v, body %q", id, fault, k.status, k.events, r.count, k.err, k.body))
	}
}

// whole reports whether a body is the whole answer to the request.
func whole(k call) bool {
	if !streams(k.path) {
		return k.body == "run of "+k.id
	}
	var id, n int
	var by, attempt string
	for _, event := range strings.Split(strings.TrimSuffix(k.body, "\n\n"), "\n\n") {
		n++
		if _, err := fmt.Sscanf(event, "id: %d\ndata: piece %d of %s for %s", &id, new(int), &by, &attempt); err != nil || id != n || attempt != k.id {
			return false
		}
	}
	return n == streamEvents
}
