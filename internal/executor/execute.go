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
	"daisylane/internal/reporter"
	"daisylane/internal/verifier"
	"daisylane/internal/wirepb"
)

// Outcomes of End frames.
const (
	outcomeComplete    = "whole"
	outcomeUnknown     = "unknown"
	outcomeInterrupted = "interrupted"
)

// result is the outcome of a request that was sent to the target.
type result struct {
	status int
	header map[string]string
	usage  admitter.Usage
	err    error // nil if the response is complete
}

// execute runs an admitted request at the target, buffers its output and records
// its charge.
func (s *Side) execute(j *job) {
	ctx, span := s.spans.Start(j.ctx, "run", attribute.String("request", j.id), attribute.String("target", s.cfg.Target.Name))
	defer span.End()
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	defer cancel()
	started, run := time.Now(), j.runMessage()

	res, sent := s.send(ctx, j, run)
	if !sent {
		span.RecordError(res.err)
		s.refuseNotRun(j, res.err)
		return
	}
	end := &wirepb.End{
		Status: uint32(res.status), Header: res.header, Outcome: outcomeComplete,
		Usage: &wirepb.Usage{Prompt: res.usage.Prompt, Output: res.usage.Output},
	}
	if res.err != nil {
		span.RecordError(res.err)
		end.Outcome, end.Text = outcomeInterrupted, res.err.Error()
		if run.GetClaim() != "" {
			end.Outcome = outcomeUnknown
		}
		if ctx.Err() == nil {
			end.Crash = s.detectCrash(ctx, j.id)
		}
		s.abortEngineRun(j.id, &res)
		end.Usage = &wirepb.Usage{Prompt: res.usage.Prompt, Output: res.usage.Output}
	}
	// The charge is recorded before the router receives End. Otherwise the router's
	// Billed could arrive before the charge exists.
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.End(time.Now(), j.id, res.usage) }))
	end.Load = s.loadMessage()
	j.finish(end)
	s.settleUnread(j)
	s.countEnd(end, time.Since(started))
	span.SetAttributes(attribute.String("outcome", end.Outcome), attribute.Int64("output", res.usage.Output))
	s.log.Info().Str("request", j.id).Str("outcome", end.Outcome).Int("status", res.status).
		Int64("prompt", res.usage.Prompt).Int64("output", res.usage.Output).
		Dur("took", time.Since(started)).AnErr("cause", res.err).Msg("request ended")
}

// detectCrash returns when the target ended in Unix milliseconds, 0 if it has not.
func (s *Side) detectCrash(ctx context.Context, id string) uint64 {
	at := s.crashes.detect(ctx)
	if at.IsZero() {
		return 0
	}
	s.scope.Tagged(map[string]string{"service": s.cfg.Target.Name}).Counter(reporter.Crashes).Inc(1)
	s.log.Warn().Str("request", id).Time("crash", at).Msg("target ended under a request")
	return uint64(at.UnixMilli())
}

// abortEngineRun cancels an interrupted run at the engine to free its slot. The
// engine's token counts, if it reports any, replace those of the side in res.
func (s *Side) abortEngineRun(id string, res *result) {
	if s.cfg.Target.Kind != KindModel {
		return
	}
	used, err := s.cancelEngineRun(id)
	if err != nil {
		s.log.Debug().Str("request", id).Err(err).Msg("engine run not cancelled")
		return
	}
	if used != (admitter.Usage{}) {
		res.usage = used
	}
}

// send sends the request to the target and receives the response. It returns false
// if no connection was made, in which case nothing was sent.
func (s *Side) send(ctx context.Context, j *job, run *wirepb.Run) (result, bool) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if !sent.Swap(true) {
				s.crashes.recordConnection()
				j.markAccepted()
			}
		},
	})
	req, err := s.newTargetRequest(ctx, j.id, run)
	if err != nil {
		return result{err: err}, false
	}
	res, err := s.unpooledClient.Do(req)
	if err != nil {
		return result{err: contextCause(ctx, err)}, sent.Load()
	}
	defer res.Body.Close()
	out := s.receiveResponse(ctx, j, run, res)
	out.status, out.header = res.StatusCode, flattenHeader(res.Header)
	if out.err != nil {
		out.err = contextCause(ctx, out.err)
	}
	return out, true
}

// refuseNotRun refuses a request of which nothing was sent to the target.
func (s *Side) refuseNotRun(j *job, err error) {
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.ReleaseUnrun(time.Now(), j.id) }))
	refused := &connector.RefusedError{Reason: reasonTarget, Text: err.Error(), RetryAfter: time.Second, Load: s.loadMessage()}
	switch {
	case errors.Is(err, errCancelled):
		refused.Reason, refused.RetryAfter = reasonCancelled, 0
	case errors.Is(err, errDeadline):
		refused.Reason = string(admitter.Deadline)
	case errors.Is(err, errInvalidBody):
		refused.Reason, refused.RetryAfter = reasonMalformed, 0
	}
	j.refuse(refused)
	s.countRefusal(refused.Reason)
	s.log.Warn().Str("request", j.id).Str("reason", refused.Reason).Err(err).Msg("request not run")
}

// contextCause returns the cancellation cause of ctx, or err if ctx has not ended.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// newClient returns a client that does not follow redirects. With singleUse it opens
// a new connection for each request: on a reused connection net/http may retry the
// request, and if the target has just closed the connection, it is unknown whether
// the request ran.
func newClient(singleUse bool) *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DisableKeepAlives = singleUse
	t.DisableCompression = true
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	t.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{
		Transport:     verifier.NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
