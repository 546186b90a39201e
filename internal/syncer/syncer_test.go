package syncer

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"daisylane/internal/adopter"
	"daisylane/internal/bundler"
	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/faker"
	"daisylane/internal/storer"
	"daisylane/internal/wirepb"
)

var (
	signer = ed25519.NewKeyFromSeed([]byte("daisylane test key, not a secret"))
	trust  = bundler.TrustedKeys{"ann": signer.Public().(ed25519.PublicKey)}
)

// publish writes a bundle version to the platform, over the current version of the head
// object, and returns the new version of the head object.
func publish(t *testing.T, c *storer.Client, version, current uint64, alter func(*bundler.Head)) uint64 {
	t.Helper()
	list, chunks, err := bundler.Split(bundler.Bundle{
		Regions:  []string{"north"},
		Accounts: []bundler.Account{{Name: "clinic", Worth: float64(version), Keys: []string{bundler.HashKey("key")}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, chunk := range chunks {
		_, _ = c.Put(t.Context(), ChunkPrefix+chunk.Hash, chunk.Body, 0)
	}
	head, err := bundler.Sign(bundler.Head{Version: version, Chunks: list, Author: "ann"}, signer)
	if err != nil {
		t.Fatal(err)
	}
	alter(&head)
	data, err := checker.Encode(head)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := c.Put(t.Context(), HeadKey, data, current)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

type process struct {
	*Syncer
	self       adopter.Peer
	rejections atomic.Int64
	stop       func()
}

func startProcess(t *testing.T, platform Platform, i int) *process {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	role := "side"
	if i < 3 {
		role = adopter.RoleEntry
	}
	p := &process{self: adopter.Peer{Name: fmt.Sprintf("p%d", i), Role: role, Centre: "c0", Addr: ln.Addr().String()}}
	identity := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: p.self.Name}
	}
	pool, srv := connector.NewPool(identity), connector.NewServer(identity)
	p.Syncer = New(Config{p.self, trust}, pool, platform, WithRejection(func(string, error) { p.rejections.Add(1) }))
	p.Register(srv)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = srv.Serve(ctx, ln); done <- struct{}{} }()
	go func() { _ = p.Run(ctx); done <- struct{}{} }()
	p.stop = func() {
		cancel()
		_ = pool.Close()
		_ = srv.Close()
		<-done
		<-done
	}
	t.Cleanup(p.stop)
	return p
}

func connectAll(all []*process) {
	for _, p := range all {
		var peers []adopter.Peer
		for _, other := range all {
			if other != p {
				peers = append(peers, other.self)
			}
		}
		p.SetPeers(peers)
	}
}

func awaitVersion(t *testing.T, all []*process, version uint64) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for _, p := range all {
		for p.Head().Version != version {
			if time.Now().After(deadline) {
				t.Fatalf("%s has version %d after 8 s, want %d", p.self.Name, p.Head().Version, version)
			}
			time.Sleep(5 * time.Millisecond)
		}
		select {
		case <-p.Ready():
		case <-time.After(time.Until(deadline)):
			t.Fatalf("%s is not ready", p.self.Name)
		}
	}
}

// Guards against processes that, over real connections, do not receive a published
// version, accept an altered or unsigned head, or do not become ready when they start
// while the platform is down.
func TestFleet(t *testing.T) {
	stub := faker.NewPlatform()
	web := httptest.NewServer(stub)
	t.Cleanup(web.Close)
	client := storer.New(web.URL)

	var all []*process
	for i := range 8 {
		all = append(all, startProcess(t, client, i))
	}
	connectAll(all)
	stored := publish(t, client, 1, 0, func(*bundler.Head) {})
	awaitVersion(t, all, 1)

	began := time.Now()
	stored = publish(t, client, 2, stored, func(*bundler.Head) {})
	awaitVersion(t, all, 2)
	t.Logf("version 2 active on all processes after %v", time.Since(began).Round(time.Millisecond))
	if a, ok := all[7].Index().AccountByKey(bundler.HashKey("key")); !ok || a.Worth != 2 {
		t.Errorf("account = %v, %v", a, ok)
	}

	stored = publish(t, client, 3, stored, func(h *bundler.Head) { h.Note = "altered" })
	publish(t, client, 4, stored, func(h *bundler.Head) { h.Signature = nil })
	time.Sleep(3 * time.Second)
	awaitVersion(t, all, 2)
	rejections := int64(0)
	for _, p := range all {
		rejections += p.rejections.Load()
	}
	if rejections < 2 {
		t.Errorf("%d rejections were reported, want 2 or more", rejections)
	}

	stub.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(true)})
	all = append(all, startProcess(t, client, 8))
	connectAll(all)
	awaitVersion(t, all, 2)
}
