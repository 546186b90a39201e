package operator

import (
	"encoding/json"
	"testing"

	"daisylane/internal/watcher"
)

// Guards against a summary that states an outcome, a target or a charge that the
// records do not contain.
func TestSummary(t *testing.T) {
	const reserve = `{"step": "reserve", "decision": "granted", "details": {"budget": "care", "tokens": 50}},`
	tests := []struct{ name, records, want string }{
		{
			"refused", `{"step": "reserve", "decision": "refused", "reason": "budget", "details": {"budget": "care", "tokens": 50}},
			{"step": "answer", "decision": "notrun", "reason": "budget"}`,
			"Request r ended as notrun because of budget (the budget has too few tokens); " +
				"the reservation of 50 tokens of budget care was refused: budget (the budget has too few tokens); nothing was charged.",
		},
		{
			"unknown", reserve + `{"step": "choose", "decision": "side-1", "reason": "prefix", "details": {"attempt": 1, "scope": "other"}},
			{"step": "answer", "decision": "unknown", "reason": "silence"}, {"step": "settle", "decision": "side", "reason": "unknown"}`,
			"Request r ended as unknown because of silence (the peer fell silent); it went to side-1 in another region, " +
				"because it likely has the prompt cached; 50 tokens of budget care were reserved; the charge is left to the side.",
		},
		{
			"running", reserve + `{"step": "attempt", "decision": "unreachable", "reason": "dial"}`,
			"Request r has no answer yet; 50 tokens of budget care were reserved; the charge is not settled yet.",
		},
		{
			"replayed", `{"step": "claim", "decision": "done", "details": {"owner": "r0"}}`,
			"Request r was answered with the outcome of the claim; its claim was done (owner r0); no tokens were reserved; nothing was charged.",
		},
	}
	for _, tt := range tests {
		tl, err := newTimeline("r", []processReply{{Role: watcher.Entry, Report: json.RawMessage(`{"records": [` + tt.records + `]}`)}})
		if err != nil {
			t.Fatal(err)
		}
		if got := tl.summary(); got != tt.want {
			t.Errorf("%s:\n got %s\nwant %s", tt.name, got, tt.want)
		}
	}
}
