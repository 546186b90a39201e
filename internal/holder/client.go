package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/connector"
	"daisylane/internal/placer"
	"daisylane/internal/wirepb"
)

const (
	// maxHops bounds the redirections of one call while a shard changes its holder.
	maxHops     = 8
	callTimeout = 2500 * time.Millisecond
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
	hints  map[int]peer // last known holder by shard
	silent map[string]silence
}

// peer is an instance and its address.
type peer struct {
	name string
	addr string
}

// silence counts the unanswered calls in a row to an instance.
type silence struct {
	count int
	last  time.Time
}

// NewClient returns a client that uses the given holder for the shards of this process.
func NewClient(h *Holder, members Members, pool *connector.Pool) *Client {
	return &Client{h: h, members: members, pool: pool, hints: make(map[int]peer), silent: make(map[string]silence)}
}

// Reserve reserves tokens of a budget at its holder in this region. A
// [*connector.RefusedError] gives the reason and the time to come back.
func (c *Client) Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	shard := placer.Shard(m.GetBudget(), c.h.cfg.Shards)
	res, err := follow(ctx, c, shard,
		func(ctx context.Context) (*wirepb.Reserved, error) {
			r, err := c.h.Reserve(ctx, id, m)
			return &wirepb.Reserved{Reservation: r}, err
		},
		func(ctx context.Context, addr string) (*wirepb.Reserved, error) {
			return connector.Call[*wirepb.Reserved](ctx, c.pool, addr, id, m)
		})
	if err != nil {
		return nil, fmt.Errorf("reserve: %w", err)
	}
	return res.GetReservation(), nil
}

// Settle charges or releases a reservation. It goes to the instance that made
// the reservation, or else to its successor, and returns when it is durable.
func (c *Client) Settle(ctx context.Context, id string, m *wirepb.Settle) error {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r := m.GetReservation()
	if r.GetHolder() == c.h.cfg.Instance {
		if _, err := c.h.Settle(ctx, m); err == nil || ctx.Err() != nil {
			return err
		}
	} else if r.GetAddr() != "" && !c.isSilent(r.GetHolder()) {
		if _, err := c.settleAt(ctx, id, r.GetAddr(), m); err == nil {
			return nil
		}
	}
	_, err := follow(ctx, c, int(r.GetShard()),
		func(ctx context.Context) (*wirepb.Settled, error) { return c.h.Settle(ctx, m) },
		func(ctx context.Context, addr string) (*wirepb.Settled, error) { return c.settleAt(ctx, id, addr, m) })
	if err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	return nil
}

func (c *Client) settleAt(ctx context.Context, id, addr string, m *wirepb.Settle) (*wirepb.Settled, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return connector.Call[*wirepb.Settled](ctx, c.pool, addr, id, m)
}

// follow calls the holder of a shard and follows its redirections.
func follow[A any](ctx context.Context, c *Client, shard int,
	local func(context.Context) (A, error), remote func(ctx context.Context, addr string) (A, error),
) (A, error) {
	var zero A
	var err error
	for range maxHops {
		p, ok := c.locate(shard)
		if !ok {
			return zero, &connector.RefusedError{Reason: "platform", Text: "no entry of the region is known", After: 2 * time.Second}
		}
		var res A
		if p.name == c.h.cfg.Instance {
			res, err = local(ctx)
		} else {
			res, err = callPeer(ctx, c, p, func(ctx context.Context) (A, error) { return remote(ctx, p.addr) })
		}
		if err == nil || !c.learn(shard, err) {
			return res, err
		}
		select {
		case <-ctx.Done():
			return zero, fmt.Errorf("find holder of shard %d: %w", shard, err)
		case <-time.After(hopWait):
		}
	}
	return zero, err
}

func callPeer[A any](ctx context.Context, c *Client, p peer, call func(context.Context) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := call(ctx)
	c.heard(p.name, err)
	return res, err
}

// locate returns the instance to ask for a shard: the last known holder, or the
// first entry of the region that answers.
func (c *Client) locate(shard int) (peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.hints[shard]; ok {
		if !c.isSilentLocked(p.name) && !c.members.Suspected(p.name) {
			return p, true
		}
		delete(c.hints, shard)
	}
	addrs := make(map[string]string)
	var names []string
	for _, m := range c.members.Entries(c.h.cfg.Region, "") {
		if !c.isSilentLocked(m.Name) {
			names = append(names, m.Name)
			addrs[m.Name] = m.Addr
		}
	}
	name := placer.First(placer.ShardKey(shard), names)
	return peer{name, addrs[name]}, name != ""
}

// learn takes the holder's name from a refusal and reports whether another call
// can help.
func (c *Client) learn(shard int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *connector.RefusedError
	if !errors.As(err, &refused) {
		delete(c.hints, shard)
		return !errors.Is(err, ErrStopped)
	}
	switch refused.Reason {
	case reasonHolder:
		c.hints[shard] = peer{refused.Holder, refused.Addr}
		return true
	case "stopping":
		delete(c.hints, shard)
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
