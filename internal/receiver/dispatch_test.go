package receiver

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"daisylane/internal/chooser"
	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
	"daisylane/internal/retrier"
)

// Guards against a request that is admitted behind a backlog that is too long for it, a
// refusal of a retry after the request was sent once, and refused requests that
// count as load and so lengthen the estimated backlog.
func TestOverload(t *testing.T) {
	d := NewDispatcher(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))))
	d.WithRoster(func(r *follower.Roster) {
		r.Put(follower.Target{ID: "i-1", Service: "engine", Addr: "10.0.0.1:80", Slots: 64})
	})
	service := &resolver.Service{Name: "engine", Engine: &resolver.Engine{Slots: 64, MaxTokensPerEvent: 4}}
	now := time.Unix(1000, 0)
	// Prefill of this prompt takes an engine about 2.7 s, by its data sheet.
	prompt := chooser.PrefillRequest{Parts: []chooser.Part{{ID: 1, Tokens: 100_000}}, Tokens: 100_000, FirstTokenTarget: time.Second, ResponseTimeout: 10 * time.Second}
	first, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	var backlog time.Duration
	for range 3 {
		chosen, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true)
		var overloaded overloadError
		if !errors.As(err, &overloaded) || overloaded.retryAfter <= 0 || chosen.Target.ID != "i-1" || backlog > 0 && chosen.Choice.Backlog != backlog {
			t.Errorf("choice behind a backlog of %v: %+v, %v", backlog, chosen, err)
		}
		backlog = chosen.Choice.Backlog
	}
	retried, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, false)
	if err != nil {
		t.Errorf("retry of a sent request: %v", err)
	}
	d.FinishAttempt(now, first, nil)
	d.FinishAttempt(now, retried, nil)
	if _, err := d.Choose(now, service, restrictor.Places{}, prompt, nil, nil, true); err != nil {
		t.Errorf("choice without a backlog: %v", err)
	}
	if _, err := d.Choose(now, service, restrictor.Places{}, prompt, []string{"i-1"}, nil, true); !errors.Is(err, errNoTargets) {
		t.Errorf("choice without a target left: %v", err)
	}
}

// Guards against a stream that is refused for an overload when its caller takes it up,
// although it has begun.
func TestTurnedAway(t *testing.T) {
	tests := []struct {
		name      string
		resumable bool
		after     string // last event that the caller has
		sends     int
		want      bool
	}{
		{name: "new stream", resumable: true, want: true},
		{name: "sent before", resumable: true, sends: 1},
		{name: "taken up", resumable: true, after: "7"},
		{name: "stream that may not be resumed", after: "7", want: true},
	}
	for _, tt := range tests {
		j := &job{route: &resolver.Route{Resumable: tt.resumable}, meta: RequestMeta{LastEventID: tt.after}, sends: tt.sends}
		if got := j.mayBeTurnedAway(); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against requests to a target before the pause that it asked for has ended, against
// callers that are told to come back before that, and against a pause that outlasts the process
// that asked for it, also if its response is read late.
func TestPauseOfProcess(t *testing.T) {
	const pause = 10 * time.Minute
	first := follower.Target{ID: "i-1", Service: "booking", Addr: "10.0.0.1:80", Incarnation: 1, Slots: 8}
	second, moved := first, first
	second.Incarnation, moved.Addr = 2, "10.0.0.2:80"
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		change func(*follower.Roster)
		late   bool // the process asks after the change
		after  time.Duration
		want   time.Duration // left of the pause
	}{
		{name: "same process", change: func(*follower.Roster) {}, after: pause / 5, want: pause * 4 / 5},
		{name: "pause has ended", change: func(*follower.Roster) {}, after: pause},
		{name: "listed again", change: func(r *follower.Roster) { r.Drop(first.ID); r.Put(first) }, want: pause},
		{name: "started again", change: func(r *follower.Roster) { r.Put(second) }},
		{name: "started again after its removal", change: func(r *follower.Roster) { r.Drop(first.ID); r.Put(second) }},
		{name: "started at another address", change: func(r *follower.Roster) { r.Put(moved) }},
		{name: "late response of the former process", change: func(r *follower.Roster) { r.Put(second) }, late: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDispatcher(chooser.Place{}, nil, retrier.New(rand.New(rand.NewPCG(1, 1))))
			d.WithRoster(func(r *follower.Roster) { r.Put(first) })
			if !tt.late {
				d.RecordResponse(now, now, first, ResponseMeta{Pause: pause})
			}
			d.WithRoster(tt.change)
			if tt.late {
				d.RecordResponse(now, now, first, ResponseMeta{Pause: pause})
			}
			_, err := d.Choose(now.Add(tt.after), &resolver.Service{Name: "booking"}, restrictor.Places{}, chooser.PrefillRequest{}, nil, nil, true)
			var paused pausedError
			errors.As(err, &paused)
			if paused.resumesIn != tt.want || (err == nil) != (tt.want == 0) {
				t.Errorf("got %v, want a pause of %v", err, tt.want)
			}
		})
	}
}
