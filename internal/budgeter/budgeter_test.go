package budgeter

import (
	"testing"
	"time"

	"daisylane/internal/journaler"
)

func find[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if v, ok := a.(T); ok {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// Guards against a request that waits until its deadline although no pending step can
// provide its tokens. It must be refused at once, with the reason.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens int64
		event  func(d *harness, h *Holder) []Action
		want   Reason
	}{
		{"outage", 60, func(d *harness, h *Holder) []Action {
			d.perform(0, h.SetPlatformReachable(d.now, false))
			return nil
		}, ReasonPlatform},
		{"no tokens", 500, nil, ReasonBudget},
		{"hand-over", 10, func(d *harness, h *Holder) []Action {
			d.perform(0, h.HandOver(d.now, 0))
			return nil
		}, ReasonStopping},
		{"no amount", 0, nil, ReasonInvalid},
	} {
		d := newHarness(100, []string{"a"}, []string{"eu"}, 0.5)
		h := d.holders[0]
		if tc.event != nil {
			tc.event(d, h)
		}
		actions := h.Reserve(d.now, 1, Request{Budget: "b", Tokens: tc.tokens})
		if u, ok := find[Update](actions); ok { // the shard object has no free tokens either
			d.object, _ = h.Propose(d.now, u.Shard, d.object)
			actions = h.UpdateStored(d.now, u.Shard)
		}
		r, ok := find[Refused](actions)
		if !ok || r.Err.Reason != tc.want {
			t.Errorf("%s: %+v, want refusal %s", tc.name, actions, tc.want)
		}
	}
}

// Guards against a request that waits without limit for the write of a mark, and
// against a reservation beyond the durable mark.
func TestMarkWaitTimesOut(t *testing.T) {
	d := newHarness(100, []string{"a"}, []string{"eu"}, 0.5)
	h := d.holders[0]
	actions := h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 70})
	if _, ok := find[Granted](actions); ok {
		t.Fatal("reservation granted beyond the durable mark")
	}
	if _, ok := find[Append](actions); !ok {
		t.Fatalf("no append of a mark: %+v", actions)
	}
	r, ok := find[Refused](h.Tick(d.now.Add(maxWait)))
	if !ok || r.Err.Reason != ReasonPlatform || r.Err.RetryAfter == 0 {
		t.Fatalf("refusal after the maximum wait: %+v, want reason platform and a retry delay", r)
	}
}

// Guards against requests that keep waiting after the update for them failed.
func TestFailedUpdateRefusesRequests(t *testing.T) {
	d := newHarness(100, []string{"a"}, []string{"eu"}, 1)
	h := d.holders[0]
	if _, ok := find[Update](h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 98})); !ok {
		t.Fatal("no update of the shard object requested")
	}
	if r, ok := find[Refused](h.UpdateFailed(d.now, 0)); !ok || r.Err.Reason != ReasonPlatform {
		t.Fatalf("refusal after a failed update: %+v, want reason platform", r)
	}
}

// Guards against tokens that are returned while the journal still marks them as
// usable, and against their use after an update with an unknown result, which may
// have returned them.
func TestReturnLowersMarkFirst(t *testing.T) {
	d := newHarness(100, []string{"a", "b"}, []string{"eu", "us"}, 1)
	h := d.holders[0]
	have := h.Amounts(0, "b").Allotted
	actions := h.Return(d.now, 5, 0, "b", have)
	if _, ok := find[Update](actions); ok {
		t.Fatal("the grant is trimmed before the lower mark is durable")
	}
	mark, ok := find[Append](actions)
	if !ok {
		t.Fatalf("no append of a lower mark: %+v", actions)
	}
	h.AppendsDurable(d.now, d.logs[0].LastSeq+1, []journaler.Token{mark.Token})
	h.Propose(d.now, 0, d.object)
	if r, ok := find[Returned](h.UpdateFailed(d.now, 0)); !ok || r.Tokens != 0 {
		t.Fatalf("after a failed update: returned %+v, want 0 tokens", r)
	}
	if _, ok := find[Granted](h.Reserve(d.now, 6, Request{Budget: "b", Tokens: 10})); ok {
		t.Fatal("granted tokens that a late write may have returned")
	}
}

// Guards against a request that is charged twice: by a second charge of the same
// reservation or under the same idempotency key.
func TestDuplicateCharges(t *testing.T) {
	d := newHarness(1000, []string{"a"}, []string{"eu"}, 1)
	h := d.holders[0]
	var rs []Reservation
	for i := range 2 {
		g, _ := find[Granted](h.Reserve(d.now, Token(i), Request{Budget: "b", Tokens: 50}))
		rs = append(rs, g.Reservation)
	}
	settle := func(r Reservation) bool {
		actions := h.Settle(d.now, 9, Charge{Reservation: r, Key: "k", Tokens: 30})
		if a, ok := find[Append](actions); ok {
			d.logs[0].LastSeq++
			actions = h.AppendsDurable(d.now, d.logs[0].LastSeq, []journaler.Token{a.Token})
		}
		s, ok := find[Settled](actions)
		if !ok {
			t.Fatalf("charge not confirmed: %+v", actions)
		}
		return s.Duplicate
	}
	for i, tc := range []struct {
		r         Reservation
		duplicate bool
	}{{rs[0], false}, {rs[0], true}, {rs[1], true}} {
		if got := settle(tc.r); got != tc.duplicate {
			t.Errorf("charge %d: duplicate %v", i, got)
		}
	}
	if a := h.Amounts(0, "b"); a.Charged != 30 || a.Reserved != 0 {
		t.Errorf("amounts = %+v, want 30 charged and 0 reserved", a)
	}
}

// Guards against a hand-over that closes the holder's grants before its open
// reservations are settled: their charges would be dropped.
func TestHandOverSettlesReservations(t *testing.T) {
	d := newHarness(1000, []string{"a"}, []string{"eu"}, 1)
	h := d.holders[0]
	g, _ := find[Granted](h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 50}))
	d.perform(0, h.HandOver(d.now, 0))
	if b := d.object.Budgets["b"]; b.Free() != 950 || d.object.Holders["eu"].Instance != "" {
		t.Fatalf("after the hand-over: %d free, want 950; holder %+v, want none", b.Free(), d.object.Holders["eu"])
	}
	d.now = d.now.Add(time.Second)
	d.perform(0, h.Settle(d.now, 2, Charge{Reservation: g.Reservation, Tokens: 20}))
	d.perform(0, h.Fold(0))
	if b := d.object.Budgets["b"]; b.Settled != 20 || b.Free() != 980 || len(d.object.Journals) != 0 {
		t.Fatalf("object after the hand-over: %+v", d.object)
	}
}
