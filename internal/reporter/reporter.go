// Package reporter exposes the metrics of a process with tally and Prometheus.
//
// # Usage
//
//	rep := reporter.New(map[string]string{"instance": name}, reporter.FlushInterval, func(err error) {
//		log.Error().Err(err).Msg("metric dropped")
//	})
//	defer rep.Close()
//	mux.Handle("GET /metrics", rep.Handler())
//	rep.Scope().Tagged(map[string]string{"outcome": "whole"}).Counter(reporter.Requests).Inc(1)
//
// The names of all metrics are in [Metrics], with kind, unit and tags. They are
// exposed with the prefix "daisylane_".
package reporter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	metricPrefix = "daisylane"
	// FlushInterval is the default interval at which the exposed values are updated.
	FlushInterval = time.Second
)

// SecondsBuckets are the buckets of duration histograms, from 1 ms to 65 s.
var SecondsBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Reporter exposes the metrics of a process. It owns their root scope.
type Reporter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a reporter whose metrics all have the given tags. Each reporter has
// its own registry. If a metric is used with different tag names than before, it is
// dropped and the error is passed to failed.
func New(tags map[string]string, interval time.Duration, failed func(error)) *Reporter {
	prom := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       prometheus.NewRegistry(),
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError:  failed,
	})
	sanitize := tallyprom.DefaultSanitizerOpts
	sanitize.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', ':', '/'},
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   tags,
		CachedReporter:         prom,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Reporter{scope, closer, prom.HTTPHandler()}
}

// Scope returns the root scope, in which metrics are created.
func (r *Reporter) Scope() tally.Scope { return r.scope }

// Handler serves the metrics in Prometheus format.
func (r *Reporter) Handler() http.Handler { return r.handler }

// Close flushes the values and closes the scope.
func (r *Reporter) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
