package executor

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"daisylane/internal/admitter"
	"daisylane/internal/reporter"
	"daisylane/internal/wirepb"
)

const headerTimeout = 5 * time.Second

// Handler returns the handler of the metrics and of the platform's health and
// readiness probes.
func (s *Side) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := s.unreadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return mux
}

// unreadyReason returns why the side admits no requests, or "" if it admits them.
func (s *Side) unreadyReason() string {
	reason := "stopped"
	s.admission.do(func(a *admitter.Admitter) {
		switch {
		case !a.Registered():
			reason = string(admitter.Unregistered)
		case a.Draining():
			reason = string(admitter.Stopping)
		default:
			reason = ""
		}
	})
	return reason
}

// serveHTTP serves handler at addr until stop is called.
func serveHTTP(addr string, handler http.Handler, log zerolog.Logger) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("metrics server failed")
		}
	}()
	return func() { _ = srv.Close() }, nil
}

func (s *Side) updateGauges() {
	var open, charges int
	s.admission.do(func(a *admitter.Admitter) { open, charges = a.OpenCount(), a.UnbilledCount() })
	s.scope.Tagged(map[string]string{"service": s.cfg.Target.Name}).Gauge(reporter.InFlight).Update(float64(open))
	s.scope.Gauge(reporter.UnbilledCharges).Update(float64(charges))
}

func (s *Side) countRefusal(reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter(reporter.Refusals).Inc(1)
}

// countEnd updates the request metrics after a request has ended.
func (s *Side) countEnd(end *wirepb.End, took time.Duration) {
	tags := map[string]string{"service": s.cfg.Target.Name, "outcome": end.GetOutcome()}
	s.scope.Tagged(tags).Counter(reporter.Requests).Inc(1)
	s.scope.Tagged(tags).Histogram(reporter.RequestSeconds, reporter.SecondsBuckets).RecordDuration(took)
	if s.cfg.Target.Kind != KindModel {
		return
	}
	for kind, n := range map[string]int64{"prompt": end.GetUsage().GetPrompt(), "output": end.GetUsage().GetOutput()} {
		s.scope.Tagged(map[string]string{"model": s.cfg.Target.Model, "kind": kind}).Counter(reporter.Tokens).Inc(n)
	}
}
