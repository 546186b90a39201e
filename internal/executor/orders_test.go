package executor

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/connector"
	"daisylane/internal/faker"
	"daisylane/internal/fencer"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

// fencingFlag is an EngineFencing that returns the same value for all targets.
type fencingFlag bool

func (f fencingFlag) EnforcesFencing(string) bool { return bool(f) }

func (f *fixture) order(number uint64, model string) string {
	f.t.Helper()
	m := &wirepb.Order{Kind: fencer.KindLoad, Model: model, Number: number, Target: "engine"}
	res, err := connector.Call[*wirepb.Ordered](f.t.Context(), f.pool, f.addr, "", m)
	var refused *connector.RefusedError
	switch {
	case errors.As(err, &refused):
		return refused.Reason
	case err != nil:
		f.t.Fatal(err)
	case res.GetNumber() != number || res.GetInstance() != f.side.Instance():
		f.t.Errorf("response = %v, want number %d of %s", res, number, f.side.Instance())
	}
	return "passed"
}

// appliedOrders returns the models of the orders that the engine applied.
func appliedOrders(t *testing.T, e *faker.Engine) string {
	t.Helper()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest("GET", "/orders", nil))
	var list []faker.Order
	if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(list))
	for _, o := range list {
		names = append(names, o.Model)
	}
	return strings.Join(names, " ")
}

// Guards against an engine that applies a stale order, with an engine that checks the
// number and with one that ignores it, also after a restart of the side, which then has
// to read the newest number from the platform.
func TestOrders(t *testing.T) {
	t.Parallel()
	for _, enforced := range []bool{false, true} {
		srv := httptest.NewServer(faker.NewPlatform())
		t.Cleanup(srv.Close) // registered first, so it runs after the sides have deregistered
		client := storer.New(srv.URL)
		registry := NewPlatformRegistry(client)
		e := faker.NewEngine(faker.EngineConfig{Slots: 1, Fenced: enforced})
		engine := httptest.NewServer(e)
		t.Cleanup(engine.Close)
		start := func() *fixture {
			f := newFixture(t)
			f.cfg.Target = Target{URL: engine.URL, Name: "engine", Kind: KindModel, Model: "m"}
			f.start(registry, NewRemoteSettler(f.pool, registry), WithEngineFencing(fencingFlag(enforced)))
			f.waitFor("registration", func() bool { return f.side.Status().Registered })
			return f
		}
		steps := func(f *fixture, want ...string) {
			t.Helper()
			for i, number := range []uint64{4, 6, 5, 6} {
				if got := f.order(number, string(rune('a'+i))); got != want[i] {
					t.Errorf("engine enforces %v, order %d: %s, want %s", enforced, i, got, want[i])
				}
			}
		}
		f := start()
		steps(f, "passed", "passed", reasonStale, "passed")
		f.stop()
		putObject(t, client, fencer.Key("engine"), fencer.Fence{Number: 6, ID: "x", Time: time.Now()})
		restarted := start()
		steps(restarted, reasonStale, "passed", reasonStale, "passed")
		if got := appliedOrders(t, e); got != "a b d b d" {
			t.Errorf("engine enforces %v: applied orders %s", enforced, got)
		}
	}
}

// Guards against an order that is sent to the engine while the newest number cannot be
// read or another order is in flight, and against malformed orders.
func TestOrderRefused(t *testing.T) {
	t.Parallel()
	arrived, gate := make(chan struct{}), make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ordersPath {
			arrived <- struct{}{}
			<-gate
		}
	}))
	t.Cleanup(engine.Close)
	p := &fakePlatform{latestOrderNumber: 3}
	f := startSide(t, Target{URL: engine.URL, Name: "engine", Kind: KindModel, Model: "m"}, p)
	f.waitFor("registration", func() bool { return f.side.Status().Registered })
	p.mu.Lock()
	p.unavailable = true
	p.mu.Unlock()
	if got := f.order(4, "a"); got != reasonPlatform {
		t.Errorf("platform down: %s", got)
	}
	p.mu.Lock()
	p.unavailable = false
	p.mu.Unlock()
	for _, got := range []string{f.order(0, "a"), f.order(4, "")} {
		if got != reasonMalformed {
			t.Errorf("malformed order: %s", got)
		}
	}
	done := make(chan string, 1)
	go func() { done <- f.order(4, "a") }()
	<-arrived
	if got := f.order(5, "b"); got != reasonBusy {
		t.Errorf("concurrent order: %s", got)
	}
	if got := f.order(4, "a"); got != reasonStale {
		t.Errorf("order 4 after 5 was seen: %s", got)
	}
	close(gate)
	if got := <-done; got != "passed" {
		t.Errorf("order in flight: %s", got)
	}
}
