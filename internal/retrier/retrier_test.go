package retrier

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// Guards against running a call twice that may have run, and against retries
// that come too late or after part of the answer was delivered.
func TestPermission(t *testing.T) {
	tests := []struct {
		name   string
		a      Attempt
		retry  bool
		reason string
	}{
		{"whole", Attempt{Outcome: Whole, Number: 1}, false, ReasonWhole},
		{"refused", Attempt{Outcome: NotRun, Refused: true, Number: 1}, true, ReasonAllowed},
		{"unknown", Attempt{Outcome: Unknown, Number: 1}, false, ReasonMayHave},
		{"interrupted", Attempt{Outcome: Interrupted, Number: 1}, false, ReasonMayHave},
		{"unknown, idempotent", Attempt{Outcome: Unknown, Idempotent: true, Number: 1}, true, ReasonAllowed},
		{"delivered in part", Attempt{Outcome: Interrupted, Idempotent: true, Delivered: true, Number: 1}, false, ReasonDelivered},
		{"last attempt", Attempt{Outcome: NotRun, Number: maxAttempts}, false, ReasonAttempts},
		{"deadline", Attempt{Outcome: NotRun, Number: 1, Deadline: start}, false, ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := New(source()).Conclude(start, tt.a)
			if v.Retry != tt.retry || v.Reason != tt.reason || v.Outcome != tt.a.Outcome {
				t.Errorf("verdict = %+v, want retry %v, reason %s", v, tt.retry, tt.reason)
			}
			if mayCome := !v.Retry && tt.a.Outcome == NotRun; mayCome && v.After <= 0 {
				t.Errorf("refusal without a time to come back: %+v", v)
			}
		})
	}
}

// Guards against requests to a failing target and against more than one trial at a time.
func TestBreaker(t *testing.T) {
	r := New(source())
	fail := Attempt{Target: "a", Outcome: NotRun, Number: 1}
	for range tripFailures {
		if !r.Admit(start, "a") {
			t.Fatal("opened too early")
		}
		r.Conclude(start, fail)
	}
	trial := start.Add(openTime)
	steps := []struct {
		name string
		got  bool
		want bool
	}{
		{"open", r.Admit(start, "a"), false},
		{"other target", r.Admit(start, "b"), true},
		{"trial", r.Admit(trial, "a"), true},
		{"second trial", r.Admit(trial, "a"), false},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: admitted = %v", s.name, s.got)
		}
	}
	r.Conclude(trial, fail)
	if r.State(trial.Add(openTime), "a") != Open || r.State(trial.Add(2*openTime), "a") != HalfOpen {
		t.Error("a failed trial does not double the pause")
	}
	if !r.Admit(trial.Add(2*openTime), "a") {
		t.Fatal("no second trial")
	}
	r.Conclude(trial.Add(2*openTime), Attempt{Target: "a", Outcome: Whole})
	if r.State(trial, "a") != Closed {
		t.Error("a successful trial does not close the breaker")
	}
}

// Guards against opening the breaker of a target that works but refuses.
func TestRefusalKeepsBreakerClosed(t *testing.T) {
	r := New(source())
	for range 2 * tripFailures {
		r.Conclude(start, Attempt{Target: "a", Outcome: NotRun, Refused: true, Number: 1})
	}
	if r.State(start, "a") != Closed {
		t.Error("refusals opened the breaker")
	}
}

// Guards against retry storms: whatever happens, retries stay within the burst
// plus the share of the requests, for the fleet and for each account.
func TestBudgetBound(t *testing.T) {
	_ = flag.Set("rapid.seed", "11")
	rapid.Check(t, func(t *rapid.T) {
		r := New(source())
		requests, retries := map[string]int{}, map[string]int{}
		total, repeated := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			if rapid.Bool().Draw(t, "begin") {
				r.Begin(account)
				requests[account]++
				total++
				continue
			}
			if r.Conclude(start, Attempt{Account: account, Outcome: Unknown, Idempotent: true, Number: 1}).Retry {
				retries[account]++
				repeated++
			}
		}
		if float64(repeated) > fleetBurst+fleetShare*float64(total)+1e-6 {
			t.Fatalf("%d retries of %d requests", repeated, total)
		}
		for account, n := range retries {
			if float64(n) > accountBurst+accountShare*float64(requests[account])+1e-6 {
				t.Fatalf("account %s: %d retries of %d requests", account, n, requests[account])
			}
		}
	})
}

// amplify returns attempts per request and the share answered while half the
// targets fail. Every request may take up to 4 attempts, without breakers, so
// that only the budgets limit the retries.
func amplify(opts ...Option) (attempts, whole float64) {
	const requests = 20_000
	random := source()
	r := New(source(), append([]Option{WithAttempts(4)}, opts...)...)
	sent, done := 0, 0
	for range requests {
		r.Begin("a")
		for number := 1; ; number++ {
			sent++
			a := Attempt{Account: "a", Outcome: Whole, Number: number, Idempotent: true}
			if random.IntN(2) == 0 {
				a.Outcome = Unknown
			} else {
				done++
			}
			if !r.Conclude(start, a).Retry {
				break
			}
		}
	}
	return float64(sent) / requests, float64(done) / requests
}

// Guards against amplification over the fleet's share when half the targets fail.
func TestAmplification(t *testing.T) {
	if got, _ := amplify(); got > 1+fleetShare+fleetBurst/20_000.0 {
		t.Errorf("%.3f attempts per request, want at most 1 + %.2f", got, fleetShare)
	}
	if got, _ := amplify(WithShares(1000, 1000)); got < 1.5 {
		t.Errorf("%.3f attempts per request without budgets: the comparison is void", got)
	}
}

// Reports retry amplification with and without budgets when half the targets fail.
func BenchmarkAmplification(b *testing.B) {
	for _, c := range []struct {
		name string
		opts []Option
	}{{"budgets", nil}, {"none", []Option{WithShares(1000, 1000)}}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				attempts, whole := amplify(c.opts...)
				b.ReportMetric(attempts, "attempts/request")
				b.ReportMetric(whole, "whole/request")
			}
		})
	}
}
