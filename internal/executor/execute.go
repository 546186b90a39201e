package executor

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"daisylane/internal/admitter"
	"daisylane/internal/connector"
	"daisylane/internal/wirepb"
)

// Outcomes of End frames.
const (
	outcomeWhole       = "whole"
	outcomeUnknown     = "unknown"
	outcomeInterrupted = "interrupted"
)

// result is what became of a request that was sent to the target.
type result struct {
	status int
	header map[string]string
	usage  admitter.Usage
	err    error // nil if the answer is complete
}

// execute runs a started request at the target and keeps its output and charge.
func (s *Side) execute(j *job) {
	ctx, span := s.spans.Start(j.ctx, "run", attribute.String("request", j.id), attribute.String("target", s.cfg.Target.Name))
	defer span.End()
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	defer cancel()
	started, run := time.Now(), j.request()

	res, sent := s.send(ctx, j, run)
	if !sent {
		span.RecordError(res.err)
		s.notRun(j, res.err)
		return
	}
	end := &wirepb.End{
		Status: uint32(res.status), Header: res.header, Outcome: outcomeWhole,
		Usage: &wirepb.Usage{Prompt: res.usage.Prompt, Output: res.usage.Output},
	}
	if res.err != nil {
		span.RecordError(res.err)
		end.Outcome, end.Text = outcomeInterrupted, res.err.Error()
		if run.GetClaim() != "" {
			end.Outcome = outcomeUnknown
		}
		s.stopEngine(j.id, &res)
		end.Usage = &wirepb.Usage{Prompt: res.usage.Prompt, Output: res.usage.Output}
	}
	// The charge is kept before the router sees the end, so that its Billed finds the charge.
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Ended(time.Now(), j.id, res.usage) }))
	end.Load = s.load()
	j.finish(end)
	s.orphan(j)
	s.countEnd(end, time.Since(started))
	span.SetAttributes(attribute.String("outcome", end.Outcome), attribute.Int64("output", res.usage.Output))
	s.log.Info().Str("request", j.id).Str("outcome", end.Outcome).Int("status", res.status).
		Int64("prompt", res.usage.Prompt).Int64("output", res.usage.Output).
		Dur("took", time.Since(started)).AnErr("cause", res.err).Msg("request ended")
}

// stopEngine frees the slot of a run that broke off. The engine's own count of
// its tokens takes the place of the side's.
func (s *Side) stopEngine(id string, res *result) {
	if s.cfg.Target.Kind != Model {
		return
	}
	used, err := s.cancelStream(id)
	if err != nil {
		s.log.Debug().Str("request", id).Err(err).Msg("run of the engine not cancelled")
		return
	}
	if used != (admitter.Usage{}) {
		res.usage = used
	}
}

// send makes the call to the target. It reports false if no connection was
// made, so that nothing was sent.
func (s *Side) send(ctx context.Context, j *job, run *wirepb.Run) (result, bool) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if !sent.Swap(true) {
				j.accept()
			}
		},
	})
	req, err := s.request(ctx, j.id, run)
	if err != nil {
		return result{err: err}, false
	}
	res, err := s.single.Do(req)
	if err != nil {
		return result{err: cause(ctx, err)}, sent.Load()
	}
	defer res.Body.Close()
	out := s.receive(ctx, j, run, res)
	out.status, out.header = res.StatusCode, flatten(res.Header)
	if out.err != nil {
		out.err = cause(ctx, out.err)
	}
	return out, true
}

func (s *Side) notRun(j *job, err error) {
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.NotRun(time.Now(), j.id) }))
	refused := &connector.RefusedError{Reason: reasonTarget, Text: err.Error(), After: time.Second, Load: s.load()}
	switch {
	case errors.Is(err, errCancelled):
		refused.Reason, refused.After = reasonCancelled, 0
	case errors.Is(err, errDeadline):
		refused.Reason = string(admitter.Deadline)
	case errors.Is(err, errBody):
		refused.Reason, refused.After = reasonBody, 0
	}
	j.refuse(refused)
	s.countRefusal(refused.Reason)
	s.log.Warn().Str("request", j.id).Str("reason", refused.Reason).Err(err).Msg("request not run")
}

// cause returns why ctx ended, or err if it did not.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// newClient returns a client without redirects. A single client makes a
// connection per call: on a kept connection net/http may repeat a call, and one
// that the target just closed leaves open whether the call ran.
func newClient(single bool) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DisableKeepAlives = single
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = idleConnections
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
