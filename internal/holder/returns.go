package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"daisylane/internal/budgeter"
	"daisylane/internal/connector"
	"daisylane/internal/relayer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

const directTimeout = time.Second

// callOrRelay calls another entry directly or, if it cannot be connected or does not
// respond, through the platform. The call must be idempotent, as it may run twice.
func callOrRelay[A proto.Message](ctx context.Context, h *Holder, m watcher.Member, id string, call proto.Message) (A, error) {
	if !h.members.IsSuspected(m.Name) {
		direct, cancel := context.WithTimeout(ctx, directTimeout)
		res, err := connector.Call[A](direct, h.pool, m.Addr, id, call)
		cancel()
		var refused *connector.RefusedError
		if err == nil || errors.As(err, &refused) || h.relay == nil {
			return res, err
		}
	}
	if h.relay == nil {
		var zero A
		return zero, connector.ErrDial
	}
	return relayer.Call[A](ctx, h.relay, m.Name, id, call)
}

// requestReturns asks the holders of the other regions to return unused tokens to the
// shard object.
func (ha *holderActor) requestReturns(a budgeter.AskRegions) {
	h := ha.h
	object := ha.budgets.Object(a.Shard)
	var names []string
	for region, holder := range object.Holders {
		if region != h.cfg.Region {
			names = append(names, holder.Instance)
		}
	}
	h.runAsync(func(ctx context.Context) any {
		h.collectReturns(ctx, names, a)
		return returnsCollected{a.Shard, a.Budget}
	})
}

// collectReturns sends the request to each holder and returns when all have responded
// or failed.
func (h *Holder) collectReturns(ctx context.Context, names []string, a budgeter.AskRegions) {
	var wg sync.WaitGroup
	var sum atomic.Int64
	for _, name := range names {
		wg.Go(func() { sum.Add(h.requestReturn(ctx, name, a)) })
	}
	wg.Wait()
	h.log.Info().Str("budget", a.Budget).Int64("tokens", sum.Load()).Int64("asked", a.Tokens).Msg("requested unused tokens from other regions")
}

func (h *Holder) requestReturn(ctx context.Context, name string, a budgeter.AskRegions) int64 {
	m, ok := h.members.Get(name)
	if !ok {
		return 0
	}
	res, err := callOrRelay[*wirepb.Returned](ctx, h, m, "return", &wirepb.Return{
		Budget: a.Budget, Tokens: a.Tokens, Shard: uint32(a.Shard),
	})
	if err != nil {
		h.log.Warn().Str("holder", name).Err(err).Msg("request for unused tokens failed")
		return 0
	}
	return res.GetTokens()
}
