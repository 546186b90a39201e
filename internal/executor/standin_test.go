package executor

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/faker"
	"daisylane/internal/loader"
	"daisylane/internal/reclaimer"
	"daisylane/internal/recoverer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// stubHolder is a holder that records the charges of Settle calls, or refuses the calls
// and names another address.
type stubHolder struct {
	addr string
	next string // if set, address named in refusals

	mu      sync.Mutex
	charges []*wirepb.Settle
}

func startStubHolder(t *testing.T, next string) *stubHolder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &stubHolder{addr: ln.Addr().String(), next: next}
	srv := connector.NewServer(func() *wirepb.Hello { return &wirepb.Hello{Protocol: connector.ProtocolVersion} })
	connector.HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Settle) (*wirepb.Settled, error) {
		if h.next != "" {
			return nil, &connector.RefusedError{Reason: "stopping", Addr: h.next}
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.charges = append(h.charges, m)
		return &wirepb.Settled{}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
	})
	return h
}

func (h *stubHolder) settled() []*wirepb.Settle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*wirepb.Settle(nil), h.charges...)
}

func putObject(t *testing.T, c *storer.Client, key string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(t.Context(), key, body, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a registration that is missing, cannot be decoded or remains after the
// shutdown, against closed holders and revoked reservations that are not loaded, and
// against a charge that does not reach the successor when the holder cannot be reached.
func TestPlatform(t *testing.T) {
	t.Parallel()
	platform := httptest.NewServer(faker.NewPlatform())
	defer platform.Close()
	client := storer.New(platform.URL)
	successor := startStubHolder(t, "")
	redirecting := startStubHolder(t, successor.addr)
	entry := watcher.Member{Name: "e1", Role: watcher.Entry, Centre: "a", Region: "r", Addr: redirecting.addr}
	putObject(t, client, watcher.Key(watcher.Entry, "e1"), entry)
	putObject(t, client, recoverer.ClosureKey("h0"), struct{}{})
	putObject(t, client, reclaimer.TablePrefix+"h1", reclaimer.Table{Below: 5})

	e := startEngine(t, 3, nil)
	registry := NewPlatformRegistry(client)
	f := newFixture(t)
	f.cfg.Target = Target{URL: e.URL, Name: "engine", Kind: KindModel, Model: "m"}
	f.start(registry, NewRemoteSettler(f.pool, registry))
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	items, err := client.List(t.Context(), "member/side/")
	if err != nil || len(items) != 1 {
		t.Fatalf("registrations = %v, err = %v", items, err)
	}
	m, err := checker.Decode[watcher.Member](items[0].Body)
	if err != nil || m.Addr != f.addr || m.Target != "engine" || m.Name != f.side.Instance() {
		t.Errorf("registration = %+v, err = %v", m, err)
	}
	if err := registry.Register(t.Context(), m); err != nil {
		t.Errorf("second registration: %v", err)
	}
	if closed := f.side.Status().ClosedHolders; len(closed) != 1 || closed[0] != "h0" {
		t.Errorf("closed = %v, want h0", closed)
	}

	if _, refused := newResponseReader("q0").read(t, f.openStream(f.pool, "q0", runFrame(4, 100)), allFrames); refused.GetReason() != string(admitter.Revoked) {
		t.Errorf("reservation of the table: refused = %v, want reason revoked", refused)
	}
	run := runFrame(5, 100)
	run.GetRun().Reservation.Region = "r"
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", run), allFrames)
	f.stop()
	if got := successor.settled(); len(got) != 1 || got[0].GetTokens() != 6 || got[0].GetReservation().GetNumber() != 5 {
		t.Errorf("charges = %v, want one of 6 tokens", got)
	}
	if items, err := client.List(t.Context(), "member/side/"); err != nil || len(items) != 0 {
		t.Errorf("registrations after the stop = %v, err = %v", items, err)
	}
}

func chatFrame(number uint64) *wirepb.Frame {
	f := runFrame(number, 10_000)
	f.GetRun().Payload = []byte(`{"model":"m","messages":[{"role":"user","content":"one two three"}]}`)
	f.GetRun().Output = 50
	return f
}

// Guards against tokens that are lost when the connection to the engine breaks, and
// against a cancelled run that continues because the engine does not end a run when its
// connection closes.
func TestEngineConnectionBroken(t *testing.T) {
	t.Parallel()
	e := faker.NewEngine(faker.EngineConfig{Slots: 2, TokenInterval: loader.Duration(20 * time.Millisecond)})
	srv := httptest.NewServer(e)
	defer srv.Close()
	var mu sync.Mutex
	broken := 0
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		first := r.Method == http.MethodPost && broken == 0
		if first {
			broken++
		}
		mu.Unlock()
		if first {
			w = &cutWriter{ResponseWriter: w, left: 1000}
		}
		e.ServeHTTP(w, r)
	}))
	defer breaking.Close()
	p := &fakePlatform{}
	f := startSide(t, Target{URL: breaking.URL, Name: "engine", Kind: KindModel, Model: "m"}, p)
	f.waitFor("registration and load", func() bool { return f.side.Status().Registered && f.side.Status().Load.Slots == 2 })

	r := newResponseReader("q1")
	end, _ := r.read(t, f.openStream(f.pool, "q1", chatFrame(1)), allFrames)
	runs := e.Runs()
	if end.GetOutcome() != outcomeComplete || len(runs) != 1 || end.GetUsage().GetOutput() != int64(runs[0].Usage.Completion) {
		t.Fatalf("end = %v, runs = %+v", end, runs)
	}
	if words := len(strings.Fields(r.text.String())); words == 0 || broken != 1 {
		t.Errorf("%d words, connection broken %d times", words, broken)
	}

	s := f.openStream(f.pool, "q2", chatFrame(2))
	newResponseReader("q2").read(t, s, 1)
	if _, err := connector.Call[*wirepb.Cancel](t.Context(), f.pool, f.addr, "q2", &wirepb.Cancel{}); err != nil {
		t.Fatal(err)
	}
	f.waitFor("cancellation at the engine", func() bool { return e.Runs()[1].State == faker.StateCancelled })
	f.stop()
	usage := e.Runs()[1].Usage
	for _, c := range p.settled() {
		if c.ID == "q2" && c.Tokens != int64(usage.Prompt+usage.Completion) {
			t.Errorf("charge = %+v, usage = %+v", c, usage)
		}
	}
	if len(p.settled()) != 2 {
		t.Errorf("charges = %+v, want two", p.settled())
	}
}

// cutWriter aborts the connection after left bytes.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (w *cutWriter) Write(data []byte) (int, error) {
	n := min(len(data), w.left)
	_, _ = w.ResponseWriter.Write(data[:n])
	if w.left -= n; w.left == 0 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return n, nil
}

func (w *cutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Guards against a request that runs although it was cancelled while it waited in the
// queue.
func TestCancelWaiting(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{}, 2)
	e := startEngine(t, 1, gate)
	f := startModelSide(t, e, &fakePlatform{})
	running := f.openStream(f.pool, "q1", runFrame(1, 10))
	f.waitFor("first call", func() bool { return e.calls() == 1 })
	waiting := f.openStream(f.pool, "q2", runFrame(2, 10))
	f.waitFor("waiting request", func() bool { return f.side.Status().Load.Waiting == 1 })
	if _, err := connector.Call[*wirepb.Cancel](t.Context(), f.pool, f.addr, "q2", &wirepb.Cancel{}); err != nil {
		t.Fatal(err)
	}
	if _, refused := newResponseReader("q2").read(t, waiting, allFrames); refused.GetReason() != reasonCancelled {
		t.Errorf("refused = %v, want reason cancelled", refused)
	}
	gate <- struct{}{}
	newResponseReader("q1").read(t, running, allFrames)
	if _, refused := newResponseReader("q2").read(t, f.openStream(f.pool, "q2", resumeFrame(0)), allFrames); refused.GetReason() != reasonCancelled {
		t.Errorf("resumed: refused = %v, want reason cancelled", refused)
	}
	if e.calls() != 1 {
		t.Errorf("the engine got %d calls, want 1", e.calls())
	}
}

// Guards against invalid settings that are accepted, and against an invalid sample file.
func TestSettings(t *testing.T) {
	t.Parallel()
	sample, err := os.ReadFile(filepath.Join("..", "..", "docs", "side.toml"))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, old, new, want string }{
		{"sample", "", "", ""},
		{"listen", `listen = "127.0.0.1:7400"`, `listen = "7400"`, "listen: is \"7400\", want host:port"},
		{"kind", `kind = "model"`, `kind = "modle"`, "target.kind: is \"modle\""},
		{"slots", "slots = 8", "slots = 0", "limits.slots: is 0, allowed is 1 to 10000"},
		{"tls", "plain = true", "plain = false", "tls.cert: is empty"},
		{"level", `level = "info"`, `level = "loud"`, "level: is \"loud\""},
		{"unknown", "queue = 64", "quue = 64", "limits.quue: unknown key"},
	}
	for _, tt := range tests {
		file := filepath.Join(t.TempDir(), "side.toml")
		text := strings.Replace(string(sample), tt.old, tt.new, 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loader.Load(file, Defaults())
		if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: err = %v, want %q", tt.name, err, tt.want)
		}
	}
}

// Guards against a request with an unknown outcome: if the side wrote it to a reused
// connection that a stopped engine had closed, it could not tell whether it ran.
func TestClosedConnection(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.cfg.Target = Target{URL: "http://127.0.0.1:1", Name: "engine", Kind: KindModel, Model: "m"}
	side, err := New(f.cfg, &fakePlatform{}, &fakePlatform{})
	if err != nil {
		t.Fatal(err)
	}
	defer side.admission.stop()
	for i := range 20 {
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		side.cfg.Target.URL = srv.URL
		run := runFrame(1, 10).GetRun()
		j := newJob(t.Context(), "q", run, time.Now().Add(time.Minute), 1000)
		if _, sent := side.send(t.Context(), j, run); !sent {
			t.Fatal("first request was not sent")
		}
		srv.Close()
		if res, sent := side.send(t.Context(), j, run); sent || res.err == nil {
			t.Fatalf("request %d after the end of the engine: sent = %v, err = %v", i, sent, res.err)
		}
	}
}
