package holder

import "daisylane/internal/wirepb"

// Messages between a router and a holder omit fields that the receiver knows, because
// control traffic per request is limited.

// compactReserved omits the fields of the router's own request and the address that
// it called.
func compactReserved(r *wirepb.Reservation) *wirepb.Reservation {
	return &wirepb.Reservation{Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber()}
}

// expandReserved restores the fields that compactReserved omits.
func expandReserved(r *wirepb.Reservation, m *wirepb.Reserve, region, addr string) *wirepb.Reservation {
	return &wirepb.Reservation{
		Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber(),
		Budget: m.GetBudget(), Tokens: m.GetTokens(), Region: region, Addr: addr,
	}
}

// compactSettle omits the holder's region and address. The other fields are needed
// if a successor receives the message.
func compactSettle(m *wirepb.Settle) *wirepb.Settle {
	r := m.GetReservation()
	return &wirepb.Settle{
		Reservation: &wirepb.Reservation{
			Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber(), Budget: r.GetBudget(), Tokens: r.GetTokens(),
		},
		Key: m.GetKey(), Tokens: m.GetTokens(),
	}
}
