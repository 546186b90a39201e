package executor

import "math"

const (
	prioritySteps = 100     // steps per doubling of the worth
	maxPriority   = 110_000 // exceeds the priority of every positive float64 and fits into 32 bits
)

// enginePriority maps the worth of a request to an engine priority. Engines run lower
// priorities first, so the priority never increases with the worth. The scale is
// logarithmic because worth is a ratio without an upper bound. Worths that differ by
// less than 0.7% can have the same priority.
func enginePriority(worth float64) int {
	switch {
	case !(worth > 0): // also true for NaN
		return maxPriority
	case math.IsInf(worth, 1):
		return -maxPriority
	}
	return -int(math.Floor(prioritySteps * math.Log2(worth)))
}
