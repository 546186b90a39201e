package receiver

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a second run of a request whose target is only slow, a request that waits
// for a silent target or a lost answer without end, and a stream that is cut after its
// first event.
func TestSilenceTimer(t *testing.T) {
	const limit, never = 2 * time.Second, time.Duration(0)
	for _, tt := range []struct {
		name       string
		aliveUntil time.Duration
		stopAt     time.Duration
		resetUntil time.Duration // bytes arrive each second
		want       time.Duration // when the attempt is cancelled
	}{
		{"silent", 0, never, never, limit},
		{"silent after a while", 3 * time.Second, never, never, 2 * limit},
		{"answer lost", time.Hour, never, never, 3 * limit},
		{"late answer", time.Hour, 5 * time.Second, never, never},
		{"answer in time", 0, time.Second, never, never},
		{"answer stalls", 0, never, 5 * time.Second, 7 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, cancelled := time.Now(), never
				s := newSilenceTimer(limit, func() bool { return time.Since(began) < tt.aliveUntil }, func() { cancelled = time.Since(began) })
				if tt.stopAt > 0 {
					time.AfterFunc(tt.stopAt, s.stop)
				}
				for time.Since(began) < tt.resetUntil {
					time.Sleep(time.Second)
					s.reset()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				if cancelled != tt.want {
					t.Errorf("cancelled after %v, want %v", cancelled, tt.want)
				}
			})
		})
	}
}
