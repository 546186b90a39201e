package executor

import "math"

const (
	prioritySteps = 100     // per factor of two in worth
	maxPriority   = 110_000 // above that of any positive float64, and within 32 bits
)

// enginePriority maps the worth of a request to the priority of an engine, which
// runs lower numbers first. It never rises with the worth; worths that differ by less
// than 0.7% can share a priority. Worth is an open-ended ratio, so the scale is
// logarithmic.
func enginePriority(worth float64) int {
	switch {
	case !(worth > 0): // also for NaN
		return maxPriority
	case math.IsInf(worth, 1):
		return -maxPriority
	}
	return -int(math.Floor(prioritySteps * math.Log2(worth)))
}
