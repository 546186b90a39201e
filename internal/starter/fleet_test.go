package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"daisylane/internal/logger"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// stableWindow is stable_window_ms in the settings of a fleet.
const stableWindow = 2 * time.Second

// fleet is several entries in front of the runners of two services, with their store.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	addr    string // of the store
	runners []*fleetRunner
	callers []string          // addresses of the entries
	stops   map[string]func() // by address of the entry
	kills   map[string]func() // the same without a graceful shutdown
	logs    []*syncBuffer
	entries []*entry
	edit    func(settings map[string]any) // of entries that start later, nil: none
	nextID  atomic.Int64
	nextIP  int
	// distinct says that the requests for streams have nothing in common.
	distinct bool

	mu       sync.Mutex
	versions map[string]string // software versions by name of the runner
}

// fleetRunner is a runner that can start again under another ID.
type fleetRunner struct {
	runner  *platformtest.Runner
	service string
	mu      sync.Mutex
	id      string
	down    bool // crashed and not started again yet
}

func (r *fleetRunner) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// lastNetwork is the third byte of the addresses of the last fleet.
var lastNetwork atomic.Int64

// fleetIP returns the address of an entry. Entries listen at fixed ports, so two test
// processes on a machine need addresses of their own.
func fleetIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 9+os.Getpid()%200, n>>8, n&255)
}

// singleIP returns the address of an entry without a fleet. No fleet reaches this network.
func singleIP() string { return fleetIP(255<<8 + 1) }

// startFleet starts a fleet with runners of the engine service. The function computes their
// responses.
func startFleet(t *testing.T, entries, runners int, respond func(runner int, req platformtest.Request) platformtest.Response) *fleet {
	t.Helper()
	f := &fleet{t: t, stops: make(map[string]func()), kills: make(map[string]func()), versions: make(map[string]string), nextIP: int(lastNetwork.Add(1)) << 8}
	f.store, f.addr = platformtest.Start(t)
	for range runners {
		f.addRunner("s1", respond)
	}
	f.store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(`{"version":3,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/plan/","route_type":"streaming",
		"timeout_ms":5000,"target_latency_ms":1000,"service":"s1","max_attempts":2,"resumable":true},
		{"name":"r2","hostname":"a.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"service":"s2","max_attempts":2}],
		"services":[{"name":"s1","max_conns":90,"engine_name":{"slots":64,"kv_capacity":99999,"stride":4}},{"name":"s2","max_conns":90}],
		"limits":{"max_body_bytes":4096},"tenants":[{"name":"t1","api_keys":["k1"],"prepaid":100000000}]}`))
	for range entries {
		f.startEntry()
	}
	return f
}

// addRunner adds a runner to a service. The function computes its responses.
func (f *fleet) addRunner(service string, respond func(runner int, req platformtest.Request) platformtest.Response) {
	f.t.Helper()
	f.addRunnerAt(service, "v1", respond)
}

// addRunnerAt adds a runner of a software version.
func (f *fleet) addRunnerAt(service, version string, respond func(runner int, req platformtest.Request) platformtest.Response) {
	f.t.Helper()
	i := len(f.runners)
	fr := &fleetRunner{id: fmt.Sprintf("i-%d-0", i), service: service}
	r, err := platformtest.NewRunnerFunc(fr.id, func(req platformtest.Request) platformtest.Response {
		if req.Header.Get("Daisylane-Expect-Instance") != fr.currentID() {
			return platformtest.Response{Moved: true}
		}
		return respond(i, req)
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	fr.runner, r.Version = r, version
	f.runners = append(f.runners, fr)
	f.mu.Lock()
	f.versions[fr.id] = version
	f.mu.Unlock()
	f.store.Put(platform.KindRunners, fr.id, r.Registration(service, "a"))
}

// startEntry adds an entry and waits until it is ready.
func (f *fleet) startEntry() {
	f.t.Helper()
	f.nextIP++
	ip := fleetIP(f.nextIP)
	path := editedSettings(f.t, f.addr, ip)
	if f.edit != nil {
		editSettings(f.t, path, f.edit)
	}
	cfg, err := platform.LoadSettings(path)
	if err != nil {
		f.t.Fatal(err)
	}
	out := &syncBuffer{}
	lines := logger.NewAsyncWriter(out, logQueueLines)
	log := zerolog.New(lines).With().Str("instance", cfg.Name).Timestamp().Logger()
	e := newEntry(cfg, path, log, lines)
	f.entries = append(f.entries, e)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.run(ctx, nil) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil && !errors.Is(err, errAborted) {
			f.t.Errorf("%s: %v", cfg.Name, err)
		}
		e.closeAbruptly() // nothing listens after the end of a process
		lines.Close()
	})
	f.t.Cleanup(stop)
	f.stops[cfg.Listen.Callers] = stop
	f.kills[cfg.Listen.Callers] = func() { close(e.aborted); stop() }
	f.callers, f.logs = append(f.callers, cfg.Listen.Callers), append(f.logs, out)
	platformtest.Eventually(f.t, cfg.Name+" becomes ready", func() bool {
		res, err := http.Get("http://" + cfg.Listen.Ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// stop stops entries and waits until they have gone.
func (f *fleet) stop(callers ...string) {
	var wg sync.WaitGroup
	for _, addr := range callers {
		wg.Go(f.stops[addr])
	}
	wg.Wait()
}

// kill ends all entries at once, as a loss of power does. Nobody is told of it.
func (f *fleet) kill() {
	f.killSome(f.callers...)
	f.callers = nil
}

// killSome does the same to some entries.
func (f *fleet) killSome(callers ...string) {
	var wg sync.WaitGroup
	for _, addr := range callers {
		wg.Go(f.kills[addr])
	}
	wg.Wait()
}

// editedSettings writes the settings of an entry of a fleet.
func editedSettings(t *testing.T, store, ip string) string {
	t.Helper()
	path := writeSettings(t, store, platformtest.FreePort(t), platformtest.FreePort(t), platformtest.FreePort(t))
	editSettings(t, path, func(s map[string]any) {
		s["node_name"], s["ip"] = "edge-"+ip, ip
		for _, name := range []string{"frontend", "ready"} {
			listen := s["listen"].(map[string]any)
			listen[name] = strings.Replace(listen[name].(string), "127.0.0.1", ip, 1)
		}
		bounds := s["bounds"].(map[string]any)
		bounds["stable_window_ms"] = stableWindow.Milliseconds()
		bounds["cold_overshoot"], bounds["cold_slack"] = 1.5, 5
	})
	return path
}

// fleetCall is a request to an entry and what became of it.
type fleetCall struct {
	id     string
	sentAt time.Time
	status int
	after  string // Retry-After
	events int
	whole  bool   // answered with success
	cause  string // of a refusal
}

// send sends a request to the address of an entry. Its prompt has the given parts and a
// last one of its own.
func (f *fleet) send(to string, parts ...string) fleetCall {
	return f.post(to, "/plan/7", "body", append(parts, strconv.FormatInt(1<<40+f.nextID.Add(1), 16))...)
}

// post sends a request whose prompt has the given parts, if any.
func (f *fleet) post(to, path, body string, parts ...string) fleetCall {
	return f.postAs("k1", to, path, body, parts...)
}

// postAs does the same with a key, or without one if it is empty.
func (f *fleet) postAs(key, to, path, body string, parts ...string) fleetCall {
	c := fleetCall{id: "id-" + strconv.FormatInt(f.nextID.Add(1), 10), sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return c
	}
	req.Host = "a.example"
	req.Header.Set("Daisylane-Attempt-Id", c.id)
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	if len(parts) > 0 {
		req.Header.Set("Daisylane-Token-Usage", "120,20")
		req.Header.Set("Daisylane-Prompt-Prefix", strings.Join(parts, ":30,")+":20")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return c
	}
	defer res.Body.Close()
	c.status, c.after = res.StatusCode, res.Header.Get("Retry-After")
	content, err := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		c.cause = strings.TrimSpace(string(content))
	} else if err == nil {
		c.events, c.whole = strings.Count(string(content), "data:"), true
	}
	return c
}
