package limiter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func request(id string, worth float64, deadline time.Duration) Request {
	return Request{ID: id, Account: "a", Worth: worth, Deadline: start.Add(deadline), RunTime: time.Second}
}

// Guards against starting requests of lower worth or later deadline first, and against
// dropping a displaced request without a refusal.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name   string
		offers []Request
		want   []string // actions of the last offer, then of the end of the running request
	}{
		{"free capacity", []Request{request("x", 1, time.Hour)}, []string{"start x"}},
		{"worth", []Request{request("x", 1, time.Hour), request("y", 1, time.Hour), request("z", 2, time.Hour)}, []string{"queue z", "start z"}},
		{"deadline", []Request{request("x", 1, time.Hour), request("y", 1, time.Hour), request("z", 1, time.Minute)}, []string{"queue z", "start z"}},
		{"arrival", []Request{request("x", 1, time.Hour), request("y", 1, time.Hour), request("z", 1, time.Hour)}, []string{"queue z", "start y"}},
		{"displaced", []Request{request("x", 1, time.Hour), request("y", 1, 1500*time.Millisecond), request("z", 2, time.Hour)}, []string{"queue z", "refuse y", "start z"}},
		{"too late", []Request{request("x", 1, time.Hour), request("y", 2, time.Hour), request("z", 1, 1500*time.Millisecond)}, []string{"refuse z", "start y"}},
		{"deadline too early", []Request{request("x", 1, time.Hour), request("z", 1, time.Millisecond)}, []string{"refuse z"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(newRNG(), 1)
			var last []Action
			for _, r := range tt.offers {
				last = l.Offer(start, r)
			}
			if len(tt.offers) > 1 {
				last = append(last, l.Done(start, "x")...)
			}
			var got []string
			for _, a := range last {
				got = append(got, fmt.Sprintf("%s %s", a.Kind, a.ID))
				if a.Kind == Refuse && a.RetryAfter < minRetryAfter {
					t.Errorf("refusal without a retry-after time: %+v", a)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("actions = %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against an account that stays at its concurrency limit because requests that
// ended, were withdrawn or were refused late still count.
func TestConcurrencySlotIsReleased(t *testing.T) {
	l := New(newRNG(), 1, WithDefault(Limit{Rate: 100, Burst: 100, Concurrent: 3}))
	for round := range 3 {
		now := start.Add(time.Duration(round) * time.Minute)
		for _, id := range []string{"runs", "withdrawn", "late"} {
			r := Request{ID: id, Account: "a", Worth: 1, Deadline: now.Add(3 * time.Second), RunTime: time.Second}
			if got := l.Offer(now, r)[0]; got.Kind == Refuse {
				t.Fatalf("round %d: %+v", round, got)
			}
		}
		l.Done(now, "withdrawn")
		l.Tick(now.Add(10 * time.Second))
		l.Done(now.Add(10*time.Second), "runs")
	}
}

// Guards against a busy loop: a tick at the time that NextExpiry returns must refuse the
// request, or the timer is set again for the same time.
func TestTickAtNextExpiry(t *testing.T) {
	l := New(newRNG(), 1)
	l.Offer(start, request("x", 1, time.Hour))
	l.Offer(start, request("y", 1, 3*time.Second))
	if got := l.Tick(l.NextExpiry()); len(got) != 1 || got[0].Kind != Refuse || l.Waiting() != 0 {
		t.Errorf("actions = %+v, %d waiting", got, l.Waiting())
	}
}

// Guards against an account exceeding its rate or concurrency limit, and against
// admitting a duplicate ID.
func TestAccountLimits(t *testing.T) {
	limits := map[string]Limit{"a": {Rate: 1, Burst: 2, Concurrent: 10}, "b": {Rate: 100, Burst: 100, Concurrent: 1}}
	l := New(newRNG(), 100, WithLimits(limits))
	tests := []struct {
		id, account string
		after       time.Duration
		cause       string
	}{
		{"1", "a", 0, ""},
		{"2", "a", 0, ""},
		{"3", "a", 0, CauseRate},
		{"4", "a", time.Second, ""},
		{"4", "a", 2 * time.Second, CauseDuplicate},
		{"5", "b", 0, ""},
		{"6", "b", 0, CauseConcurrent},
		{"7", "other", 0, ""},
	}
	for _, tt := range tests {
		got := l.Offer(start.Add(tt.after), Request{ID: tt.id, Account: tt.account, Worth: 1, RunTime: time.Second})[0]
		if got.Cause != tt.cause {
			t.Errorf("request %s: %+v, want cause %q", tt.id, got, tt.cause)
		}
	}
}

// Guards against lost or late decisions (requirement R9): in any sequence of events,
// each request must be started or refused exactly once, and none may be queued past
// its latest start.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	_ = flag.Set("rapid.seed", "5")
	rapid.Check(t, func(t *rapid.T) {
		l := New(newRNG(), rapid.IntRange(1, 4).Draw(t, "capacity"))
		now, state, running := start, map[string]Kind{}, []string{}
		apply := func(actions []Action) {
			for _, a := range actions {
				if k := state[a.ID]; k == Start || k == Refuse {
					t.Fatalf("%s: %s after %s", a.ID, a.Kind, k)
				}
				state[a.ID] = a.Kind
				if a.Kind == Start {
					running = append(running, a.ID)
				}
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "offer") || len(running) == 0 {
				r := Request{ID: fmt.Sprint(i), Account: "a", Worth: float64(rapid.IntRange(1, 3).Draw(t, "worth")), RunTime: time.Second}
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "slack")) * time.Millisecond)
				apply(l.Offer(now, r))
			} else {
				apply(l.Done(now, running[0]))
				running = running[1:]
			}
			apply(l.Tick(now))
			if next := l.NextExpiry(); !next.IsZero() && next.Before(now) {
				t.Fatalf("a request is queued %s past its latest start", now.Sub(next))
			}
		}
		for id, k := range state {
			if k == Queue && l.queueIndex(id) < 0 {
				t.Fatalf("%s was dropped without a refusal", id)
			}
		}
	})
}

// Guards against queuing a request until its deadline because its run time is unknown:
// the limiter must then assume the mean run time.
func TestUnknownRunTimeUsesMean(t *testing.T) {
	l := New(newRNG(), 1)
	offer := func(id string) Action {
		return l.Offer(start, Request{ID: id, Account: "a", Worth: 1, Deadline: start.Add(5 * time.Second)})[0]
	}
	l.Offer(start.Add(-2*time.Second), Request{ID: "seen", Account: "a", Worth: 1})
	l.Done(start, "seen")
	want := []Kind{Start, Queue, Queue, Refuse}
	for i, kind := range want {
		if got := offer(fmt.Sprint(i)); got.Kind != kind {
			t.Errorf("request %d: %+v, want %s", i, got, kind)
		}
	}
}
