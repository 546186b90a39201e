package router

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/explainer"
	"daisylane/internal/reporter"
	"daisylane/internal/tracer"
	"daisylane/internal/wirepb"
)

const (
	// streamIdleTimeout is three progress intervals of a side. A stream that
	// receives no frame for this long is considered dead.
	streamIdleTimeout = 3 * time.Second
	// maxResumeDials limits the consecutive dials for one resumption.
	maxResumeDials = 5
	resumeDelay    = 200 * time.Millisecond
	cancelTimeout  = 2 * time.Second
)

var (
	errCallerGone     = errors.New("caller disconnected")
	errRequestUnknown = errors.New("side does not know the request")
	errAlreadyKnown   = errors.New("side already knows the request")
)

// attempt is one attempt to run a job at one side.
type attempt struct {
	r                *Router
	req              request
	choice           Choice
	response         *assembler.Response
	lastResumeOffset uint64 // response offset at the last resumption
	out              sink
	buffered         bool   // whether the response is withheld until it is complete
	sent             bool   // whether the side may have received the request
	acknowledged     bool   // whether the side sent any frame other than a refusal
	resumed          bool   // whether the last frame sent was a resume request
	resent           bool   // whether the request was sent twice
	peer             string // instance at the other end of the last stream
	load             *wirepb.Load
	end              *wirepb.End
	refused          *connector.RefusedError
}

// execute runs the attempt, including resumptions, and returns its outcome. The
// error is the cause of an outcome other than Complete.
func (a *attempt) execute(ctx context.Context, m *wirepb.Run) (Outcome, error) {
	ctx, span := a.r.tracer.Start(ctx, "attempt")
	defer span.End()
	err := a.submit(ctx, m)
	for err != nil && a.canResume(ctx, err) {
		// Delay the resumption if the last stream made no progress, to avoid a
		// tight loop.
		if a.response.Offset() == a.lastResumeOffset && !sleep(ctx, resumeDelay) {
			break
		}
		a.lastResumeOffset = a.response.Offset()
		a.r.recordDecision(a.req.id, "resume", a.choice.Name, cause(err), explainer.Int("offset", int64(a.response.Offset())))
		a.r.scope.Counter(reporter.Resumes).Inc(1)
		err = a.resume(ctx)
		if a.canResend(err) {
			a.resent = true
			err = a.submit(ctx, m)
		}
	}
	return a.outcome(ctx, err), err
}

// submit sends the request and receives the response.
func (a *attempt) submit(ctx context.Context, m *wirepb.Run) error {
	a.resumed = false
	m.Deadline = uint64(max(time.Until(a.req.deadline).Milliseconds(), 0))
	f, err := connector.Wrap(a.req.id, m)
	if err != nil {
		return fmt.Errorf("start attempt: %w", err)
	}
	f.Trace = tracer.Inject(ctx)
	return a.exchange(ctx, f)
}

// canResend reports whether the request was lost in a silent connection and may
// be sent again. This is safe only to the same incarnation of the side: it
// runs a request ID at most once, even if the first frame arrives late.
func (a *attempt) canResend(err error) bool {
	return errors.Is(err, errRequestUnknown) && !a.acknowledged && !a.resent && a.peer == a.choice.Name
}

func (a *attempt) canResume(ctx context.Context, err error) bool {
	switch {
	case !a.sent || ctx.Err() != nil:
		return false
	case errors.Is(err, errCallerGone), errors.Is(err, errRequestUnknown), errors.Is(err, connector.ErrDial):
		return false
	case errors.Is(err, assembler.ErrFrameCount), errors.Is(err, assembler.ErrChecksum):
		return false
	}
	return a.refused == nil
}

func (a *attempt) outcome(ctx context.Context, err error) Outcome {
	switch {
	case err == nil && a.end.GetOutcome() == "whole":
		return Complete
	case a.refused != nil:
		return Refused
	case !a.sent:
		return Unreachable
	case errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return Canceled
	case a.response.Offset() > 0 && !a.buffered:
		return Interrupted
	default:
		return Unknown
	}
}

// resume continues the response on another connection. Only failed dials count
// as failures of the peer, a silent connection does not.
func (a *attempt) resume(ctx context.Context) error {
	a.resumed = true
	f, err := connector.Wrap(a.req.id, &wirepb.Resume{Offset: a.response.Offset()})
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	for range maxResumeDials {
		err = a.exchange(ctx, f)
		if !errors.Is(err, connector.ErrDial) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("resume: %w", ctx.Err())
		case <-time.After(resumeDelay):
		}
	}
	return fmt.Errorf("resume after %d dials: %w", maxResumeDials, err)
}

// exchange sends a frame on a new stream and handles the response frames until
// the end frame, a refusal, an idle timeout or a stream error.
func (a *attempt) exchange(ctx context.Context, f *wirepb.Frame) error {
	s, err := a.r.pool.Open(ctx, a.choice.Addr)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	a.sent, a.peer = true, s.Peer()
	err = s.Send(f)
	for err == nil {
		_ = s.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		if ctx.Err() != nil {
			return fmt.Errorf("receive response: %w", ctx.Err())
		}
		var frame *wirepb.Frame
		if frame, err = s.Receive(); err != nil {
			break
		}
		var ended bool
		if ended, err = a.handleFrame(frame); ended {
			return nil
		}
	}
	if a.refused == nil && !errors.Is(err, errCallerGone) && ctx.Err() == nil {
		a.r.pool.DropSession(s)
	}
	return err
}

// handleFrame processes one frame and reports whether the response is complete.
func (a *attempt) handleFrame(f *wirepb.Frame) (bool, error) {
	a.acknowledged = a.acknowledged || f.GetRefused() == nil
	switch m := f.GetBody().(type) {
	case *wirepb.Frame_Accepted:
		a.load = m.Accepted.GetLoad()
	case *wirepb.Frame_Progress:
		a.load = m.Progress.GetLoad()
	case *wirepb.Frame_Data:
		deliver, err := a.response.AcceptData(f.GetId(), f.GetSeq(), m.Data.GetBytes())
		if errors.Is(err, assembler.ErrWrongRequest) {
			// A frame of another request must never reach this caller.
			a.r.log.Warn().Str("id", a.req.id).Str("side", a.choice.Name).Str("frame", f.GetId()).Msg("dropped a frame of another request")
			return false, nil
		}
		if err != nil {
			return false, fmt.Errorf("handle data frame: %w", err)
		}
		if !deliver {
			return false, nil
		}
		if err := a.out(m.Data.GetBytes()); err != nil {
			return false, fmt.Errorf("%w: %w", errCallerGone, err)
		}
	case *wirepb.Frame_End:
		if err := a.response.AcceptEnd(f.GetId(), m.End.GetCount(), m.End.GetSum()); err != nil {
			return false, fmt.Errorf("handle end frame: %w", err)
		}
		a.end, a.load = m.End, m.End.GetLoad()
		return true, nil
	case *wirepb.Frame_Refused:
		return false, a.handleRefusal(m.Refused)
	default:
		return false, fmt.Errorf("handle frame %T: %w", m, connector.ErrProtocol)
	}
	return false, nil
}

// reasonUnknown is the refusal of a side that does not know the request to
// resume. It does not prove that the request never ran there, because the side
// may have restarted.
const reasonUnknown = "unknown"

// reasonDuplicate is the refusal of a side that already knows the request. An
// earlier message may have started it.
const reasonDuplicate = string(admitter.Duplicate)

// sessionRefusals are refusals by the session layer. In response to a resume
// request they do not tell whether the request ran.
var sessionRefusals = []string{"protocol", "frame", "internal"}

func (a *attempt) handleRefusal(m *wirepb.Refused) error {
	a.load = m.GetLoad()
	if a.resent && m.GetReason() == reasonDuplicate {
		return fmt.Errorf("%w: %s", errAlreadyKnown, m.GetText())
	}
	if m.GetReason() == reasonUnknown || m.GetReason() == reasonDuplicate {
		return fmt.Errorf("%w: %s", errRequestUnknown, m.GetText())
	}
	if a.resumed && slices.Contains(sessionRefusals, m.GetReason()) {
		return fmt.Errorf("%w: %s", errRequestUnknown, m.GetText())
	}
	a.refused = &connector.RefusedError{
		Reason: m.GetReason(), Text: m.GetText(), Load: m.GetLoad(),
		RetryAfter: time.Duration(m.GetAfter()) * time.Millisecond,
	}
	return a.refused
}

// cancel tells the side that the response is no longer needed.
func (a *attempt) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if _, err := connector.Call[*wirepb.Cancel](ctx, a.r.pool, a.choice.Addr, a.req.id, &wirepb.Cancel{}); err != nil {
		a.r.log.Debug().Str("id", a.req.id).Err(err).Msg("side did not acknowledge the cancellation")
	}
}
