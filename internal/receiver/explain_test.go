package receiver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/granter"
	"daisylane/internal/permitter"
	"daisylane/internal/previewer"
	"daisylane/internal/quarantiner"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
	"daisylane/internal/throttler"
	"daisylane/internal/warden"
)

// previewBudget is a budget without an end in sight that counts what is reserved of it.
type previewBudget struct{ left atomic.Int64 }

func (b *previewBudget) Ready() bool { return true }

func (b *previewBudget) Preview(_ string, n int64) granter.Decision {
	if left := b.left.Load(); n > left {
		return granter.Decision{Outcome: granter.Short, Remaining: left, RetryAfter: time.Second}
	}
	return granter.Decision{Outcome: granter.Reserved, Own: n}
}

func (b *previewBudget) Reserve(_ context.Context, account string, n int64, _ time.Duration) granter.Decision {
	d := b.Preview(account, n)
	b.left.Add(-d.Own)
	return d
}

func (b *previewBudget) Settle(string, granter.Decision, int64) {}

// listedGuard is a warden that needs no list of the store, and that counts the checks.
type listedGuard struct {
	*warden.Warden
	checks atomic.Int64
}

func (*listedGuard) Ready() bool { return true }

func (g *listedGuard) Check(s quarantiner.Subject) quarantiner.Verdict {
	g.checks.Add(1)
	return g.Warden.Check(s)
}

// noPeers is a fleet of one instance, which calls no other.
type noPeers struct{ permitter.Peers }

func (noPeers) Rank(string) ([]granter.Lender, int) { return nil, 0 }
func (noPeers) RankVersion() int64                  { return 1 }

// oneVersion lets streams begin at one software version.
type oneVersion struct{ noStreams }

func (oneVersion) Versions(context.Context, string) []string { return []string{"v1"} }

func (oneVersion) PreviewVersions(string) ([]string, time.Duration) { return []string{"v1"}, 0 }

// previewWorld is a receiver with the parts that decide, in the time of a synctest bubble.
type previewWorld struct {
	t       *testing.T
	rng     *rand.Rand
	codec   *previewCodec
	r       *Receiver
	d       *Dispatcher
	guard   *listedGuard
	permits *permitter.Permitter
	open    []ChosenTarget
	log     []string
	seen    map[string]int // outcomes
}

var previewRegions = map[string]string{"a": "north", "b": "north", "c": "south"}

func newPreviewWorld(t *testing.T) *previewWorld {
	w := &previewWorld{t: t, codec: &previewCodec{}, rng: rand.New(rand.NewPCG(7, 7)), seen: make(map[string]int)}
	w.permits = permitter.New("e-1", noPeers{}, noPeers{}, permitter.WithStart(time.Now().Add(-time.Hour)))
	w.permits.UpdateCold(func(now time.Time, c *throttler.Cold) {
		c.SetBounds(throttler.ColdBounds{Ratio: 1, Reserve: 2})
		c.SetServices(map[string]throttler.ColdService{"engine": {Start: 2 * time.Second, PerSecond: 2}})
		c.RecordInTouch(now)
	})
	w.d = NewDispatcher(chooser.Place{Centre: "a", Region: "north"}, previewRegions, retrier.New(rand.New(rand.NewPCG(1, 1))), WithLimits(w.permits), WithEvacuations())
	w.d.ChangeEvacuations(func(e *restrictor.Evacuations) { e.SetList(time.Now(), nil) })
	for i := range 6 {
		target := w.target(i)
		w.d.WithRoster(func(r *follower.Roster) { r.Put(target) })
		w.permits.UpdateCold(func(now time.Time, c *throttler.Cold) {
			c.ObserveTarget(now, throttler.Registration{Target: throttlerTarget(target), Age: throttler.Settled}, false)
		})
	}
	w.guard = &listedGuard{Warden: warden.New(nil)}
	budget := &previewBudget{}
	budget.left.Store(3_000_000)
	w.r = New(w.codec, w.d, budget, nil, WithGuard(w.guard), WithStreams(oneVersion{}), WithPreviews(Previews{
		Budgets: budget, Guard: w.guard, Streams: oneVersion{}, Limits: func() PreviewLimits { return w.permits.Clone() },
	}))
	priority := 4
	route := func(name string, kind resolver.Kind, service string) resolver.Route {
		return resolver.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Shares: []resolver.WeightedService{{Service: service, Weight: 1}},
			Timeout: 8 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2, Priority: 1,
		}
	}
	plan, south, resumed := route("plan", resolver.Stream, "engine"), route("south", resolver.Stream, "engine"), route("resumed", resolver.Stream, "engine")
	south.AllowedRegions, resumed.Resumable = []string{"south"}, true
	tab, err := resolver.New(resolver.Config{
		Version: 1, KeyRequired: true, Routes: []resolver.Route{plan, south, resumed},
		Services: []resolver.Service{{Name: "engine", MaxConnections: 64, Engine: &resolver.Engine{Slots: 16, KVCapacity: 1 << 18, MaxTokensPerEvent: 4}}},
		Accounts: []resolver.Account{{Name: "one", Keys: []string{"k1"}, PrepaidTokens: -1}, {Name: "two", Keys: []string{"k2"}, Priority: &priority, PrepaidTokens: 3_000_000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.r.SetTable(tab)
	w.r.RecordContact(time.Now())
	return w
}

func (w *previewWorld) target(i int) follower.Target {
	return follower.Target{
		ID: fmt.Sprintf("i-%d", i), Service: "engine", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Centre: []string{"a", "b", "c"}[i%3], Slots: 16,
		Version: []string{"v1", "v2"}[i/4], Incarnation: 1,
	}
}

// query returns a random request.
func (w *previewWorld) query(rng *rand.Rand) previewer.Query {
	path := []string{"/plan/7", "/plan/7", "/plan/7", "/south/7", "/resumed/7", "/none/7"}[rng.IntN(6)]
	long := rng.IntN(4) == 0
	q := previewer.Query{Host: "a.example", Path: path, Key: []string{"k1", "k2"}[rng.IntN(2)], Output: 100, Timeout: 4000}
	q.Parts = []previewer.Part{{ID: previewer.PartID(1 + rng.IntN(8)), Tokens: 400}, {ID: previewer.PartID(1 + rng.IntN(8)), Tokens: 300}, {ID: previewer.PartID(100 + rng.IntN(1000)), Tokens: 300}}
	if long {
		q.Parts[0].Tokens, q.Parts[1].Tokens = 13_300, 3_400
	}
	return q
}

// decide sends a request as far as the choice of its target and returns what was decided. The
// time does not advance.
func (w *previewWorld) decide(q previewer.Query) string {
	w.codec.meta = metaOf(q)
	j, _ := w.r.previewJob(time.Now(), q, w.r.Table(), "")
	j.r = w.r // the request itself, not a preview of it
	if !j.lookUp() || !j.checkQuarantine() || !j.checkPlaces(j.candidates()...) || !j.findOrigin() || !j.reserve() {
		return string(j.summary.cause)
	}
	w.d.RecordRequest("", j.service.Name)
	j.permitWaitEnd = time.Now()
	chosen, _, ok := j.choose(context.Background())
	if !ok {
		return string(j.summary.cause)
	}
	if s := j.subject(); w.guard.Check(s).Outcome == quarantiner.Allowed {
		w.guard.Admit(context.Background(), s) // otherwise it would claim a trial at the store
	}
	w.open = append(w.open, chosen)
	c := chosen.Choice
	w.log = append(w.log, fmt.Sprint(c.Reason, c.Wait, c.Backlog, c.BacklogAge, c.CachedTokens, c.EventInterval))
	return chosen.Target.ID
}

// change changes what decisions depend on, as responses, targets and operators do.
func (w *previewWorld) change() {
	now, rng, target := time.Now(), w.rng, w.target(w.rng.IntN(6))
	w.r.RecordContact(now)
	w.permits.RecordInTouch(now)
	switch rng.IntN(11) {
	case 0, 1, 2, 3:
		if len(w.open) > 0 {
			i := rng.IntN(len(w.open))
			w.d.RecordFirstEvent(now, w.open[i])
			outcome := retrier.Complete
			if w.open[i].Target.ID <= "i-1" && rng.IntN(8) > 0 { // keeps its circuit breaker busy
				outcome = retrier.Unknown
			}
			w.d.FinishAttempt(now, w.open[i], &retrier.Attempt{Outcome: outcome, Number: 1})
			w.open = slices.Delete(w.open, i, i+1)
		}
	case 4, 5:
		w.d.RecordResponse(now, now, target, ResponseMeta{Load: &Load{Running: rng.IntN(20), Waiting: rng.IntN(6), Slots: 16}})
	case 6:
		w.d.RecordResponse(now, now, target, ResponseMeta{Pause: time.Duration(rng.IntN(1000)) * time.Millisecond})
	case 7:
		w.permits.Suspect(throttlerTarget(target), false)
		w.permits.UpdateCold(func(now time.Time, c *throttler.Cold) {
			c.SharesDue(now, time.Hour, throttler.Ranking{Version: 1})
			c.SetShare(target.ID, 0, 1)
		})
	case 8:
		w.d.ChangeEvacuations(func(e *restrictor.Evacuations) {
			if e.Remove("c"); rng.IntN(3) == 0 {
				e.Add(now, "c")
			}
		})
	case 9:
		limit := []*float64{nil, new(float64)}[rng.IntN(2)]
		w.permits.RecordLimit(throttlerTarget(target), now, limit)
	case 10:
		if rng.IntN(8) > 0 {
			w.d.WithRoster(func(r *follower.Roster) { r.Put(target) })
			return
		}
		part := uint64(1 + rng.IntN(3))
		w.guard.RecordCrash(quarantiner.Report{Service: "engine", Target: target.ID, Incarnation: int64(rng.IntN(1000)), SentAt: now, Begun: true, Parts: []uint64{part, 100}}, true)
	}
}

// play plays a fixed series of changes and requests. Before each request, as many others and
// the request itself are asked about.
func (w *previewWorld) play(asks int) {
	other := rand.New(rand.NewPCG(9, 9))
	for i := range 1500 {
		for range w.rng.IntN(3) {
			w.change()
		}
		checks := w.guard.checks.Load()
		q := w.query(w.rng)
		if i/300%2 == 1 {
			q.Key = "k2" // the other priority is not in use after a while
		}
		for range asks {
			w.r.Preview(w.query(other))
		}
		want := ""
		if asks > 0 {
			want = verdictOf(w.r.Preview(q))
		}
		if w.guard.checks.Load() != checks {
			w.t.Fatal("a preview checks the request instead of asking what a check would say")
		}
		got := w.decide(q)
		if asks > 0 && got != want {
			w.t.Fatalf("request %d: preview %q, decided %q", len(w.log), want, got)
		}
		w.log = append(w.log, got)
		w.seen[got]++
		pause := time.Duration(w.rng.IntN(60)) * time.Millisecond
		if w.rng.IntN(100) == 0 {
			pause = 8 * time.Second
		}
		time.Sleep(pause)
	}
}

// verdictOf returns the target of a report, or the cause of the first refusal.
func verdictOf(r previewer.Report) string {
	steps := []previewer.Step{r.Route}
	for _, s := range r.Services {
		steps = append(steps, s.Steps...)
	}
	for _, s := range steps {
		if s.Refuses() {
			return s.Verdict
		}
	}
	return r.Services[0].Target
}

// Guards against a preview that changes a later decision, for example by starting the warm-up
// of a target, counting a priority as in use or recording a low backlog; and against one that
// differs from the decision about the same request.
func TestPreviewChangesNothing(t *testing.T) {
	var logs [][]string
	for _, asks := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			w := newPreviewWorld(t)
			w.play(asks)
			logs = append(logs, w.log)
			for _, cause := range []Cause{Crashing, Evacuated, TokensShort, Overloaded, Limited, Paused, NoRoute} {
				if w.seen[string(cause)] == 0 {
					t.Errorf("the series has no request with outcome %s: %v", cause, w.seen)
				}
			}
			t.Log(w.seen)
		})
	}
	if !slices.Equal(logs[0], logs[1]) {
		t.Error("questions in between change the decisions")
	}
}

// Guards against a preview that reads, outside of a lock, what requests change meanwhile. It
// fails only with the race detector.
func TestPreviewBesideRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPreviewWorld(t)
		done := make(chan struct{})
		go func() {
			w.play(0)
			close(done)
		}()
		rng := rand.New(rand.NewPCG(9, 9))
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
				w.r.Preview(w.query(rng))
			}
		}
	})
}

// Guards against a candidate whose reason differs from what keeps requests from it.
func TestPreviewCandidates(t *testing.T) {
	tests := []struct {
		want  string
		path  string
		apply func(w *previewWorld, t follower.Target)
	}{
		{want: "", apply: func(*previewWorld, follower.Target) {}},
		{want: previewer.Leaving, apply: func(w *previewWorld, t follower.Target) {
			w.d.WithRoster(func(r *follower.Roster) { r.MarkLeaving(t.ID) })
		}},
		{want: previewer.OtherRegion, path: "/south/7", apply: func(*previewWorld, follower.Target) {}},
		{want: previewer.Evacuated, apply: func(w *previewWorld, t follower.Target) {
			w.d.ChangeEvacuations(func(e *restrictor.Evacuations) { e.Add(time.Now(), t.Centre) })
		}},
		{want: previewer.OtherVersion, path: "/resumed/7", apply: func(w *previewWorld, t follower.Target) {
			t.Version = "v3"
			w.d.WithRoster(func(r *follower.Roster) { r.Put(t) })
		}},
		{want: previewer.Paused, apply: func(w *previewWorld, t follower.Target) {
			w.d.RecordResponse(time.Now(), time.Now(), t, ResponseMeta{Pause: time.Second})
		}},
		{want: previewer.Cold, apply: func(w *previewWorld, t follower.Target) { w.permits.Suspect(throttlerTarget(t), false) }},
		{want: previewer.Limited, apply: func(w *previewWorld, t follower.Target) {
			w.permits.RecordLimit(throttlerTarget(t), time.Now(), new(float64))
		}},
		{want: previewer.BreakerOpen, apply: func(w *previewWorld, t follower.Target) {
			for range 20 {
				w.d.mu.Lock()
				w.d.retries.Conclude(time.Now(), retrier.Attempt{Target: t.ID, Outcome: retrier.NotRun, Number: 1})
				w.d.mu.Unlock()
			}
		}},
		{want: previewer.Full, apply: func(w *previewWorld, t follower.Target) {
			w.d.RecordResponse(time.Now(), time.Now(), t, ResponseMeta{Load: &Load{Running: 64, Slots: 16}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newPreviewWorld(t)
				tt.apply(w, w.target(0))
				q := previewer.Query{Host: "a.example", Path: "/plan/7", Key: "k1", Parts: []previewer.Part{{ID: 1, Tokens: 900}, {ID: 2, Tokens: 100}}, Output: 10}
				if tt.path != "" {
					q.Path = tt.path
				}
				r := w.r.Preview(q)
				if r.Route.Refuses() {
					t.Fatalf("refused: %+v", r.Route)
				}
				s := r.Services[0]
				if c := s.Candidates[0]; c.Target != "i-0" || c.Reason != tt.want || c.Reason != "" && s.Target == "i-0" || len(s.Candidates) != 6 {
					t.Errorf("chosen %q, candidates %+v", s.Target, s.Candidates)
				}
			})
		})
	}
}

// Guards against a service that is left out of the report because the route picked another.
func TestPreviewOfEachService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPreviewWorld(t)
		tab, err := resolver.New(resolver.Config{
			Version: 2, Services: []resolver.Service{{Name: "engine"}, {Name: "empty"}},
			Routes: []resolver.Route{{
				Name: "split", Host: "a.example", Prefix: "/", Kind: resolver.Idempotent, Timeout: time.Second, MaxAttempts: 1,
				Shares: []resolver.WeightedService{{Service: "engine", Weight: 3}, {Service: "empty", Weight: 1}, {Service: "off"}},
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.r.SetTable(tab)
		r := w.r.Preview(previewer.Query{Method: http.MethodGet, Host: "a.example", Path: "/x"})
		if len(r.Services) != 2 || r.Services[0].Target == "" || r.Services[1].Target != "" {
			t.Fatalf("report %+v", r)
		}
		if last := r.Services[1].Steps[len(r.Services[1].Steps)-1]; last.Verdict != string(NoTargets) {
			t.Errorf("service without targets: %+v", last)
		}
	})
}
