package starter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"daisylane/internal/operator"
	"daisylane/internal/previewer"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// Guards against a socket that is open without the setting, an instance that does not start
// because of it, and a question that is sent to a target, takes tokens or is answered to
// clients or peers.
func TestPreviewOfInstance(t *testing.T) {
	s := platformtest.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	defer server.CloseClientConnections()
	runner, err := platformtest.NewRunner("i-1", platformtest.Response{Events: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer runner.Close()
	s.Put("config", "main", json.RawMessage(`{"version":3,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/plan/","route_type":"streaming",
		"timeout_ms":5000,"target_latency_ms":1000,"service":"s1","max_attempts":1}],
		"services":[{"name":"s1","max_conns":9,"engine_name":{"slots":8,"kv_capacity":9999,"stride":4}}],
		"limits":{"max_body_bytes":4096},"tenants":[{"name":"t1","api_keys":["k1"],"prepaid":1000}]}`))
	s.Put("servers", "i-1", runner.Registration("s1", "a"))
	open := filepath.Join(t.TempDir(), "open")
	if err := os.Mkdir(open, 0o750); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, dir string
		served    bool
	}{
		{"without the setting", "", false},
		{"directory open to a group", open, false},
		{"with the setting", filepath.Join(t.TempDir(), "run"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			callers, ready, peer := platformtest.FreePort(t), platformtest.FreePort(t), platformtest.FreePort(t)
			path := writeSettings(t, strings.TrimPrefix(server.URL, "http://"), callers, ready, peer)
			cfg, err := platform.LoadSettings(path)
			if err != nil {
				t.Fatal(err)
			}
			cfg.Listen.Operator = tt.dir
			log := &syncBuffer{}
			e := newEntry(cfg, path, zerolog.New(log).With().Timestamp().Logger(), nil)
			done := make(chan error, 1)
			go func() { done <- e.run(t.Context(), nil) }()
			defer func() {
				close(e.aborted)
				if err := <-done; err != nil && !errors.Is(err, errAborted) {
					t.Errorf("entry ended: %v", err)
				}
				if t.Failed() {
					t.Logf("log of the entry:\n%s", log)
				}
			}()
			platformtest.Eventually(t, "entry becomes ready", func() bool {
				if len(done) > 0 {
					t.Fatal("entry has ended before it was ready")
				}
				res, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", ready, platform.ReadyPath))
				if err != nil {
					return false
				}
				defer res.Body.Close()
				return res.StatusCode == http.StatusOK
			})
			var out, errs bytes.Buffer
			args := []string{"--json", "explain", "--socket", previewer.SocketPath(tt.dir, cfg.Name), "--host", "a.example", "--path", "/plan/7", "--key", "k1", "--part", "a1:60", "--part", "b2:20", "--output", "20"}
			code := operator.Main(args, &out, &errs)
			if !tt.served {
				if code != 5 {
					t.Errorf("exit code %d: %s", code, out.String())
				}
				return
			}
			for range 3 { // the same answer each time: nothing is taken
				var r previewer.Report
				if err := json.Unmarshal(out.Bytes(), &r); err != nil || code != 0 {
					t.Fatalf("exit code %d: %s, %v", code, errs.String(), err)
				}
				if len(r.Services) != 1 || r.Services[0].Target != "i-1" || r.Instance != cfg.Name {
					t.Errorf("report %s", out.String())
				}
				out.Reset()
				code = operator.Main(args, &out, &errs)
			}
			if n := len(runner.Requests()); n > 0 {
				t.Errorf("%d requests at the target", n)
			}
			if d := e.accounting.Preview("t1", 1000); d.Used != 0 {
				t.Errorf("%d tokens are used", d.Used)
			}
			for _, addr := range []string{cfg.Listen.Callers, fmt.Sprintf("%s:%d", cfg.Addr, peer), cfg.Listen.Ready} {
				res, err := http.Post("http://"+addr+"/preview", "application/json", strings.NewReader(`{"path":"/plan/7"}`))
				if err != nil {
					t.Fatal(err)
				}
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					t.Errorf("%s answers questions of the operator", addr)
				}
			}
		})
	}
}
