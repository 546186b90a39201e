package prober

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

func experiment(entry string) Experiment {
	exp := Defaults
	exp.Entries, exp.SettleTime, exp.Timeout = []string{entry}, 0, loader.Duration(5*time.Second)
	exp.Callers = []Caller{
		{Name: "a", Key: "k", Kind: KindChat, Path: "/v1/chat/completions", Model: "m", Share: 3, Worth: 1, Tokens: 8, Budget: 1 << 20},
		{Name: "b", Key: "k", Kind: KindService, Path: "/bookings", Share: 1, Worth: 1},
	}
	exp.Phases = []Phase{{Name: "one", Rate: 400, Duration: loader.Duration(250 * time.Millisecond)}}
	return exp
}

// Guards against reports that miscount outcomes, tokens or differences, in phases
// without faults, without requests, and with failing engine runs and bookings.
func TestRun(t *testing.T) {
	engine, booking := faker.NewEngine(faker.EngineConfig{}), faker.NewBooking()
	mux := http.NewServeMux()
	mux.Handle("/bookings", booking)
	mux.Handle("/v1/", engine)
	entry := serve(t, mux)
	exp := experiment(entry)
	exp.Engines, exp.Bookings = []string{serve(t, engine)}, []string{serve(t, booking)}
	exp.Phases = append(exp.Phases, Phase{Name: "pause", Duration: loader.Duration(200 * time.Millisecond)}, Phase{
		Name: "two", Rate: 400, Duration: loader.Duration(250 * time.Millisecond),
		Faults: []Fault{{exp.Engines[0] + "/faults", `{"die":3}`}, {exp.Bookings[0] + "/faults", `{"after":2}`}},
	})
	rep, err := Run(t.Context(), exp)
	if err != nil {
		t.Fatal(err)
	}
	one, two := rep.Phases[0], rep.Phases[2]
	if one.Sent < 50 || one.Outcomes[OutcomeComplete] != one.Sent || one.CompletedWorth != 1 || one.TimeToFirstToken.Count == 0 || one.TokenGap.Count != int64(one.OutputTokens)-one.TimeToFirstToken.Count {
		t.Errorf("phase one: %+v", one)
	}
	if two.Outcomes[OutcomeBroken] != 5 || two.Outcomes[OutcomeComplete] != two.Sent-5 {
		t.Errorf("phase two: %+v", two)
	}
	want := Findings{Compared: one.Sent + two.Sent, RunWithoutResponse: 2}
	if fmt.Sprint(rep.Findings) != fmt.Sprint(want) {
		t.Errorf("findings are %+v, want %+v", rep.Findings, want)
	}
	var out bytes.Buffer
	if err := rep.Write(&out); err != nil || !strings.Contains(out.String(), "broken=5") {
		t.Errorf("table %q, %v", out.String(), err)
	}
}

// Guards against violations that the findings miss: an entry that reports requests as
// not run that ran, runs bookings twice, responds with the output of another prompt
// and refuses requests for lack of budget although the budget has room.
func TestFindings(t *testing.T) {
	engine, booking := faker.NewEngine(faker.EngineConfig{}), faker.NewBooking()
	var n atomic.Int64
	refuse := func(w http.ResponseWriter, reason string) {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprintf(w, `{"error":{"type":"notrun","reason":%q}}`, reason)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/bookings", func(w http.ResponseWriter, r *http.Request) {
		body := &bytes.Buffer{}
		_, _ = body.ReadFrom(r.Body)
		for range 2 {
			again := httptest.NewRequest("POST", "/bookings", bytes.NewReader(body.Bytes()))
			again.Header = r.Header
			booking.ServeHTTP(httptest.NewRecorder(), again)
		}
		refuse(w, "overload")
	})
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1)%2 == 0 {
			refuse(w, "budget")
			return
		}
		var c faker.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&c)
		c.Messages[0].Content += "x"
		data, _ := json.Marshal(c)
		other := httptest.NewRequest("POST", "/v1/chat/completions", bytes.NewReader(data))
		other.Header = r.Header
		engine.ServeHTTP(w, other)
	})
	exp := experiment(serve(t, mux))
	exp.Engines, exp.Bookings = []string{serve(t, engine)}, []string{serve(t, booking)}
	exp.BillsFile = filepath.Join(t.TempDir(), "bills.json")
	if err := os.WriteFile(exp.BillsFile, []byte(`{"a":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	rep, err := Run(t.Context(), exp)
	if err != nil {
		t.Fatal(err)
	}
	p, f := rep.Phases[0], rep.Findings
	if p.FalseRefusals == 0 || p.FalseRefusals != p.Reasons["budget"] {
		t.Errorf("%d false refusals, want %d", p.FalseRefusals, p.Reasons["budget"])
	}
	if f.WrongContent == 0 || f.WrongContent != p.Outcomes[OutcomeWrong] || f.ServiceReruns == 0 || f.RanThoughNotRun != f.ServiceReruns || f.BillDifferences["a"] != 7 {
		t.Errorf("findings %+v in %+v", f, p)
	}
}

// Guards against a retried call that counts as run once because its attempts are
// counted separately.
func TestRetry(t *testing.T) {
	booking := faker.NewBooking()
	booking.SetFaults(faker.BookingFaults{FailAfterRun: faker.Ptr(1)})
	exp := experiment(serve(t, booking))
	exp.Bookings, exp.Callers = exp.Entries, exp.Callers[1:]
	exp.Callers[0].Retries = 1
	rep, err := Run(t.Context(), exp)
	if err != nil {
		t.Fatal(err)
	}
	if p := rep.Phases[0]; p.Outcomes[OutcomeComplete] != p.Sent || rep.Findings.ServiceReruns != 1 {
		t.Errorf("findings %+v in %+v", rep.Findings, p)
	}
}

// Guards against a justified refusal that counts as false because requests in flight,
// requests with unknown consumption or charges that are not yet durable are left
// out, and against refusals that justify each other.
func TestMarkFalseRefusals(t *testing.T) {
	zero := time.Unix(0, 0)
	result := func(start, end, maxTokens, tokens int, outcome string) Result {
		return Result{
			Caller: "a", Outcome: outcome, Reason: "budget", MaxTokens: maxTokens, TotalTokens: tokens,
			Start: zero.Add(time.Duration(start) * time.Second), Elapsed: time.Duration(end-start) * time.Second,
		}
	}
	refused := result(10, 12, 60, 0, OutcomeNotRun)
	tests := []struct {
		name   string
		others []Result
		want   bool
	}{
		{"room", nil, true},
		{"in flight", []Result{result(11, 20, 50, 5, OutcomeComplete)}, false},
		{"charge not durable", []Result{result(1, 9, 50, 5, OutcomeComplete)}, false},
		{"settled", []Result{result(1, 5, 50, 5, OutcomeComplete)}, true},
		{"spent", []Result{result(1, 5, 50, 45, OutcomeComplete)}, false},
		{"unknown consumption", []Result{result(1, 5, 50, 0, OutcomeInterrupted)}, false},
		{"later", []Result{result(13, 14, 90, 90, OutcomeComplete)}, true},
		{"two refusals", []Result{refused}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			results := append([]Result{refused}, tt.others...)
			markFalseRefusals([]Caller{{Name: "a", Budget: 100}}, 2*time.Second, results)
			if results[0].FalseRefusal != tt.want {
				t.Errorf("false refusal = %v, want %v", results[0].FalseRefusal, tt.want)
			}
		})
	}
}

// Guards against load on systems outside of loopback: only loopback URLs are valid.
func TestLoopback(t *testing.T) {
	for _, url := range []string{"http://10.0.0.1:80", "http://example.com", "https://127.0.0.1", "127.0.0.1:80", ""} {
		if experiment(url).Check() == nil {
			t.Errorf("entry %q was accepted", url)
		}
	}
	if err := experiment("http://127.0.0.1:80").Check(); err != nil {
		t.Error(err)
	}
}
