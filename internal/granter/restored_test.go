package granter

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var restoreSizes = flag.Bool("restore.large", false, "also restore the store of 100 and 300 instances")

// restoredFleet is a fleet of which some instances lose their power when the store does. Each
// instance gets a request a second.
type restoredFleet struct {
	*rolling
	lost int
}

func newRestoredFleet(t *testing.T, seed uint64, size, lost int) *restoredFleet {
	r := newRolling(t, seed, size, 0, 0, false)
	r.reliable, r.requests = true, size/10
	r.prepaid = int64(size) * (rollPrepaid / 30)
	return &restoredFleet{r, lost}
}

// play plays a restore and returns the calls to the store and the messages after it, and a
// violated invariant, or "".
func (f *restoredFleet) play() (counts map[time.Duration]traffic, violation string) {
	const settle, away = 20 * time.Second, time.Second
	fails := f.now + settle
	for f.now < fails-5*time.Second {
		f.tick()
	}
	kept := f.clone()
	for f.now < fails {
		f.tick()
	}
	f.away = true
	for _, i := range f.rng.Perm(len(f.hosts))[:f.lost] {
		h := f.hosts[i]
		h.stop()
		h.left, h.dark = true, true
		f.due[h] = fails + time.Hour
	}
	for f.now < fails+away {
		f.tick()
	}
	era := f.era + 1
	f.simStore, f.away = kept.clone(), false
	f.era, f.simulation.restored, f.restored = era, true, f.now
	f.traffic = traffic{}
	counts = make(map[time.Duration]traffic)
	for _, d := range []time.Duration{1, 5, 15} {
		for f.now < f.restored+d*time.Second {
			f.tick()
			if violation := f.check(); violation != "" {
				return counts, violation
			}
		}
		f.usable[d*time.Second], counts[d*time.Second] = f.measure(), f.traffic
	}
	return counts, ""
}

// Guards against tokens that are given up after a restore of the store although the instances
// that were lost with it have left a witness of each grant, and against overspending if they
// have not. It prints the figures of docs/CAPACITY.md.
func TestRestoreOfLargeFleet(t *testing.T) {
	sizes := []int{30}
	if *restoreSizes {
		sizes = append(sizes, 100, 300)
	}
	for _, size := range sizes {
		for _, lost := range slices.Compact([]int{0, (size + 99) / 100, (3*size + 99) / 100, size / 10}) {
			t.Run(fmt.Sprintf("%d of %d lost", lost, size), func(t *testing.T) {
				f := newRestoredFleet(t, 1, size, lost)
				counts, violation := f.play()
				if violation != "" {
					t.Fatal(violation)
				}
				for _, d := range []time.Duration{1, 5, 15} {
					d *= time.Second
					t.Logf("after %v: %.3f of the unused tokens usable, %v", d, f.usable[d], counts[d])
				}
				if share := f.usable[15*time.Second]; lost <= witnesses(size) && share < 0.9 {
					t.Errorf("only %.3f of the unused tokens can be used, although each grant has a witness left", share)
				}
			})
		}
	}
}
