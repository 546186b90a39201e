package retrier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a target that a single response keeps out of use for a day, against
// requests to one before the pause that it asked for has ended, and against a later, shorter
// pause that ends an earlier one.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(rand.New(rand.NewPCG(1, 1)))
	r.Pause(now, Process{Target: "a"}, 24*time.Hour)
	r.Pause(now, Process{Target: "b"}, 2*time.Second)
	r.Pause(now, Process{Target: "b"}, time.Second)
	r.Pause(now, Process{Target: "c"}, 10*time.Minute)
	r.Pause(now, Process{Target: "d"}, -time.Hour)
	tests := []struct {
		after time.Duration
		want  []string
	}{
		{0, []string{"a", "b", "c"}},
		{1500 * time.Millisecond, []string{"a", "b", "c"}},
		{2 * time.Second, []string{"a", "c"}},
		{10*time.Minute - 1, []string{"a", "c"}},
		{10 * time.Minute, []string{"a"}},
		{maxPause, nil},
	}
	for _, tt := range tests {
		got := r.AppendPaused(nil, now.Add(tt.after))
		slices.Sort(got)
		if !slices.Equal(got, tt.want) {
			t.Errorf("after %v: %v are paused, want %v", tt.after, got, tt.want)
		}
	}
}
