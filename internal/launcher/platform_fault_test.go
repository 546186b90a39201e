package launcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"daisylane/internal/faker"
)

// Guards against refusing chat completions during a platform outage although their
// budget has tokens, and against a booking that is refused as not run but runs or
// blocks its idempotency key.
func TestPlatformOutage(t *testing.T) {
	const outage, maxRefusalTime = 4 * time.Second, 3 * time.Second
	f := newFixture(t)
	a, b := f.startStandardFleet(1_000_000)
	warm := testChats("warm", 2, 20)
	tokens, _ := f.checkResponses(warm, f.sendAll(a, warm)())
	if res := f.post(b, bookingPath, `{}`, keyHeader, "warm"); res.status != http.StatusOK {
		t.Fatalf("booking: %+v", res)
	}
	var sum usageTotal
	f.fakePlatform.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(true)})
	end := time.Now().Add(outage)
	over := func() bool { return time.Now().After(end) }
	loadA, loadB := f.startLoad(a, "a", &sum, over), f.startLoad(b, "b", &sum, over)
	for i, r := range []*testProcess{a, b} {
		started := time.Now()
		res := f.post(r, bookingPath, `{}`, keyHeader, fmt.Sprint("outage ", i))
		kind, reason := res.errorTypeAndReason()
		if kind != "notrun" || reason != "platform" || res.header.Get("Retry-After") == "" {
			t.Errorf("booking during the outage: %+v", res)
		}
		if d := time.Since(started); d > maxRefusalTime {
			t.Errorf("booking refused after %s", d)
		}
	}
	loadA.Wait()
	loadB.Wait()
	if n := len(f.fakeBooking.Runs()); n != 1 {
		t.Errorf("%d bookings, want only the first", n)
	}
	f.fakePlatform.SetFaults(faker.PlatformFaults{Outage: faker.Ptr(false)})
	for i := range 2 {
		f.bookWithRetry(b, fmt.Sprint("outage ", i))
	}
	if n := len(f.fakeBooking.Runs()); n != 3 {
		t.Errorf("%d bookings, want 3", n)
	}
	f.waitSettled(tokens + sum.tokens)
}

// bookWithRetry retries a booking with the same idempotency key until it succeeds,
// as a caller does.
func (f *fixture) bookWithRetry(r *testProcess, key string) (res response) {
	f.t.Helper()
	f.eventuallyf(func() bool {
		res = f.post(r, bookingPath, `{}`, keyHeader, key)
		return res.status == http.StatusOK
	}, func() string { return fmt.Sprintf("booking %s: %+v", key, res) })
	return res
}

// Guards against double runs and permanent failures when the platform applies a
// write but its response is lost.
func TestLostPlatformResponses(t *testing.T) {
	f := newFixture(t)
	a, b := f.startStandardFleet(1_000_000)
	var tokens int64
	for n := range 12 {
		r := []*testProcess{a, b}[n%2]
		f.fakePlatform.SetFaults(faker.PlatformFaults{LoseResponses: faker.Ptr(1 + n%3)})
		chats := testChats(fmt.Sprint("lose ", n), 2, 10)
		wait := f.sendAll(r, chats)
		f.bookWithRetry(r, fmt.Sprint("key ", n))
		used, failed := f.checkResponses(chats, wait())
		if len(failed) > 0 {
			t.Errorf("failures by type: %v", failed)
		}
		tokens += used
		if runs := len(f.fakeBooking.Runs()); runs != n+1 {
			t.Errorf("%d bookings after %d keys", runs, n+1)
		}
	}
	f.waitSettled(tokens)
}
