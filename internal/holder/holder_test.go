package holder

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"daisylane/internal/allotter"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/faker"
	"daisylane/internal/journaler"
	"daisylane/internal/locator"
	"daisylane/internal/placer"
	"daisylane/internal/recoverer"
	"daisylane/internal/relayer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const testShards = 4

// testNode is an entry without a router.
type testNode struct {
	holder  *Holder
	client  *Client
	members *locator.Locator
	server  *connector.Server
	pool    *connector.Pool
	cancel  context.CancelFunc
	sealed  chan string
}

type fixture struct {
	t              testing.TB
	platform       *httptest.Server
	logs           strings.Builder
	log            zerolog.Logger
	advertisedAddr string // if set, advertised by all nodes, so that none can connect to another
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{t: t, platform: httptest.NewServer(faker.NewPlatform())}
	f.log = zerolog.New(zerolog.SyncWriter(&f.logs)).With().Timestamp().Logger()
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logs.String())
		}
	})
	t.Cleanup(f.platform.Close)
	return f
}

func (f *fixture) store(name string) *storer.Client {
	return storer.New(f.platform.URL, storer.WithName(name))
}

func (f *fixture) startNode(name, region string) *testNode {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	self := watcher.Member{Name: name, Role: watcher.Entry, Centre: region + "-1", Region: region, Addr: ln.Addr().String()}
	if f.advertisedAddr != "" {
		self.Addr = f.advertisedAddr
	}
	store := f.store(name)
	n := &testNode{sealed: make(chan string, 1)}
	log := f.log.With().Str("instance", name).Logger()
	n.members = locator.New(store, self, locator.WithListInterval(100*time.Millisecond), locator.WithLogger(log))
	identity := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: name, Role: watcher.Entry, Region: region}
	}
	n.pool = connector.NewPool(identity, connector.WithDialResult(n.members.RecordDial))
	n.server = connector.NewServer(identity)
	connector.HandleCall(n.server, func(context.Context, string, *wirepb.Status) (*wirepb.Report, error) {
		return &wirepb.Report{}, nil
	})
	relay := relayer.New(store, name)
	n.holder, err = New(Config{
		Instance: name, Region: region, Shards: testShards, JournalSlots: 16, MarkAheadFraction: 0.5,
		ReleasePolicy: recoverer.ReleaseGone, Regions: []string{"north", "south"}, FoldInterval: time.Second, FlushInterval: 50 * time.Millisecond,
		ExpiryMargin: 50 * time.Millisecond, RevocationInterval: 200 * time.Millisecond,
	}, store, n.members, n.pool, WithRelay(relay), WithLogger(log), WithSealedHandler(func(s string) { n.sealed <- s }))
	if err != nil {
		f.t.Fatal(err)
	}
	n.holder.Serve(n.server)
	n.client = NewClient(n.holder, n.members, n.pool)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.members.Register(ctx); err != nil {
		f.t.Fatal(err)
	}
	go n.members.Run(ctx)
	go relay.Run(ctx)
	go func() { _ = n.server.Serve(ctx, ln) }()
	f.t.Cleanup(n.kill)
	f.eventually("node has the membership list", func() bool { return n.members.Ready() })
	return n
}

// kill stops a node without a hand-over, like a crash.
func (n *testNode) kill() {
	n.cancel()
	_ = n.server.Close()
	n.holder.Close()
	_ = n.pool.Close()
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("timeout: %s", what)
}

func (f *fixture) shardObject(shard int) allotter.Shard {
	f.t.Helper()
	item, err := f.store("test").Get(f.t.Context(), ShardObjectKey(shard))
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

func (f *fixture) topUp(budget, id string, tokens int64) {
	f.t.Helper()
	shard := placer.Shard(budget, testShards)
	store := f.store("operator")
	for range 20 {
		item, err := store.Get(f.t.Context(), ShardObjectKey(shard))
		if err != nil && !errors.Is(err, storer.ErrAbsent) {
			f.t.Fatal(err)
		}
		object, err := decodeObject(shard, item)
		if err != nil {
			f.t.Fatal(err)
		}
		object, err = object.WithTopUp(budget, id, tokens, time.Now().Unix(), time.Now().Unix())
		if err != nil {
			f.t.Fatal(err)
		}
		body, err := checker.Encode(object)
		if err != nil {
			f.t.Fatal(err)
		}
		if _, err := store.Put(f.t.Context(), ShardObjectKey(shard), body, item.Version); err == nil {
			return
		}
	}
	f.t.Fatal("top-up always conflicts")
}

func refusedReason(err error) string {
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// Guards against tokens that are lost or spent twice: a retried Reserve must return
// the same reservation, and a retried Settle must not charge again.
func TestReserveAndSettle(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	a, b := f.startNode("a.1", "north"), f.startNode("b.1", "north")
	f.eventually("entries know each other", func() bool {
		return len(a.members.Entries("north", "")) == 2 && len(b.members.Entries("north", "")) == 2
	})

	r, err := a.client.Reserve(t.Context(), "r1", &wirepb.Reserve{Budget: "acme", Tokens: 600})
	if err != nil {
		t.Fatal(err)
	}
	again, err := b.client.Reserve(t.Context(), "r1", &wirepb.Reserve{Budget: "acme", Tokens: 600})
	if err != nil || again.GetNumber() != r.GetNumber() {
		t.Fatalf("repeated call: %v, %v, want number %d", again, err, r.GetNumber())
	}
	if _, err := b.client.Reserve(t.Context(), "r2", &wirepb.Reserve{Budget: "acme", Tokens: 600}); refusedReason(err) != "budget" {
		t.Fatalf("err = %v, want a refusal with reason budget", err)
	}
	if err := b.client.Settle(t.Context(), &wirepb.Settle{Reservation: r, Tokens: 100}); err != nil {
		t.Fatal(err)
	}
	if err := a.client.Settle(t.Context(), &wirepb.Settle{Reservation: r, Tokens: 100}); err != nil {
		t.Fatalf("duplicate: %v", err)
	}
	if _, err := a.client.Reserve(t.Context(), "r3", &wirepb.Reserve{Budget: "acme", Tokens: 900}); err != nil {
		t.Fatal(err)
	}
	f.eventually("charge is folded once", func() bool {
		return f.shardObject(placer.Shard("acme", testShards)).Budgets["acme"].Settled == 100
	})
}

// Guards against tokens that stay withheld after their holder died, and against a
// paused holder that resumes and still reserves tokens after the takeover.
func TestTakeover(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	a, b := f.startNode("a.1", "north"), f.startNode("b.1", "north")
	f.eventually("entries know each other", func() bool {
		return len(a.members.Entries("north", "")) == 2 && len(b.members.Entries("north", "")) == 2
	})
	r, err := a.client.Reserve(t.Context(), "r1", &wirepb.Reserve{Budget: "acme", Tokens: 300})
	if err != nil {
		t.Fatal(err)
	}
	first, second := a, b
	if r.GetHolder() == "b.1" {
		first, second = b, a
	}
	// The first holder is disconnected but keeps running, like a paused process.
	_ = first.server.Close()
	first.cancel()

	var got int64
	f.eventually("successor reserves all tokens", func() bool {
		r, err := second.client.Reserve(t.Context(), "r2", &wirepb.Reserve{Budget: "acme", Tokens: 1000})
		if err != nil {
			f.log.Info().Err(err).Msg("reservation at the successor refused")
		}
		got = r.GetTokens()
		return err == nil
	})
	if got != 1000 {
		t.Errorf("reserved %d, want 1000", got)
	}
	select {
	case <-first.sealed:
	case <-time.After(10 * time.Second):
		t.Error("the former holder did not notice the seal")
	}
	if _, err := first.holder.Reserve(t.Context(), "r3", &wirepb.Reserve{Budget: "acme", Tokens: 1}); err == nil {
		t.Error("the former holder still reserves")
	}
}

// Guards against a graceful shutdown that leaves tokens withheld or journal slots behind
// while a reservation is still open.
func TestHandOver(t *testing.T) {
	f := newFixture(t)
	f.topUp("acme", "t1", 1000)
	a := f.startNode("a.1", "north")
	r, err := a.client.Reserve(t.Context(), "r1", &wirepb.Reserve{Budget: "acme", Tokens: 300})
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- a.holder.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if err := a.client.Settle(t.Context(), &wirepb.Settle{Reservation: r, Tokens: 120}); err != nil {
		t.Fatalf("settle during the stop: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if left, err := f.store("test").List(t.Context(), journaler.SlotPrefix("a.1")); err != nil || len(left) > 0 {
		t.Errorf("%d journal slots are left, %v, want none", len(left), err)
	}
	b := f.shardObject(placer.Shard("acme", testShards)).Budgets["acme"]
	if b.Settled != 120 || b.Free() != 880 {
		t.Errorf("settled %d, free %d, want 120 and 880", b.Settled, b.Free())
	}
}

// Guards against a refused reservation although another region has unused tokens, and
// against two claims for one key, when entries of different regions cannot connect
// to each other and have to use the relay through the platform.
func TestLinkCut(t *testing.T) {
	f := newFixture(t)
	// Nothing listens on port 1, so that entries cannot connect to each other.
	f.advertisedAddr = "127.0.0.1:1"
	f.topUp("acme", "t1", 1000)
	a, b := f.startNode("a.1", "north"), f.startNode("b.1", "south")
	f.eventually("entries know each other", func() bool {
		return len(a.members.Registered(watcher.Entry)) == 2 && len(b.members.Registered(watcher.Entry)) == 2
	})
	r, err := a.client.Reserve(t.Context(), "r1", &wirepb.Reserve{Budget: "acme", Tokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	if err := a.client.Settle(t.Context(), &wirepb.Settle{Reservation: r, Tokens: 50}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.client.Reserve(t.Context(), "r2", &wirepb.Reserve{Budget: "acme", Tokens: 950}); err != nil {
		t.Errorf("reserve the other region's remaining tokens: %v", err)
	}
	if _, err := a.client.Reserve(t.Context(), "r3", &wirepb.Reserve{Budget: "acme", Tokens: 1}); refusedReason(err) != "budget" {
		t.Errorf("err = %v, want a refusal with reason budget", err)
	}

	got, err := a.client.Claim(t.Context(), "r4", testClaim("d"), "south")
	if err != nil || got.GetState() != "new" {
		t.Fatalf("claim through the platform: %v, %v", got, err)
	}
	got, err = b.client.Claim(t.Context(), "r5", testClaim("d"), "south")
	if err != nil || got.GetState() != "running" {
		t.Errorf("claim in the home region: %v, %v, want running", got, err)
	}
	if err := a.client.Conclude(t.Context(), "r4", testOutcome("done"), "south"); err != nil {
		t.Errorf("conclude through the platform: %v", err)
	}
}

// Guards against a final refusal from a stopped holder whose server still answers
// peers: the refusal must have the reason that makes the caller try another entry.
func TestStoppedHolderRefusesAsStopping(t *testing.T) {
	f := newFixture(t)
	a, b := f.startNode("a", "north"), f.startNode("b", "north")
	a.holder.Close()
	_, err := connector.Call[*wirepb.Reserved](t.Context(), b.pool, a.members.Self().Addr, "r1", &wirepb.Reserve{Budget: "acme", Tokens: 1})
	var refused *connector.RefusedError
	if !errors.As(err, &refused) || refused.Reason != "stopping" {
		t.Errorf("got %v, want a refusal with reason stopping", err)
	}
}

// Guards against a holder that is avoided because callers left while it worked.
func TestCallerThatLeavesIsNoFailure(t *testing.T) {
	c := NewClient(nil, nil, nil)
	for range maxUnanswered {
		ctx, cancel := context.WithCancel(t.Context())
		_, err := callPeer(ctx, c, peer{name: "entry-2"}, func(ctx context.Context) (struct{}, error) {
			cancel()
			return struct{}{}, ctx.Err()
		})
		if err == nil || c.isUnresponsive("entry-2") {
			t.Fatalf("error %v, unresponsive: %v", err, c.isUnresponsive("entry-2"))
		}
	}
}
