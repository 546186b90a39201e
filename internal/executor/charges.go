package executor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/placer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	settleCallTimeout = 1500 * time.Millisecond
	maxSettleHops     = 4
	entriesAge        = 5 * time.Second
)

// settle delivers a charge that no router has reported as billed.
func (s *Side) settle(c admitter.Charge) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	err := s.holders.Settle(ctx, c)
	if err == nil {
		s.billed(c.ID)
		return
	}
	s.log.Warn().Str("request", c.ID).Str("holder", c.Reservation.Holder).Err(err).Msg("charge not delivered, trying again")
	s.admission.decide(func(a *admitter.Admitter) { a.SettleFailed(time.Now(), c.ID) })
}

// Entries lists the registered entries of a region.
type Entries interface {
	Entries(ctx context.Context, region string) ([]watcher.Member, error)
}

// Remote delivers charges over sessions, to the holder of the reservation or
// else to its successor. It implements [Holders] and is safe for concurrent use.
type Remote struct {
	pool    *connector.Pool
	entries Entries

	mu     sync.Mutex
	known  map[string][]watcher.Member // by region
	loaded map[string]time.Time
}

// NewRemote returns a Remote that opens its streams through pool.
func NewRemote(pool *connector.Pool, entries Entries) *Remote {
	return &Remote{
		pool: pool, entries: entries,
		known: make(map[string][]watcher.Member), loaded: make(map[string]time.Time),
	}
}

// Settle returns nil after a holder has made the charge durable.
func (r *Remote) Settle(ctx context.Context, c admitter.Charge) error {
	next, err := r.settleAt(ctx, c.Reservation.Addr, c)
	if err == nil {
		return nil
	}
	addrs, listErr := r.successors(ctx, c.Reservation)
	if listErr != nil {
		return fmt.Errorf("settle request %s: %w; find successor: %w", c.ID, err, listErr)
	}
	if next != "" {
		addrs = slices.Insert(addrs, 0, next)
	}
	tried := []string{c.Reservation.Addr}
	for len(addrs) > 0 && len(tried) <= maxSettleHops {
		addr := addrs[0]
		addrs = addrs[1:]
		if slices.Contains(tried, addr) {
			continue
		}
		tried = append(tried, addr)
		if next, err = r.settleAt(ctx, addr, c); err == nil {
			return nil
		}
		if next != "" {
			addrs = slices.Insert(addrs, 0, next)
		}
	}
	return fmt.Errorf("settle request %s: %w", c.ID, err)
}

// settleAt sends the charge to one address. A refusal may name another address.
func (r *Remote) settleAt(ctx context.Context, addr string, c admitter.Charge) (next string, err error) {
	if addr == "" {
		return "", errors.New("the reservation has no address of its holder")
	}
	ctx, cancel := context.WithTimeout(ctx, settleCallTimeout)
	defer cancel()
	m := &wirepb.Settle{Reservation: wireReservation(c.Reservation), Key: c.Key, Tokens: c.Tokens}
	_, err = connector.Call[*wirepb.Settled](ctx, r.pool, addr, c.ID, m)
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		next = refused.Addr
	}
	return next, err
}

// successors returns the addresses of the entries in the region of a
// reservation, the most likely holder of its shard first.
func (r *Remote) successors(ctx context.Context, res admitter.Reservation) ([]string, error) {
	members, err := r.list(ctx, res.Region)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]string, len(members))
	names := make([]string, 0, len(members))
	for _, m := range members {
		if m.Name != res.Holder {
			byName[m.Name] = m.Addr
			names = append(names, m.Name)
		}
	}
	var addrs []string
	for _, name := range placer.Rank(placer.ShardKey(int(res.Shard)), names) {
		addrs = append(addrs, byName[name])
	}
	return addrs, nil
}

func (r *Remote) list(ctx context.Context, region string) ([]watcher.Member, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.loaded[region]) < entriesAge {
		return r.known[region], nil
	}
	members, err := r.entries.Entries(ctx, region)
	if err != nil {
		return nil, err
	}
	r.known[region], r.loaded[region] = members, time.Now()
	return members, nil
}

// orphan delivers the charge of an answer at once if no router reads it any more.
// Waiting for a router that is gone would lose the charge if the side dies too.
func (s *Side) orphan(j *job) {
	if j.unread() {
		s.admission.decide(func(a *admitter.Admitter) { a.Orphan(time.Now(), j.id) })
	}
}
