package starter

import (
	"testing"
	"time"

	"daisylane/platform/platformtest"
)

// Guards against calls of all parts of all instances to a store that is away, and against
// instances that notice late that it is back.
func TestCallsWhileStoreIsAway(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		faults  platformtest.Faults
		most    int // calls of the fleet in 4 s
	}{
		{"alone, unresponsive", 1, platformtest.Faults{Unresponsive: true}, 15},
		{"alone, refuses", 1, platformtest.Faults{Status: 503}, 20},
		{"four, unresponsive", 4, platformtest.Faults{Unresponsive: true}, 52},
		{"four, refuse", 4, platformtest.Faults{Status: 503}, 70},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startSharingFleet(t, tt.entries)
			time.Sleep(2 * time.Second) // until all have greeted each other
			f.store.SetFaults(tt.faults)
			time.Sleep(time.Second)
			before := f.store.Calls()
			time.Sleep(4 * time.Second)
			after := f.store.Calls()
			if n := after.Reads + after.Writes - before.Reads - before.Writes; n > tt.most {
				t.Errorf("%d calls while the store was away, want at most %d", n, tt.most)
			} else {
				t.Logf("%d calls while the store was away", n)
			}
			f.store.SetFaults(platformtest.Faults{})
			f.checkChange(t, 4)
		})
	}
}
