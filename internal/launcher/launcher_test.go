package launcher

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against any failure of the complete path from a caller to a target and
// back: chat completions, idempotent bookings, billing and metrics.
func TestEndToEnd(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(100_000)

	res := f.post(a, "/v1/chat/completions", chatBody("tyre size", true))
	if res.status != http.StatusOK || !strings.HasSuffix(res.body, "data: [DONE]\n\n") {
		t.Fatalf("stream: status %d, body %q", res.status, res.body)
	}
	if strings.Contains(res.body, `"usage":{`) {
		t.Errorf("usage event was not requested: %s", res.body)
	}
	res = f.post(b, "/v1/chat/completions", chatBody("tyre size", false))
	if res.status != http.StatusOK || !strings.Contains(res.body, `"usage"`) {
		t.Fatalf("plain: status %d, body %q", res.status, res.body)
	}
	runs := 0
	for _, e := range f.engines {
		runs += len(e.Runs())
	}
	if runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}

	first := f.post(a, "/services/booking/bookings", `{"slot":"9:00"}`, "Idempotency-Key", "k1")
	second := f.post(b, "/services/booking/bookings", `{"slot":"9:00"}`, "Idempotency-Key", "k1")
	if first.status >= 300 || second.status != first.status || second.body != first.body {
		t.Errorf("bookings: %+v and %+v", first, second)
	}
	if second.header.Get("Idempotent-Replayed") != "true" {
		t.Error("second booking is not marked as replayed")
	}
	if n := len(f.fakeBooking.Runs()); n != 1 {
		t.Errorf("%d bookings, want 1", n)
	}
	f.eventually("both requests are billed", func() bool { return f.shardObject().Budgets[testBudget].Settled > 0 })

	// The reporter drops metrics with other tags than declared.
	f.logs.mu.Lock()
	dropped := strings.Contains(f.logs.buf.String(), "metric dropped")
	f.logs.mu.Unlock()
	if dropped {
		t.Error("a metric was dropped, see the log")
	}
	f.eventually("metrics are served", func() bool {
		res, err := http.Get(a.url + "/metrics")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		page, err := io.ReadAll(res.Body)
		return err == nil && strings.Contains(string(page), "daisylane_first_token_seconds") &&
			strings.Contains(string(page), "daisylane_platform_calls_total")
	})
}
