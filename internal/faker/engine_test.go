package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisylane/internal/loader"
)

func send(t *testing.T, method, url, id, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Request-Id", id)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

func chat(prompt string, priority int) (ChatRequest, string) {
	c := ChatRequest{Model: "m", MaxTokens: 8, Stream: true, Priority: priority, Messages: []Message{{Role: "user", Content: prompt}}}
	c.StreamOptions.IncludeUsage = true
	data, _ := json.Marshal(c)
	return c, string(data)
}

func startEngine(t *testing.T, cfg EngineConfig) (*Engine, string) {
	t.Helper()
	e := NewEngine(cfg)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, srv.URL
}

// Guards against a stream that differs from the result of ExpectedOutput, with which tests
// compare responses, and against a resumed stream that loses or duplicates bytes.
func TestStream(t *testing.T) {
	_, url := startEngine(t, EngineConfig{})
	c, body := chat("hello", 0)
	_, full, err := send(t, "POST", url+"/v1/chat/completions", "r1", body)
	if err != nil || !strings.HasSuffix(full, "data: [DONE]\n\n") || !strings.Contains(full, `"prompt_tokens":2`) {
		t.Fatalf("stream: %q, %v", full, err)
	}
	for _, token := range ExpectedOutput(c) {
		if !strings.Contains(full, fmt.Sprintf("%q", token)) {
			t.Errorf("token %q is missing", token)
		}
	}
	for _, offset := range []int{0, 1, len(full) / 2, len(full)} {
		_, rest, err := send(t, "GET", fmt.Sprintf("%s/v1/streams/r1?offset=%d", url, offset), "", "")
		if err != nil || rest != full[offset:] {
			t.Errorf("resume at %d: %q, %v", offset, rest, err)
		}
	}
}

// Guards against a fault switch or a cancellation that leaves no record of the run or
// does not free its slot.
func TestEngineFaults(t *testing.T) {
	e, url := startEngine(t, EngineConfig{Slots: 1, TokenInterval: loader.Duration(time.Millisecond)})
	c, body := chat("hello", 0)
	e.SetFaults(EngineFaults{FailRuns: Ptr(1)})
	if _, part, err := send(t, "POST", url+"/v1/chat/completions", "died", body); err == nil || strings.Contains(part, "[DONE]") {
		t.Errorf("run with die fault: %q, %v", part, err)
	}
	e.SetFaults(EngineFaults{Pause: Ptr(true)})
	go send(t, "POST", url+"/v1/chat/completions", "paused", body)
	for e.findRun("paused") == nil {
		time.Sleep(time.Millisecond)
	}
	if status, text, err := send(t, "DELETE", url+"/v1/streams/paused", "", ""); err != nil || status != http.StatusOK {
		t.Errorf("cancel: %d %s, %v", status, text, err)
	}
	e.SetFaults(EngineFaults{Pause: Ptr(false)})
	if _, _, err := send(t, "POST", url+"/v1/chat/completions", "whole", body); err != nil {
		t.Error(err)
	}
	n := len(ExpectedOutput(c))
	want := []Run{{ID: "died", State: StateDied, Usage: Usage{2, n / 2, 2 + n/2}}, {ID: "paused", State: StateCancelled, Usage: Usage{2, 0, 2}}, {ID: "whole", State: StateDone, Usage: Usage{2, n, 2 + n}}}
	for i, r := range e.Runs() {
		if r.ID != want[i].ID || r.State != want[i].State || r.Usage != want[i].Usage {
			t.Errorf("run %d is %+v, want %+v", i, r, want[i])
		}
	}
}

// Guards against a queue that ignores priorities and a prefix cache that never hits or
// exceeds its size.
func TestQueue(t *testing.T) {
	q := slotQueue{free: 1}
	first, low, high := q.enqueue(0), q.enqueue(5), q.enqueue(1)
	q.release(first)
	select {
	case <-high.ready:
	case <-low.ready:
		t.Error("the request with the lower priority got the slot first")
	}
	c := newPrefixCache(2)
	if c.lookupAndInsert([]uint64{1, 2}); c.lookupAndInsert([]uint64{1, 3}) != 1 || c.size() != 2 {
		t.Error("prefix cache has wrong hits or size")
	}
}

// Guards against a fenced engine that accepts an order with an outdated fencing number,
// and against an engine that enforces the number although fencing is off.
func TestOrders(t *testing.T) {
	e, url := startEngine(t, EngineConfig{Fenced: true, Models: []string{"m"}})
	order := func(number int, name string) int {
		status, _, err := send(t, "POST", url+"/orders", "", fmt.Sprintf(`{"number":%d,"kind":"load","model":%q}`, number, name))
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	if order(2, "a") != http.StatusOK || order(1, "b") != http.StatusConflict || e.servesModel("b") || !e.servesModel("a") {
		t.Error("fencing number is not enforced")
	}
	if e.SetFaults(EngineFaults{Fenced: Ptr(false)}); order(1, "b") != http.StatusOK || !e.servesModel("b") {
		t.Error("fencing number is not ignored")
	}
}

// Guards against booking faults after which the recorded runs differ from the calls
// that took effect.
func TestBooking(t *testing.T) {
	b := NewBooking()
	srv := httptest.NewServer(b)
	t.Cleanup(srv.Close)
	b.SetFaults(BookingFaults{FailBeforeRun: Ptr(1), FailDuringRun: Ptr(1), FailAfterRun: Ptr(1)})
	for _, id := range []string{"none", "died", "lost", "done"} {
		if _, _, err := send(t, "POST", srv.URL+"/bookings", id, `{}`); (err == nil) != (id == "done") {
			t.Errorf("%s: %v", id, err)
		}
	}
	got := fmt.Sprint(b.Runs())
	if got != "[{died died map[]} {lost done map[]} {done done map[]}]" {
		t.Errorf("runs are %s", got)
	}
}
