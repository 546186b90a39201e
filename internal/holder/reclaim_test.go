package holder

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"daisylane/internal/connector"
	"daisylane/internal/executor"
	"daisylane/internal/faker"
	"daisylane/internal/loader"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

// startSide starts a side with a fake engine and returns the side's address.
func (f *fixture) startSide() string {
	f.t.Helper()
	engine := httptest.NewServer(faker.NewEngine(faker.EngineConfig{Slots: 4, TokenInterval: loader.Duration(50 * time.Millisecond)}))
	f.t.Cleanup(engine.Close)
	cfg := executor.Defaults()
	cfg.Platform, cfg.Name, cfg.Centre, cfg.Region = f.platform.URL, "side-1", "north-1", "north"
	cfg.Target = executor.Target{URL: engine.URL, Name: "engine", Kind: executor.KindModel, Model: "m"}
	cfg.TLS.DisableTLS, cfg.Limits.SettleDelay, cfg.Limits.FlushTimeout = true, loader.Duration(time.Second), loader.Duration(time.Second)
	registry := executor.NewPlatformRegistry(f.store("side-1"))
	side, err := executor.New(cfg, registry, executor.NewRemoteSettler(f.pool(), registry))
	if err != nil {
		f.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = side.Serve(ctx, ln)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	f.eventually("side is registered", func() bool { return side.Status().Registered })
	return ln.Addr().String()
}

// pool returns a connection pool for a router, which is not closed with a node.
func (f *fixture) pool() *connector.Pool {
	p := connector.NewPool(func() *wirepb.Hello { return &wirepb.Hello{Protocol: connector.ProtocolVersion} })
	f.t.Cleanup(func() { _ = p.Close() })
	return p
}

// sendRun sends a request to a side and returns the first frame of the response.
func (f *fixture) sendRun(p *connector.Pool, side, id string, r *wirepb.Reservation) *wirepb.Frame {
	f.t.Helper()
	s, err := p.Open(f.t.Context(), side)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = s.SetDeadline(time.Now().Add(5 * time.Second))
	m, err := connector.Wrap(id, &wirepb.Run{
		Reservation: r, Method: "POST", Path: "/v1/chat/completions", Deadline: 10_000, Output: 40, Model: "m",
		Payload: []byte(`{"model":"m","messages":[{"role":"user","content":"one two three"}],"max_tokens":40}`),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := s.Send(m); err != nil {
		f.t.Fatal(err)
	}
	response, err := s.Receive()
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

func (f *fixture) reservedTokens(n *testNode) int64 {
	f.t.Helper()
	s, err := n.holder.Status(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	var sum int64
	for _, sh := range s.Shards {
		sum += sh.Budgets["acme"].Reserved
	}
	return sum
}

func (f *fixture) reserveWithDeadline(n *testNode, id string, remaining time.Duration) *wirepb.Reservation {
	f.t.Helper()
	r, err := n.client.Reserve(f.t.Context(), id, &wirepb.Reserve{Budget: "acme", Tokens: 400, Deadline: uint64(remaining.Milliseconds())})
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// Guards against tokens that stay reserved forever after a router died between Reserve
// and Run, and against a delayed Run that a side executes after the release.
func TestRouterDiesBeforeRun(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	side := f.startSide()
	n := f.startNode("a.1", "north")
	r := f.reserveWithDeadline(n, "r1", 200*time.Millisecond)
	if got := f.reservedTokens(n); got != 400 {
		t.Fatalf("reserved = %d, want 400", got)
	}
	f.eventually("tokens are released", func() bool { return f.reservedTokens(n) == 0 })

	if response := f.sendRun(f.pool(), side, "r1", r); response.GetRefused().GetReason() != "revoked" {
		t.Errorf("delayed Run: response = %v, want refusal as revoked", response)
	}
	if again := f.reserveWithDeadline(n, "r1", time.Minute); again.GetNumber() == r.GetNumber() {
		t.Error("a repeated call got the revoked reservation")
	}
}

// Guards against releasing a reservation whose request still runs after its router
// died, and against losing the charge of that request.
func TestRouterDiesMidStream(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	side := f.startSide()
	n := f.startNode("a.1", "north")
	r := f.reserveWithDeadline(n, "r1", 200*time.Millisecond)
	router := f.pool()
	if response := f.sendRun(router, side, "r1", r); response.GetAccepted() == nil {
		t.Fatalf("Run: response = %v", response)
	}
	_ = router.Close()

	// The engine takes 2 s, so that the reservation expires while the request runs.
	charged := func() (sum int64) {
		s, err := n.holder.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, sh := range s.Shards {
			sum += sh.Budgets["acme"].Charged
		}
		return sum
	}
	f.eventually("charge of the side", func() bool {
		open, used := f.reservedTokens(n), charged()
		if open == 0 && used == 0 {
			t.Fatal("the reservation was released before the charge")
		}
		return used > 0 && open == 0
	})
	var table struct{ Below uint64 }
	item, err := f.store("test").Get(t.Context(), "revoked/a.1")
	if err != nil || json.Unmarshal(item.Body, &table) != nil || table.Below <= r.GetNumber() {
		t.Errorf("table = %s, err = %v, want the reservation revoked during its run", item.Body, err)
	}
}

// Guards against releasing an expired reservation before every registered side has
// answered: one that does not answer may still run the request.
func TestUnresponsiveSideWithholds(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	f.startSide()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never responds
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	m := watcher.Member{Name: "side-2.x", Role: watcher.Side, Centre: "north-1", Region: "north", Addr: unresponsive.Addr().String(), Target: "e2", Kind: "model", Model: "m"}
	body, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store("side-2.x").Put(t.Context(), watcher.Key(watcher.Side, m.Name), body, 0); err != nil {
		t.Fatal(err)
	}
	n := f.startNode("a.1", "north")
	f.reserveWithDeadline(n, "r1", 100*time.Millisecond)
	f.eventually("table of revoked reservations", func() bool {
		_, err := f.store("test").Get(t.Context(), "revoked/a.1")
		return err == nil
	})
	time.Sleep(3 * time.Second) // longer than the timeout of a call to a side
	if got := f.reservedTokens(n); got != 400 {
		t.Errorf("reserved = %d, want 400 withheld", got)
	}
	if s, err := n.holder.Status(t.Context()); err != nil || !slices.Equal(s.Revoking, []string{"side-2.x"}) {
		t.Errorf("status names %v, err = %v, want the unresponsive side", s.Revoking, err)
	}
}

// Guards against tokens that stay withheld forever because a side deregistered at a
// graceful shutdown before it answered: the operator cannot confirm such a side as gone.
func TestGoneOrDeregistered(t *testing.T) {
	f := newFixture(t)
	n := f.startNode("a.1", "north")
	body := []byte(`{"name":"s1","role":"side","centre":"c","region":"north","addr":"127.0.0.1:1","target":"e","kind":"model","model":"m"}`)
	for key, body := range map[string][]byte{"member/side/s1": body, "gone/s2": []byte(`{}`)} {
		if _, err := f.store("test").Put(t.Context(), key, body, 0); err != nil {
			t.Fatal(err)
		}
	}
	if got := n.holder.goneOrDeregistered(t.Context(), []string{"s1", "s3"}); !slices.Equal(got, []string{"s2", "s3"}) {
		t.Errorf("goneOrDeregistered = %v, want the confirmed s2 and the deregistered s3", got)
	}
}
