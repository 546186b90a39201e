package router

import (
	"context"
	"testing"

	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// outcomes is a [Budgets] that keeps the outcomes of calls.
type outcomes struct {
	Budgets
	states []string
	err    error
}

func (o *outcomes) Conclude(_ context.Context, _ string, m *wirepb.Conclude, _ string) error {
	o.states = append(o.states, m.GetState())
	return o.err
}

// Guards against a key that stays blocked because the answer to its claim was
// lost, and against an outcome that is sent again although it is refused for good.
func TestAbandonedClaim(t *testing.T) {
	for _, c := range []struct {
		name          string
		claim, record error
		want          int
	}{
		{"lost answer", context.DeadlineExceeded, nil, 1},
		{"claim was not made", context.DeadlineExceeded, &connector.RefusedError{Reason: "absent"}, 1},
		{"refused claim", &connector.RefusedError{Reason: "platform"}, nil, 0},
	} {
		o := &outcomes{err: c.record}
		r := New(o, nil, nil, nil)
		r.abandonClaim(t.Context(), request{id: "r1"}, call{}, c.claim)
		r.Wait()
		if len(o.states) != c.want || c.want > 0 && o.states[0] != claimNotRun {
			t.Errorf("%s: outcomes %v, want %d of state notrun", c.name, o.states, c.want)
		}
	}
}
