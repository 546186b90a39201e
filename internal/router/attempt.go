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
	// silenceTimeout is three progress intervals of a side: a stream without
	// any frame for so long is taken for dead.
	silenceTimeout = 3 * time.Second
	// maxResumeDials bounds the dials in a row for one resumption.
	maxResumeDials = 5
	resumeWait     = 200 * time.Millisecond
	cancelTimeout  = 2 * time.Second
)

var (
	errSink    = errors.New("caller went away")
	errUnknown = errors.New("side does not know the request")
	errKnown   = errors.New("side knows the request already")
)

// attempt is one try of a job at one side.
type attempt struct {
	r        *Router
	req      request
	choice   Choice
	answer   *assembler.Answer
	offset   uint64 // at the last resumption
	out      sink
	buffered bool   // the caller gets the answer only if it is whole
	sent     bool   // whether the side may have got the request
	heard    bool   // whether the side answered the request with any frame
	resumed  bool   // whether the last frame sent was a resumption
	again    bool   // whether the request was sent a second time
	peer     string // instance that the last stream reached
	load     *wirepb.Load
	end      *wirepb.End
	refused  *connector.RefusedError
}

// start runs the attempt to its end and returns its outcome. The error gives
// the cause of an outcome other than Whole.
func (a *attempt) start(ctx context.Context, m *wirepb.Run) (Outcome, error) {
	ctx, span := a.r.tracer.Start(ctx, "attempt")
	defer span.End()
	err := a.run(ctx, m)
	for err != nil && a.resumable(ctx, err) {
		// A stream that ends at once without progress must not be resumed in a
		// tight loop.
		if a.answer.Offset() == a.offset && !sleep(ctx, resumeWait) {
			break
		}
		a.offset = a.answer.Offset()
		a.r.record(a.req.id, "resume", a.choice.Name, cause(err), explainer.Int("offset", int64(a.answer.Offset())))
		a.r.scope.Counter(reporter.Resumes).Inc(1)
		err = a.resume(ctx)
		if a.lost(err) {
			a.again = true
			err = a.run(ctx, m)
		}
	}
	return a.outcome(ctx, err), err
}

// run sends the request.
func (a *attempt) run(ctx context.Context, m *wirepb.Run) error {
	a.resumed = false
	m.Deadline = uint64(max(time.Until(a.req.deadline).Milliseconds(), 0))
	f, err := connector.Wrap(a.req.id, m)
	if err != nil {
		return fmt.Errorf("start attempt: %w", err)
	}
	f.Trace = tracer.Inject(ctx)
	return a.exchange(ctx, f)
}

// lost reports whether the request went into a silent connection. It can be sent
// again to the same incarnation of the side, which runs a request id only once,
// so that a late arrival of the first frame does no harm.
func (a *attempt) lost(err error) bool {
	return errors.Is(err, errUnknown) && !a.heard && !a.again && a.peer == a.choice.Name
}

func (a *attempt) resumable(ctx context.Context, err error) bool {
	switch {
	case !a.sent || ctx.Err() != nil:
		return false
	case errors.Is(err, errSink), errors.Is(err, errUnknown), errors.Is(err, connector.ErrDial):
		return false
	case errors.Is(err, assembler.ErrCount), errors.Is(err, assembler.ErrChecksum):
		return false
	}
	return a.refused == nil
}

func (a *attempt) outcome(ctx context.Context, err error) Outcome {
	switch {
	case err == nil && a.end.GetOutcome() == "whole":
		return Whole
	case a.refused != nil:
		return Refused
	case !a.sent:
		return Unreachable
	case errors.Is(err, errSink) || errors.Is(ctx.Err(), context.Canceled):
		return Canceled
	case a.answer.Offset() > 0 && !a.buffered:
		return Interrupted
	default:
		return Unknown
	}
}

// resume continues the answer over another connection. Only failed dials count
// against the peer, a silent connection does not.
func (a *attempt) resume(ctx context.Context) error {
	a.resumed = true
	f, err := connector.Wrap(a.req.id, &wirepb.Resume{Offset: a.answer.Offset()})
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
		case <-time.After(resumeWait):
		}
	}
	return fmt.Errorf("resume after %d dials: %w", maxResumeDials, err)
}

// exchange sends a frame on a new stream and takes the answer's frames until
// the end, a refusal, silence or a broken stream.
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
		_ = s.SetReadDeadline(time.Now().Add(silenceTimeout))
		if ctx.Err() != nil {
			return fmt.Errorf("receive answer: %w", ctx.Err())
		}
		var answer *wirepb.Frame
		if answer, err = s.Receive(); err != nil {
			break
		}
		var ended bool
		if ended, err = a.take(answer); ended {
			return nil
		}
	}
	if a.refused == nil && !errors.Is(err, errSink) && ctx.Err() == nil {
		a.r.pool.Renew(s)
	}
	return err
}

// take handles one frame and reports whether the answer is complete.
func (a *attempt) take(f *wirepb.Frame) (bool, error) {
	a.heard = a.heard || f.GetRefused() == nil
	switch m := f.GetBody().(type) {
	case *wirepb.Frame_Accepted:
		a.load = m.Accepted.GetLoad()
	case *wirepb.Frame_Progress:
		a.load = m.Progress.GetLoad()
	case *wirepb.Frame_Data:
		deliver, err := a.answer.Data(f.GetId(), f.GetSeq(), m.Data.GetBytes())
		if errors.Is(err, assembler.ErrForeign) {
			// A frame of another request is dropped, it must never reach this caller.
			a.r.log.Warn().Str("id", a.req.id).Str("side", a.choice.Name).Str("frame", f.GetId()).Msg("frame of another request dropped")
			return false, nil
		}
		if err != nil {
			return false, fmt.Errorf("take data: %w", err)
		}
		if !deliver {
			return false, nil
		}
		if err := a.out(m.Data.GetBytes()); err != nil {
			return false, fmt.Errorf("%w: %w", errSink, err)
		}
	case *wirepb.Frame_End:
		if err := a.answer.End(f.GetId(), m.End.GetCount(), m.End.GetSum()); err != nil {
			return false, fmt.Errorf("take end: %w", err)
		}
		a.end, a.load = m.End, m.End.GetLoad()
		return true, nil
	case *wirepb.Frame_Refused:
		return false, a.takeRefusal(m.Refused)
	default:
		return false, fmt.Errorf("take %T: %w", m, connector.ErrProtocol)
	}
	return false, nil
}

// reasonUnknown is the refusal of a side that does not know the request to
// resume. It does not show that the request never ran there: the side may have
// restarted.
const reasonUnknown = "unknown"

// reasonDuplicate is the refusal of a side that knows the request already, so
// that an earlier message may have started it.
const reasonDuplicate = string(admitter.Duplicate)

// sessionReasons are refusals by the session layer. As the answer to a
// resumption they say nothing about the request.
var sessionReasons = []string{"protocol", "frame", "internal"}

func (a *attempt) takeRefusal(m *wirepb.Refused) error {
	a.load = m.GetLoad()
	if a.again && m.GetReason() == reasonDuplicate {
		return fmt.Errorf("%w: %s", errKnown, m.GetText())
	}
	if m.GetReason() == reasonUnknown || m.GetReason() == reasonDuplicate {
		return fmt.Errorf("%w: %s", errUnknown, m.GetText())
	}
	if a.resumed && slices.Contains(sessionReasons, m.GetReason()) {
		return fmt.Errorf("%w: %s", errUnknown, m.GetText())
	}
	a.refused = &connector.RefusedError{
		Reason: m.GetReason(), Text: m.GetText(), Load: m.GetLoad(),
		After: time.Duration(m.GetAfter()) * time.Millisecond,
	}
	return a.refused
}

// cancel tells the side that nobody waits for the answer any more.
func (a *attempt) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if _, err := connector.Call[*wirepb.Cancel](ctx, a.r.pool, a.choice.Addr, a.req.id, &wirepb.Cancel{}); err != nil {
		a.r.log.Debug().Str("id", a.req.id).Err(err).Msg("cancel not answered")
	}
}
