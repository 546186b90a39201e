package executor

import (
	"daisylane/internal/admitter"
	"daisylane/internal/wirepb"
)

func reservationFromWire(r *wirepb.Reservation) admitter.Reservation {
	return admitter.Reservation{
		Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber(), Budget: r.GetBudget(),
		Tokens: r.GetTokens(), Addr: r.GetAddr(), Region: r.GetRegion(),
	}
}

func reservationToWire(r admitter.Reservation) *wirepb.Reservation {
	return &wirepb.Reservation{
		Holder: r.Holder, Shard: r.Shard, Number: r.Number, Budget: r.Budget,
		Tokens: r.Tokens, Addr: r.Addr, Region: r.Region,
	}
}

func chargeToWire(c admitter.Charge) *wirepb.Charge {
	return &wirepb.Charge{Id: c.ID, Reservation: reservationToWire(c.Reservation), Key: c.Key, Tokens: c.Tokens}
}
