package accountant_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"daisylane/internal/accountant"
	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/lender"
	"daisylane/internal/storer"
)

// countingStore is a store in memory that counts calls and bytes. Lists have pages of 50
// objects, and each page is a call.
type countingStore struct {
	mu      sync.Mutex
	version uint64
	objects map[string]map[string]storer.Item
	calls   map[string]int // by operation and kind
	bytes   int            // read
}

const storePage = 50

func newCountingStore() *countingStore {
	return &countingStore{objects: map[string]map[string]storer.Item{accountant.KindBudgets: {}, accountant.KindLedgers: {}}, calls: make(map[string]int)}
}

func (s *countingStore) Era() int64 { return 1 }

func (s *countingStore) EraChanged() <-chan struct{} { return nil }

func (s *countingStore) List(_ context.Context, kind string) ([]storer.Item, follower.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []storer.Item
	for _, item := range s.objects[kind] {
		items = append(items, item)
		s.bytes += len(item.Key) + len(item.Body)
	}
	s.calls["list "+kind] += max(1, (len(items)+storePage-1)/storePage)
	return items, follower.Position{Era: 1, Revision: int64(s.version)}, nil
}

func (s *countingStore) ListStale(ctx context.Context, kind string) ([]storer.Item, follower.Position, error) {
	return s.List(ctx, kind)
}

func (s *countingStore) Get(_ context.Context, kind, name string) (storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["get "+kind]++
	item, ok := s.objects[kind][name]
	if !ok {
		return item, storer.ErrAbsent
	}
	s.bytes += len(item.Key) + len(item.Body)
	return item, nil
}

func (s *countingStore) Put(_ context.Context, kind, name string, body []byte, version uint64) (storer.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["put "+kind]++
	if old := s.objects[kind][name]; old.Version != version {
		s.calls["conflict "+kind]++
		return old, storer.ErrConflict
	}
	s.version++
	item := storer.Item{Key: name, Version: s.version, Body: bytes.Clone(body)}
	s.objects[kind][name] = item
	return item, nil
}

// localPeers calls the other instances of a test directly.
type localPeers struct {
	mu     sync.Mutex
	byAddr map[string]*accountant.Accountant
}

func (p *localPeers) at(l granter.Lender) *accountant.Accountant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddr[l.Addr]
}

func (p *localPeers) Borrow(ctx context.Context, l granter.Lender, loan granter.Loan) (lender.Reply, error) {
	return p.at(l).Lend(ctx, loan), nil
}

func (p *localPeers) Cancel(_ context.Context, l granter.Lender, loan granter.Loan) (int64, error) {
	return p.at(l).CancelLoan(loan.ID), nil
}

func (p *localPeers) Return(_ context.Context, l granter.Lender, account string, tokens int64) error {
	p.at(l).AddReturned(account, tokens)
	return nil
}

func (p *localPeers) Remember(_ context.Context, l granter.Lender, n granter.Note) error {
	if !p.at(l).RecordNote(n) {
		return lender.ErrRefused
	}
	return nil
}

func (p *localPeers) Greet(_ context.Context, l granter.Lender, m granter.Greeting) error {
	if !p.at(l).RecordGreeting(m) {
		return lender.ErrRefused
	}
	return nil
}

func (p *localPeers) HandOver(_ context.Context, l granter.Lender, h granter.Handover) error {
	if !p.at(l).RecordHandover(h) {
		return lender.ErrRefused
	}
	return nil
}

// startAll starts instances at once, and returns when all are ready, after how long, and a
// function that ends them.
func startAll(t *testing.T, storeOf func(i int) accountant.Store, n int, opts ...accountant.Option) (ready time.Duration, end func()) {
	t.Helper()
	peers := &localPeers{byAddr: make(map[string]*accountant.Accountant)}
	var all []*accountant.Accountant
	prepaid := make(map[string]int64)
	for i := range 10 {
		prepaid[fmt.Sprint("account-", i)] = 1_000_000
	}
	for i := range n {
		addr := fmt.Sprint("addr-", i)
		a := accountant.New(storeOf(i), fmt.Sprint("entry-", i), addr, peers, zerolog.Nop(), opts...)
		a.SetPrepaid(1, prepaid)
		peers.byAddr[addr], all = a, append(all, a)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	began := time.Now()
	for _, a := range all {
		running.Go(func() { _ = a.Run(ctx) })
	}
	waitFor(t, 2*time.Minute, "all instances are ready", func() bool {
		return !slices.ContainsFunc(all, func(a *accountant.Accountant) bool { return !a.Ready() })
	})
	return time.Since(began), func() {
		cancel()
		running.Wait()
	}
}

// Guards against starts that read more than they need: when all instances start together,
// each list of the ledgers costs the square of their number.
func TestCallsOfAStart(t *testing.T) {
	sizes := []int{30, 100, 300}
	if raceDetector {
		sizes = sizes[:2] // 300 instances take two minutes
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newCountingStore()
			storeOf := func(int) accountant.Store { return s }
			_, end := startAll(t, storeOf, n)
			time.Sleep(time.Second)
			end()
			s.mu.Lock()
			s.calls, s.bytes = make(map[string]int), 0
			s.mu.Unlock()
			ready, end := startAll(t, storeOf, n)
			time.Sleep(3*time.Second - ready)
			end()
			// Each start lists the ledgers once. About half of the instances do so again in
			// their second poll, 1.5 to 4.5 s after the first one.
			if most := n * ((n + storePage - 1) / storePage) * 9 / 5; s.calls["list ledgers"] > most {
				t.Errorf("%d pages of ledgers are read, want at most %d", s.calls["list ledgers"], most)
			}
			t.Logf("ready after %v, in 3 s: %v, %.1f MB read", ready, s.calls, float64(s.bytes)/1e6)
		})
	}
}

// limitedStore reaches a store that allows all instances together a rate of calls, over a link of
// one instance. Time is simulated.
type limitedStore struct {
	*countingStore
	reads, writes *rate.Limiter // of all instances; nil if the rate is unlimited
	link          float64       // bytes in a second
	mu            sync.Mutex
	busyUntil     time.Time // when the link has sent what is on its way
	refused       *atomic.Int64
}

const (
	storeDelay   = 10 * time.Millisecond // of each way
	platformPage = 500
	platformBody = 1 << 20
	// refusedPages and pagePause are those of platform.Store.
	refusedPages = 5
	pagePause    = 100 * time.Millisecond
)

// call waits for a call that transfers some bytes.
func (s *limitedStore) call(limit *rate.Limiter, n int) error {
	time.Sleep(storeDelay)
	if limit != nil && !limit.Allow() {
		s.refused.Add(1)
		time.Sleep(storeDelay)
		return fmt.Errorf("%w: too many calls", storer.ErrUnavailable)
	}
	s.mu.Lock()
	if now := time.Now(); s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(n) / s.link * float64(time.Second)))
	arrives := time.Until(s.busyUntil)
	s.mu.Unlock()
	time.Sleep(arrives + storeDelay)
	return nil
}

func (s *limitedStore) list(ctx context.Context, kind string, limit *rate.Limiter) ([]storer.Item, follower.Position, error) {
	items, at, err := s.countingStore.List(ctx, kind)
	bytes := 0
	for _, item := range items {
		bytes += len(item.Key) + len(item.Body)
	}
	pages := 1 + max(len(items)/platformPage, bytes/platformBody)
	for page, refused := 0, 0; page < pages && err == nil; {
		switch err = s.call(limit, bytes/pages); {
		case err == nil:
			page++
		case refused < refusedPages:
			time.Sleep(pagePause + rand.N(pagePause<<refused))
			refused, err = refused+1, nil
		}
	}
	return items, at, err
}

func (s *limitedStore) List(ctx context.Context, kind string) ([]storer.Item, follower.Position, error) {
	return s.list(ctx, kind, s.reads)
}

func (s *limitedStore) ListStale(ctx context.Context, kind string) ([]storer.Item, follower.Position, error) {
	return s.list(ctx, kind, nil)
}

func (s *limitedStore) Get(ctx context.Context, kind, name string) (storer.Item, error) {
	if err := s.call(s.reads, 1024); err != nil {
		return storer.Item{}, err
	}
	return s.countingStore.Get(ctx, kind, name)
}

func (s *limitedStore) Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error) {
	if err := s.call(s.writes, len(body)); err != nil {
		return storer.Item{}, err
	}
	return s.countingStore.Put(ctx, kind, name, body, version)
}

// Guards against starts of a large fleet that take longer than 5 s over slow links and a store that
// refuses calls above its rate, as repeated calls keep the rate exceeded or wait for each other.
func TestTimeOfAStart(t *testing.T) {
	const limit = 5 * time.Second
	if raceDetector {
		t.Skip("300 instances take two minutes")
	}
	for _, tt := range []struct {
		n             int
		reads, writes float64 // in a second
		mbits         float64
	}{
		{300, 2000, 400, 10},
		{300, 2000, 400, 200},
		{300, 6000, 1200, 10},
	} {
		t.Run(fmt.Sprintf("%d instances, %v reads, %v Mbit", tt.n, tt.reads, tt.mbits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCountingStore()
				began := time.Now()
				clock := accountant.WithClock(func() time.Duration { return time.Hour + time.Since(began) })
				_, end := startAll(t, func(int) accountant.Store { return s }, tt.n, clock)
				time.Sleep(5 * time.Second)
				end()
				var refused atomic.Int64
				s.mu.Lock()
				s.calls, s.bytes = make(map[string]int), 0
				s.mu.Unlock()
				reads, writes := rate.NewLimiter(rate.Limit(tt.reads), int(tt.reads)/10), rate.NewLimiter(rate.Limit(tt.writes), int(tt.writes)/10)
				ready, end := startAll(t, func(int) accountant.Store {
					return &limitedStore{countingStore: s, reads: reads, writes: writes, link: tt.mbits * 1e6 / 8, refused: &refused}
				}, tt.n, clock)
				s.mu.Lock()
				t.Logf("ready after %v: %v, %d refused, %.1f MB read", ready, s.calls, refused.Load(), float64(s.bytes)/1e6)
				s.mu.Unlock()
				if ready > limit {
					t.Errorf("%d instances are ready after %v, want at most %v", tt.n, ready, limit)
				}
				end()
				time.Sleep(time.Minute) // timers end
			})
		})
	}
}
