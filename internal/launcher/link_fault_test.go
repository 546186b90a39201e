package launcher

import (
	"net/http"
	"testing"
	"time"
)

// Guards against lost, doubled or repeated work when established connections to
// a side go silent and new ones work.
func TestSilentLink(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		before bool // the connection goes silent before the requests are sent
	}{
		{"during streams", 250, false},
		{"before requests", 40, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.push(testBundle())
			f.topUp("t1", 1_000_000)
			side := f.engine("side-1")
			calls := f.bookings("side-2")
			a := f.entry("entry-1")
			f.ready(a)
			warm := questions("warm", 1, 10)
			spent, _ := f.checkAnswers(warm, f.ask(a, warm)())
			if res := f.post(a, bookingPath, `{"slot":"8:00"}`, keyHeader, "warm"); res.status != http.StatusOK {
				t.Fatalf("booking: %+v", res)
			}

			qs := questions(c.name, 6, c.tokens)
			if c.before {
				side.front.silence()
				calls.front.silence()
			}
			wait := f.ask(a, qs)
			if !c.before {
				f.busiest(qs)
				side.front.silence()
			}
			booked := f.post(a, bookingPath, `{"slot":"9:00"}`, keyHeader, "k1")
			tokens, failed := f.checkAnswers(qs, wait())
			if len(failed) > 0 {
				t.Errorf("failed by type: %v", failed)
			}
			// Frames that arrive late must not start anything again.
			side.front.deliver()
			calls.front.deliver()
			late := questions("late", 2, 20)
			more, failed := f.checkAnswers(late, f.ask(a, late)())
			tokens += more
			if len(failed) > 0 {
				t.Errorf("after late frames: %v", failed)
			}
			for _, q := range qs {
				if n := f.runs(q); n != 1 {
					t.Errorf("%q ran %d times", q.prompt, n)
				}
			}
			if n := len(f.booking.Runs()); booked.status != http.StatusOK || n != 2 {
				t.Errorf("%d bookings, want 2, answer %+v", n, booked)
			}
			if n := len(a.process.members.Registered("side")); n != 2 {
				t.Errorf("%d sides are registered, want 2", n)
			}
			for _, m := range a.process.members.Registered("side") {
				if a.process.members.Suspected(m.Name) {
					t.Errorf("%s counts as failed", m.Name)
				}
			}
			started := time.Now()
			if res := f.post(a, chatPath, chat("afterwards", false)); res.status != http.StatusOK || time.Since(started) > time.Second {
				t.Errorf("afterwards: after %s %+v", time.Since(started), res)
			}
			f.settled(spent + tokens + question{"afterwards", 20, false}.usage())
		})
	}
}
