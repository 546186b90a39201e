package drainer

import (
	"slices"
	"testing"
	"time"
)

// Guards against steps in the wrong order, a shutdown that never ends, and a side that
// deregisters although charges are undelivered.
func TestSequence(t *testing.T) {
	limits := Limits{Finish: time.Minute, Flush: 30 * time.Second}
	done := Progress{Deregistered: true}
	busy, charged := done, done
	busy.Requests, charged.Charges = 1, 1
	tests := []struct {
		name     string
		d        *Drainer
		progress Progress
		want     []Step
		timedOut []Step
		took     time.Duration
	}{
		{"side", NewSide(limits), done, []Step{Finishing, Flushing, Leaving, Stopped}, nil, 3 * time.Second},
		{"side with charge", NewSide(limits), charged, []Step{Finishing, Flushing, Stopped}, []Step{Flushing}, 31 * time.Second},
		{"side with request", NewSide(limits), busy, []Step{Finishing, Flushing, Leaving, Stopped}, []Step{Finishing}, 62 * time.Second},
		{"side without platform", NewSide(limits), Progress{}, []Step{Finishing, Flushing, Leaving, Stopped}, []Step{Leaving}, 12 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			if got := tt.d.Observe(now, done); got != nil || tt.d.Step() != Serving {
				t.Fatalf("steps before Begin: %v", got)
			}
			steps := tt.d.Begin(now)
			if again := tt.d.Begin(now); again != nil {
				t.Errorf("second Begin returns %v", again)
			}
			for tt.d.Step() != Stopped && now.Before(time.Unix(600, 0)) {
				now = now.Add(time.Second)
				steps = append(steps, tt.d.Observe(now, tt.progress)...)
			}
			if !slices.Equal(steps, tt.want) || !slices.Equal(tt.d.TimedOut(), tt.timedOut) {
				t.Errorf("steps = %v, timed out = %v, want %v and %v", steps, tt.d.TimedOut(), tt.want, tt.timedOut)
			}
			if took := now.Sub(time.Unix(0, 0)); took != tt.took {
				t.Errorf("took %s, want %s", took, tt.took)
			}
			if tt.d.KeepsRegistration() != (tt.progress.Charges > 0) {
				t.Errorf("keeps registration = %v", tt.d.KeepsRegistration())
			}
		})
	}
}
