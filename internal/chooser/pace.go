package chooser

import (
	"math"
	"time"
)

const (
	// Decay time of the interval average. Shorter stalls come from single long prompts.
	intervalDecayTime = 2 * time.Second
	// Weight, in events, of an initial interval of zero. After as many events the
	// average is half of the measured mean.
	intervalPriorEvents = 10

	// Upper limit of the slowdown. A higher ratio indicates a fault of the engine, not its speed.
	maxSlowdown = 8
	minSlowdown = 0.5
	// Shorter estimates, in milliseconds, are too short to measure the slowdown.
	minSlowdownEstimate = 5
)

const (
	// Weight of the newest request in the slowdown of an engine.
	slowdownWeight    = 0.1
	slowdownDecayTime = 10 * time.Second
)

// intervalAverage is an exponentially decaying mean of the interval between events
// of the responses of an engine. It is immutable.
type intervalAverage struct {
	events       float64 // decayed count
	totalSeconds float64 // decayed sum of their intervals
	updated      time.Time
}

// with returns the average with one more interval.
func (a intervalAverage) with(now time.Time, interval time.Duration) intervalAverage {
	f := decay(now, a.updated, intervalDecayTime)
	return intervalAverage{a.events*f + 1, a.totalSeconds*f + interval.Seconds(), now}
}

// at returns the mean interval, which decays to zero while there are no events.
func (a intervalAverage) at(now time.Time) time.Duration {
	f := decay(now, a.updated, intervalDecayTime)
	return time.Duration(a.totalSeconds * f / (a.events*f + intervalPriorEvents) * float64(time.Second))
}

// slowdown is an exponential moving average of the ratio of measured to estimated
// time to first token at an engine. It is immutable; the zero value means a ratio
// of 1.
type slowdown struct {
	excess  float64 // ratio minus 1
	updated time.Time
}

// with returns the slowdown updated by a measured time to first token.
func (s slowdown) with(now time.Time, took, estimate float64) slowdown {
	if estimate < minSlowdownEstimate {
		return s
	}
	ratio := min(max(took/estimate, minSlowdown), maxSlowdown)
	excess := s.at(now) - 1
	return slowdown{excess + slowdownWeight*(ratio-1-excess), now}
}

// at returns the ratio, which decays to 1 while there are no requests.
func (s slowdown) at(now time.Time) float64 {
	return 1 + s.excess*decay(now, s.updated, slowdownDecayTime)
}

// decay returns the factor by which a value from an earlier time has decayed.
func decay(now, updated time.Time, decayTime time.Duration) float64 {
	return math.Exp(-now.Sub(updated).Seconds() / decayTime.Seconds())
}
