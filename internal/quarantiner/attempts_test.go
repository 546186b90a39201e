package quarantiner

import (
	"testing"
	"time"
)

// Guards against answers that their target has outlived, but that are not settled yet, being
// lost when the target ends.
func TestEndKeepsSurvivedAnswers(t *testing.T) {
	now, target := time.Now(), Target{ID: "i-1"}
	subject := Subject{Service: service, Parts: []uint64{1, 2, 3}}
	m := NewMonitor()
	for _, age := range []time.Duration{survivalTime, survivalTime / 2} {
		m.RecordWhole(now.Add(-age), target, now.Add(-time.Second), subject)
	}
	if under, _ := m.RecordEnd(now, target); len(under) != 1 {
		t.Errorf("ended under %+v, want the younger answer", under)
	}
	m.Settle(now)
	if _, ok := m.answered.at(partKey{service, subject.PartFingerprints()[0]}); !ok {
		t.Error("the older answer does not count")
	}
}
