package launcher

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/allotter"
	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/executor"
	"daisylane/internal/faker"
	"daisylane/internal/holder"
	"daisylane/internal/loader"
	"daisylane/internal/logger"
	"daisylane/internal/placer"
	"daisylane/internal/storer"
	"daisylane/internal/syncer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
	"daisylane/platform/platformtest"
)

const (
	testKey    = "secret-key"
	testBudget = "workshop"
	testShards = 8
)

// fixture is a fleet on loopback with fake external systems, all in the test's process.
type fixture struct {
	t              testing.TB
	fakePlatform   *faker.Platform
	platformServer *httptest.Server
	engines        []*faker.Engine
	sides          []*testProcess // in the order of the engines, then the booking service's
	fakeBooking    *faker.Booking
	privateKey     ed25519.PrivateKey
	publicKey      ed25519.PublicKey
	logs           *logBuffer
	journalFlush   loader.Duration // flush interval of the entries' journals
	settleDelay    loader.Duration // delay of the sides' charges
}

// logBuffer collects log events, which are printed if the test fails.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// testProcess is an entry or side that runs in the test's process.
type testProcess struct {
	name    string
	url     string // entries only
	cancel  context.CancelFunc
	done    chan error
	process *process       // entries only
	proxy   *stallingProxy // between entries and a side
	crash   func()         // closes all connections immediately
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	fake := faker.NewPlatform()
	f := &fixture{settleDelay: loader.Duration(2 * time.Second), t: t, fakePlatform: fake, platformServer: httptest.NewServer(fake), privateKey: private, publicKey: public, logs: &logBuffer{}, journalFlush: loader.Duration(100 * time.Millisecond)}
	t.Cleanup(f.platformServer.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logs.buf.String())
		}
	})
	return f
}

func (f *fixture) storeClient() *storer.Client {
	return storer.New(f.platformServer.URL, storer.WithName("operator"))
}

// startStandardFleet starts two model targets, a booking target and two entries,
// and tops up the budget.
func (f *fixture) startStandardFleet(tokens int64) (a, b *testProcess) {
	f.pushBundle(testBundle())
	f.topUp("t1", tokens)
	for n := range 2 {
		f.startModelTarget(fmt.Sprintf("side-%d", n+1))
	}
	f.startBookingTarget("side-3")
	a, b = f.startEntry("entry-1"), f.startEntry("entry-2")
	f.waitReady(a)
	f.waitReady(b)
	return a, b
}

func testBundle() bundler.Bundle {
	return bundler.Bundle{
		Regions: []string{"north"},
		Budgets: []bundler.Budget{{Name: testBudget}},
		Targets: []bundler.Target{
			{Name: "planner", Kind: bundler.KindModel, Model: "plan-1", Context: 8192, Output: bundler.Output{Default: 32, Limit: 256}},
			{Name: "booking", Kind: bundler.KindService, RetryMethods: []string{"GET"}},
		},
		Accounts: []bundler.Account{{
			Name: "workshop", Keys: []string{bundler.HashKey(testKey)}, Worth: 1, Targets: []string{"planner", "booking"},
			Budgets: []bundler.Payment{{Budget: testBudget, Targets: []string{bundler.Any}}},
		}},
	}
}

// pushBundle signs a bundle and makes it the head version.
func (f *fixture) pushBundle(b bundler.Bundle) {
	f.t.Helper()
	ctx, store := f.t.Context(), f.storeClient()
	list, chunks, err := bundler.Split(b)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, c := range chunks {
		if _, err := store.Put(ctx, syncer.ChunkPrefix+c.Hash, c.Body, 0); err != nil && !errors.Is(err, storer.ErrConflict) {
			f.t.Fatal(err)
		}
	}
	item, err := store.Get(ctx, syncer.HeadKey)
	if err != nil && !errors.Is(err, storer.ErrAbsent) {
		f.t.Fatal(err)
	}
	var previous bundler.Head
	if item.Version > 0 {
		if err := json.Unmarshal(item.Body, &previous); err != nil {
			f.t.Fatal(err)
		}
	}
	head, err := bundler.Sign(bundler.Head{Version: previous.Version + 1, Chunks: list, Author: "operator", Time: time.Now().UTC()}, f.privateKey)
	if err != nil {
		f.t.Fatal(err)
	}
	body, err := json.Marshal(head)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := store.Put(ctx, syncer.HeadKey, body, item.Version); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) shardObject() allotter.Shard {
	f.t.Helper()
	shard := placer.Shard(testBudget, testShards)
	item, err := f.storeClient().Get(f.t.Context(), holder.ShardObjectKey(shard))
	if errors.Is(err, storer.ErrAbsent) {
		return allotter.New(shard)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	object, err := checker.Decode[allotter.Shard](item.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return object
}

func (f *fixture) topUp(id string, tokens int64) {
	f.t.Helper()
	now := time.Now().Unix()
	object, err := f.shardObject().WithTopUp(testBudget, id, tokens, now, now)
	if err != nil {
		f.t.Fatal(err)
	}
	body, err := checker.Encode(object)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.storeClient().Put(f.t.Context(), holder.ShardObjectKey(object.Number), body, 0); err != nil {
		f.t.Fatal(err)
	}
}

func freeAddr(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", platformtest.FreePort(t))
}

// listInstance adds an instance to the platform's instance list.
func (f *fixture) listInstance(name, role, addr string) {
	f.t.Helper()
	f.fakePlatform.ApplyChange(faker.InstanceChange{Action: faker.ActionAdd, Instance: &storer.Instance{
		Name: name, Role: role, Centre: "north-1", Region: "north", Addr: addr, State: storer.StateLive,
	}})
}

func (f *fixture) startModelTarget(name string) *testProcess {
	engine := faker.NewEngine(faker.EngineConfig{
		Models: []string{"plan-1"}, Slots: 8, CacheBlocks: 256, TokenInterval: loader.Duration(2 * time.Millisecond), LoadLag: loader.Duration(time.Second),
	})
	f.engines = append(f.engines, engine)
	return f.startSide(name, engine, executor.Target{Name: "planner", Kind: executor.KindModel, Model: "plan-1"})
}

func (f *fixture) startBookingTarget(name string) *testProcess {
	f.fakeBooking = faker.NewBooking()
	return f.startSide(name, f.fakeBooking, executor.Target{Name: "booking", Kind: executor.KindService})
}

func (f *fixture) startSide(name string, target http.Handler, cfg executor.Target) *testProcess {
	f.t.Helper()
	backend := httptest.NewServer(target)
	f.t.Cleanup(backend.Close)
	return f.startSideAt(name, backend.URL, cfg, func() { _ = backend.Config.Close() })
}

// startSideAt starts a side of a target at a URL. crash ends the target.
func (f *fixture) startSideAt(name, url string, cfg executor.Target, crash func()) *testProcess {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	settings := executor.Defaults()
	settings.Name, settings.Centre, settings.Region = name, "north-1", "north"
	settings.Platform, settings.Listen = f.platformServer.URL, ln.Addr().String()
	settings.Target, settings.Target.URL = cfg, url
	settings.TLS.DisableTLS = true
	settings.Trust = map[string]string{"operator": base64.StdEncoding.EncodeToString(f.publicKey)}
	settings.Limits.FlushTimeout, settings.Limits.SettleDelay = loader.Duration(time.Second), f.settleDelay
	proxy := newStallingProxy(f.t, settings.Listen)
	settings.Advertise = proxy.ln.Addr().String()

	instance := watcher.NewInstanceName(name)
	pool := connector.NewPool(func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: instance, Role: watcher.Side}
	})
	f.t.Cleanup(func() { _ = pool.Close() })
	platform := storer.New(f.platformServer.URL, storer.WithName(instance))
	registry := executor.NewPlatformRegistry(platform)
	deps := &sideDependencies{Registry: registry, ChargeSettler: executor.NewRemoteSettler(pool, registry)}
	log, err := logger.New(f.logs, "info")
	if err != nil {
		f.t.Fatal(err)
	}
	bundle, err := executor.NewBundleSyncer(settings, instance, pool, platform, log)
	if err != nil {
		f.t.Fatal(err)
	}
	side, err := executor.New(settings, deps, deps, executor.WithInstance(instance), executor.WithLogger(log),
		executor.WithAccessPolicy(bundle), executor.WithHandlers(bundle.RegisterHandlers))
	if err != nil {
		f.t.Fatal(err)
	}
	f.listInstance(name, "side", settings.Advertise)
	r := f.startProcess(name, func(ctx context.Context) error {
		inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		go bundle.Run(inner)
		return side.Serve(ctx, ln)
	})
	r.proxy = proxy
	r.crash = func() {
		deps.killed.Store(true)
		proxy.close()
		crash()
	}
	f.sides = append(f.sides, r)
	return r
}

// sideDependencies are the external calls of a side, which are cut off once it is killed.
type sideDependencies struct {
	executor.Registry
	executor.ChargeSettler
	killed atomic.Bool
}

var errKilled = errors.New("side was killed")

// Settle implements [executor.ChargeSettler].
func (d *sideDependencies) Settle(ctx context.Context, c admitter.Charge) error {
	if d.killed.Load() {
		return errKilled
	}
	return d.ChargeSettler.Settle(ctx, c)
}

// Deregister implements [executor.Registry].
func (d *sideDependencies) Deregister(ctx context.Context, m watcher.Member) error {
	if d.killed.Load() {
		return nil
	}
	return d.Registry.Deregister(ctx, m)
}

func (f *fixture) startEntry(name string) *testProcess {
	f.t.Helper()
	cfg := Defaults()
	cfg.Name, cfg.Centre, cfg.Region, cfg.Regions = name, "north-1", "north", []string{"north"}
	cfg.Platform = f.platformServer.URL
	cfg.Listen = Listen{HTTP: freeAddr(f.t), Peer: freeAddr(f.t)}
	cfg.Budgets.Shards, cfg.Budgets.Fold = testShards, loader.Duration(time.Second)
	cfg.Budgets.Flush = f.journalFlush
	cfg.Stop.Notice = loader.Duration(50 * time.Millisecond)
	cfg.Trust = map[string]string{"operator": base64.StdEncoding.EncodeToString(f.publicKey)}
	cfg.TLS.DisableTLS = true
	if err := cfg.Check(); err != nil {
		f.t.Fatal(err)
	}
	f.listInstance(name, "entry", cfg.Listen.Peer)
	p, err := build(f.t.Context(), cfg, f.logs)
	if err != nil {
		f.t.Fatal(err)
	}
	r := f.startProcess(name, p.run)
	r.url, r.process, r.crash = "http://"+cfg.Listen.HTTP, p, p.abort
	return r
}

func (f *fixture) startProcess(name string, main func(ctx context.Context) error) *testProcess {
	ctx, cancel := context.WithCancel(context.Background())
	r := &testProcess{name: name, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- main(ctx) }()
	f.t.Cleanup(func() {
		if err := r.stop(); err != nil && !errors.Is(err, errAborted) {
			f.t.Errorf("process failed: %v", err)
		}
	})
	return r
}

// stop shuts down a process gracefully.
func (r *testProcess) stop() error {
	r.cancel()
	err := <-r.done
	r.done <- err
	return err
}

// kill ends a process like a crash.
func (r *testProcess) kill() {
	r.crash()
	if r.process != nil {
		_ = r.stop()
	}
}

func (f *fixture) waitReady(r *testProcess) {
	f.t.Helper()
	f.eventually("entry is ready", func() bool {
		res, err := http.Get(r.url + "/readyz")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	f.eventuallyf(ok, func() string { return what })
}

func (f *fixture) eventuallyf(ok func() bool, what func() string) {
	f.t.Helper()
	for range 750 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("timed out waiting for: %s", what())
}
