package quarantiner

import (
	"testing"
	"time"
)

// Guards against answers that their target has outlived, but that are not settled yet, being
// lost when the target ends: their parts were never suspected again at the instance.
func TestEndKeepsSurvivedAnswers(t *testing.T) {
	now, target := time.Now(), Target{ID: "i-1"}
	subject := Subject{Service: service, Parts: []uint64{1, 2, 3}}
	a, c := NewAttempts(), NewCrashes()
	for _, age := range []time.Duration{survivalTime, survivalTime / 2} {
		a.AddAnswer(now.Add(-age), target, now.Add(-time.Second), subject)
		c.RecordAnswered(subject.PartFingerprints())
	}
	if under := a.End(now, target); len(under) != 1 || !under[0].Answered {
		t.Errorf("ended under %+v, want the younger answer", under)
	}
	c.RecordFatal(subject.PartFingerprints())
	c.RecordSurvived(now, a.Survived(now))
	if len(c.pending) > 0 {
		t.Errorf("answers pending after the end: %v", c.pending)
	}
}
