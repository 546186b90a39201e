package holder

import "daisylane/internal/wirepb"

// Control traffic per request is bounded, so messages between a router and a
// holder leave out what the receiver knows.

// compactReserved leaves out what the router asked for and the address it called.
func compactReserved(r *wirepb.Reservation) *wirepb.Reservation {
	return &wirepb.Reservation{Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber()}
}

// expandReserved fills in what compactReserved left out.
func expandReserved(r *wirepb.Reservation, m *wirepb.Reserve, region, addr string) *wirepb.Reservation {
	return &wirepb.Reservation{
		Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber(),
		Budget: m.GetBudget(), Tokens: m.GetTokens(), Region: region, Addr: addr,
	}
}

// compactSettle leaves out where the holder is. A successor needs the rest.
func compactSettle(m *wirepb.Settle) *wirepb.Settle {
	r := m.GetReservation()
	return &wirepb.Settle{
		Reservation: &wirepb.Reservation{
			Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber(), Budget: r.GetBudget(), Tokens: r.GetTokens(),
		},
		Key: m.GetKey(), Tokens: m.GetTokens(),
	}
}
