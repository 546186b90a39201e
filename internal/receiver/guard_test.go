package receiver_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/quarantiner"
	"daisylane/internal/receiver"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
	"daisylane/platform"
	"daisylane/platform/platformtest"
)

// guard is a fake of [receiver.Guard] that records its calls.
type guard struct {
	mu       sync.Mutex
	check    quarantiner.Outcome
	admit    quarantiner.Outcome
	admitted int
	whole    int
	subjects []quarantiner.Subject // of the whole answers
	calm     bool                  // nothing is suspected
	about    int                   // reports of targets that were about to answer
	reports  []quarantiner.Report
	failures int // attempts whose target may have ended
	slow     int // those that were abandoned
	ends     int // reports of targets that have ended
	repeated bool
}

func (g *guard) Ready() bool { return true }

func (g *guard) Suspects() bool { return !g.calm }

func (g *guard) Check(quarantiner.Subject) quarantiner.Verdict {
	return quarantiner.Verdict{Outcome: g.check, RetryAfter: time.Second}
}

func (g *guard) Admit(context.Context, quarantiner.Subject) quarantiner.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitted++
	return quarantiner.Verdict{Outcome: g.admit, RetryAfter: time.Second}
}

func (g *guard) RecordWhole(_ quarantiner.Target, _ time.Time, s quarantiner.Subject) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole++
	g.subjects = append(g.subjects, s)
}

func (g *guard) RecordCrash(r quarantiner.Report, about bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if about {
		g.about++
	}
	g.reports = append(g.reports, r)
}

func (g *guard) RecordFailure(r quarantiner.Report, _ bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Abandoned {
		g.slow++
	}
	g.failures++
}

func (g *guard) RecordEnd(quarantiner.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ends++
}

func (g *guard) RecordAlive(quarantiner.Target, time.Time) {}

func (g *guard) RecordClosed(quarantiner.Target, time.Time) {}

func (g *guard) Repeated(quarantiner.Report) bool { return g.repeated }

// Guards against a path to a target on which a quarantine is not asked about, a trial
// that is claimed for a request without a target, an answer that does not count as one,
// crashes of which nobody learns, and a request that is sent on after it may have crashed
// a target.
func TestGuardedPaths(t *testing.T) {
	allowed, quarantined, due := quarantiner.Allowed, quarantiner.Quarantined, quarantiner.TrialDue
	crash := platformtest.Response{Events: 3, Crash: true}
	tests := []struct {
		name         string
		path         string
		check, admit quarantiner.Outcome
		script       platformtest.Response
		noTarget     bool
		status       int // 0: any
		runs         int
		admitted     int
		whole        int
		crashes      int
	}{
		{name: "allowed", path: "/plan/7", check: allowed, admit: allowed, script: platformtest.Response{Events: 3}, status: 200, runs: 1, admitted: 1, whole: 1},
		{name: "one event", path: "/plan/7", check: allowed, admit: allowed, script: platformtest.Response{Events: 1}, status: 200, runs: 1, admitted: 1, whole: 1},
		{name: "refused at once", path: "/plan/7", check: quarantined, admit: quarantined, script: platformtest.Response{Events: 3}, status: 503},
		{name: "refused after a wait", path: "/plan/7", check: allowed, admit: quarantined, script: platformtest.Response{Events: 3}, status: 503, admitted: 1},
		{name: "crash", path: "/plan/7", check: allowed, admit: allowed, script: crash, status: 502, runs: 1, admitted: 1, crashes: 1},
		{name: "crash of a stream that may be repeated", path: "/summary/7", check: allowed, admit: allowed, script: crash, status: 502, runs: 1, admitted: 1, crashes: 1},
		{name: "trial crashes", path: "/plan/7", check: due, admit: due, script: crash, status: 502, runs: 1, admitted: 1, crashes: 1},
		{name: "trial is answered", path: "/plan/7", check: due, admit: due, script: platformtest.Response{Events: 3}, status: 200, runs: 1, admitted: 1, whole: 1},
		{name: "no target for a trial", path: "/plan/7", check: due, admit: due, noTarget: true, status: 503},
		{name: "broken, but no crash", path: "/plan/7", check: allowed, admit: allowed, script: platformtest.Response{Events: 3, CutAfter: 1}, runs: 1, admitted: 1},
		{name: "plain service crashes", path: "/look/7", check: allowed, admit: allowed, script: platformtest.Response{Crash: true}, status: 502, runs: 1, admitted: 1, crashes: 1},
		{name: "plain service fails", path: "/look/7", check: allowed, admit: allowed, script: platformtest.Response{Status: 500}, runs: 1, admitted: 1},
		{name: "plain service", path: "/look/7", check: allowed, admit: allowed, script: platformtest.Response{Body: "a"}, status: 200, runs: 1, admitted: 1, whole: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &guard{check: tt.check, admit: tt.admit}
			f := startWith(t, []receiver.Option{receiver.WithGuard(g)}, []platformtest.Response{tt.script}, []platformtest.Response{tt.script})
			switch {
			case tt.noTarget:
				f.dispatcher.WithRoster(func(r *follower.Roster) { r.SetList(time.Now(), nil) })
			case tt.name == "crash of a stream that may be repeated": // both targets could get it
			case tt.path == "/look/7":
				f.onlyTarget(0, "booking")
			default:
				f.onlyTarget(0, "engine")
			}
			res, _, err := f.call(t, tt.path, "x", map[string]string{"Daisylane-Prompt-Prefix": "a1:10,b1:10,c1:10"})
			if tt.status > 0 && (err != nil || res.StatusCode != tt.status) {
				t.Errorf("response %v, %v, want status %d", res, err, tt.status)
			}
			if f.runs() != tt.runs || g.admitted != tt.admitted || g.whole != tt.whole || len(g.reports) != tt.crashes {
				t.Errorf("%d runs, %d admitted, %d whole, %d crashes, want %d, %d, %d, %d", f.runs(), g.admitted, g.whole, len(g.reports), tt.runs, tt.admitted, tt.whole, tt.crashes)
			}
			for _, r := range g.reports {
				engine := r.Service == "engine"
				if engine != (tt.path != "/look/7") || r.Begun != engine || (len(r.Parts) == 3) != engine || (g.about == 1) != engine || len(r.Requests) == 0 {
					t.Errorf("report %+v", r)
				}
			}
		})
	}
}

// Guards against an end of a target that nobody reports because the stream had gone on or
// looked whole, or because it ended while nothing was sent to it; against a slow target that
// looks like one that broke off its answer; and against a stream that ends one target after
// the other.
func TestEndsOfTargets(t *testing.T) {
	tests := []struct {
		name     string
		script   platformtest.Response
		repeated bool // the prompt was at another crash
		crashes  int
		failures int
		slow     int // of the failures, those that the instance ended itself
		ends     int
		runs     int
	}{
		{name: "after the second event", script: platformtest.Response{Events: 4, Crash: true, CrashAfter: 2}, crashes: 2, runs: 2},
		{name: "after the second event, not the first time", script: platformtest.Response{Events: 4, Crash: true, CrashAfter: 2}, repeated: true, crashes: 1, runs: 1},
		{name: "after the last event", script: platformtest.Response{Events: 4, Crash: true, CrashAfter: 4}, crashes: 1, runs: 2},
		{name: "unframed, after the second event", script: platformtest.Response{Events: 4, Crash: true, CrashAfter: 2, CloseDelimited: true}, ends: 1, runs: 1},
		{name: "unframed, whole", script: platformtest.Response{Events: 4, CloseDelimited: true}, runs: 1},
		{name: "too slow", script: platformtest.Response{Events: 4, Delay: 2 * time.Second}, failures: 1, slow: 1, runs: 1},
		{name: "broken", script: platformtest.Response{Events: 4, CutAfter: 2}, failures: 1, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &guard{check: quarantiner.Allowed, admit: quarantiner.Allowed, repeated: tt.repeated}
			f := startWith(t, []receiver.Option{receiver.WithGuard(g)}, []platformtest.Response{tt.script}, []platformtest.Response{tt.script})
			_, _, _ = f.call(t, "/summary/7", "x", map[string]string{"Daisylane-Prompt-Prefix": "a1:10,b1:10,c1:10"}) // may break off
			time.Sleep(100 * time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			if len(g.reports) != tt.crashes || g.failures != tt.failures || g.slow != tt.slow || g.ends != tt.ends || f.runs() != tt.runs {
				t.Errorf("%d crashes, %d failures, %d abandoned, %d ends, %d runs, want %d, %d, %d, %d, %d", len(g.reports), g.failures, g.slow, g.ends, f.runs(), tt.crashes, tt.failures, tt.slow, tt.ends, tt.runs)
			}
		})
	}
}

// Guards against an end that nobody reports because the target accepts one more connection
// after an answer that closed its own.
func TestEndAfterClosedAnswer(t *testing.T) {
	g := &guard{check: quarantiner.Allowed, admit: quarantiner.Allowed}
	f := startWith(t, []receiver.Option{receiver.WithGuard(g)}, script{{Events: 4, CloseDelimited: true}})
	f.onlyTarget(0, "engine")
	if _, _, err := f.call(t, "/plan/7", "x", nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	f.runners[0].Close()
	platformtest.Eventually(t, "the end is reported", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.ends == 1
	})
}

// Guards against a popular request that is suspected at the first crashes as if it had never
// been answered, because whole requests were not recorded while nothing was suspected.
func TestAnswersBeforeCrashes(t *testing.T) {
	for _, path := range []string{"/plan/7", "/look/7"} {
		t.Run(path, func(t *testing.T) {
			g := &guard{check: quarantiner.Allowed, admit: quarantiner.Allowed, calm: true}
			f := startWith(t, []receiver.Option{receiver.WithGuard(g)}, script{{Events: 3}}, script{{Body: "a"}})
			f.onlyTarget(map[string]int{"/plan/7": 0, "/look/7": 1}[path], map[string]string{"/plan/7": "engine", "/look/7": "booking"}[path])
			if _, _, err := f.call(t, path, "x", map[string]string{"Daisylane-Prompt-Prefix": "a1:10,b1:10,c1:10"}); err != nil {
				t.Fatal(err)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			if len(g.subjects) != 1 || len(g.subjects[0].Requests) == 0 {
				t.Errorf("answers of %+v, want one of a whole request", g.subjects)
			}
		})
	}
}

// changingGuard takes a while to admit a request, during which the configuration changes.
type changingGuard struct {
	quarantiner.NoGuard
	change func()
}

func (g changingGuard) Admit(context.Context, quarantiner.Subject) quarantiner.Verdict {
	g.change()
	return quarantiner.Verdict{Outcome: quarantiner.Allowed}
}

// Guards against a request that is sent although its regions have changed since the choice of
// its target.
func TestChangeBeforeSend(t *testing.T) {
	g := &changingGuard{}
	f := startWith(t, []receiver.Option{receiver.WithGuard(g)}, script{{Body: "x"}})
	cfg := resolver.Config{
		Version: 2, Services: []resolver.Service{{Name: "booking"}},
		Routes: []resolver.Route{{
			Name: "look", Host: "a.example", Prefix: "/look/", Kind: resolver.Idempotent, Shares: []resolver.WeightedService{{Service: "booking", Weight: 1}},
			Timeout: time.Second, MaxAttempts: 2, AllowedRegions: []string{"other"},
		}},
	}
	moved, err := resolver.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	g.change = func() { f.receiver.SetTable(moved) }
	res, body, err := f.call(t, "/look/7", "", nil)
	if err != nil || res.StatusCode != 503 || body != "region\n" || res.Header.Get("Retry-After") == "" || f.runs() > 0 {
		t.Errorf("got %v %q, %v; %d requests reached a target", res, body, err, f.runs())
	}
}

// Guards against a request that goes on choosing targets, each of which is evacuated before
// the request is sent, as often as there are targets.
func TestWithdrawnAttempts(t *testing.T) {
	d := receiver.NewDispatcher(chooser.Place{Centre: "a"}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))), receiver.WithEvacuations())
	centres, admitted := []string{"a", "b"}, 0
	evacuate := func() {
		d.ChangeEvacuations(func(e *restrictor.Evacuations) { e.SetList(time.Now(), centres[admitted%2:][:1]) })
		admitted++
	}
	evacuate()
	f := startWith(t, nil, script{{Body: "x"}})
	d.WithRoster(func(r *follower.Roster) {
		for i := range 40 {
			target := f.target(0, "booking")
			target.ID, target.Centre = fmt.Sprint("i-", i), centres[i%2]
			r.Put(target)
		}
	})
	r := receiver.New(platform.Codec{}, d, f.budgets, forwarder.New(platform.RequestID), receiver.WithGuard(&changingGuard{change: evacuate}))
	r.SetTable(table(t, 1))
	r.RecordContact(time.Now())
	f.Config.Handler = r
	res, body, err := f.call(t, "/look/7", "", nil)
	if err != nil || res.StatusCode != 503 || body != "unreachable\n" || res.Header.Get("Retry-After") == "" || f.runs() > 0 {
		t.Errorf("got %v %q, %v; %d requests reached a target", res, body, err, f.runs())
	}
	if admitted--; admitted != 4 {
		t.Errorf("%d targets chosen, want 4", admitted)
	}
}
