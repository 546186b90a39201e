package executor

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisylane/internal/reporter"
)

// Guards against a readiness probe that succeeds before the side has registered or while
// it drains, and against requests that are missing from the metrics or have other labels.
func TestMetrics(t *testing.T) {
	t.Parallel()
	metrics := reporter.New(nil, 10*time.Millisecond, func(err error) { t.Error(err) })
	defer metrics.Close()
	p := &fakePlatform{unavailable: true}
	f := newFixture(t)
	f.cfg.Target = Target{URL: startEngine(t, 3, nil).URL, Name: "engine", Kind: KindModel, Model: "m"}
	f.start(p, p, WithScope(metrics.Scope()))
	srv := httptest.NewServer(f.side.Handler(metrics.Handler()))
	defer srv.Close()
	get := func(path string) (int, string) {
		res, err := http.Get(srv.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return res.StatusCode, strings.TrimSpace(string(body))
	}
	if code, body := get("/readyz"); code != http.StatusServiceUnavailable || body != "unregistered" {
		t.Errorf("before the registration: %d %q", code, body)
	}
	p.mu.Lock()
	p.unavailable = false
	p.mu.Unlock()
	f.waitFor("readiness", func() bool { code, _ := get("/readyz"); return code == http.StatusOK })

	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", runFrame(1, 100)), allFrames)
	newResponseReader("q2").read(t, f.openStream(f.pool, "q2", runFrame(1, 100)), allFrames) // refused: q1 used the same reservation
	f.side.drain(false)
	if code, body := get("/readyz"); code != http.StatusServiceUnavailable || body != "stopping" {
		t.Errorf("during a drain: %d %q", code, body)
	}
	if code, _ := get("/healthz"); code != http.StatusOK {
		t.Errorf("health during a drain: %d", code)
	}
	f.waitFor("metrics", func() bool {
		_, body := get("/metrics")
		for _, want := range []string{
			`daisylane_requests_total{outcome="whole",service="engine"} 1`,
			`daisylane_request_seconds_count{outcome="whole",service="engine"} 1`,
			`daisylane_refusals_total{reason="duplicate"} 1`,
			`daisylane_tokens_total{kind="output",model="m"} 3`,
			`daisylane_in_flight_requests{service="engine"} 0`,
			`daisylane_unbilled_charges 1`,
			`daisylane_drains_total 1`,
		} {
			if !strings.Contains(body, want) {
				return false
			}
		}
		return true
	})
}
