package accountant

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against refusals by an idle instance that takes the pause between its calls to the
// store for an outage.
func TestIdleInstanceReachesStore(t *testing.T) {
	const call = time.Second // to a slow store
	a := New(nil, "entry-1", "127.0.0.1:1", nil, zerolog.Nop())
	for range 1000 {
		if pause := a.pollPause(); !a.storeReachable(pause + call) {
			t.Fatalf("the store counts as lost after a pause of %v", pause)
		}
	}
	a.storeLost = true
	if a.storeReachable(0) {
		t.Error("the store counts as reachable after a call without a response")
	}
}

// Guards against requests that wait for the long pause after a write of a budget although
// tokens are left, and against writes without a pause.
func TestPauseOfBudget(t *testing.T) {
	tests := []struct {
		name    string
		last    budgetWrite
		waiting bool
		want    time.Duration // 0: not while the write runs
	}{
		{"nobody waits", budgetWrite{}, false, minBudgetInterval},
		{"requests wait", budgetWrite{}, true, urgentBudgetInterval},
		{"requests wait after a failure", budgetWrite{failed: true}, true, retryDelay},
		{"requests wait during a write", budgetWrite{running: true}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := New(nil, "entry-1", "127.0.0.1:1", nil, zerolog.Nop())
			a.budgetWrites["rider-app"] = tt.last
			if tt.waiting {
				a.state.AddWaiting("rider-app", 500, true)
			}
			if a.mayWriteBudget(tt.want-1, "rider-app") || a.mayWriteBudget(tt.want, "rider-app") != (tt.want > 0) {
				t.Errorf("not written again exactly %v after the last write", tt.want)
			}
		})
	}
}
