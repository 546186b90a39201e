package router

import (
	"testing"

	"daisylane/internal/assembler"
	"daisylane/internal/wirepb"
)

// Guards against a false "not run": only the side itself can say that a request
// which was sent before did not run.
func TestRefusalOfSentRequest(t *testing.T) {
	for _, c := range []struct {
		reason         string
		resumed, again bool
		want           Outcome
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
		a := &attempt{sent: true, resumed: c.resumed, again: c.again, answer: assembler.NewAnswer("r1")}
		err := a.takeRefusal(&wirepb.Refused{Reason: c.reason})
		if got := a.outcome(t.Context(), err); got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
}
