package executor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/loader"
	"daisylane/internal/reclaimer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const waitTimeout = 10 * time.Second

// fakeEngine is a model engine that records the request bodies. If gate is not nil, it
// sends one token per value received from gate.
type fakeEngine struct {
	*httptest.Server
	tokens int
	gate   chan struct{}

	mu        sync.Mutex
	bodies    []map[string]any
	generated int
	cancelled int
}

func startEngine(t *testing.T, tokens int, gate chan struct{}) *fakeEngine {
	e := &fakeEngine{tokens: tokens, gate: gate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"running":0,"waiting":0,"slots":1,"cache":0.5,"model":"m"}`))
	})
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEngine) complete(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	e.bodies = append(e.bodies, body)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range e.tokens {
		if e.gate != nil {
			select {
			case <-e.gate:
			case <-r.Context().Done():
				e.mu.Lock()
				e.cancelled++
				e.mu.Unlock()
				return
			}
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
		w.(http.Flusher).Flush()
		e.mu.Lock()
		e.generated++
		e.mu.Unlock()
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", e.tokens)
}

func (e *fakeEngine) calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.bodies)
}

func (e *fakeEngine) stopped() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// fakePlatform implements Registry and ChargeSettler in memory.
type fakePlatform struct {
	mu                sync.Mutex
	unavailable       bool
	settleFailures    int // number of Settle calls to fail first
	closed            []string
	revoked           map[string]reclaimer.Table
	latestOrderNumber uint64
	events            []string
	charges           []admitter.Charge
	deregistered      bool
}

func (p *fakePlatform) Register(context.Context, watcher.Member) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return errors.New("platform is down")
	}
	p.events = append(p.events, "register")
	return nil
}

func (p *fakePlatform) ClosedHolders(context.Context) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, "closures")
	return append([]string(nil), p.closed...), nil
}

func (p *fakePlatform) Revocations(context.Context) (map[string]reclaimer.Table, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, "revocations")
	return p.revoked, nil
}

func (p *fakePlatform) LatestOrderNumber(context.Context, string) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return 0, errors.New("platform is down")
	}
	return p.latestOrderNumber, nil
}

func (p *fakePlatform) Deregister(context.Context, watcher.Member) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deregistered = true
	return nil
}

func (p *fakePlatform) Settle(_ context.Context, c admitter.Charge) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settleFailures > 0 {
		p.settleFailures--
		return errors.New("holder does not respond")
	}
	p.charges = append(p.charges, c)
	return nil
}

func (p *fakePlatform) settled() []admitter.Charge {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]admitter.Charge(nil), p.charges...)
}

type fixture struct {
	t    *testing.T
	cfg  Settings
	side *Side
	addr string
	pool *connector.Pool
	stop func() // shuts down gracefully and waits for completion
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, cfg: Defaults()}
	f.cfg.Platform, f.cfg.Name, f.cfg.Centre, f.cfg.Region = "http://127.0.0.1:1", "side-1", "a", "r"
	f.cfg.TLS.DisableTLS = true
	f.cfg.Limits.Slots, f.cfg.Limits.FlushTimeout = 1, loader.Duration(waitTimeout)
	f.cfg.Limits.SettleDelay = loader.Duration(3 * time.Second)
	f.pool = f.newPool()
	return f
}

func (f *fixture) start(registry Registry, settler ChargeSettler, opts ...Option) {
	f.t.Helper()
	side, err := New(f.cfg, registry, settler, opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- side.Serve(ctx, ln) }()
	f.side, f.addr = side, ln.Addr().String()
	var once sync.Once
	f.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				f.t.Error(err)
			}
		})
	}
	f.t.Cleanup(f.stop)
}

func startSide(t *testing.T, target Target, p *fakePlatform) *fixture {
	t.Helper()
	f := newFixture(t)
	f.cfg.Target = target
	f.start(p, p)
	return f
}

func startModelSide(t *testing.T, e *fakeEngine, p *fakePlatform) *fixture {
	t.Helper()
	f := startSide(t, Target{URL: e.URL, Name: "engine", Kind: KindModel, Model: "m"}, p)
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	return f
}

func (f *fixture) newPool() *connector.Pool {
	pool := connector.NewPool(func() *wirepb.Hello { return &wirepb.Hello{Protocol: connector.ProtocolVersion} })
	f.t.Cleanup(func() { _ = pool.Close() })
	return pool
}

func (f *fixture) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no %s after %s, status %+v", what, waitTimeout, f.side.Status())
		}
	}
}

func (f *fixture) openStream(pool *connector.Pool, id string, m *wirepb.Frame) *connector.Stream {
	f.t.Helper()
	s, err := pool.Open(f.t.Context(), f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = s.SetDeadline(time.Now().Add(waitTimeout))
	m.Id = id
	if err := s.Send(m); err != nil {
		f.t.Fatal(err)
	}
	return s
}

func runFrame(number uint64, tokens int64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Run{Run: &wirepb.Run{
		Reservation: &wirepb.Reservation{Holder: "h1", Number: number, Tokens: tokens, Addr: "127.0.0.1:1"},
		Payload:     []byte(`{"messages":[]}`), Deadline: uint64(waitTimeout.Milliseconds()), Worth: 1, Stream: true,
	}}}
}

func resumeFrame(offset uint64) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Resume{Resume: &wirepb.Resume{Offset: offset}}}
}

// responseReader reads a response as a router does and checks its frames.
type responseReader struct {
	answer *assembler.Response
	text   strings.Builder
}

func newResponseReader(id string) *responseReader {
	return &responseReader{answer: assembler.NewResponse(id)}
}

// read receives frames until End, Refused or the given number of data frames.
func (r *responseReader) read(t *testing.T, s *connector.Stream, limit uint64) (*wirepb.End, *wirepb.Refused) {
	t.Helper()
	for r.answer.Offset() < limit {
		f, err := s.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch body := f.GetBody().(type) {
		case *wirepb.Frame_Data:
			deliver, err := r.answer.AcceptData(f.GetId(), f.GetSeq(), body.Data.GetBytes())
			if err != nil {
				t.Fatal(err)
			}
			if !deliver {
				t.Fatalf("frame %d was sent twice", f.GetSeq())
			}
			var c chunk
			_ = json.Unmarshal(body.Data.GetBytes(), &c)
			var content string
			_ = json.Unmarshal(c.Choices[0].Delta["content"], &content)
			r.text.WriteString(content)
		case *wirepb.Frame_End:
			if err := r.answer.AcceptEnd(f.GetId(), body.End.GetCount(), body.End.GetSum()); err != nil {
				t.Fatal(err)
			}
			return body.End, nil
		case *wirepb.Frame_Refused:
			return nil, body.Refused
		}
	}
	return nil, nil
}

const allFrames = ^uint64(0)

func wantText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// Guards against lost or duplicated tokens, missing token counts in End, and a usage
// event that reaches a caller who did not request it.
func TestRun(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 20, nil)
	f := startModelSide(t, e, &fakePlatform{})
	r := newResponseReader("q1")
	end, refused := r.read(t, f.openStream(f.pool, "q1", runFrame(1, 100)), allFrames)
	if refused != nil || end.GetOutcome() != outcomeComplete || end.GetStatus() != http.StatusOK {
		t.Fatalf("end = %v, refused = %v", end, refused)
	}
	if r.text.String() != wantText(20) {
		t.Errorf("text = %q", r.text.String())
	}
	if u := end.GetUsage(); u.GetPrompt() != 3 || u.GetOutput() != 20 {
		t.Errorf("usage = %v, want 3 and 20", u)
	}
	if _, err := connector.Call[*wirepb.Billed](t.Context(), f.pool, f.addr, "q1", &wirepb.Billed{}); err != nil {
		t.Fatal(err)
	}
	if n := f.side.Status().Unbilled; n != 0 {
		t.Errorf("unbilled = %d after Billed", n)
	}
}

// Guards against tokens that are lost or duplicated when a router resumes a response
// over another connection after the first one broke.
func TestResume(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{}, 30)
	e := startEngine(t, 30, gate)
	f := startModelSide(t, e, &fakePlatform{})
	first := f.newPool()
	r := newResponseReader("q1")
	for range 10 {
		gate <- struct{}{}
	}
	r.read(t, f.openStream(first, "q1", runFrame(1, 100)), 10)
	_ = first.Close()
	for range 20 {
		gate <- struct{}{}
	}
	end, refused := r.read(t, f.openStream(f.pool, "q1", resumeFrame(r.answer.Offset())), allFrames)
	if refused != nil || end.GetOutcome() != outcomeComplete {
		t.Fatalf("end = %v, refused = %v", end, refused)
	}
	if r.text.String() != wantText(30) || e.calls() != 1 {
		t.Errorf("text = %q after %d calls", r.text.String(), e.calls())
	}
	again := newResponseReader("q1")
	if end, _ = again.read(t, f.openStream(f.pool, "q1", resumeFrame(0)), allFrames); end.GetCount() != 30 {
		t.Errorf("count = %d after the end, want 30", end.GetCount())
	}
	if _, refused = newResponseReader("q9").read(t, f.openStream(f.pool, "q9", resumeFrame(0)), allFrames); refused.GetReason() != reasonUnknown {
		t.Errorf("refused = %v, want reason unknown", refused)
	}
}

// Guards against a charge that is lost or delivered twice when the router disconnects
// during the response and the first Settle call to the holder fails.
func TestRouterGone(t *testing.T) {
	t.Parallel()
	p := &fakePlatform{settleFailures: 1}
	f := startModelSide(t, startEngine(t, 5, nil), p)
	router := f.newPool()
	r := newResponseReader("q1")
	if _, refused := r.read(t, f.openStream(router, "q1", runFrame(7, 100)), 1); refused != nil {
		t.Fatalf("refused = %v", refused)
	}
	_ = router.Close()
	f.waitFor("charge", func() bool { return len(p.settled()) > 0 })
	f.stop()
	charges := p.settled()
	if len(charges) != 1 || charges[0].ID != "q1" || charges[0].Tokens != 8 || charges[0].Reservation.Number != 7 {
		t.Errorf("charges = %+v, want one of 8 tokens", charges)
	}
	if !p.deregistered {
		t.Error("the side stopped without deregistration")
	}
}

// Guards against a charge that waits for a disconnected router until the settle delay
// has passed, because it would be lost if the side crashed meanwhile.
func TestOrphanedCharge(t *testing.T) {
	t.Parallel()
	p := &fakePlatform{}
	f := newFixture(t)
	f.cfg.Limits.SettleDelay, f.cfg.Limits.FlushTimeout = loader.Duration(time.Minute), loader.Duration(50*time.Millisecond)
	gate := make(chan struct{}, 16)
	f.cfg.Target = Target{URL: startEngine(t, 5, gate).URL, Name: "engine", Kind: KindModel, Model: "m"}
	f.start(p, p)
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	for range 6 {
		gate <- struct{}{}
	}
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", runFrame(1, 100)), allFrames)
	router := f.newPool()
	newResponseReader("q2").read(t, f.openStream(router, "q2", runFrame(2, 100)), 1)
	_ = router.Close()
	for range 5 {
		gate <- struct{}{}
	}
	f.waitFor("charge", func() bool { return len(p.settled()) > 0 })
	if charges := p.settled(); len(charges) != 1 || charges[0].ID != "q2" {
		t.Errorf("charges = %+v, want that of the router that is gone", charges)
	}
}

// Guards against a side that deregisters while the holder has not accepted a charge: a
// successor of the holder would no longer ask the side and release the tokens.
func TestUndeliveredChargeKeepsRegistration(t *testing.T) {
	t.Parallel()
	p := &fakePlatform{settleFailures: 1 << 20}
	f := startModelSide(t, startEngine(t, 2, nil), p)
	f.side.cfg.Limits.FlushTimeout = loader.Duration(50 * time.Millisecond)
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", runFrame(1, 100)), allFrames)
	f.stop()
	if p.deregistered {
		t.Error("the side deregistered with an undelivered charge")
	}
}

// Guards against requests that run with a reservation of a closed holder, and against
// open requests or charges that are missing from the Closed reply to the successor.
func TestClose(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{}, 4)
	e := startEngine(t, 2, gate)
	f := startModelSide(t, e, &fakePlatform{closed: []string{"h0"}})
	gate <- struct{}{}
	gate <- struct{}{}
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", runFrame(1, 100)), allFrames)
	running := f.openStream(f.pool, "q2", runFrame(2, 100))
	f.waitFor("second call", func() bool { return e.calls() == 2 })
	waiting := f.openStream(f.pool, "q3", runFrame(3, 100))
	f.waitFor("waiting request", func() bool { return f.side.Status().Load.Waiting == 1 })

	for range 2 { // a second call returns the same list
		closed, err := connector.Call[*wirepb.Closed](t.Context(), f.pool, f.addr, "", &wirepb.Close{Instance: "h1"})
		if err != nil {
			t.Fatal(err)
		}
		if len(closed.GetOpen()) != 1 || closed.GetOpen()[0].GetId() != "q2" {
			t.Errorf("open = %v, want q2", closed.GetOpen())
		}
		if len(closed.GetCharges()) != 1 || closed.GetCharges()[0].GetTokens() != 5 {
			t.Errorf("charges = %v, want one of 5 tokens", closed.GetCharges())
		}
	}
	if _, refused := newResponseReader("q3").read(t, waiting, allFrames); refused.GetReason() != string(admitter.Closed) {
		t.Errorf("waiting request: refused = %v, want reason closed", refused)
	}
	fromTable := runFrame(4, 100)
	fromTable.GetRun().Reservation.Holder = "h0"
	for _, m := range []*wirepb.Frame{runFrame(5, 100), fromTable} {
		_, refused := newResponseReader("q4").read(t, f.openStream(f.pool, "q4", m), allFrames)
		if refused.GetReason() != string(admitter.Closed) {
			t.Errorf("holder %s: refused = %v, want reason closed", m.GetRun().GetReservation().GetHolder(), refused)
		}
	}
	gate <- struct{}{}
	gate <- struct{}{}
	if end, _ := newResponseReader("q2").read(t, running, allFrames); end.GetOutcome() != outcomeComplete {
		t.Errorf("running request: end = %v", end)
	}
	if n := e.calls(); n != 2 {
		t.Errorf("the engine got %d calls, want 2", n)
	}
}

// Guards against a graceful shutdown that interrupts a running response or admits new
// requests.
func TestDrain(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{}, 6)
	e := startEngine(t, 6, gate)
	p := &fakePlatform{}
	f := startModelSide(t, e, p)
	r := newResponseReader("q1")
	s := f.openStream(f.pool, "q1", runFrame(1, 100))
	gate <- struct{}{}
	r.read(t, s, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.stop()
	}()
	f.waitFor("drain", func() bool { return f.side.Status().Draining })
	_, refused := newResponseReader("q2").read(t, f.openStream(f.pool, "q2", runFrame(2, 100)), allFrames)
	if refused.GetReason() != string(admitter.Stopping) || !refused.GetLoad().GetLeaving() {
		t.Errorf("refused = %v, want reason stopping", refused)
	}
	for range 5 {
		gate <- struct{}{}
	}
	if end, _ := r.read(t, s, allFrames); end.GetOutcome() != outcomeComplete {
		t.Errorf("end = %v", end)
	}
	if err := s.Send(&wirepb.Frame{Id: "q1", Body: &wirepb.Frame_Billed{Billed: &wirepb.Billed{}}}); err != nil {
		t.Error(err)
	}
	<-stopped
	if r.text.String() != wantText(6) || e.calls() != 1 || !p.deregistered {
		t.Errorf("text = %q, calls = %d, deregistered = %v", r.text.String(), e.calls(), p.deregistered)
	}
}

// Guards against output and charges that exceed the reservation, and against an engine
// that keeps generating after the limit, a cancellation or the deadline.
func TestStopEngine(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		run      func(*wirepb.Run)
		cancel   bool
		frames   uint64 // delivered data frames, one token each
		outcome  string
		maxToken float64
	}{
		{"reservation", func(m *wirepb.Run) { m.Reservation.Tokens = 4 }, false, 4, outcomeInterrupted, 0},
		{"output", func(m *wirepb.Run) { m.Output = 3 }, false, 3, outcomeInterrupted, 3},
		{"cancel", func(*wirepb.Run) {}, true, 5, outcomeInterrupted, 0},
		{"claim", func(m *wirepb.Run) { m.Claim = "c1" }, true, 5, outcomeUnknown, 0},
		{"deadline", func(m *wirepb.Run) { m.Deadline = 300 }, false, 5, outcomeInterrupted, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{}, 5)
			e := startEngine(t, 1000, gate)
			p := &fakePlatform{}
			f := startModelSide(t, e, p)
			for range 5 {
				gate <- struct{}{}
			}
			m := runFrame(1, 100)
			tt.run(m.GetRun())
			s := f.openStream(f.pool, "q1", m)
			r := newResponseReader("q1")
			if tt.cancel {
				r.read(t, s, 5)
				if _, err := connector.Call[*wirepb.Cancel](t.Context(), f.pool, f.addr, "q1", &wirepb.Cancel{}); err != nil {
					t.Fatal(err)
				}
			}
			end, _ := r.read(t, s, allFrames)
			if end.GetOutcome() != tt.outcome || end.GetCount() != tt.frames {
				t.Errorf("end = %v, want %s after %d frames", end, tt.outcome, tt.frames)
			}
			f.waitFor("stop of the engine", func() bool { return e.stopped() == 1 })
			if got, _ := e.bodies[0]["max_tokens"].(float64); got != tt.maxToken {
				t.Errorf("max_tokens = %v, want %v", got, tt.maxToken)
			}
			f.stop()
			limit := min(m.GetRun().GetReservation().GetTokens(), int64(tt.frames)+1)
			if c := p.settled(); len(c) != 1 || c[0].Tokens < int64(tt.frames) || c[0].Tokens > limit {
				t.Errorf("charges = %+v, want one of %d to %d tokens", c, tt.frames, limit)
			}
		})
	}
}

// Guards against requests that the engine runs although the side refused them, for each
// reason of refusal, and against admission before the closed holders and revoked
// reservations are loaded.
func TestRefused(t *testing.T) {
	t.Parallel()
	e := startEngine(t, 1, nil)
	p := &fakePlatform{unavailable: true, revoked: map[string]reclaimer.Table{"h1": {Numbers: []uint64{9}}}}
	f := startSide(t, Target{URL: e.URL, Name: "engine", Kind: KindModel, Model: "m"}, p)
	refusal := func(id string, m *wirepb.Frame) string {
		_, refused := newResponseReader(id).read(t, f.openStream(f.pool, id, m), allFrames)
		return refused.GetReason()
	}
	if got := refusal("q1", runFrame(1, 10)); got != string(admitter.Unregistered) {
		t.Errorf("reason = %q, want unregistered", got)
	}
	p.mu.Lock()
	p.unavailable = false
	p.mu.Unlock()
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	if got := strings.Join(p.events[:3], " "); got != "register closures revocations" {
		t.Errorf("order = %q, want registration before closures", got)
	}
	newResponseReader("q1").read(t, f.openStream(f.pool, "q1", runFrame(1, 10)), allFrames)

	expired, invalid, unreserved := runFrame(3, 10), runFrame(4, 10), runFrame(5, 0)
	expired.GetRun().Deadline = 0
	invalid.GetRun().Payload = []byte("no JSON")
	tests := []struct {
		id   string
		m    *wirepb.Frame
		want string
	}{
		{"q1", runFrame(2, 10), string(admitter.Duplicate)},
		{"q2", runFrame(1, 10), string(admitter.Duplicate)},
		{"q3", expired, string(admitter.Deadline)},
		{"q4", invalid, reasonMalformed},
		{"q5", unreserved, reasonMalformed},
		{"q6", runFrame(9, 10), string(admitter.Revoked)},
	}
	for _, tt := range tests {
		if got := refusal(tt.id, tt.m); got != tt.want {
			t.Errorf("%s: reason = %q, want %q", tt.id, got, tt.want)
		}
	}
	if n := e.calls(); n != 1 {
		t.Errorf("the engine got %d calls, want 1", n)
	}
	e.Close()
	if got := refusal("q6", runFrame(6, 10)); got != reasonTarget {
		t.Errorf("reason = %q without an engine, want target", got)
	}
}

// Guards against calls to services that lose the method, path, headers or body, and
// against charges for calls that the service rejected.
func TestService(t *testing.T) {
	t.Parallel()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Echo", r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("X-Key"))
		if r.URL.Path == "/no" {
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = w.Write([]byte("ok"))
	}))
	defer srv.Close()
	p := &fakePlatform{}
	f := startSide(t, Target{URL: srv.URL, Name: "booking", Kind: KindService}, p)
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	for i, path := range []string{"/book?a=1", "/no"} {
		id := fmt.Sprintf("q%d", i)
		m := runFrame(uint64(i), 9)
		m.GetRun().Method, m.GetRun().Path, m.GetRun().Header = "PUT", path, map[string]string{"X-Key": "k"}
		s := f.openStream(f.pool, id, m)
		for {
			frame, err := s.Receive()
			if err != nil {
				t.Fatal(err)
			}
			end := frame.GetEnd()
			if end == nil {
				continue
			}
			if end.GetOutcome() != outcomeComplete || end.GetHeader()["X-Echo"] != "PUT "+path+" k" || end.GetCount() != 1 {
				t.Errorf("end = %v", end)
			}
			break
		}
	}
	f.stop()
	total := int64(0)
	for _, c := range p.settled() {
		total += c.Tokens
	}
	if total != 9 || len(p.settled()) != 2 {
		t.Errorf("charges = %+v, want 9 tokens and a release", p.settled())
	}
}

// Guards against a response larger than the buffer that stalls or loses bytes.
func TestLargeResponse(t *testing.T) {
	t.Parallel()
	body := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer srv.Close()
	f := newFixture(t)
	f.cfg.Target = Target{URL: srv.URL, Name: "records", Kind: KindService}
	f.cfg.Limits.BufferBytes = 64 << 10
	f.start(&fakePlatform{}, &fakePlatform{})
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	s := f.openStream(f.pool, "q1", runFrame(1, 1))
	a, got := assembler.NewResponse("q1"), []byte(nil)
	for ended := false; !ended; {
		frame, err := s.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := frame.GetBody().(type) {
		case *wirepb.Frame_Data:
			if ok, err := a.AcceptData("q1", frame.GetSeq(), m.Data.GetBytes()); err != nil || !ok {
				t.Fatal(ok, err)
			}
			got = append(got, m.Data.GetBytes()...)
		case *wirepb.Frame_End:
			ended = true
			if err := a.AcceptEnd("q1", m.End.GetCount(), m.End.GetSum()); err != nil {
				t.Fatal(err)
			}
		case *wirepb.Frame_Refused:
			t.Fatal(m.Refused)
		}
	}
	if !bytes.Equal(got, body) {
		t.Errorf("got %d bytes, want %d", len(got), len(body))
	}
}
