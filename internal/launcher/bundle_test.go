package launcher

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"daisylane/internal/bundler"
)

// maxRolloutTime is the maximum time until an accepted bundle is active in all
// processes.
const maxRolloutTime = 8 * time.Second

// processesWithBundle returns the number of processes that have logged that a
// version is active.
func (f *fixture) processesWithBundle(version string) int {
	f.logs.mu.Lock()
	defer f.logs.mu.Unlock()
	n := 0
	for line := range strings.Lines(f.logs.buf.String()) {
		if strings.Contains(line, `"msg":"bundle in force"`) && strings.Contains(line, `"version":`+version+",") {
			n++
		}
	}
	return n
}

// Guards against an entry or side that does not activate a new bundle in time,
// and against granting access after the bundle revoked it.
func TestBundleRollout(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(100_000)
	const processes = 5
	f.eventually("first version is active", func() bool { return f.processesWithBundle("1") == processes })

	next := testBundle()
	next.Accounts[0].Targets = []string{"booking"}
	next.Accounts[0].Budgets = []bundler.Payment{{Budget: testBudget, Targets: []string{"booking"}}}
	start := time.Now()
	f.pushBundle(next)
	f.eventually("second version is active", func() bool { return f.processesWithBundle("2") == processes })
	if took := time.Since(start); took > maxRolloutTime {
		t.Errorf("took %v, want at most %v", took, maxRolloutTime)
	}
	for _, entry := range []*testProcess{a, b} {
		if res := f.post(entry, "/v1/chat/completions", chatBody("hello", false)); res.status != http.StatusForbidden {
			t.Errorf("status = %d, want 403: %s", res.status, res.body)
		}
	}
}
