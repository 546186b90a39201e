package scheduler_test

import (
	"testing"
	"time"

	"daisylane/internal/scheduler"
)

// Guards against less urgent requests that are admitted where more urgent ones are refused,
// refusals by an idle target, priorities that count although nobody uses them, and prompts that
// are read again at busy targets.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	busy := scheduler.Estimate{Wait: 700 * ms, Backlog: 600 * ms, BacklogAge: 3 * time.Second}
	for _, tt := range []struct {
		name      string
		urgent    time.Duration // time since a request of priority 0, 0: none
		priority  int
		estimate  scheduler.Estimate
		left      time.Duration
		elsewhere bool
		want      scheduler.Decision
	}{
		{"urgent", time.Second, 0, busy, 0, false, scheduler.Decision{Admit: true}},
		{"less urgent", time.Second, 2, busy, 0, false, scheduler.Decision{After: 50 * ms}},
		{"no urgent ones in use", 0, 2, busy, 0, false, scheduler.Decision{Admit: true}},
		{"urgent ones no longer in use", time.Minute, 2, busy, 0, false, scheduler.Decision{Admit: true}},
		{"transient backlog", time.Second, 2, scheduler.Estimate{Wait: 700 * ms, Backlog: 600 * ms}, 0, false, scheduler.Decision{Admit: true}},
		{"long prompt without a backlog", time.Second, 9, scheduler.Estimate{Wait: 5 * time.Second}, 0, false, scheduler.Decision{Admit: true}},
		{"cannot end in time", time.Second, 0, scheduler.Estimate{Wait: 100 * ms, Rest: time.Second}, time.Second, false, scheduler.Decision{After: 100 * ms}},
		{"priority out of range", time.Second, 99, busy, 0, false, scheduler.Decision{After: 50 * ms}},
		{"busy elsewhere", time.Second, 0, scheduler.Estimate{Wait: 300 * ms, Backlog: 50 * ms}, 0, true, scheduler.Decision{After: 30 * ms}},
		{"idle elsewhere", time.Second, 0, scheduler.Estimate{Wait: 300 * ms, Backlog: 10 * ms}, 0, true, scheduler.Decision{Admit: true}},
	} {
		s := scheduler.New()
		if tt.urgent > 0 {
			s.Decide(now.Add(-tt.urgent), scheduler.Request{Objective: time.Second}, scheduler.Estimate{})
		}
		got := s.Decide(now, scheduler.Request{Priority: tt.priority, Objective: time.Second, Left: tt.left, Elsewhere: tt.elsewhere}, tt.estimate)
		if got.After = got.After.Round(ms); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Guards against an account that takes the shares of others by asking for more, limits for
// the others, for accounts that ask alike and for requests without an account, and refusals
// by a target without a backlog.
func TestShares(t *testing.T) {
	const ms = time.Millisecond
	busy := scheduler.Estimate{Wait: 700 * ms, Backlog: 600 * ms, BacklogAge: 3 * time.Second}
	full := scheduler.Estimate{Wait: 900 * ms, Backlog: 800 * ms, BacklogAge: 3 * time.Second}
	idle := scheduler.Estimate{Wait: 100 * ms}
	for _, tt := range []struct {
		name     string
		a, b     int // requests of the accounts in 100 ms
		refused  bool
		account  string
		estimate scheduler.Estimate
		want     bool
	}{
		{"surge", 8, 1, true, "a", busy, false},
		{"usual demand beside a surge", 8, 1, true, "b", busy, true},
		{"equal demand", 4, 4, true, "a", busy, true},
		{"surge while nothing is refused", 8, 1, false, "a", busy, true},
		{"surge at an idle target", 8, 1, true, "a", idle, true},
		{"no account", 8, 1, true, "", busy, true},
	} {
		s, now := scheduler.New(), time.Unix(1000, 0)
		for i := range 200 {
			now = now.Add(100 * ms)
			e := busy
			if tt.refused && i%2 == 0 {
				e = full
			}
			for range tt.b {
				s.Decide(now, scheduler.Request{Account: "b", Objective: time.Second}, busy)
			}
			for range tt.a {
				s.Decide(now, scheduler.Request{Account: "a", Objective: time.Second}, e)
			}
		}
		got := s.Decide(now.Add(ms), scheduler.Request{Account: tt.account, Objective: time.Second}, tt.estimate)
		if got.Admit != tt.want {
			t.Errorf("%s: admitted %v, want %v", tt.name, got.Admit, tt.want)
		}
	}
}
