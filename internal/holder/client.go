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
	// maxHops bounds the redirections of one call while a shard changes its holder.
	maxHops = 8
	// callTimeout leaves room for a direct try of 1 s and one through the platform of 2 s.
	callTimeout = 3500 * time.Millisecond
	// settleTimeout covers the longest flush interval of a journal.
	settleTimeout = MaxFlush + 5*time.Second
	// reserveTimeout leaves room for a takeover by a successor.
	reserveTimeout = 6 * time.Second
	hopWait        = 100 * time.Millisecond
	// maxSilent is the number of unanswered calls in a row after which a holder
	// is passed over.
	maxSilent  = 2
	silentTime = 10 * time.Second
)

// Client sends calls to the holder of a shard, in this process or another one of
// the region. It is safe for concurrent use.
type Client struct {
	h       *Holder
	members Members
	pool    *connector.Pool

	mu     sync.Mutex
	hints  map[place]peer // last known holder
	silent map[string]silence
}

// peer is an instance and its address.
type peer struct {
	name string
	addr string
}

func (p peer) member() watcher.Member { return watcher.Member{Name: p.name, Addr: p.addr} }

// place is what has one holder: the budgets of a shard in a region, or its claims.
type place struct {
	region string
	shard  int
	claims bool
}

// silence counts the unanswered calls in a row to an instance.
type silence struct {
	count int
	last  time.Time
}

// NewClient returns a client that uses the given holder for the shards of this process.
func NewClient(h *Holder, members Members, pool *connector.Pool) *Client {
	return &Client{h: h, members: members, pool: pool, hints: make(map[place]peer), silent: make(map[string]silence)}
}

// Reserve reserves tokens of a budget at its holder in this region. A
// [*connector.RefusedError] gives the reason and the time to come back.
func (c *Client) Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	at := place{region: c.h.cfg.Region, shard: placer.Shard(m.GetBudget(), c.h.cfg.Shards)}
	res, err := follow(ctx, c, at,
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
			return &wirepb.Reserved{Reservation: expandReserved(res.GetReservation(), m, at.region, p.addr)}, nil
		})
	if err != nil {
		return nil, fmt.Errorf("reserve: %w", err)
	}
	return res.GetReservation(), nil
}

// Settle charges or releases a reservation. It goes to the instance that made
// the reservation, or else to its successor, and returns when it is durable.
func (c *Client) Settle(ctx context.Context, m *wirepb.Settle) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r := m.GetReservation()
	if r.GetHolder() == c.h.cfg.Instance {
		if _, err := c.h.Settle(ctx, m); err == nil || ctx.Err() != nil {
			return err
		}
	} else if r.GetAddr() != "" && !c.isSilent(r.GetHolder()) {
		if _, err := c.settleAt(ctx, r.GetAddr(), m); err == nil {
			return nil
		}
	}
	_, err := follow(ctx, c, place{region: r.GetRegion(), shard: int(r.GetShard())},
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

// Claim asks for the right to send a non-idempotent call, at the home region of
// the account. An empty home is chosen by hash.
func (c *Client) Claim(ctx context.Context, id string, m *wirepb.Claim, home string) (*wirepb.Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	res, err := follow(ctx, c, c.home(m.GetAccount(), home),
		func(ctx context.Context) (*wirepb.Claimed, error) { return c.h.Claim(ctx, id, m) },
		func(ctx context.Context, p peer) (*wirepb.Claimed, error) {
			return callOrRelay[*wirepb.Claimed](ctx, c.h, p.member(), id, m)
		})
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	if res.GetState() == string(claimer.Running) && res.GetRequest() == id {
		// The answer to an earlier try was lost. The call was not sent yet.
		res.State = string(claimer.Granted)
	}
	return res, nil
}

// Conclude records the outcome of a claimed call.
func (c *Client) Conclude(ctx context.Context, id string, m *wirepb.Conclude, home string) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	_, err := follow(ctx, c, c.home(m.GetAccount(), home),
		func(ctx context.Context) (*wirepb.Concluded, error) { return nil, c.h.Conclude(ctx, id, m) },
		func(ctx context.Context, p peer) (*wirepb.Concluded, error) {
			return callOrRelay[*wirepb.Concluded](ctx, c.h, p.member(), id, m)
		})
	if err != nil {
		return fmt.Errorf("conclude: %w", err)
	}
	return nil
}

// home returns where the claims of an account are kept: in its home region, or in
// the next one in rank if no entry of that is registered. Any region is safe,
// because the claim object names the holder that keeps the claims.
func (c *Client) home(account, region string) place {
	at := place{region: region, shard: placer.Shard(account, c.h.cfg.Shards), claims: true}
	ranked := placer.Rank("home/"+account, c.h.cfg.Regions)
	if region != "" {
		ranked = append([]string{region}, ranked...)
	}
	for _, r := range ranked {
		if at.region = r; len(c.entries(r)) > 0 {
			return at
		}
	}
	return at
}

// follow calls the holder of a shard and follows its redirections.
func follow[A any](ctx context.Context, c *Client, at place,
	local func(context.Context) (A, error), remote func(context.Context, peer) (A, error),
) (A, error) {
	var zero A
	var err error
	for range maxHops {
		p, ok := c.locate(at)
		if !ok {
			return zero, &connector.RefusedError{Reason: "platform", Text: "no entry of the region is known", After: 2 * time.Second}
		}
		var res A
		if p.name == c.h.cfg.Instance {
			res, err = local(ctx)
		} else {
			res, err = callPeer(ctx, c, p, func(ctx context.Context) (A, error) { return remote(ctx, p) })
		}
		if err == nil || !c.learn(at, err) {
			return res, err
		}
		select {
		case <-ctx.Done():
			return zero, fmt.Errorf("find holder of shard %d: %w", at.shard, err)
		case <-time.After(hopWait):
		}
	}
	return zero, err
}

func callPeer[A any](ctx context.Context, c *Client, p peer, call func(context.Context) (A, error)) (A, error) {
	res, err := call(ctx)
	c.heard(p.name, err)
	return res, err
}

// locate returns the instance to ask for a shard: the last known holder, or the
// first entry of the region that answers.
func (c *Client) locate(at place) (peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.hints[at]; ok {
		if at.region != c.h.cfg.Region || !c.isSilentLocked(p.name) && !c.members.Suspected(p.name) {
			return p, true
		}
		delete(c.hints, at)
	}
	addrs := make(map[string]string)
	var names []string
	for _, m := range c.entries(at.region) {
		if !c.isSilentLocked(m.Name) {
			names = append(names, m.Name)
			addrs[m.Name] = m.Addr
		}
	}
	name := placer.First(placer.ShardKey(at.shard), names)
	return peer{name, addrs[name]}, name != ""
}

// entries returns the entries of a region. If no connection to another region
// can be made, its registered entries can still be reached through the platform.
func (c *Client) entries(region string) []watcher.Member {
	var list []watcher.Member
	for _, m := range c.members.Entries(region, "") {
		list = append(list, *m)
	}
	if len(list) > 0 || region == c.h.cfg.Region {
		return list
	}
	for _, m := range c.members.Registered(watcher.Entry) {
		if m.Region == region && !c.members.Gone(m.Name) {
			list = append(list, m)
		}
	}
	return list
}

// learn takes the holder's name from a refusal and reports whether another call
// can help.
func (c *Client) learn(at place, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *connector.RefusedError
	if !errors.As(err, &refused) {
		delete(c.hints, at)
		return !errors.Is(err, ErrStopped)
	}
	switch refused.Reason {
	case reasonHolder:
		c.hints[at] = peer{refused.Holder, refused.Addr}
		return true
	case "stopping":
		delete(c.hints, at)
		return true
	default:
		return false
	}
}

func (c *Client) heard(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *connector.RefusedError
	if err == nil || errors.As(err, &refused) {
		delete(c.silent, name)
		return
	}
	s := c.silent[name]
	c.silent[name] = silence{count: s.count + 1, last: time.Now()}
}

func (c *Client) isSilent(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilentLocked(name)
}

func (c *Client) isSilentLocked(name string) bool {
	s := c.silent[name]
	return s.count >= maxSilent && time.Since(s.last) < silentTime
}
