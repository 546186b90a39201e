package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/claimer"
	"daisylane/internal/connector"
	"daisylane/internal/placer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const (
	// maxRedirects limits the attempts of one call while a shard changes its holder.
	maxRedirects = 8
	// callTimeout covers a direct attempt of 1 s and one through the platform of 2 s.
	callTimeout = 3500 * time.Millisecond
	// settleTimeout covers the longest flush interval, since a charge is confirmed
	// only when it is in the journal.
	settleTimeout = MaxFlushInterval + 5*time.Second
	// reserveTimeout covers a takeover of the shard by a successor.
	reserveTimeout = 6 * time.Second
	redirectDelay  = 100 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered calls after which an
	// instance is skipped for unresponsivePeriod.
	maxUnanswered      = 2
	unresponsivePeriod = 10 * time.Second
)

// Client sends calls to the holder of a shard, in this process or another one of
// the region. It is safe for concurrent use.
type Client struct {
	h       *Holder
	members Members
	pool    *connector.Pool

	mu         sync.Mutex
	hints      map[holderKey]peer         // last known holder
	unanswered map[string]unansweredCalls // by instance
}

// peer is an instance and its address.
type peer struct {
	name string
	addr string
}

func (p peer) member() watcher.Member { return watcher.Member{Name: p.name, Addr: p.addr} }

// holderKey identifies what has a single holder: the budgets of a shard in a region,
// or the claims of a shard.
type holderKey struct {
	region string
	shard  int
	claims bool
}

// unansweredCalls counts the consecutive unanswered calls to an instance.
type unansweredCalls struct {
	count int
	last  time.Time
}

// NewClient returns a client that uses the given holder for the shards of this process.
func NewClient(h *Holder, members Members, pool *connector.Pool) *Client {
	return &Client{h: h, members: members, pool: pool, hints: make(map[holderKey]peer), unanswered: make(map[string]unansweredCalls)}
}

// Reserve reserves tokens of a budget at its holder in this region. A
// [*connector.RefusedError] has the reason and the time after which to retry.
func (c *Client) Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	key := holderKey{region: c.h.cfg.Region, shard: placer.Shard(m.GetBudget(), c.h.cfg.Shards)}
	res, err := callHolder(ctx, c, key,
		func(ctx context.Context) (*wirepb.Reserved, error) {
			r, err := c.h.Reserve(ctx, id, m)
			return &wirepb.Reserved{Reservation: r}, err
		},
		func(ctx context.Context, p peer) (*wirepb.Reserved, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			res, err := connector.Call[*wirepb.Reserved](ctx, c.pool, p.addr, id, m)
			if err != nil {
				return nil, err
			}
			return &wirepb.Reserved{Reservation: expandReserved(res.GetReservation(), m, key.region, p.addr)}, nil
		})
	if err != nil {
		return nil, fmt.Errorf("reserve: %w", err)
	}
	return res.GetReservation(), nil
}

// Settle charges or releases a reservation. It calls the instance that made the
// reservation, or its successor if that fails, and returns when the charge is durable.
func (c *Client) Settle(ctx context.Context, m *wirepb.Settle) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r := m.GetReservation()
	if r.GetHolder() == c.h.cfg.Instance {
		if _, err := c.h.Settle(ctx, m); err == nil || ctx.Err() != nil {
			return err
		}
	} else if r.GetAddr() != "" && !c.isUnresponsive(r.GetHolder()) {
		if _, err := c.settleAt(ctx, r.GetAddr(), m); err == nil {
			return nil
		}
	}
	_, err := callHolder(ctx, c, holderKey{region: r.GetRegion(), shard: int(r.GetShard())},
		func(ctx context.Context) (*wirepb.Settled, error) { return c.h.Settle(ctx, m) },
		func(ctx context.Context, p peer) (*wirepb.Settled, error) { return c.settleAt(ctx, p.addr, m) })
	if err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	return nil
}

func (c *Client) settleAt(ctx context.Context, addr string, m *wirepb.Settle) (*wirepb.Settled, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return connector.Call[*wirepb.Settled](ctx, c.pool, addr, "", compactSettle(m))
}

// Claim requests the right to send a non-idempotent call from the home region of
// the account. If home is empty, the region is chosen by rendezvous hashing.
func (c *Client) Claim(ctx context.Context, id string, m *wirepb.Claim, home string) (*wirepb.Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	res, err := callHolder(ctx, c, c.claimKey(m.GetAccount(), home),
		func(ctx context.Context) (*wirepb.Claimed, error) { return c.h.Claim(ctx, id, m) },
		func(ctx context.Context, p peer) (*wirepb.Claimed, error) {
			return callOrRelay[*wirepb.Claimed](ctx, c.h, p.member(), id, m)
		})
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	if res.GetState() == string(claimer.StateRunning) && res.GetRequest() == id {
		// This request owns the claim: the response to an earlier attempt was lost. The
		// call has not been sent yet.
		res.State = string(claimer.StateNew)
	}
	return res, nil
}

// Conclude records the outcome of a claimed call.
func (c *Client) Conclude(ctx context.Context, id string, m *wirepb.Conclude, home string) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := callHolder(ctx, c, c.claimKey(m.GetAccount(), home),
		func(ctx context.Context) (*wirepb.Concluded, error) { return nil, c.h.Conclude(ctx, id, m) },
		func(ctx context.Context, p peer) (*wirepb.Concluded, error) {
			return callOrRelay[*wirepb.Concluded](ctx, c.h, p.member(), id, m)
		})
	if err != nil {
		return fmt.Errorf("conclude: %w", err)
	}
	return nil
}

// claimKey returns the key of an account's claims, in the home region or, if no entry
// is registered there, in the next region by rank. Any region is safe, because the
// claim object names the single holder of the claims.
func (c *Client) claimKey(account, region string) holderKey {
	key := holderKey{region: region, shard: placer.Shard(account, c.h.cfg.Shards), claims: true}
	ranked := placer.Rank("home/"+account, c.h.cfg.Regions)
	if region != "" {
		ranked = append([]string{region}, ranked...)
	}
	for _, r := range ranked {
		if key.region = r; len(c.entries(r)) > 0 {
			return key
		}
	}
	return key
}

// callHolder calls the holder of a shard and follows redirects.
func callHolder[A any](ctx context.Context, c *Client, key holderKey,
	local func(context.Context) (A, error), remote func(context.Context, peer) (A, error),
) (A, error) {
	var zero A
	var err error
	for range maxRedirects {
		p, ok := c.locate(key)
		if !ok {
			return zero, &connector.RefusedError{Reason: "platform", Text: "no entry of the region is known", RetryAfter: 2 * time.Second}
		}
		var res A
		if p.name == c.h.cfg.Instance {
			res, err = local(ctx)
		} else {
			res, err = callPeer(ctx, c, p, func(ctx context.Context) (A, error) { return remote(ctx, p) })
		}
		if err == nil || !c.updateHint(key, err) {
			return res, err
		}
		select {
		case <-ctx.Done():
			return zero, fmt.Errorf("find holder of shard %d: %w", key.shard, err)
		case <-time.After(redirectDelay):
		}
	}
	return zero, err
}

func callPeer[A any](ctx context.Context, c *Client, p peer, call func(context.Context) (A, error)) (A, error) {
	res, err := call(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) { // a caller that leaves says nothing about the peer
		c.recordCallResult(p.name, err)
	}
	return res, err
}

// locate returns the instance to call for a shard: the last known holder, or the
// first entry of the region by rank. It skips unresponsive instances.
func (c *Client) locate(key holderKey) (peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.hints[key]; ok {
		if key.region != c.h.cfg.Region || !c.isUnresponsiveLocked(p.name) && !c.members.IsSuspected(p.name) {
			return p, true
		}
		delete(c.hints, key)
	}
	addrs := make(map[string]string)
	var names []string
	for _, m := range c.entries(key.region) {
		if !c.isUnresponsiveLocked(m.Name) {
			names = append(names, m.Name)
			addrs[m.Name] = m.Addr
		}
	}
	name := placer.Owner(placer.ShardKey(key.shard), names)
	return peer{name, addrs[name]}, name != ""
}

// entries returns the entries of a region. If no entry of another region is
// connectable, it returns the registered ones, which can be reached through the
// platform.
func (c *Client) entries(region string) []watcher.Member {
	var list []watcher.Member
	for _, m := range c.members.Entries(region, "") {
		list = append(list, *m)
	}
	if len(list) > 0 || region == c.h.cfg.Region {
		return list
	}
	for _, m := range c.members.Registered(watcher.Entry) {
		if m.Region == region && !c.members.IsGone(m.Name) {
			list = append(list, m)
		}
	}
	return list
}

// updateHint updates the last known holder after a failed call and reports whether
// the call should be retried.
func (c *Client) updateHint(key holderKey, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *connector.RefusedError
	if !errors.As(err, &refused) {
		delete(c.hints, key)
		return !errors.Is(err, ErrStopped)
	}
	switch refused.Reason {
	case reasonHolder:
		c.hints[key] = peer{refused.Holder, refused.Addr}
		return true
	case "stopping":
		delete(c.hints, key)
		return true
	default:
		return false
	}
}

func (c *Client) recordCallResult(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *connector.RefusedError
	if err == nil || errors.As(err, &refused) {
		delete(c.unanswered, name)
		return
	}
	s := c.unanswered[name]
	c.unanswered[name] = unansweredCalls{count: s.count + 1, last: time.Now()}
}

func (c *Client) isUnresponsive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnresponsiveLocked(name)
}

func (c *Client) isUnresponsiveLocked(name string) bool {
	s := c.unanswered[name]
	return s.count >= maxUnanswered && time.Since(s.last) < unresponsivePeriod
}
