package receiver_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"daisylane/internal/follower"
	"daisylane/platform/platformtest"
)

// target returns the registration of a runner of a fixture for a service.
func (f *fixture) target(runner int, service string) follower.Target {
	r := f.runners[runner]
	return follower.Target{ID: r.ID + service, Service: service, Addr: r.Addr(), Centre: "a", Slots: 8}
}

// onlyTarget makes a runner the only ready target of a service.
func (f *fixture) onlyTarget(runner int, service string) {
	f.dispatcher.WithRoster(func(r *follower.Roster) { r.SetList(time.Now(), []follower.Target{f.target(runner, service)}) })
}

// Guards against new requests to a target that says in its responses that it is
// leaving, whatever kind of response says so, also if the list of targets is older or
// loses the target and lists it again. A new incarnation or another id at the address
// ends it.
func TestLeavingTarget(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		service  string
		response platformtest.Response
	}{
		{"success", "/look/7", "booking", platformtest.Response{Body: "a", Leaving: true}},
		{"failure", "/book/7", "booking", platformtest.Response{Status: 500, Leaving: true}},
		{"refusal", "/book/7", "booking", platformtest.Response{Status: 503, NotRun: true, Leaving: true}},
		{"unsealed", "/book/7", "booking", platformtest.Response{Unsealed: true, Leaving: true}},
		{"stream", "/plan/7", "engine", platformtest.Response{Events: 2, Leaving: true}},
		{"broken stream", "/plan/7", "engine", platformtest.Response{Events: 2, CutAfter: 1, Leaving: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t, []platformtest.Response{tt.response, {Body: "again"}})
			f.onlyTarget(0, tt.service)
			left := f.target(0, tt.service)
			_, _, _ = f.call(t, tt.path, "x", nil) // the outcome depends on the kind of response
			if f.runs() != 1 {
				t.Fatalf("%d requests reached the target", f.runs())
			}
			again := func(step string, change func(*follower.Roster), want int) {
				t.Helper()
				f.dispatcher.WithRoster(change)
				_, _, _ = f.call(t, tt.path, "x", nil)
				if f.runs() != want {
					t.Errorf("%s: %d requests reached the target, want %d", step, f.runs(), want)
				}
			}
			again("list unchanged", func(*follower.Roster) {}, 1)
			again("older list", func(r *follower.Roster) { r.Put(left) }, 1)
			again("removed and listed again", func(r *follower.Roster) { r.Remove(time.Now(), left.ID); r.Put(left) }, 1)
			other := left
			other.ID = "i-other"
			again("another id at the address", func(r *follower.Roster) { r.Put(other) }, 2)
			f.dispatcher.WithRoster(func(r *follower.Roster) { r.Remove(time.Now(), other.ID) })
			left.Incarnation = 7
			again("new incarnation", func(r *follower.Roster) { r.Put(left) }, 3)
		})
	}
}

// Guards against a target that goes on getting requests because another one, which no
// longer has the address, was asked for when it said that it is leaving.
func TestLeavingTargetAtReusedAddress(t *testing.T) {
	f := start(t, []platformtest.Response{{Moved: true, Leaving: true}, {Body: "again"}})
	stale, present := f.target(0, "booking"), f.target(0, "booking")
	present.ID = "i-present"
	f.dispatcher.WithRoster(func(r *follower.Roster) { r.SetList(time.Now(), []follower.Target{stale}) })
	_, _, _ = f.call(t, "/look/7", "x", nil)
	if f.runs() != 1 {
		t.Fatalf("%d requests reached the address", f.runs())
	}
	// The present one was not listed yet, so nothing is known about it.
	f.dispatcher.WithRoster(func(r *follower.Roster) { r.Put(present) })
	if res, _, err := f.call(t, "/look/7", "x", nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("request to a newly listed target: %v, %v", res, err)
	}

	f = start(t, []platformtest.Response{{Moved: true, Leaving: true}, {Body: "again"}})
	stale, present = f.target(0, "booking"), f.target(0, "engine")
	f.dispatcher.WithRoster(func(r *follower.Roster) { r.SetList(time.Now(), []follower.Target{stale, present}) })
	_, _, _ = f.call(t, "/look/7", "x", nil)
	_, _, _ = f.call(t, "/plan/7", "x", nil)
	if f.runs() != 1 {
		t.Errorf("%d requests reached the address, the second one to a target that said it is leaving", f.runs())
	}
}

// Guards against requests to a target that has refused one and asked for a pause: on
// any route, as a retry, as the last target left, or after its breaker would allow a
// trial. Callers are told when the pause is over.
func TestPausedTarget(t *testing.T) {
	busy := platformtest.Response{Status: 503, NotRun: true, RetryAfter: "0.7"}
	f := start(t, []platformtest.Response{busy, {Body: "again"}})
	f.onlyTarget(0, "booking")
	began := time.Now()
	for i, path := range []string{"/look/7", "/book/7", "/public/7", "/look/8"} {
		res, _, err := f.call(t, path, "x", nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v, %v", path, res, err)
		}
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if i > 0 && (err != nil || after < 0.7-time.Since(began).Seconds()-0.01) {
			t.Errorf("%s: Retry-After %q, but the pause lasts longer", path, res.Header.Get("Retry-After"))
		}
	}
	if f.runs() != 1 {
		t.Errorf("%d requests reached the target, want 1", f.runs())
	}
	time.Sleep(time.Until(began.Add(750 * time.Millisecond)))
	if res, _, err := f.call(t, "/look/7", "x", nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("request after the pause: %v, %v", res, err)
	}
}

// Guards against a pause that keeps work from a target although another one could do
// it, and against a value without sense that keeps a target out of use.
func TestPauseValues(t *testing.T) {
	tests := []struct {
		value  string
		paused bool
	}{
		{"5", true},
		{"0.4", true},
		{"86400", true},
		{"1e300", true},
		{"1e400", true},
		{"-1e400", false},
		{"soon", false},
		{"+Inf", true},
		{"NaN", false},
		{"-3", false},
		{"0", false},
		{"", false},
		{"Fri, 04 Dec 2026 11:00:00 GMT", false},
	}
	for _, tt := range tests {
		t.Run(tt.value, func(t *testing.T) {
			f := start(t, []platformtest.Response{{Status: 503, NotRun: true, RetryAfter: tt.value}, {Body: "again"}}, []platformtest.Response{{Body: "other"}})
			f.onlyTarget(0, "booking")
			_, _, _ = f.call(t, "/look/7", "x", nil)
			f.dispatcher.WithRoster(func(r *follower.Roster) { r.Put(f.target(1, "booking")) })
			for range 6 {
				if res, _, err := f.call(t, "/look/7", "x", nil); err != nil || res.StatusCode != http.StatusOK {
					t.Errorf("request beside a paused target: %v, %v", res, err)
				}
			}
			if got := len(f.runners[0].Requests()) == 1; tt.paused && !got {
				t.Errorf("%d requests reached the paused target, want 1", len(f.runners[0].Requests()))
			}
			f.onlyTarget(0, "booking")
			before := len(f.runners[0].Requests())
			_, _, _ = f.call(t, "/look/7", "x", nil)
			if reached := len(f.runners[0].Requests()) > before; reached == tt.paused {
				t.Errorf("reached %v, want paused %v", reached, tt.paused)
			}
		})
	}
}
