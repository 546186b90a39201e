package starter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// syncBuffer is a log buffer that is safe for concurrent reads and writes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func writeSettings(t *testing.T, store string, callers, ready, peer int) string {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"node_name": "edge-a-1", "ip": singleIP(), "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":     map[string]string{"frontend": fmt.Sprintf("127.0.0.1:%d", callers), "ready": fmt.Sprintf("127.0.0.1:%d", ready)},
		"port_range": []int{peer, peer + 5}, "limits": map[string]any{"memory_mb": 134},
		"platform": map[string]any{"address": store, "writes_per_s": 400, "reads_per_s": 2000},
		"bounds":   map[string]any{"grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 54},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// singleConnection returns a function that sends requests on one connection and fails
// once that is closed.
func singleConnection(t *testing.T) func(port int) (*http.Response, string, error) {
	t.Helper()
	dialed := false
	transport := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dialed {
			return nil, errors.New("connection was closed")
		}
		dialed = true
		return new(net.Dialer).DialContext(ctx, network, addr)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return func(port int) (*http.Response, string, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/plan/7", port), strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "a.example"
		for name, value := range map[string]string{"Daisylane-Attempt-Id": "id-1", "Api-Key": "k1", "Daisylane-Token-Usage": "80,20"} {
			req.Header.Set(name, value)
		}
		res, err := transport.RoundTrip(req)
		if err != nil {
			return nil, "", err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return res, string(body), err
	}
}

// Guards against an entry that reports ready or serves requests before it has a
// configuration, cuts off requests in flight at a graceful shutdown, closes connections
// on which a request may have arrived already, or keeps unused tokens after it.
func TestEntry(t *testing.T) {
	s := platformtest.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	defer server.CloseClientConnections()
	runner, err := platformtest.NewRunner("i-1", platformtest.Response{Events: 3, Pause: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer runner.Close()
	callers, ready, peer := platformtest.FreePort(t), platformtest.FreePort(t), platformtest.FreePort(t)
	path := writeSettings(t, strings.TrimPrefix(server.URL, "http://"), callers, ready, peer)
	var out, errs syncBuffer
	code := make(chan int, 1)
	go func() { code <- RunEntry([]string{"--platform", "--settings", path}, &out, &errs) }()

	probe := func() int {
		res, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", ready, platform.ReadyPath))
		if err != nil {
			return 0
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	call := func() (int, string, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://127.0.0.1:%d/plan/7", callers), strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "a.example"
		req.Header.Set("Daisylane-Attempt-Id", "id-1")
		req.Header.Set("Api-Key", "k1")
		req.Header.Set("Daisylane-Token-Usage", "80,20")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return res.StatusCode, string(body), err
	}
	platformtest.Eventually(t, "entry listens", func() bool { return probe() != 0 })
	if got := probe(); got != http.StatusServiceUnavailable {
		t.Errorf("ready without a configuration: %d", got)
	}
	if status, _, err := call(); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("request without a configuration: %d, %v", status, err)
	}
	s.Put("config", "main", json.RawMessage(`{"version":3,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/plan/","route_type":"streaming",
		"timeout_ms":5000,"target_latency_ms":1000,"service":"s1","max_attempts":1}],
		"services":[{"name":"s1","max_conns":9,"engine_name":{"slots":8,"kv_capacity":9999,"stride":4}}],
		"limits":{"max_body_bytes":4096},"tenants":[{"name":"t1","api_keys":["k1"],"prepaid":1000}]}`))
	s.Put("servers", "i-1", runner.Registration("s1", "a"))
	s.Put("servers", "i-broken", "not an entry")
	platformtest.Eventually(t, "entry becomes ready", func() bool { return probe() == http.StatusOK })
	if status, body, err := call(); err != nil || status != http.StatusOK || strings.Count(body, "data:") != 3 {
		t.Errorf("got %d %q, %v", status, body, err)
	}

	platformtest.Eventually(t, "metrics", func() bool {
		res, err := http.Get("http://" + singleIP() + ":" + metricsPort + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(body), "daisylane_requests_total") && strings.Contains(string(body), "daisylane_first_token_seconds_bucket") &&
			strings.Contains(string(body), "daisylane_platform_calls_total") && strings.Contains(string(body), "daisylane_reservations_total")
	})

	keptAlive := singleConnection(t)
	if _, _, err := keptAlive(callers); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		_, body, err := call()
		if err == nil && strings.Count(body, "data:") != 3 {
			err = fmt.Errorf("got %q", body)
		}
		done <- err
	}()
	platformtest.Eventually(t, "second request", func() bool { return len(runner.Requests()) == 3 })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	platformtest.Eventually(t, "entry becomes unready", func() bool { return probe() != http.StatusOK })
	if res, body, err := keptAlive(callers); err != nil || strings.Count(body, "data:") != 3 || !res.Close {
		t.Errorf("request on an open connection during a graceful shutdown: %v, %q, %v", res, body, err)
	}
	if err := <-done; err != nil {
		t.Errorf("a request in flight was cut off by a graceful shutdown: %v", err)
	}
	select {
	case c := <-code:
		if c != 0 {
			t.Errorf("exit code %d: %s", c, errs.String())
		}
	case <-time.After(8 * time.Second):
		t.Fatal("the process did not stop within 8 s")
	}
	for _, want := range []string{`"msg":"started"`, `"msg":"configuration adopted"`, `"msg":"request"`, `"id":"id-1"`, `"outcome":"whole"`, `"msg":"stopping"`, `"msg":"stopped"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
	var budget struct {
		Parts map[string]struct{ Held, Spent int64 }
	}
	if err := json.Unmarshal(s.Get("budgets", "t1"), &budget); err != nil {
		t.Fatal(err)
	}
	if p := budget.Parts["edge-a-1-"+singleIP()]; p.Held != p.Spent || p.Spent != 4*(80+12) {
		t.Errorf("after the shutdown %d tokens are granted, %d spent; log:\n%s", p.Held, p.Spent, out.String())
	}
}

// Guards against a settings check that passes although required settings are missing,
// for example platform.address.
func TestSettingsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(`{"node_name":"edge-a-1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, main := range []func([]string, io.Writer, io.Writer) int{RunEntry, RunSide} {
		var out, errs syncBuffer
		if code := main([]string{"--platform", "--check", "--settings", path}, &out, &errs); code != 2 || !strings.Contains(errs.String(), "platform.address") {
			t.Errorf("exit code %d: %s", code, errs.String())
		}
	}
}
