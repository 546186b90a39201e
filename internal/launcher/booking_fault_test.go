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

// Guards against two runs of a key that is used at two entries at the same time.
func TestKeyAtTwoEntries(t *testing.T) {
	f := newFixture(t)
	a, b := f.standard(1_000_000)
	f.booking.Set(faker.BookingFaults{Slow: faker.Ptr(loader.Duration(30 * time.Millisecond))})
	const keys = 10
	var wg sync.WaitGroup
	for n := range keys {
		for _, r := range []*running{a, b} {
			wg.Go(func() {
				res := f.post(r, bookingPath, `{}`, keyHeader, fmt.Sprint(n))
				kind, reason := res.failure()
				running := res.status == http.StatusConflict && kind == "unknown" && reason == "running"
				if res.status != http.StatusOK && !running {
					t.Errorf("key %d at %s: %+v", n, r.name, res)
				}
			})
		}
	}
	wg.Wait()
	for n := range keys {
		if x, y := f.book(a, fmt.Sprint(n)), f.book(b, fmt.Sprint(n)); x.body != y.body {
			t.Errorf("key %d: %s and %s", n, x.body, y.body)
		}
	}
	if n := len(f.booking.Runs()); n != keys {
		t.Errorf("%d bookings, want %d", n, keys)
	}
}

// claims counts the running claims in all journals and folded objects.
func (f *fixture) claims() int {
	names := make(map[string]bool)
	for _, prefix := range []string{"journal/", "claim/"} {
		items, err := f.store().List(f.t.Context(), prefix)
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

// Guards against a second run, or a false "not run", of a call whose entry or
// side dies.
func TestCrashDuringCall(t *testing.T) {
	for _, c := range []struct {
		name string
		side bool // the side dies during the call, not the entry before it
		runs int
	}{
		{"entry before the call", false, 0},
		{"side during the call", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.standard(1_000_000)
			side := f.sides[len(f.sides)-1]
			f.book(a, "warm")
			f.booking.Set(faker.BookingFaults{Slow: faker.Ptr(loader.Duration(time.Second))})
			if !c.side {
				side.front.silence()
			}
			answer := make(chan response, 1)
			go func() { answer <- f.post(a, bookingPath, `{}`, keyHeader, "k1") }()
			if c.side {
				f.eventually("the call runs", func() bool { return len(f.booking.Runs()) == 2 })
				side.kill()
			} else {
				f.eventually("the claim is made", func() bool { return f.claims() == 2 })
				a.kill()
			}
			res := <-answer
			if kind, _ := res.failure(); c.side && kind != "unknown" || !c.side && res.status != -1 {
				t.Errorf("first answer: %+v", res)
			}
			f.eventually("the call is reported as unknown", func() bool {
				res = f.post(b, bookingPath, `{}`, keyHeader, "k1")
				kind, reason := res.failure()
				if kind == "notrun" && reason == "claim" || res.status == http.StatusOK {
					t.Errorf("repeated: %+v", res)
				}
				return kind == "unknown" && reason == "claim"
			})
			if n := len(f.booking.Runs()); n != 1+c.runs {
				t.Errorf("%d bookings, want %d", n, 1+c.runs)
			}
		})
	}
}
