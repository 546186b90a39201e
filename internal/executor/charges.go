package executor

import (
	"context"
	"fmt"
	"time"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
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
	s.desk.decide(func(a *admitter.Admitter) { a.SettleFailed(time.Now(), c.ID) })
}

// Remote delivers charges over sessions. It implements [Holders].
type Remote struct {
	pool *connector.Pool
}

// NewRemote returns a Remote that opens its streams through pool.
func NewRemote(pool *connector.Pool) *Remote { return &Remote{pool: pool} }

// Settle sends the charge to the address in its reservation.
func (r *Remote) Settle(ctx context.Context, c admitter.Charge) error {
	m := &wirepb.Settle{Reservation: wireReservation(c.Reservation), Key: c.Key, Tokens: c.Tokens}
	if _, err := connector.Call[*wirepb.Settled](ctx, r.pool, c.Reservation.Addr, c.ID, m); err != nil {
		return fmt.Errorf("settle request %s at %s: %w", c.ID, c.Reservation.Holder, err)
	}
	return nil
}
