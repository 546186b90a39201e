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
	settleAttemptTimeout = 1500 * time.Millisecond
	maxSuccessorAttempts = 4
	entriesMaxAge        = 5 * time.Second
)

// settle delivers a charge that no router has reported as billed to the holder of
// its reservation.
func (s *Side) settle(c admitter.Charge) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	err := s.settler.Settle(ctx, c)
	if err == nil {
		s.markBilled(c.ID)
		return
	}
	s.log.Warn().Str("request", c.ID).Str("holder", c.Reservation.Holder).Err(err).Msg("charge delivery failed; retrying")
	s.admission.do(func(a *admitter.Admitter) { a.SettleFailed(time.Now(), c.ID) })
}

// EntryLister lists registered entries.
type EntryLister interface {
	// Entries returns the registered entries of a region.
	Entries(ctx context.Context, region string) ([]watcher.Member, error)
}

// RemoteSettler delivers charges over connector sessions to the holder of the
// reservation or, if that fails, to its successor. It implements [ChargeSettler] and is
// safe for concurrent use.
type RemoteSettler struct {
	pool    *connector.Pool
	entries EntryLister

	mu       sync.Mutex
	cached   map[string][]watcher.Member // entries by region
	cachedAt map[string]time.Time
}

// NewRemoteSettler returns a RemoteSettler that opens its streams through pool and looks up
// successors in entries.
func NewRemoteSettler(pool *connector.Pool, entries EntryLister) *RemoteSettler {
	return &RemoteSettler{
		pool: pool, entries: entries,
		cached: make(map[string][]watcher.Member), cachedAt: make(map[string]time.Time),
	}
}

// Settle implements [ChargeSettler]. It tries the holder of the reservation, then the
// addresses that refusals name, then the likely successors.
func (r *RemoteSettler) Settle(ctx context.Context, c admitter.Charge) error {
	next, err := r.sendSettle(ctx, c.Reservation.Addr, c)
	if err == nil {
		return nil
	}
	addrs, listErr := r.successorAddrs(ctx, c.Reservation)
	if listErr != nil {
		return fmt.Errorf("settle request %s: %w; list successors: %w", c.ID, err, listErr)
	}
	if next != "" {
		addrs = slices.Insert(addrs, 0, next)
	}
	tried := []string{c.Reservation.Addr}
	for len(addrs) > 0 && len(tried) <= maxSuccessorAttempts {
		addr := addrs[0]
		addrs = addrs[1:]
		if slices.Contains(tried, addr) {
			continue
		}
		tried = append(tried, addr)
		if next, err = r.sendSettle(ctx, addr, c); err == nil {
			return nil
		}
		if next != "" {
			addrs = slices.Insert(addrs, 0, next)
		}
	}
	return fmt.Errorf("settle request %s: %w", c.ID, err)
}

// sendSettle sends the charge to one address. next is the address that a refusal
// names to be tried instead, if any.
func (r *RemoteSettler) sendSettle(ctx context.Context, addr string, c admitter.Charge) (next string, err error) {
	if addr == "" {
		return "", errors.New("reservation has no holder address")
	}
	ctx, cancel := context.WithTimeout(ctx, settleAttemptTimeout)
	defer cancel()
	m := &wirepb.Settle{Reservation: reservationToWire(c.Reservation), Key: c.Key, Tokens: c.Tokens}
	_, err = connector.Call[*wirepb.Settled](ctx, r.pool, addr, c.ID, m)
	var refused *connector.RefusedError
	if errors.As(err, &refused) {
		next = refused.Addr
	}
	return next, err
}

// successorAddrs returns the addresses of the other entries in the region of a
// reservation, ranked by how likely they hold its shard now.
func (r *RemoteSettler) successorAddrs(ctx context.Context, res admitter.Reservation) ([]string, error) {
	members, err := r.cachedEntries(ctx, res.Region)
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

// cachedEntries returns the entries of a region, at most entriesMaxAge old.
func (r *RemoteSettler) cachedEntries(ctx context.Context, region string) ([]watcher.Member, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.cachedAt[region]) < entriesMaxAge {
		return r.cached[region], nil
	}
	members, err := r.entries.Entries(ctx, region)
	if err != nil {
		return nil, err
	}
	r.cached[region], r.cachedAt[region] = members, time.Now()
	return members, nil
}

// settleUnread delivers the charge of a complete response at once if no router reads
// the response any more. If the side waited for a disconnected router to bill the
// charge, the charge would be lost if the side crashed meanwhile.
func (s *Side) settleUnread(j *job) {
	if j.endedUnread() {
		s.admission.do(func(a *admitter.Admitter) { a.SettleAtOnce(time.Now(), j.id) })
	}
}
