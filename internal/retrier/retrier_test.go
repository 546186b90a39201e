package retrier

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// Guards against retrying a call that may have run and is not idempotent, and against
// retries after the deadline, after the last attempt or after part of the response was
// delivered.
func TestRetryDecision(t *testing.T) {
	tests := []struct {
		name   string
		a      Attempt
		retry  bool
		reason string
	}{
		{"complete", Attempt{Outcome: Complete, Number: 1}, false, ReasonComplete},
		{"refused", Attempt{Outcome: NotRun, Refused: true, Number: 1}, true, ReasonAllowed},
		{"unknown", Attempt{Outcome: Unknown, Number: 1}, false, ReasonMayHaveRun},
		{"interrupted", Attempt{Outcome: Interrupted, Number: 1}, false, ReasonMayHaveRun},
		{"unknown, idempotent", Attempt{Outcome: Unknown, Idempotent: true, Number: 1}, true, ReasonAllowed},
		{"delivered in part", Attempt{Outcome: Interrupted, Idempotent: true, Delivered: true, Number: 1}, false, ReasonDelivered},
		{"last attempt", Attempt{Outcome: NotRun, Number: maxAttempts}, false, ReasonAttempts},
		{"deadline", Attempt{Outcome: NotRun, Number: 1, Deadline: start}, false, ReasonDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := New(newRNG()).Conclude(start, tt.a)
			if v.Retry != tt.retry || v.Reason != tt.reason || v.Outcome != tt.a.Outcome {
				t.Errorf("verdict = %+v, want retry %v, reason %s", v, tt.retry, tt.reason)
			}
			if callerMayRetry := !v.Retry && tt.a.Outcome == NotRun; callerMayRetry && v.RetryAfter <= 0 {
				t.Errorf("refusal without a retry-after time: %+v", v)
			}
		})
	}
}

// Guards against sending requests to a failing target, and against admitting more than
// one trial at a time while its circuit breaker is half-open.
func TestCircuitBreaker(t *testing.T) {
	r := New(newRNG())
	fail := Attempt{Target: "a", Outcome: NotRun, Number: 1}
	for range failureThreshold {
		if !r.Admit(start, "a") {
			t.Fatal("circuit breaker opened below the failure threshold")
		}
		r.Conclude(start, fail)
	}
	trial := start.Add(minOpenTime)
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
	if r.State(trial.Add(minOpenTime), "a") != Open || r.State(trial.Add(2*minOpenTime), "a") != HalfOpen {
		t.Error("a failed trial does not double the open time")
	}
	if !r.Admit(trial.Add(2*minOpenTime), "a") {
		t.Fatal("no second trial is admitted")
	}
	r.Conclude(trial.Add(2*minOpenTime), Attempt{Target: "a", Outcome: Complete})
	if r.State(trial, "a") != Closed {
		t.Error("a successful trial does not close the circuit breaker")
	}
}

// Guards against opening the circuit breaker of a healthy target that refuses requests,
// for example because its queue is full.
func TestRefusalKeepsBreakerClosed(t *testing.T) {
	r := New(newRNG())
	for range 2 * failureThreshold {
		r.Conclude(start, Attempt{Target: "a", Outcome: NotRun, Refused: true, Number: 1})
	}
	if r.State(start, "a") != Closed {
		t.Error("refusals opened the circuit breaker")
	}
}

// Guards against retry storms: in any sequence of events the retries of the fleet and
// of each account must stay within the burst plus the ratio of the requests.
func TestRetryBudgets(t *testing.T) {
	_ = flag.Set("rapid.seed", "11")
	rapid.Check(t, func(t *rapid.T) {
		r := New(newRNG())
		requests, retries := map[string]int{}, map[string]int{}
		totalRequests, totalRetries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			if rapid.Bool().Draw(t, "request") {
				r.CountRequest(account)
				requests[account]++
				totalRequests++
				continue
			}
			if r.Conclude(start, Attempt{Account: account, Outcome: Unknown, Idempotent: true, Number: 1}).Retry {
				retries[account]++
				totalRetries++
			}
		}
		if float64(totalRetries) > fleetRetryBurst+fleetRetryRatio*float64(totalRequests)+1e-6 {
			t.Fatalf("%d retries of %d requests", totalRetries, totalRequests)
		}
		for account, n := range retries {
			if float64(n) > accountRetryBurst+accountRetryRatio*float64(requests[account])+1e-6 {
				t.Fatalf("account %s: %d retries of %d requests", account, n, requests[account])
			}
		}
	})
}

// simulateRetries returns the attempts per request and the share of requests that
// succeed while half of the attempts fail. Each request may have up to 4 attempts and
// circuit breakers are not used, so that only the budgets limit the retries.
func simulateRetries(opts ...Option) (attempts, succeeded float64) {
	const requests = 20_000
	rng := newRNG()
	r := New(newRNG(), append([]Option{WithAttempts(4)}, opts...)...)
	sent, completed := 0, 0
	for range requests {
		r.CountRequest("a")
		for number := 1; ; number++ {
			sent++
			a := Attempt{Account: "a", Outcome: Complete, Number: number, Idempotent: true}
			if rng.IntN(2) == 0 {
				a.Outcome = Unknown
			} else {
				completed++
			}
			if !r.Conclude(start, a).Retry {
				break
			}
		}
	}
	return float64(sent) / requests, float64(completed) / requests
}

// Guards against retry amplification above the fleet's retry ratio when half of the
// targets fail. Without budgets, amplification must be measurable.
func TestAmplification(t *testing.T) {
	if got, _ := simulateRetries(); got > 1+fleetRetryRatio+fleetRetryBurst/20_000.0 {
		t.Errorf("%.3f attempts per request, want at most 1 + %.2f", got, fleetRetryRatio)
	}
	if got, _ := simulateRetries(WithRatios(1000, 1000)); got < 1.5 {
		t.Errorf("%.3f attempts per request without budgets, too few for the comparison", got)
	}
}

// Measures retry amplification with and without budgets when half of the targets fail.
func BenchmarkAmplification(b *testing.B) {
	for _, c := range []struct {
		name string
		opts []Option
	}{{"budgets", nil}, {"none", []Option{WithRatios(1000, 1000)}}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				attempts, succeeded := simulateRetries(c.opts...)
				b.ReportMetric(attempts, "attempts/request")
				b.ReportMetric(succeeded, "whole/request")
			}
		})
	}
}
