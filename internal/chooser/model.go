package chooser

import (
	"math"
	"time"
)

// Properties of an estimate, in the order of [features].
const (
	featureConstant    = iota // 1
	featureUncached           // thousands of prompt tokens to prefill
	featurePairs              // millions of pairs of tokens, for the attention of the prefill
	featureBacklog            // thousands of tokens that own requests are waiting for
	featureOthers             // thousands of tokens that requests of other routers are waiting for
	featureRunning            // running requests
	featureQueued             // requests beyond the slots of the engine
	featureSameRegion         // 1 for an engine in another data centre of the region
	featureOtherRegion        // 1 for an engine in another region
	featureCount
)

// features are the inputs of an estimate of the time to first token.
type features [featureCount]float64

// Defaults of a service without answers, in milliseconds per unit of each feature, and
// their standard deviations. 27 ms for a thousand prompt tokens and 1 ms between data
// centres are usual.
var (
	defaultCosts = features{0, 27, 0, 27, 27, 1, 40, 2, 2 * float64(regionLatency) / float64(time.Millisecond)}
	costSpread   = features{30, 8, 0.15, 8, 12, 0.7, 20, 1, 10}
)

const (
	// Standard deviation of the speed of all engines of a service, as a share of the
	// default.
	speedSpread = 0.8
	// Standard deviation of a measured time to first token, as a share of the estimate,
	// and its constant part in milliseconds.
	measureSpread   = 0.5
	measureConstant = 10
	// Limit of one measurement's deviation from the estimate, in standard deviations, so
	// that a stalled engine or a busy processor does not spoil the costs.
	maxDeviation = 0.6
	// Time after which what was learned is as uncertain as the defaults, if nothing is
	// measured in it.
	forgetTime = 20 * time.Second
	// Number of priorities of requests to engines.
	priorities = 10
	// Time constants of the mean load of the engines of a service, and of the weight of
	// a report against this mean.
	meanLoadTime = 2 * time.Second
	reportWeight = time.Second
)

// latencyModel estimates the time to first token of the engines of a service, for
// requests of one priority. It is a Kalman filter of the cost of each feature: the
// first measurements count most, and later ones as much as the costs may have changed
// since.
type latencyModel struct {
	costs      features
	covariance [featureCount]features
	updated    time.Time
	measured   int
}

// defaultCovariances is the uncertainty of the defaults.
var defaultCovariances = func() (c [featureCount]features) {
	for i := range c {
		for j := range c {
			c[i][j] = defaultCovariance(i, j)
		}
	}
	return c
}()

// defaultCovariance returns one element of defaultCovariances. The costs depend on the speed of
// the engines together.
func defaultCovariance(i, j int) float64 {
	c := speedSpread * speedSpread * defaultCosts[i] * defaultCosts[j]
	if i >= featureSameRegion || j >= featureSameRegion {
		c = 0
	}
	if i == j {
		c += costSpread[i] * costSpread[i]
	}
	return c
}

func newLatencyModel() *latencyModel {
	return &latencyModel{costs: defaultCosts, covariance: defaultCovariances}
}

// cost returns the cost of a feature. A negative one is an artefact of noise.
func (m *latencyModel) cost(i int) float64 { return max(0, m.costs[i]) }

// estimate returns the time to first token in milliseconds.
func (m *latencyModel) estimate(x *features) float64 {
	sum := 0.0
	for i, v := range x {
		if v != 0 {
			sum += v * max(0, m.costs[i])
		}
	}
	return sum
}

// update learns from a measured time to first token in milliseconds.
func (m *latencyModel) update(now time.Time, x *features, measured float64) {
	m.forget(now)
	var gain features // covariance times x, later divided by the variance
	estimate, variance := 0.0, 0.0
	for i := range x {
		for j, v := range x {
			gain[i] += m.covariance[i][j] * v
		}
		estimate += m.costs[i] * x[i]
	}
	for i, v := range x {
		variance += v * gain[i]
	}
	noise := measureSpread*max(estimate, measured/3) + measureConstant
	variance += noise * noise
	limit := maxDeviation * math.Sqrt(variance)
	deviation := min(max(measured-estimate, -limit), limit) / variance
	for i := range m.costs {
		m.costs[i] += gain[i] * deviation
		for j := range m.covariance[i] {
			m.covariance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	m.measured++
}

// forget increases the uncertainty for the time since the last update.
func (m *latencyModel) forget(now time.Time) {
	share := 0.0
	if !m.updated.IsZero() {
		share = max(0, 1-decay(now, m.updated, forgetTime))
	}
	m.updated = now
	for i := range m.covariance {
		for j := range m.covariance[i] {
			m.covariance[i][j] += share * (defaultCovariances[i][j] - m.covariance[i][j])
		}
	}
}

// serviceModel is what the engines of a service have in common.
type serviceModel struct {
	learns             bool // otherwise the defaults apply
	models             [priorities]*latencyModel
	running            movingMean
	meanUncachedTokens float64 // moving mean of the uncached prompt tokens of own requests
	waiting            movingMean
}

// model returns the model of a priority. One that has not measured anything yet begins
// with what the nearest priority has learned.
func (s *serviceModel) model(priority int) *latencyModel {
	priority = min(max(0, priority), priorities-1)
	if s.models[priority] == nil {
		m := newLatencyModel()
		for distance := 1; distance < priorities; distance++ {
			for _, i := range []int{priority - distance, priority + distance} {
				if i >= 0 && i < priorities && s.models[i] != nil && m.measured == 0 {
					*m = *s.models[i]
				}
			}
		}
		s.models[priority] = m
	}
	return s.models[priority]
}

// movingMean is a mean of reported counts over the last seconds.
type movingMean struct {
	sum, weight float64
	updated     time.Time
}

func (m *movingMean) add(now time.Time, v float64) {
	f := decay(now, m.updated, meanLoadTime)
	m.sum, m.weight, m.updated = m.sum*f+v, m.weight*f+1, now
}

func (m *movingMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
