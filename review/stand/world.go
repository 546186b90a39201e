package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// metricsPort is the port at which entries serve metrics, by the deploy file.
const metricsPort = 9464

// host is the host of all routes.
const host = "desk.example"

// Services and the tokens in an event of a stream.
const (
	app    = "repair-app"
	pool   = "daisylane-pool"
	stride = 4
)

// world is a small deployment, what stands around it, and the record of what happened.
type world struct {
	trouble bool
	store   *store
	dir     string
	octet   int

	mu       sync.Mutex
	record   io.Writer
	began    time.Time
	machines []*machine
	runners  []*runner
	version  int
	prepaid  map[string]int64
	ids      int
	broken   []string
}

func newWorld(trouble bool, record io.Writer) (*world, error) {
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, record: record, dir: dir, began: time.Now(), octet: freeOctet(), prepaid: map[string]int64{"t1": 100_000_000, "t2": 100_000_000}}
	w.store, err = startStore()
	return w, err
}

// freeOctet returns a second part of loopback addresses that no other fleet uses.
func freeOctet() int {
	for {
		octet := 20 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, metricsPort))
		if err == nil {
			_ = l.Close()
			return octet
		}
	}
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		_ = m.cmd.Process.Kill()
		select {
		case <-m.exited:
		case <-time.After(3 * time.Second):
		}
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, w.dir)
	}
}

// now returns the time since the start.
func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (w *world) breaks(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// newID returns an id for an attempt of a client.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.ids)
}

// addRunner starts a runner.
func (w *world) addRunner(id, service, version string, serve func(*run) bool) (*runner, error) {
	r, err := newRunner(w.store, id, service, version, serve)
	if err != nil {
		return nil, err
	}
	w.runners = append(w.runners, r)
	return r, r.start(version)
}

// startMachines starts edge machines and waits until they are ready. All use the same
// ports, each at an address of its own.
func (w *world) startMachines(n int) error {
	ports, err := freePorts("127.0.0.1", 3)
	if err != nil {
		return err
	}
	for i := range n {
		m, err := startMachine(w.dir, fmt.Sprintf("edge-a-%d", i+1), fmt.Sprintf("127.%d.0.%d", w.octet, i+1), w.store.addr, ports)
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
	}
	return w.awaitReady()
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(w.machines, func(m *machine) bool { return !m.ready() }) {
			return nil
		}
	}
	return fmt.Errorf("entries are not ready")
}

// publish writes a new version of the configuration.
func (w *world) publish() {
	w.mu.Lock()
	w.version++
	version := w.version
	type m = map[string]any
	var tenants []m
	for _, name := range []string{"t1", "t2"} {
		tenants = append(tenants, m{"name": name, "api_keys": []string{"key-" + name}, "priority": 1, "prepaid": w.prepaid[name]})
	}
	w.mu.Unlock()
	w.store.write("config", "main", m{
		"version": version,
		"routes": []m{
			{"name": "plan", "hostname": host, "path_prefix": "/plan/", "route_type": "streaming", "timeout_ms": 10000, "target_latency_ms": 1200, "priority": 1, "service": pool, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 800},
			{"name": "summary", "hostname": host, "path_prefix": "/summary/", "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 0, "service": pool, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 800},
			{"name": "book", "hostname": host, "path_prefix": "/book/", "route_type": "non_idempotent", "timeout_ms": 1000, "target_latency_ms": 200, "priority": 2, "service": app, "max_attempts": 1, "public": false},
			{"name": "lookup", "hostname": host, "path_prefix": "/lookup/", "route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 200, "priority": 2, "service": app, "max_attempts": 2, "public": false},
		},
		"services": []m{
			{"name": pool, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine_name": m{"slots": 64, "kv_capacity": 365510, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true, "stride": stride, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0, "model_list": []m{{"name": "m"}}}},
			{"name": app, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  m{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	w.note("configuration %d written, prepaid %v", version, w.prepaid)
}

// streamRequest returns a request for a stream.
func (w *world) streamRequest(path, tenant string, prompt, output int) request {
	id := w.newID()
	return request{
		id: id, method: http.MethodPost, path: path + id, key: "key-" + tenant, body: strings.Repeat("p", 400), deadline: 6 * time.Second,
		header: map[string]string{
			"Daisylane-Model": "m", "Daisylane-Token-Usage": fmt.Sprintf("%d,%d", prompt, output),
			"Daisylane-Prompt-Prefix": fmt.Sprintf("5c1e%04x:%d,%s:%d", rand.IntN(61), prompt*3/4, id, prompt-prompt*3/4),
		},
	}
}

// plainRequest returns a request for a plain answer.
func (w *world) plainRequest(method, path, tenant string) request {
	id := w.newID()
	return request{id: id, method: method, path: path + id, key: "key-" + tenant, deadline: 2 * time.Second}
}
