package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/budgeter"
	"daisylane/internal/claimer"
	"daisylane/internal/connector"
	"daisylane/internal/placer"
	"daisylane/internal/relayer"
	"daisylane/internal/wirepb"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxDeadline limits the deadline of a reservation. Sides have the same limit for
	// requests.
	maxDeadline = time.Hour
)

// ErrStopped means that the holder no longer accepts requests.
var ErrStopped = errors.New("holder is stopped")

// Holder owns the budget shards of this process. It is safe for concurrent use.
type Holder struct {
	cfg      Config
	platform Platform
	members  Members
	pool     *connector.Pool
	log      zerolog.Logger
	scope    tally.Scope
	onSealed func(sealer string)
	relay    *relayer.Relayer // fallback through the platform, nil if there is none

	system *actor.ActorSystem
	pid    *actor.PID
	ctx    context.Context // cancelled by Close, parent of all calls started by the actor
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	closeOnce sync.Once
}

// New starts a holder without shards. It acquires a shard on the first call for it.
func New(cfg Config, platform Platform, members Members, pool *connector.Pool, opts ...Option) (*Holder, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("start holder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		cfg: cfg, platform: platform, members: members, pool: pool,
		log: zerolog.Nop(), scope: tally.NoopScope, onSealed: func(string) {},
		ctx: ctx, cancel: cancel,
	}
	for _, opt := range opts {
		opt(h)
	}
	h.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	h.pid = h.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newHolderActor(h) }))
	h.tasks.Go(h.tick)
	return h, nil
}

// Serve registers the handlers for calls of other processes.
func (h *Holder) Serve(srv *connector.Server) {
	connector.HandleCall(srv, refuseWhenStopped(h.handleReserve))
	connector.HandleCall(srv, refuseWhenStopped(h.handleSettle))
	connector.HandleCall(srv, refuseWhenStopped(h.handleReturn))
	connector.HandleCall(srv, refuseWhenStopped(h.Claim))
	connector.HandleCall(srv, refuseWhenStopped(h.handleConclude))
	if h.relay != nil {
		relayer.HandleCall(h.relay, refuseWhenStopped(h.handleReturn))
		relayer.HandleCall(h.relay, refuseWhenStopped(h.Claim))
		relayer.HandleCall(h.relay, refuseWhenStopped(h.handleConclude))
	}
}

// refuseWhenStopped wraps a handler so that a stopped holder answers with a refusal
// that makes the client look for another holder.
func refuseWhenStopped[M, A any](call func(context.Context, string, M) (A, error)) func(context.Context, string, M) (A, error) {
	return func(ctx context.Context, id string, m M) (A, error) {
		a, err := call(ctx, id, m)
		if errors.Is(err, ErrStopped) {
			err = errStopping
		}
		return a, err
	}
}

func (h *Holder) handleReserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reserved, error) {
	r, err := h.Reserve(ctx, id, m)
	if err != nil {
		return nil, err
	}
	return &wirepb.Reserved{Reservation: compactReserved(r)}, nil
}

func (h *Holder) handleSettle(ctx context.Context, _ string, m *wirepb.Settle) (*wirepb.Settled, error) {
	return h.Settle(ctx, m)
}

func (h *Holder) handleReturn(ctx context.Context, _ string, m *wirepb.Return) (*wirepb.Returned, error) {
	return h.Return(ctx, m)
}

func (h *Holder) handleConclude(ctx context.Context, id string, m *wirepb.Conclude) (*wirepb.Concluded, error) {
	return &wirepb.Concluded{}, h.Conclude(ctx, id, m)
}

// Reserve reserves tokens if this process holds the shard of the budget or can
// acquire it. A retried call with the same request id returns the same reservation
// while that is open. A refusal with reason "holder" names the instance to call.
func (h *Holder) Reserve(ctx context.Context, id string, m *wirepb.Reserve) (*wirepb.Reservation, error) {
	req := budgeter.Request{
		Shard: placer.Shard(m.GetBudget(), h.cfg.Shards), Budget: m.GetBudget(), Tokens: m.GetTokens(),
	}
	remaining := time.Duration(min(m.GetDeadline(), uint64(maxDeadline.Milliseconds()))) * time.Millisecond
	reply, err := ask[budgeter.Reservation](ctx, h, func(r replyChan[budgeter.Reservation]) any { return reserveCall{id, req, remaining, r} })
	if err != nil {
		return nil, err
	}
	return h.encodeReservation(reply), nil
}

// Settle charges a reservation or, with zero tokens, releases it. It returns when
// the charge is durable.
func (h *Holder) Settle(ctx context.Context, m *wirepb.Settle) (*wirepb.Settled, error) {
	charge := budgeter.Charge{Reservation: decodeReservation(m.GetReservation()), Key: m.GetKey(), Tokens: m.GetTokens()}
	duplicate, err := ask[bool](ctx, h, func(r replyChan[bool]) any { return settleCall{charge, r} })
	if err != nil {
		return nil, err
	}
	return &wirepb.Settled{Duplicate: duplicate}, nil
}

// Return moves unused tokens of a budget back to the shard object, so that another
// region can take them.
func (h *Holder) Return(ctx context.Context, m *wirepb.Return) (*wirepb.Returned, error) {
	tokens, err := ask[int64](ctx, h, func(r replyChan[int64]) any { return returnCall{m, r} })
	if err != nil {
		return nil, err
	}
	return &wirepb.Returned{Tokens: tokens}, nil
}

// Status returns the state of the held shards.
func (h *Holder) Status(ctx context.Context) (Status, error) {
	return ask[Status](ctx, h, func(r replyChan[Status]) any { return statusCall{r} })
}

// Stop hands over all shards, waits until the open reservations are settled, and
// seals and removes the journal. If the context ends first, a successor recovers
// the remaining shards.
func (h *Holder) Stop(ctx context.Context) error {
	_, err := ask[struct{}](ctx, h, func(r replyChan[struct{}]) any { return handOverCall{r} })
	h.Close()
	if err != nil {
		return fmt.Errorf("hand over shards: %w", err)
	}
	return h.removeJournal(ctx)
}

// Close stops immediately without a hand-over, like a crash. It can be called more
// than once.
func (h *Holder) Close() {
	h.closeOnce.Do(func() {
		h.cancel()
		_ = h.system.Root.StopFuture(h.pid).Wait()
		h.tasks.Wait()
		h.system.Shutdown()
	})
}

func (h *Holder) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-t.C:
			h.send(tick{})
		}
	}
}

func (h *Holder) send(m any) { h.system.Root.Send(h.pid, m) }

// runAsync runs a call outside the actor and sends its result to the actor.
func (h *Holder) runAsync(call func(ctx context.Context) any) {
	h.tasks.Go(func() {
		if m := call(h.ctx); m != nil && h.ctx.Err() == nil {
			h.send(m)
		}
	})
}

func (h *Holder) encodeReservation(r budgeter.Reservation) *wirepb.Reservation {
	return &wirepb.Reservation{
		Holder: r.Holder, Shard: uint32(r.Shard), Number: r.Number, Budget: r.Budget, Tokens: r.Tokens,
		Region: r.Region, Addr: h.members.Self().Addr,
	}
}

func decodeReservation(m *wirepb.Reservation) budgeter.Reservation {
	return budgeter.Reservation{
		Holder: m.GetHolder(), Region: m.GetRegion(), Shard: int(m.GetShard()), Number: m.GetNumber(),
		Budget: m.GetBudget(), Tokens: m.GetTokens(),
	}
}

// Claim requests the right to send a non-idempotent call.
func (h *Holder) Claim(ctx context.Context, id string, m *wirepb.Claim) (*wirepb.Claimed, error) {
	req := claimer.Request{
		ID: id, Shard: placer.Shard(m.GetAccount(), h.cfg.Shards), Account: m.GetAccount(),
		Service: m.GetService(), Key: m.GetKey(), Digest: m.GetDigest(),
	}
	return ask[*wirepb.Claimed](ctx, h, func(r replyChan[*wirepb.Claimed]) any { return claimCall{req, r} })
}

// Conclude records the outcome of a claimed call. It returns when the outcome is
// durable.
func (h *Holder) Conclude(ctx context.Context, id string, m *wirepb.Conclude) error {
	outcome := claimer.Outcome{
		ID: id, Account: m.GetAccount(), Service: m.GetService(), Key: m.GetKey(), State: claimer.State(m.GetState()),
		Status: int(m.GetStatus()), Header: m.GetHeader(), Payload: m.GetPayload(),
	}
	shard := placer.Shard(m.GetAccount(), h.cfg.Shards)
	_, err := ask[struct{}](ctx, h, func(r replyChan[struct{}]) any { return concludeCall{shard, outcome, r} })
	return err
}
