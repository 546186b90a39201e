package router

import (
	"context"
	"testing"

	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// outcomeRecorder is a [Budgets] that collects the outcomes of claimed calls.
type outcomeRecorder struct {
	Budgets
	states []string
	err    error
}

func (o *outcomeRecorder) Conclude(_ context.Context, _ string, m *wirepb.Conclude, _ string) error {
	o.states = append(o.states, m.GetState())
	return o.err
}

// Guards against an idempotency key that stays blocked because the response to its
// claim was lost, and against retrying an outcome that was refused permanently.
func TestReleaseUnconfirmedClaim(t *testing.T) {
	for _, c := range []struct {
		name                string
		claimErr, recordErr error
		want                int
	}{
		{"lost response", context.DeadlineExceeded, nil, 1},
		{"claim was not made", context.DeadlineExceeded, &connector.RefusedError{Reason: "absent"}, 1},
		{"refused claim", &connector.RefusedError{Reason: "platform"}, nil, 0},
	} {
		o := &outcomeRecorder{err: c.recordErr}
		r := New(o, nil, nil, nil)
		r.releaseUnconfirmedClaim(t.Context(), request{id: "r1"}, call{}, c.claimErr)
		r.Wait()
		if len(o.states) != c.want || c.want > 0 && o.states[0] != claimNotRun {
			t.Errorf("%s: outcomes %v, want %d of state notrun", c.name, o.states, c.want)
		}
	}
}
