package router

import (
	"testing"

	"daisylane/internal/assembler"
	"daisylane/internal/wirepb"
)

// Guards against a sent request that is reported as not run although it may have
// run. After a resumption or a second send, only a refusal that proves that it did
// not run is final; session errors, "unknown" and "duplicate" leave the outcome
// unknown.
func TestRefusalAfterRequestWasSent(t *testing.T) {
	for _, c := range []struct {
		reason          string
		resumed, resent bool
		want            Outcome
	}{
		{"overload", false, false, Refused},
		{"protocol", false, false, Refused},
		{"stopping", true, false, Refused},
		{"unknown", true, false, Unknown},
		{"protocol", true, false, Unknown},
		{"frame", true, false, Unknown},
		{"internal", true, false, Unknown},
		{"duplicate", false, true, Unknown},
	} {
		a := &attempt{sent: true, resumed: c.resumed, resent: c.resent, response: assembler.NewResponse("r1")}
		err := a.handleRefusal(&wirepb.Refused{Reason: c.reason})
		if got := a.outcome(t.Context(), err); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}
