package chooser

import (
	"math"
	"time"
)

const (
	paceTime  = 2 * time.Second // over which pauses are averaged; shorter stalls come from single long prompts
	fewEvents = 10              // with which a mean pause counts half

	slowWeight  = 0.1                  // of the newest request in the slowness of an engine
	slowTime    = 10 * time.Second     // in which the slowness is forgotten
	maxSlowness = 8                    // times the estimate; more is a fault of the engine, not its speed
	minSlowness = 0.5                  // times the estimate
	minEstimate = 5 * time.Millisecond // a shorter estimate says nothing about the slowness
)

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
