package flooder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"daisylane/internal/starter"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

func TestMain(m *testing.M) {
	RunAsEntry(func(args []string) int { return starter.RunEntry(args, os.Stdout, os.Stderr) })
	os.Exit(m.Run())
}

// bounds are those of the smallest machine, with fewer descriptors.
var bounds = Bounds{MemoryMiB: 112, Descriptors: 600, LogLines: 150}

// answerBytes is the size of each answer of the runner.
const answerBytes = 200_000

// maxBodyBytes is the largest body that the entry takes.
const maxBodyBytes = 4 << 20

// slowPath is where the runner answers late, so that bodies are held together.
const slowPath = "/look/slow"

// platformEntry is an entry on the users' platform.
type platformEntry struct {
	*Process
	listeners map[string]string // addresses by name
	callers   string
}

// startPlatform starts an entry with a store and a runner with the given slots.
func startPlatform(t *testing.T, slots int) platformEntry {
	t.Helper()
	store, addr := platformtest.Start(t)
	answer := strings.Repeat("a", answerBytes)
	runner, err := platformtest.NewRunnerFunc("i-1", func(r platformtest.Request) platformtest.Response {
		if r.URI == slowPath {
			return platformtest.Response{Body: answer, WriteTimeout: 4 * time.Second, Delay: 2 * time.Second}
		}
		return platformtest.Response{Body: answer, WriteTimeout: 2 * time.Second}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Close)
	store.Put(platform.KindConfig, platform.ConfigName, json.RawMessage(`{"version":1,"routes":[
		{"name":"r1","hostname":"a.example","path_prefix":"/look/","route_type":"non_idempotent","timeout_ms":30000,"target_latency_ms":1000,"service":"s1","max_attempts":1}],
		"services":[{"name":"s1","max_conns":900}],"tenants":[{"name":"t1","api_keys":["k1"]}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	registration := runner.Registration("s1", "a")
	registration["slots"] = slots
	store.Put(platform.KindRunners, "i-1", registration)
	ip := fmt.Sprintf("127.7.0.%d", 1+os.Getpid()%250) // the port for metrics is fixed
	e := platformEntry{listeners: map[string]string{"metrics": net.JoinHostPort(ip, "9464")}}
	for _, name := range []string{"callers", "ready", "peers"} {
		e.listeners[name] = fmt.Sprintf("%s:%d", ip, platformtest.FreePort(t))
	}
	e.callers = e.listeners["callers"]
	_, peer, err := net.SplitHostPort(e.listeners["peers"])
	if err != nil {
		t.Fatal(err)
	}
	settings := fmt.Sprintf(`{"node_name":"edge-a-1","ip":%q,"zone":"a","region":"r","zones":{"a":"r"},"listen":{"frontend":%q,"ready":%q},
		"port_range":[%s,%s],"limits":{"memory_mb":%d,"max_fds":%d},"platform":{"address":%q,"writes_per_s":400,"reads_per_s":2000},
		"bounds":{"grace_s":8,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_extra":54}}`,
		ip, e.callers, e.listeners["ready"], peer, peer, bounds.MemoryMiB, bounds.Descriptors, addr)
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	e.Process = Start(t, "--platform", "--settings", path)
	platformtest.Eventually(t, "entry becomes ready", func() bool {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Get("http://" + e.listeners["ready"] + platform.ReadyPath)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	return e
}

// ordinaryRequest sends a request within the limits.
func (e platformEntry) ordinaryRequest() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/look/7", strings.NewReader(strings.Repeat("a", SmallBytes)))
	if err != nil {
		return err
	}
	req.Host = "a.example"
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Daisylane-Attempt-Id", "ordinary")
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if n != answerBytes || res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %d bytes, error %v", res.StatusCode, n, err)
	}
	return err
}

// Guards against clients that end the process, fill its memory or its descriptors, or keep
// ordinary callers away, by what they send to any of the listeners.
func TestAbusiveClients(t *testing.T) {
	listeners := []struct {
		name    string
		request Request
	}{
		{"callers", Request{Path: "/look/7", Header: []string{"Api-Key: k1", "Daisylane-Attempt-Id: id-1"}, MaxBodyBytes: maxBodyBytes}},
		{"ready", Request{Method: http.MethodGet, Path: platform.ReadyPath, MaxBodyBytes: maxBodyBytes}},
		{"peers", Request{Path: "/lend", MaxBodyBytes: maxBodyBytes}},
		{"metrics", Request{Method: http.MethodGet, Path: "/metrics", MaxBodyBytes: maxBodyBytes}},
	}
	for _, l := range listeners {
		for _, k := range Cases {
			t.Run(l.name+"/"+k.Name, func(t *testing.T) {
				e := startPlatform(t, 8)
				flood := k.Start(t, e.listeners[l.name], l.request)
				defer flood.Stop()
				e.Verify(t, bounds, flood, e.ordinaryRequest)
			})
		}
	}
}
