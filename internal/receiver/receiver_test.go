package receiver_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/granter"
	"daisylane/internal/receiver"
	"daisylane/internal/resolver"
	"daisylane/internal/retrier"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// budgets is a fake of [receiver.Budgets] for one account.
type budgets struct {
	mu      sync.Mutex
	unready bool
	outcome granter.Outcome // of the next reservation, empty: reserved
	delay   time.Duration   // of each reservation
	open    int64
	used    int64
}

func (b *budgets) Ready() bool { return !b.unready }

func (b *budgets) Reserve(_ context.Context, _ string, n int64, _ time.Duration) granter.Decision {
	time.Sleep(b.delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outcome != "" {
		return granter.Decision{Outcome: b.outcome, RetryAfter: time.Second}
	}
	b.open += n
	return granter.Decision{Outcome: granter.Reserved, Own: n}
}

func (b *budgets) Settle(_ string, d granter.Decision, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open -= d.Own
	b.used += used
}

func (b *budgets) totals() (open, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open, b.used
}

// fixture is a receiver with runners as its targets.
type fixture struct {
	*httptest.Server
	receiver    *receiver.Receiver
	dispatcher  *receiver.Dispatcher
	budgets     *budgets
	runners     []*platformtest.Runner
	watchesEnds bool // what connections show of targets makes their version uncertain
}

func table(t testing.TB, version int64) *resolver.Table {
	t.Helper()
	return tableWith(t, version, 100, time.Second)
}

// tableWith is table with a limit of bodies and a timeout of routes.
func tableWith(t testing.TB, version, maxBodyBytes int64, timeout time.Duration) *resolver.Table {
	t.Helper()
	prefix := func(name string, kind resolver.Kind, attempts int, resumable bool) resolver.Route {
		service := "booking"
		if kind == resolver.Stream {
			service = "engine"
		}
		return resolver.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Shares: []resolver.WeightedService{{Service: service, Weight: 1}},
			Timeout: timeout, LatencyTarget: 200 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable, Priority: 3,
		}
	}
	public := prefix("public", resolver.Idempotent, 2, false)
	public.Public = true
	long := prefix("long", resolver.Stream, 2, false)
	report := prefix("report", resolver.Stream, 2, true)
	long.Timeout, report.Timeout = 50*time.Second, 50*time.Second
	tab, err := resolver.New(resolver.Config{
		Version: version, KeyRequired: true,
		Routes: []resolver.Route{
			prefix("look", resolver.Idempotent, 2, false), prefix("book", resolver.NonIdempotent, 2, false),
			prefix("plan", resolver.Stream, 2, false), prefix("summary", resolver.Stream, 2, true), public, long, report,
		},
		Services: []resolver.Service{
			{Name: "booking", MaxConnections: 10},
			{Name: "engine", MaxConnections: 10, Engine: &resolver.Engine{Slots: 8, KVCapacity: 100_000, MaxTokensPerEvent: 4}},
		},
		Accounts: []resolver.Account{{Name: "rider-app", Keys: []string{"key-1"}, PrepaidTokens: 1000}},
		Limits:   resolver.Limits{MaxBodyBytes: maxBodyBytes},
	})
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func start(t testing.TB, scripts ...[]platformtest.Response) *fixture {
	t.Helper()
	return startWith(t, nil, scripts...)
}

func startWith(t testing.TB, opts []receiver.Option, scripts ...[]platformtest.Response) *fixture {
	t.Helper()
	retries := retrier.New(rand.New(rand.NewPCG(1, 1)), retrier.WithRefusalsCounted(), retrier.WithRatios(1, 1), retrier.WithBursts(5, 5))
	f := &fixture{budgets: &budgets{}}
	f.dispatcher = receiver.NewDispatcher(chooser.Place{Centre: "a", Region: "r"}, map[string]string{"a": "r"}, retries)
	f.receiver = receiver.New(platform.Codec{}, f.dispatcher, f.budgets, forwarder.New(platform.RequestID, forwarder.WithObserver(f)), opts...)
	for i, script := range scripts {
		r, err := platformtest.NewRunner("i-"+string(rune('0'+i)), script...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		f.runners = append(f.runners, r)
		f.dispatcher.WithRoster(func(ros *follower.Roster) {
			for _, service := range []string{"engine", "booking"} {
				// Each runner is a target of both services.
				ros.Put(follower.Target{ID: r.ID + service, Service: service, Addr: r.Addr(), Centre: "a", Slots: 8})
			}
		})
	}
	f.receiver.SetTable(table(t, 1))
	f.receiver.RecordContact(time.Now())
	f.Server = httptest.NewServer(f.receiver)
	t.Cleanup(f.Close)
	return f
}

// Closed implements [forwarder.Observer], as an entry does.
func (f *fixture) Closed(addr string) {
	if f.watchesEnds {
		f.dispatcher.WithRoster(func(r *follower.Roster) { r.RecordClosed(time.Now(), addr) })
	}
}

// Dialled implements [forwarder.Observer].
func (f *fixture) Dialled(string) {}

// Refused implements [forwarder.Observer].
func (f *fixture) Refused(string) {}

func (f *fixture) runs() int {
	n := 0
	for _, r := range f.runners {
		n += len(r.Requests())
	}
	return n
}

// call sends a request with default headers, changed by the given ones. An empty
// value removes a header.
func (f *fixture) call(t *testing.T, path, body string, change map[string]string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Daisylane-Attempt-Id": "id-1", "Api-Key": "key-1", "Daisylane-Deadline-Ms": "900",
		"Daisylane-Token-Usage": "80,20", "Daisylane-Prompt-Prefix": "a1:60,b2:20", "Daisylane-Model": "m",
	} {
		req.Header.Set(name, value)
	}
	for name, value := range change {
		if req.Header.Del(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res, string(data), err
}

type script = []platformtest.Response

// Guards against requests that run although they are refused, temporary refusals
// without Retry-After, responses of targets that are altered before they
// reach the caller, and tokens that stay reserved or are billed wrongly.
func TestResponses(t *testing.T) {
	event := func(n int) string {
		s := ""
		for i := range n {
			s += "id: " + string(rune('1'+i)) + "\ndata: piece " + string(rune('1'+i)) + " of i-0 for id-1\n\n"
		}
		return s
	}
	tests := []struct {
		name    string
		path    string
		body    string
		change  map[string]string
		scripts []script
		status  int
		want    string
		runs    int
		broken  bool // the response ends early
		used    int64
		after   bool // with Retry-After
	}{
		{name: "plain", path: "/look/7", scripts: []script{{{Body: "hello"}}}, status: 200, want: "hello", runs: 1},
		{name: "failure of the target", path: "/book/7", scripts: []script{{{Status: 500, Body: "no"}}}, status: 500, want: "no", runs: 1},
		{name: "no route", path: "/none/7", scripts: []script{{{}}}, status: 404, want: "route\n"},
		{name: "no key", path: "/look/7", change: map[string]string{"Api-Key": ""}, scripts: []script{{{}}}, status: 401, want: "key\n"},
		{name: "wrong key", path: "/look/7", change: map[string]string{"Api-Key": "key-2"}, scripts: []script{{{}}}, status: 401, want: "key\n"},
		{name: "public route", path: "/public/7", change: map[string]string{"Api-Key": ""}, scripts: []script{{{Body: "x"}}}, status: 200, want: "x", runs: 1},
		{name: "no id", path: "/look/7", change: map[string]string{"Daisylane-Attempt-Id": ""}, scripts: []script{{{}}}, status: 400, want: "malformed\n"},
		{name: "wrong deadline", path: "/look/7", change: map[string]string{"Daisylane-Deadline-Ms": "soon"}, scripts: []script{{{}}}, status: 400, want: "malformed\n"},
		{name: "wrong tokens", path: "/plan/7", change: map[string]string{"Daisylane-Token-Usage": "-5,1"}, scripts: []script{{{}}}, status: 400, want: "malformed\n"},
		{name: "wrong prefix", path: "/plan/7", change: map[string]string{"Daisylane-Prompt-Prefix": "a1"}, scripts: []script{{{}}}, status: 400, want: "malformed\n"},
		{name: "long body", path: "/look/7", body: strings.Repeat("x", 101), scripts: []script{{{}}}, status: 413, want: "body\n"},
		{name: "no target", path: "/look/7", status: 503, want: "notargets\n", after: true},
		{name: "stream", path: "/plan/7", scripts: []script{{{Events: 3}}}, status: 200, want: event(3), runs: 1, used: 92},
		{name: "stream without a length", path: "/plan/7", scripts: []script{{{Events: 2, CloseDelimited: true}}}, status: 200, want: event(2), runs: 1, used: 88},
		{name: "stream that breaks off", path: "/plan/7", scripts: []script{{{Events: 3, CutAfter: 1}}}, status: 200, want: event(1), runs: 1, broken: true, used: 84},
		{name: "stream torn within an event", path: "/plan/7", scripts: []script{{{Events: 3, CutAfter: 2, CutMidEvent: true}}}, status: 200, want: event(2), runs: 1, broken: true, used: 88},
		{name: "stream resumed at another target", path: "/summary/7", scripts: []script{{{Events: 3, CutAfter: 1}}, {{Events: 3, CutAfter: 1}}}, status: 200, runs: 2, used: 92},
		{name: "reset, not retryable", path: "/book/7", scripts: []script{{{Reset: true}}, {{Reset: true}}}, status: 502, want: "noanswer\n", runs: 1},
		{name: "reset, retryable", path: "/look/7", scripts: []script{{{Reset: true}}, {{Reset: true}}}, status: 502, want: "noanswer\n", runs: 2},
		{name: "refused twice", path: "/book/7", scripts: []script{{{Status: 503, NotRun: true}}, {{Status: 503, NotRun: true}}}, status: 503, want: "busy\n", runs: 2, after: true},
		{name: "status 503 without confirmation that it did not run", path: "/book/7", scripts: []script{{{Status: 503, Body: "busy"}}}, status: 502, want: "noanswer\n", runs: 1},
		{name: "unsealed", path: "/book/7", scripts: []script{{{Body: "x", Unsealed: true}}}, status: 502, want: "noanswer\n", runs: 1},
		{name: "unsealed stream", path: "/plan/7", scripts: []script{{{Events: 2, Unsealed: true}}}, status: 502, want: "noanswer\n", runs: 1},
		{name: "response to another request first", path: "/book/7", scripts: []script{{{Body: "x", StrayResponse: true}}}, status: 200, want: "x", runs: 1},
		{name: "too late", path: "/book/7", change: map[string]string{"Daisylane-Deadline-Ms": "100"}, scripts: []script{{{Body: "x", Delay: 400 * time.Millisecond}}}, status: 504, want: "timeout\n", runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, tt.scripts...)
			res, body, err := f.call(t, tt.path, tt.body, tt.change)
			if res == nil || (err != nil) != tt.broken {
				t.Fatalf("got error %v", err)
			}
			if res.StatusCode != tt.status || tt.want != "" && body != tt.want {
				t.Errorf("got %d %q, want %d %q", res.StatusCode, body, tt.status, tt.want)
			}
			if n := f.runs(); n != tt.runs {
				t.Errorf("targets received %d requests, want %d", n, tt.runs)
			}
			if got := res.Header.Get("Retry-After") != ""; got != tt.after {
				t.Errorf("Retry-After is set: %v", got)
			}
			f.Close() // waits until the request has ended
			if open, used := f.budgets.totals(); open != 0 || used != tt.used {
				t.Errorf("%d tokens reserved, want 0; %d used, want %d", open, used, tt.used)
			}
		})
	}
}

// Guards against callers that set headers which are reserved for the system, such as
// account, target and priority, and against end-to-end headers that are lost because
// a Connection header names them.
func TestForwardedHeaders(t *testing.T) {
	f := start(t, script{{Events: 1}})
	_, _, err := f.call(t, "/plan/7?q=1", "body", map[string]string{
		"Daisylane-Tenant": "other", "Daisylane-Hold": "h", "Daisylane-Pin-Ms": "9", "Daisylane-Kv-Backup": "1.2.3.4:5",
		"Kv-From": "1.2.3.4:5/x", "Daisylane-Expect-Instance": "i-9", "Daisylane-Request-Priority": "0",
		"Connection": "Daisylane-Model, X-Hop", "X-Hop": "1", "X-Kept": "2",
	})
	if err != nil {
		t.Fatal(err)
	}
	seen := f.runners[0].Requests()[0]
	want := map[string]string{
		"Daisylane-Attempt-Id": "id-1", "Daisylane-Model": "m", "Daisylane-Token-Usage": "80,20", "Daisylane-Prompt-Prefix": "a1:60,b2:20",
		"Daisylane-Tenant": "rider-app", "Daisylane-Expect-Instance": "i-0engine", "Daisylane-Request-Priority": "3", "X-Kept": "2",
		"Api-Key": "", "Daisylane-Hold": "", "Daisylane-Pin-Ms": "", "Daisylane-Kv-Backup": "", "Kv-From": "", "X-Hop": "",
	}
	for name, value := range want {
		if got := seen.Header.Get(name); got != value {
			t.Errorf("%s is %q, want %q", name, got, value)
		}
	}
	if seen.URI != "/plan/7?q=1" || seen.Body != "body" || seen.Method != http.MethodPost {
		t.Errorf("target received %s %s %q", seen.Method, seen.URI, seen.Body)
	}
}

// Guards against refusals for lack of tokens with the wrong status: an exhausted
// budget is final, while a short or rate-limited reservation may be retried.
func TestRefusedBudgets(t *testing.T) {
	tests := []struct {
		outcome granter.Outcome
		status  int
		after   bool
	}{
		{granter.Exhausted, 402, false}, {granter.Withheld, 503, true}, {granter.Short, 503, true}, {granter.Limited, 503, true},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			f := start(t, script{{Events: 1}})
			f.budgets.outcome = tt.outcome
			res, _, err := f.call(t, "/plan/7", "", nil)
			if err != nil || res.StatusCode != tt.status || (res.Header.Get("Retry-After") != "") != tt.after || f.runs() != 0 {
				t.Errorf("got %v, %v after %d runs", res, err, f.runs())
			}
		})
	}
}

// Guards against final refusals while the state is unknown: before the budgets are
// recovered, and for routes and keys that may have been added while the instance
// could not read the configuration.
func TestUnknownState(t *testing.T) {
	tests := []struct {
		name   string
		setUp  func(*fixture)
		change map[string]string
		path   string
	}{
		{"budgets not recovered", func(f *fixture) { f.budgets.unready = true }, nil, "/look/7"},
		{"route, configuration out of date", func(f *fixture) { f.receiver.RecordContact(time.Now().Add(-time.Minute)) }, nil, "/new/7"},
		{"key, configuration out of date", func(f *fixture) { f.receiver.RecordContact(time.Now().Add(-time.Minute)) }, map[string]string{"Api-Key": "new"}, "/look/7"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, script{{}})
			tt.setUp(f)
			res, _, err := f.call(t, tt.path, "", tt.change)
			if err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
				t.Errorf("got %v, %v", res, err)
			}
		})
	}
}

// Guards against requests that are accepted near the end of a graceful shutdown and
// cut off by it (found by fault injection: run caprock, mix --seed 290857541653).
func TestClose(t *testing.T) {
	f := start(t, script{{Events: 2, Pause: 100 * time.Millisecond}})
	done := make(chan error, 1)
	go func() {
		res, body, err := f.call(t, "/plan/7", "", nil)
		if err == nil && (res.StatusCode != 200 || strings.Count(body, "data:") != 2) {
			err = errors.New("got " + res.Status + " " + body)
		}
		done <- err
	}()
	for f.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.receiver.Close()
	res, _, err := f.call(t, "/plan/7", "", nil)
	if err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" || !res.Close || f.runs() != 1 {
		t.Errorf("got %v, %v after %d runs", res, err, f.runs())
	}
	if err := <-done; err != nil {
		t.Errorf("request in flight: %v", err)
	}
}

// Guards against a target that is chosen again after another target at its address
// refused a request: each such request counts as a retry.
func TestReplacedTarget(t *testing.T) {
	f := start(t, script{{Moved: true}}, script{{Body: "x"}})
	for range 8 {
		if res, body, err := f.call(t, "/look/7", "", nil); err != nil || res.StatusCode != 200 || body != "x" {
			t.Fatalf("got %v %q, %v", res, body, err)
		}
	}
	if n := len(f.runners[0].Requests()); n > 1 {
		t.Errorf("replaced target received %d requests", n)
	}
}

// Guards against a target that continues to work after the caller has disconnected,
// because the disconnect is not propagated, and against a bill for more than the caller
// may have received.
func TestCallerLeaves(t *testing.T) {
	f := start(t, script{{Events: 1000, Pause: 5 * time.Millisecond}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/plan/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Daisylane-Attempt-Id", "id-1")
	req.Header.Set("Api-Key", "key-1")
	req.Header.Set("Daisylane-Token-Usage", "80,900")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
	for end := time.Now().Add(2 * time.Second); f.runners[0].Disconnects() == 0 || f.receiver.InFlight() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("target still works after the caller disconnected")
		}
	}
	if open, used := f.budgets.totals(); open != 0 || used <= 80 || used >= 980 {
		t.Errorf("%d tokens are reserved and %d billed, want 0, and the 80 of the prompt and a part of the output", open, used)
	}
}

// deadlineRecorder records the write deadline of a response.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	end time.Time
}

func (w *deadlineRecorder) SetWriteDeadline(end time.Time) error {
	w.end = end
	return nil
}

// Guards against a response that is cut off although its request may take longer than
// the default.
func TestWriteDeadline(t *testing.T) {
	f := start(t, script{{Events: 2}})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/long/7", nil)
	req.Host = "a.example"
	for name, value := range map[string]string{"Daisylane-Attempt-Id": "id-1", "Api-Key": "key-1", "Daisylane-Deadline-Ms": "45000"} {
		req.Header.Set(name, value)
	}
	f.receiver.ServeHTTP(w, req)
	if left := time.Until(w.end); w.Code != http.StatusOK || left < 44*time.Second {
		t.Errorf("status %d, %v left to write the response of a request with 45 s", w.Code, left)
	}
}

// Guards against a request that is cut off without a response because its deadline passes
// while it waits for tokens.
func TestDeadlinePassesDuringReservation(t *testing.T) {
	f := start(t, script{{Events: 2}})
	f.budgets.outcome, f.budgets.delay = granter.Limited, 60*time.Millisecond
	res, _, err := f.call(t, "/plan/7", "", map[string]string{"Daisylane-Deadline-Ms": "30"})
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v", res, err)
	}
}

// Guards against an empty answer that looks complete because the target crashed after the
// head of a stream that has neither a length nor chunks.
func TestCrashAfterUndelimitedHead(t *testing.T) {
	f := start(t, []platformtest.Response{{Events: 2, Crash: true, CloseDelimited: true}})
	f.onlyTarget(0, "engine")
	res, body, err := f.call(t, "/plan/7", "x", nil)
	if err == nil && res.StatusCode == http.StatusOK {
		t.Errorf("got status %d with body %q, want no success", res.StatusCode, body)
	}
	if open, used := f.budgets.totals(); open != 0 || used != 0 {
		t.Errorf("%d tokens reserved and %d billed after the crash", open, used)
	}
}
