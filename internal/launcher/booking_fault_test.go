package launcher

import (
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"daisylane/internal/faker"
	"daisylane/internal/loader"
)

// Guards against running a booking twice when the same idempotency key is sent to
// two entries concurrently.
func TestSameKeyAtTwoEntries(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(1_000_000)
	f.fakeBooking.SetFaults(faker.BookingFaults{RunTime: faker.Ptr(loader.Duration(30 * time.Millisecond))})
	const keys = 10
	var wg sync.WaitGroup
	for n := range keys {
		for _, r := range []*testProcess{a, b} {
			wg.Go(func() {
				res := f.post(r, bookingPath, `{}`, keyHeader, fmt.Sprint(n))
				kind, reason := res.errorTypeAndReason()
				running := res.status == http.StatusConflict && kind == "unknown" && reason == "running"
				if res.status != http.StatusOK && !running {
					t.Errorf("key %d at %s: %+v", n, r.name, res)
				}
			})
		}
	}
	wg.Wait()
	for n := range keys {
		if x, y := f.bookWithRetry(a, fmt.Sprint(n)), f.bookWithRetry(b, fmt.Sprint(n)); x.body != y.body {
			t.Errorf("key %d: %s and %s", n, x.body, y.body)
		}
	}
	if n := len(f.fakeBooking.Runs()); n != keys {
		t.Errorf("%d bookings, want %d", n, keys)
	}
}

// claimCount counts the distinct claims in all journals and claim objects.
func (f *fixture) claimCount() int {
	names := make(map[string]bool)
	for _, prefix := range []string{"journal/", "claim/"} {
		items, err := f.storeClient().List(f.t.Context(), prefix)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, item := range items {
			for _, m := range claimPattern.FindAllString(string(item.Body), -1) {
				names[m] = true
			}
		}
	}
	return len(names)
}

var claimPattern = regexp.MustCompile(`"request":"[^"]*"`)

// Guards against running a call twice, or reporting it falsely as not run, when its
// entry dies before the call is sent or its side dies during the call. The claim
// must stay and report the outcome as unknown.
func TestCrashDuringCall(t *testing.T) {
	for _, c := range []struct {
		name string
		side bool // whether the side dies during the call, instead of the entry before it
		runs int
	}{
		{"entry before the call", false, 0},
		{"side during the call", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.startStandardFleet(1_000_000)
			side := f.sides[len(f.sides)-1]
			f.bookWithRetry(a, "warm")
			f.fakeBooking.SetFaults(faker.BookingFaults{RunTime: faker.Ptr(loader.Duration(time.Second))})
			if !c.side {
				side.proxy.stall()
			}
			responses := make(chan response, 1)
			go func() { responses <- f.post(a, bookingPath, `{}`, keyHeader, "k1") }()
			if c.side {
				f.eventually("the call runs", func() bool { return len(f.fakeBooking.Runs()) == 2 })
				side.kill()
			} else {
				f.eventually("the claim is made", func() bool { return f.claimCount() == 2 })
				a.kill()
			}
			res := <-responses
			if kind, _ := res.errorTypeAndReason(); c.side && kind != "unknown" || !c.side && res.status != -1 {
				t.Errorf("first response: %+v", res)
			}
			f.eventually("the call is reported as unknown", func() bool {
				res = f.post(b, bookingPath, `{}`, keyHeader, "k1")
				kind, reason := res.errorTypeAndReason()
				if kind == "notrun" && reason == "claim" || res.status == http.StatusOK {
					t.Errorf("retried call was run or reported as not run: %+v", res)
				}
				return kind == "unknown" && reason == "claim"
			})
			if n := len(f.fakeBooking.Runs()); n != 1+c.runs {
				t.Errorf("%d bookings, want %d", n, 1+c.runs)
			}
		})
	}
}
