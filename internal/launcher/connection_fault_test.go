package launcher

import (
	"net/http"
	"testing"
	"time"
)

// Guards against lost or duplicate runs when established connections to a side
// stall without an error while new connections work. The stalled frames arrive late
// and must not start a second run.
func TestStalledConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		before bool // whether the connections stall before the requests are sent
	}{
		{"during streams", 250, false},
		{"before requests", 40, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.pushBundle(testBundle())
			f.topUp("t1", 1_000_000)
			side := f.startModelTarget("side-1")
			bookingSide := f.startBookingTarget("side-2")
			a := f.startEntry("entry-1")
			f.waitReady(a)
			warm := testChats("warm", 1, 10)
			spent, _ := f.checkResponses(warm, f.sendAll(a, warm)())
			if res := f.post(a, bookingPath, `{"slot":"8:00"}`, keyHeader, "warm"); res.status != http.StatusOK {
				t.Fatalf("booking: %+v", res)
			}

			chats := testChats(c.name, 6, c.tokens)
			if c.before {
				side.proxy.stall()
				bookingSide.proxy.stall()
			}
			wait := f.sendAll(a, chats)
			if !c.before {
				f.waitForBusiestEngine(chats)
				side.proxy.stall()
			}
			bookingResponse := f.post(a, bookingPath, `{"slot":"9:00"}`, keyHeader, "k1")
			tokens, failed := f.checkResponses(chats, wait())
			if len(failed) > 0 {
				t.Errorf("failures by type: %v", failed)
			}
			// Late frames must not start a second run.
			side.proxy.deliverStalled()
			bookingSide.proxy.deliverStalled()
			late := testChats("late", 2, 20)
			more, failed := f.checkResponses(late, f.sendAll(a, late)())
			tokens += more
			if len(failed) > 0 {
				t.Errorf("failures by type after the late frames: %v", failed)
			}
			for _, tc := range chats {
				if n := f.runCount(tc); n != 1 {
					t.Errorf("%q ran %d times", tc.prompt, n)
				}
			}
			if n := len(f.fakeBooking.Runs()); bookingResponse.status != http.StatusOK || n != 2 {
				t.Errorf("%d bookings, want 2, response %+v", n, bookingResponse)
			}
			if n := len(a.process.members.Registered("side")); n != 2 {
				t.Errorf("%d sides are registered, want 2", n)
			}
			for _, m := range a.process.members.Registered("side") {
				if a.process.members.IsSuspected(m.Name) {
					t.Errorf("%s is suspected", m.Name)
				}
			}
			started := time.Now()
			if res := f.post(a, chatPath, chatBody("afterwards", false)); res.status != http.StatusOK || time.Since(started) > time.Second {
				t.Errorf("afterwards: after %s %+v", time.Since(started), res)
			}
			f.waitSettled(spent + tokens + testChat{"afterwards", 20, false}.expectedUsage())
		})
	}
}
