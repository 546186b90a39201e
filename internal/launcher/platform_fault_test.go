package launcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"daisylane/internal/faker"
)

// Guards against false refusals during a platform outage, and against a claim
// that runs or blocks its key although it was refused as not run.
func TestPlatformOutage(t *testing.T) {
	const outage, atOnce = 4 * time.Second, 3 * time.Second
	f := newFixture(t)
	a, b := f.standard(1_000_000)
	warm := questions("warm", 2, 20)
	tokens, _ := f.checkAnswers(warm, f.ask(a, warm)())
	if res := f.post(b, bookingPath, `{}`, keyHeader, "warm"); res.status != http.StatusOK {
		t.Fatalf("booking: %+v", res)
	}
	var sum bill
	f.fake.Set(faker.PlatformFaults{Outage: faker.Ptr(true)})
	ends := time.Now().Add(outage)
	over := func() bool { return time.Now().After(ends) }
	loadA, loadB := f.load(a, "a", &sum, over), f.load(b, "b", &sum, over)
	for i, r := range []*running{a, b} {
		started := time.Now()
		res := f.post(r, bookingPath, `{}`, keyHeader, fmt.Sprint("outage ", i))
		kind, reason := res.failure()
		if kind != "notrun" || reason != "platform" || res.header.Get("Retry-After") == "" {
			t.Errorf("booking in the outage: %+v", res)
		}
		if d := time.Since(started); d > atOnce {
			t.Errorf("booking refused after %s", d)
		}
	}
	loadA.Wait()
	loadB.Wait()
	if n := len(f.booking.Runs()); n != 1 {
		t.Errorf("%d bookings, want only the first", n)
	}
	f.fake.Set(faker.PlatformFaults{Outage: faker.Ptr(false)})
	for i := range 2 {
		f.book(b, fmt.Sprint("outage ", i))
	}
	if n := len(f.booking.Runs()); n != 3 {
		t.Errorf("%d bookings, want 3", n)
	}
	f.settled(tokens + sum.tokens)
}

// book repeats a booking with the same key until it is carried out, as a caller does.
func (f *fixture) book(r *running, key string) (res response) {
	f.t.Helper()
	f.eventuallyf(func() bool {
		res = f.post(r, bookingPath, `{}`, keyHeader, key)
		return res.status == http.StatusOK
	}, func() string { return fmt.Sprintf("booking %s: %+v", key, res) })
	return res
}

// Guards against double runs and final refusals when answers of the platform are
// lost after the write took effect.
func TestLostPlatformAnswers(t *testing.T) {
	f := newFixture(t)
	a, b := f.standard(1_000_000)
	var tokens int64
	for n := range 12 {
		r := []*running{a, b}[n%2]
		f.fake.Set(faker.PlatformFaults{Lose: faker.Ptr(1 + n%3)})
		qs := questions(fmt.Sprint("lose ", n), 2, 10)
		wait := f.ask(r, qs)
		f.book(r, fmt.Sprint("key ", n))
		whole, failed := f.checkAnswers(qs, wait())
		if len(failed) > 0 {
			t.Errorf("failed by type: %v", failed)
		}
		tokens += whole
		if runs := len(f.booking.Runs()); runs != n+1 {
			t.Errorf("%d bookings after %d keys", runs, n+1)
		}
	}
	f.settled(tokens)
}
