package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/assembler"
	"daisylane/internal/connector"
	"daisylane/internal/reporter"
	"daisylane/internal/tracer"
	"daisylane/internal/wirepb"
)

// Reasons of refusals that the admission state does not decide.
const (
	reasonUnknown   = "unknown"   // the request or its output is not kept here; it may have run
	reasonBody      = "body"      // the request is malformed
	reasonTarget    = "target"    // no connection to the target could be made
	reasonCancelled = "cancelled" // the router cancelled the request before it started
)

func (s *Side) handle(srv *connector.Server) {
	connector.On(srv, s.onRun)
	connector.On(srv, s.onResume)
	connector.Answer(srv, func(_ context.Context, id string, m *wirepb.Cancel) (*wirepb.Cancel, error) {
		s.cancel(id)
		return m, nil
	})
	connector.Answer(srv, func(_ context.Context, id string, m *wirepb.Billed) (*wirepb.Billed, error) {
		s.billed(id)
		return m, nil
	})
	connector.Answer(srv, s.onClose)
	connector.Answer(srv, s.onRevoke)
	connector.Answer(srv, s.onDrain)
	connector.Answer(srv, s.onOrder)
	connector.Answer(srv, s.onStatus)
	connector.Answer(srv, s.onExplain)
	if s.handlers != nil {
		s.handlers(srv)
	}
}

func (s *Side) onRun(ctx context.Context, st *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error {
	now := time.Now()
	id := f.GetId()
	if text := s.malformed(id, m); text != "" {
		s.countRefusal(reasonBody)
		return st.Refuse(f, &connector.RefusedError{Reason: reasonBody, Text: text})
	}
	if s.rights != nil && !s.rights.Allows(m.GetAccount(), s.cfg.Target.Name, m.GetBundle()) {
		s.countRefusal(reasonRight)
		return st.Refuse(f, &connector.RefusedError{Reason: reasonRight, Text: "the account may not use this target"})
	}
	allowed := min(time.Duration(min(m.GetDeadline(), uint64(time.Hour.Milliseconds())))*time.Millisecond, s.cfg.Limits.Deadline.Std())
	deadline := now.Add(allowed)
	j := newJob(tracer.Extract(context.Background(), f.GetTrace()), id, m, deadline, s.cfg.Limits.Buffer)
	if !s.add(j) {
		return st.Refuse(f, &connector.RefusedError{Reason: string(admitter.Duplicate), Text: "the request is known already, resume it"})
	}
	req := admitter.Request{
		ID: id, Reservation: reservation(m.GetReservation()), Key: m.GetKey(),
		Deadline: deadline, Worth: m.GetWorth(), Output: m.GetOutput(),
	}
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Run(now, req) }))
	return s.stream(ctx, st, j, 0)
}

// malformed returns what is wrong with a request, empty if nothing is.
func (s *Side) malformed(id string, m *wirepb.Run) string {
	r := m.GetReservation()
	switch {
	case id == "":
		return "the request has no id"
	case m.GetPath() != "" && m.GetPath()[0] != '/':
		return fmt.Sprintf("path %q does not start with a slash", m.GetPath())
	case m.GetTarget() != "" && m.GetTarget() != s.cfg.Target.Name:
		return fmt.Sprintf("target is %q, this side serves %q", m.GetTarget(), s.cfg.Target.Name)
	case s.cfg.Target.Kind == Model && r.GetTokens() <= 0:
		return "a request to a model needs a reservation"
	case r.GetTokens() > 0 && r.GetHolder() == "":
		return "the reservation has no holder"
	}
	return ""
}

func (s *Side) onResume(ctx context.Context, st *connector.Stream, f *wirepb.Frame, m *wirepb.Resume) error {
	j := s.job(f.GetId())
	if j == nil {
		return st.Refuse(f, &connector.RefusedError{Reason: reasonUnknown, Text: "the request is not known here"})
	}
	j.note("resumed at %d", m.GetOffset())
	return s.stream(ctx, st, j, m.GetOffset())
}

// stream sends the answer of a job from an offset until its end or until the
// router closes the stream. The job continues without the stream.
func (s *Side) stream(ctx context.Context, st *connector.Stream, j *job, offset uint64) error {
	s.reads.Add(1)
	defer s.reads.Add(-1)
	j.read(1)
	defer func() {
		if j.read(-1) == 0 {
			s.orphan(j)
		}
	}()
	_ = st.SetDeadline(j.deadline.Add(keepPeriod))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.listen(st, j.id, cancel)
	defer func() { _ = st.SetReadDeadline(time.Now()) }()

	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	frame := &wirepb.Frame{Id: j.id}
	accepted := false
	for {
		v, err := j.view(offset)
		switch {
		case errors.Is(err, assembler.ErrDropped), errors.Is(err, assembler.ErrBeyond):
			return st.Refuse(frame, &connector.RefusedError{Reason: reasonUnknown, Text: err.Error()})
		case err != nil:
			return err
		case v.refused != nil:
			return st.Refuse(frame, v.refused)
		case v.accepted && !accepted:
			accepted = true
			if err := st.Reply(frame, &wirepb.Accepted{Load: s.load()}); err != nil {
				return err
			}
		}
		if offset, err = sendPieces(st, j, v.pieces, offset); err != nil {
			return err
		}
		if v.end != nil {
			if err := st.Reply(frame, v.end); err != nil {
				return err
			}
			j.deliver()
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-v.changed:
		case <-ticker.C:
			if err := st.Reply(frame, &wirepb.Progress{Offset: offset, Load: s.load()}); err != nil {
				return err
			}
		}
	}
}

func sendPieces(st *connector.Stream, j *job, pieces []assembler.Piece, offset uint64) (uint64, error) {
	for _, p := range pieces {
		f := &wirepb.Frame{Id: j.id, Seq: p.Seq, Body: &wirepb.Frame_Data{Data: &wirepb.Data{Bytes: p.Data}}}
		if err := st.Send(f); err != nil {
			return offset, fmt.Errorf("send frame %d of request %s: %w", p.Seq, j.id, err)
		}
		offset = p.Seq
	}
	if len(pieces) > 0 {
		j.sent(offset)
	}
	return offset, nil
}

// listen handles frames that the router sends during its own answer.
func (s *Side) listen(st *connector.Stream, id string, gone func()) {
	defer gone()
	for {
		f, err := st.Receive()
		if err != nil {
			return
		}
		if f.GetId() != id {
			continue
		}
		switch f.GetBody().(type) {
		case *wirepb.Frame_Cancel:
			s.cancel(id)
		case *wirepb.Frame_Billed:
			s.billed(id)
		}
	}
}

func (s *Side) cancel(id string) {
	j := s.job(id)
	if j == nil {
		return
	}
	var waiting bool
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) (actions []admitter.Action) {
		actions, waiting = a.Withdraw(time.Now(), id)
		return actions
	}))
	if !waiting {
		j.cancel(errCancelled)
		return
	}
	j.refuse(&connector.RefusedError{Reason: reasonCancelled, Text: errCancelled.Error()})
}

func (s *Side) billed(id string) {
	s.admission.decide(func(a *admitter.Admitter) { a.Billed(id) })
}

func (s *Side) onClose(_ context.Context, _ string, m *wirepb.Close) (*wirepb.Closed, error) {
	if m.GetInstance() == "" {
		return nil, &connector.RefusedError{Reason: reasonBody, Text: "the message names no instance"}
	}
	var answer *wirepb.Closed // nil if the admission actor has ended, which must not pass for an empty answer
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action {
		answer = &wirepb.Closed{Instance: s.instance}
		actions := a.Close(m.GetInstance())
		for _, r := range a.Open(m.GetInstance()) {
			answer.Open = append(answer.Open, &wirepb.Open{Id: r.ID, Reservation: wireReservation(r.Reservation), Key: r.Key})
		}
		for _, c := range a.Unbilled(m.GetInstance()) {
			answer.Charges = append(answer.Charges, wireCharge(c))
		}
		return actions
	}))
	if answer == nil {
		return nil, &connector.RefusedError{Reason: string(admitter.Stopping), Text: errStopped.Error()}
	}
	s.log.Info().Str("holder", m.GetInstance()).Int("open", len(answer.Open)).Int("charges", len(answer.Charges)).Msg("holder closed")
	return answer, nil
}

func (s *Side) onRevoke(_ context.Context, _ string, m *wirepb.Revoke) (*wirepb.Revoked, error) {
	if m.GetInstance() == "" {
		return nil, &connector.RefusedError{Reason: reasonBody, Text: "the message names no instance"}
	}
	var answer *wirepb.Revoked // nil if the admission actor has ended, which must not pass for an empty answer
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action {
		answer = &wirepb.Revoked{Instance: s.instance}
		actions := a.Revoke(m.GetInstance(), m.GetBelow(), m.GetNumbers())
		answer.Numbers = a.Unsettled(m.GetInstance(), m.GetNumbers())
		return actions
	}))
	if answer == nil {
		return nil, &connector.RefusedError{Reason: string(admitter.Stopping), Text: errStopped.Error()}
	}
	s.log.Info().Str("holder", m.GetInstance()).Int("numbers", len(m.GetNumbers())).Int("open", len(answer.Numbers)).
		Msg("reservations revoked")
	return answer, nil
}

func (s *Side) onDrain(_ context.Context, _ string, m *wirepb.Drain) (*wirepb.Drained, error) {
	s.drain(m.GetUndo())
	return &wirepb.Drained{}, nil
}

func (s *Side) drain(undo bool) {
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action {
		if undo {
			a.Undrain()
			return nil
		}
		return a.Drain()
	}))
	if !undo {
		s.scope.Counter(reporter.Drains).Inc(1)
	}
	s.log.Info().Bool("undo", undo).Msg("drain ordered")
}

// Status is the state of a side for the operator.
type Status struct {
	Instance   string        `json:"instance"`
	Role       string        `json:"role"`
	Bundle     uint64        `json:"bundle"` // version in force, 0 if the side keeps none
	Target     string        `json:"target"`
	Model      string        `json:"model,omitempty"`
	Registered bool          `json:"registered"`
	Draining   bool          `json:"draining"`
	Load       admitter.Load `json:"load"`
	Kept       int           `json:"kept"`     // requests whose output is kept
	Unbilled   int           `json:"unbilled"` // charges that are not durable yet
	Closed     []string      `json:"closed"`   // closed holders
}

// Status returns the state of the side.
func (s *Side) Status() Status {
	st := Status{Instance: s.instance, Role: "side", Target: s.cfg.Target.Name, Model: s.cfg.Target.Model}
	if b, ok := s.rights.(*Bundle); ok {
		st.Bundle = b.Version()
	}
	s.admission.decide(func(a *admitter.Admitter) {
		st.Registered, st.Draining, st.Load = a.Registered(), a.Draining(), a.Load()
		st.Unbilled, st.Closed = len(a.Unbilled("")), a.ClosedHolders()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Kept = len(s.jobs)
	return st
}

func (s *Side) onStatus(context.Context, string, *wirepb.Status) (*wirepb.Report, error) {
	data, err := json.Marshal(s.Status())
	if err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	return &wirepb.Report{Payload: data}, nil
}

func (s *Side) onExplain(_ context.Context, _ string, m *wirepb.Explain) (*wirepb.Records, error) {
	j := s.job(m.GetRequest())
	if j == nil {
		return nil, &connector.RefusedError{Reason: reasonUnknown, Text: "the request is not known here"}
	}
	data, err := json.Marshal(j.history())
	if err != nil {
		return nil, fmt.Errorf("encode records: %w", err)
	}
	return &wirepb.Records{Payload: data}, nil
}
