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

// Guards against a caller that waits for its deadline although nothing can help.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tokens int64
		event  func(d *harness, h *Holder) []Action
		want   Reason
	}{
		{"outage", 60, func(d *harness, h *Holder) []Action {
			d.run(0, h.Platform(d.now, false))
			return nil
		}, ReasonPlatform},
		{"no tokens", 500, nil, ReasonBudget},
		{"hand-over", 10, func(d *harness, h *Holder) []Action {
			d.run(0, h.HandOver(d.now, 0))
			return nil
		}, ReasonStopping},
		{"no amount", 0, nil, ReasonBody},
	} {
		d := newHarness(100, []string{"a"}, []string{"eu"}, 0.5)
		h := d.holders[0]
		if tc.event != nil {
			tc.event(d, h)
		}
		actions := h.Reserve(d.now, 1, Request{Budget: "b", Tokens: tc.tokens})
		if u, ok := find[Update](actions); ok { // the step that can help finds nothing
			d.object, _ = h.Propose(d.now, u.Shard, d.object)
			actions = h.Stored(d.now, u.Shard)
		}
		r, ok := find[Refused](actions)
		if !ok || r.Err.Reason != tc.want {
			t.Errorf("%s: %+v, want refusal %s", tc.name, actions, tc.want)
		}
	}
}

// Guards against a request that waits for a mark whose write never ends, and
// against a mark that is used before it is durable.
func TestWaitsForMarkOnlyForAWhile(t *testing.T) {
	d := newHarness(100, []string{"a"}, []string{"eu"}, 0.5)
	h := d.holders[0]
	actions := h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 70})
	if _, ok := find[Granted](actions); ok {
		t.Fatal("granted beyond the durable mark")
	}
	if _, ok := find[Append](actions); !ok {
		t.Fatalf("no mark is written: %+v", actions)
	}
	r, ok := find[Refused](h.Tick(d.now.Add(defaultWait)))
	if !ok || r.Err.Reason != ReasonPlatform || r.Err.After == 0 {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against a failed update that leaves its requests waiting.
func TestFailedUpdateRefuses(t *testing.T) {
	d := newHarness(100, []string{"a"}, []string{"eu"}, 1)
	h := d.holders[0]
	if _, ok := find[Update](h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 98})); !ok {
		t.Fatal("no update")
	}
	if r, ok := find[Refused](h.Failed(d.now, 0)); !ok || r.Err.Reason != ReasonPlatform {
		t.Fatalf("refusal %+v", r)
	}
}

// Guards against tokens that are given back while the journal still marks them,
// and against use of them after an update with an unknown result.
func TestReturnLowersMarkFirst(t *testing.T) {
	d := newHarness(100, []string{"a", "b"}, []string{"eu", "us"}, 1)
	h := d.holders[0]
	have := h.Amounts(0, "b").Allotted
	actions := h.Return(d.now, 5, 0, "b", have)
	if _, ok := find[Update](actions); ok {
		t.Fatal("trims the grant before the lower mark is durable")
	}
	mark, ok := find[Append](actions)
	if !ok {
		t.Fatalf("no mark: %+v", actions)
	}
	h.Durable(d.now, d.logs[0].Last+1, []journaler.Token{mark.Token})
	h.Propose(d.now, 0, d.object)
	if r, ok := find[Returned](h.Failed(d.now, 0)); !ok || r.Tokens != 0 {
		t.Fatalf("returned %+v after a failure", r)
	}
	if _, ok := find[Granted](h.Reserve(d.now, 6, Request{Budget: "b", Tokens: 10})); ok {
		t.Fatal("uses tokens that a late write may have given back")
	}
}

// Guards against a charge that counts twice by number or by key.
func TestDuplicates(t *testing.T) {
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
			d.logs[0].Last++
			actions = h.Durable(d.now, d.logs[0].Last, []journaler.Token{a.Token})
		}
		s, ok := find[Settled](actions)
		if !ok {
			t.Fatalf("no confirmation: %+v", actions)
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
		t.Errorf("amounts %+v", a)
	}
}

// Guards against a hand-over that leaves before its reservations are settled.
func TestHandOver(t *testing.T) {
	d := newHarness(1000, []string{"a"}, []string{"eu"}, 1)
	h := d.holders[0]
	g, _ := find[Granted](h.Reserve(d.now, 1, Request{Budget: "b", Tokens: 50}))
	d.run(0, h.HandOver(d.now, 0))
	if b := d.object.Budgets["b"]; b.Free() != 950 || d.object.Holders["eu"].Instance != "" {
		t.Fatalf("free %d, holder %+v", b.Free(), d.object.Holders["eu"])
	}
	d.now = d.now.Add(time.Second)
	d.run(0, h.Settle(d.now, 2, Charge{Reservation: g.Reservation, Tokens: 20}))
	d.run(0, h.Fold(0))
	if b := d.object.Budgets["b"]; b.Settled != 20 || b.Free() != 980 || len(d.object.Journals) != 0 {
		t.Fatalf("object after leaving: %+v", d.object)
	}
}
