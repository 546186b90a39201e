package chooser

import (
	"math"
	"time"
)

// The shares and times are those with which callers get most in
// TestStreamsUnderLoad without losing at the usual load.
const (
	looseShare   = 1.5                   // of the objective of the first token that a passing backlog may take
	strictShare  = 0.4                   // of it that a standing backlog may take
	standingTime = time.Second           // after which a backlog counts as standing; a single long prompt is read by then
	lowBacklog   = 80 * time.Millisecond // a shorter one is a usual prompt, read by half
	endShare     = 1.0                   // of the caller's patience that the whole answer may be expected to take
	strictEnd    = 0.7                   // of it behind a standing backlog
	paceTime     = 2 * time.Second       // over which pauses are averaged; shorter stalls come from single long prompts
	fewEvents    = 10                    // with which a mean pause counts half

	slowWeight  = 0.1                  // of the newest request in the slowness of an engine
	slowTime    = 10 * time.Second     // in which the slowness is forgotten
	maxSlowness = 8                    // times the estimate; more is a fault of the engine, not its speed
	minSlowness = 0.5                  // times the estimate
	minEstimate = 5 * time.Millisecond // a shorter estimate says nothing about the slowness
)

// Admit reports whether a request should be sent to the target chosen for it. If
// not, it returns after what time there may be room.
//
// It answers loads above what the engines can read. An engine reads prompts in
// chunks between two steps, so a backlog slows all answers that it is giving, until
// none ends in time. Refusing is then better for the callers as a whole than late
// answers, and an engine that keeps nothing of the prompt would only have more to
// read. A backlog that passes, as after a start, is waited for.
func (p *Prefill) Admit(r Prompt, pick Pick) (after time.Duration, ok bool) {
	first, whole := looseShare, endShare
	if pick.Standing > standingTime {
		first, whole = strictShare, strictEnd
	}
	if limit := time.Duration(first * float64(r.Aim)); r.Aim > 0 && pick.Backlog > limit {
		return pick.Backlog - limit, false
	}
	end := pick.Wait + time.Duration(r.Events)*pick.Pause
	if limit := time.Duration(whole * float64(r.Patience)); r.Patience > 0 && end > limit {
		return min(end-limit, paceTime), false
	}
	return 0, true
}

// pace is the mean pause between events of late. It is a value.
type pace struct {
	events float64 // decayed
	total  float64 // decayed sum of their pauses, in seconds
	when   time.Time
}

func (p pace) with(now time.Time, pause time.Duration) pace {
	f := decay(now, p.when, paceTime)
	return pace{p.events*f + 1, p.total*f + pause.Seconds(), now}
}

// at returns the pause, which is forgotten while no events come.
func (p pace) at(now time.Time) time.Duration {
	f := decay(now, p.when, paceTime)
	return time.Duration(p.total * f / (p.events*f + fewEvents) * float64(time.Second))
}

// slowness is how many times longer than estimated first tokens have taken at an
// engine of late. It is a value; zero is the estimate itself.
type slowness struct {
	excess float64 // above 1
	when   time.Time
}

func (s slowness) with(now time.Time, took, estimate time.Duration) slowness {
	if estimate < minEstimate {
		return s
	}
	ratio := min(max(float64(took)/float64(estimate), minSlowness), maxSlowness)
	excess := s.at(now) - 1
	return slowness{excess + slowWeight*(ratio-1-excess), now}
}

func (s slowness) at(now time.Time) float64 { return 1 + s.excess*decay(now, s.when, slowTime) }

func decay(now, when time.Time, span time.Duration) float64 {
	return math.Exp(-now.Sub(when).Seconds() / span.Seconds())
}
