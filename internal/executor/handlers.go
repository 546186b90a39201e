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

// Refusal reasons that do not come from the admission state.
const (
	reasonUnknown   = "unknown"   // the side does not have the request or its output; it may have run
	reasonMalformed = "body"      // the request is malformed
	reasonTarget    = "target"    // no connection to the target could be made
	reasonCancelled = "cancelled" // the router cancelled the request before it started
)

func (s *Side) registerHandlers(srv *connector.Server) {
	connector.HandleStream(srv, s.onRun)
	connector.HandleStream(srv, s.onResume)
	connector.HandleCall(srv, func(_ context.Context, id string, m *wirepb.Cancel) (*wirepb.Cancel, error) {
		s.cancelRequest(id)
		return m, nil
	})
	connector.HandleCall(srv, func(_ context.Context, id string, m *wirepb.Billed) (*wirepb.Billed, error) {
		s.markBilled(id)
		return m, nil
	})
	connector.HandleCall(srv, s.onClose)
	connector.HandleCall(srv, s.onRevoke)
	connector.HandleCall(srv, s.onDrain)
	connector.HandleCall(srv, s.onOrder)
	connector.HandleCall(srv, s.onStatus)
	connector.HandleCall(srv, s.onExplain)
	if s.extraHandlers != nil {
		s.extraHandlers(srv)
	}
}

func (s *Side) onRun(ctx context.Context, st *connector.Stream, f *wirepb.Frame, m *wirepb.Run) error {
	now := time.Now()
	id := f.GetId()
	if text := s.validateRun(id, m); text != "" {
		s.countRefusal(reasonMalformed)
		return st.Refuse(f, &connector.RefusedError{Reason: reasonMalformed, Text: text})
	}
	if s.accessPolicy != nil && !s.accessPolicy.Allows(m.GetAccount(), s.cfg.Target.Name, m.GetBundle()) {
		s.countRefusal(reasonNotAllowed)
		return st.Refuse(f, &connector.RefusedError{Reason: reasonNotAllowed, Text: "the account may not use this target"})
	}
	allowed := min(time.Duration(min(m.GetDeadline(), uint64(time.Hour.Milliseconds())))*time.Millisecond, s.cfg.Limits.MaxDeadline.Std())
	deadline := now.Add(allowed)
	j := newJob(tracer.Extract(context.Background(), f.GetTrace()), id, m, deadline, s.cfg.Limits.BufferBytes)
	if !s.addJob(j) {
		return st.Refuse(f, &connector.RefusedError{Reason: string(admitter.Duplicate), Text: "the request is known already, resume it"})
	}
	req := admitter.Request{
		ID: id, Reservation: reservationFromWire(m.GetReservation()), Key: m.GetKey(),
		Deadline: deadline, Worth: m.GetWorth(), Output: m.GetOutput(),
	}
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action { return a.Admit(now, req) }))
	return s.streamResponse(ctx, st, j, 0)
}

// validateRun returns a description of what is wrong with a request, or "" if it is
// valid.
func (s *Side) validateRun(id string, m *wirepb.Run) string {
	r := m.GetReservation()
	switch {
	case id == "":
		return "the request has no id"
	case m.GetPath() != "" && m.GetPath()[0] != '/':
		return fmt.Sprintf("path %q does not start with a slash", m.GetPath())
	case m.GetTarget() != "" && m.GetTarget() != s.cfg.Target.Name:
		return fmt.Sprintf("target is %q, this side serves %q", m.GetTarget(), s.cfg.Target.Name)
	case s.cfg.Target.Kind == KindModel && r.GetTokens() <= 0:
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
	j.addRecord("resumed at %d", m.GetOffset())
	return s.streamResponse(ctx, st, j, m.GetOffset())
}

// streamResponse sends the output of a job from an offset until it ends or the router
// closes the stream. The job keeps running without the stream.
func (s *Side) streamResponse(ctx context.Context, st *connector.Stream, j *job, offset uint64) error {
	s.readers.Add(1)
	defer s.readers.Add(-1)
	j.addReaders(1)
	defer func() {
		if j.addReaders(-1) == 0 {
			s.settleUnread(j)
		}
	}()
	_ = st.SetDeadline(j.deadline.Add(retentionPeriod))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.receiveControlFrames(st, j.id, cancel)
	defer func() { _ = st.SetReadDeadline(time.Now()) }()

	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	frame := &wirepb.Frame{Id: j.id}
	accepted := false
	for {
		v, err := j.snapshot(offset)
		switch {
		case errors.Is(err, assembler.ErrDropped), errors.Is(err, assembler.ErrOffsetBeyondEnd):
			return st.Refuse(frame, &connector.RefusedError{Reason: reasonUnknown, Text: err.Error()})
		case err != nil:
			return err
		case v.refused != nil:
			return st.Refuse(frame, v.refused)
		case v.accepted && !accepted:
			accepted = true
			if err := st.Reply(frame, &wirepb.Accepted{Load: s.loadMessage()}); err != nil {
				return err
			}
		}
		if offset, err = sendFrames(st, j, v.frames, offset); err != nil {
			return err
		}
		if v.end != nil {
			if err := st.Reply(frame, v.end); err != nil {
				return err
			}
			j.markDelivered()
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-v.changed:
		case <-ticker.C:
			if err := st.Reply(frame, &wirepb.Progress{Offset: offset, Load: s.loadMessage()}); err != nil {
				return err
			}
		}
	}
}

// sendFrames sends data frames and returns the offset after the last one sent.
func sendFrames(st *connector.Stream, j *job, frames []assembler.BufferedFrame, offset uint64) (uint64, error) {
	for _, buffered := range frames {
		f := &wirepb.Frame{Id: j.id, Seq: buffered.Seq, Body: &wirepb.Frame_Data{Data: &wirepb.Data{Bytes: buffered.Data}}}
		if err := st.Send(f); err != nil {
			return offset, fmt.Errorf("send frame %d of request %s: %w", buffered.Seq, j.id, err)
		}
		offset = buffered.Seq
	}
	if len(frames) > 0 {
		j.markSent(offset)
	}
	return offset, nil
}

// receiveControlFrames handles the Cancel and Billed frames that the router sends on
// the stream of a response. It calls closed when the stream ends.
func (s *Side) receiveControlFrames(st *connector.Stream, id string, closed func()) {
	defer closed()
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
			s.cancelRequest(id)
		case *wirepb.Frame_Billed:
			s.markBilled(id)
		}
	}
}

func (s *Side) cancelRequest(id string) {
	j := s.job(id)
	if j == nil {
		return
	}
	var waiting bool
	s.applyActions(call(s.admission, func(a *admitter.Admitter) (actions []admitter.Action) {
		actions, waiting = a.Withdraw(time.Now(), id)
		return actions
	}))
	if !waiting {
		j.cancel(errCancelled)
		return
	}
	j.refuse(&connector.RefusedError{Reason: reasonCancelled, Text: errCancelled.Error()})
}

func (s *Side) markBilled(id string) {
	s.admission.do(func(a *admitter.Admitter) { a.RemoveCharge(id) })
}

func (s *Side) onClose(_ context.Context, _ string, m *wirepb.Close) (*wirepb.Closed, error) {
	if m.GetInstance() == "" {
		return nil, &connector.RefusedError{Reason: reasonMalformed, Text: "the message names no instance"}
	}
	// response stays nil if the admission actor has stopped, which must not look like an
	// empty response.
	var response *wirepb.Closed
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action {
		response = &wirepb.Closed{Instance: s.instance}
		actions := a.CloseHolder(m.GetInstance())
		for _, r := range a.RunningRequests(m.GetInstance()) {
			response.Open = append(response.Open, &wirepb.Open{Id: r.ID, Reservation: reservationToWire(r.Reservation), Key: r.Key})
		}
		for _, c := range a.UnbilledCharges(m.GetInstance()) {
			response.Charges = append(response.Charges, chargeToWire(c))
		}
		return actions
	}))
	if response == nil {
		return nil, &connector.RefusedError{Reason: string(admitter.Stopping), Text: errStopped.Error()}
	}
	s.log.Info().Str("holder", m.GetInstance()).Int("open", len(response.Open)).Int("charges", len(response.Charges)).Msg("holder closed")
	return response, nil
}

func (s *Side) onRevoke(_ context.Context, _ string, m *wirepb.Revoke) (*wirepb.Revoked, error) {
	if m.GetInstance() == "" {
		return nil, &connector.RefusedError{Reason: reasonMalformed, Text: "the message names no instance"}
	}
	// response stays nil if the admission actor has stopped, which must not look like an
	// empty response.
	var response *wirepb.Revoked
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action {
		response = &wirepb.Revoked{Instance: s.instance}
		actions := a.Revoke(m.GetInstance(), m.GetBelow(), m.GetNumbers())
		response.Numbers = a.UnsettledReservations(m.GetInstance(), m.GetNumbers())
		return actions
	}))
	if response == nil {
		return nil, &connector.RefusedError{Reason: string(admitter.Stopping), Text: errStopped.Error()}
	}
	s.log.Info().Str("holder", m.GetInstance()).Int("numbers", len(m.GetNumbers())).Int("open", len(response.Numbers)).
		Msg("reservations revoked")
	return response, nil
}

func (s *Side) onDrain(_ context.Context, _ string, m *wirepb.Drain) (*wirepb.Drained, error) {
	s.drain(m.GetUndo())
	return &wirepb.Drained{}, nil
}

func (s *Side) drain(undo bool) {
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action {
		if undo {
			a.Undrain()
			return nil
		}
		return a.Drain()
	}))
	if !undo {
		s.scope.Counter(reporter.Drains).Inc(1)
	}
	s.log.Info().Bool("undo", undo).Msg("drain requested")
}

// Status is the state of a side as the operator sees it.
type Status struct {
	Instance         string        `json:"instance"`
	Role             string        `json:"role"`
	Bundle           uint64        `json:"bundle"` // active version, 0 if the side has none
	Target           string        `json:"target"`
	Model            string        `json:"model,omitempty"`
	Registered       bool          `json:"registered"`
	Draining         bool          `json:"draining"`
	Load             admitter.Load `json:"load"`
	BufferedRequests int           `json:"kept"`     // requests whose output is buffered
	Unbilled         int           `json:"unbilled"` // charges that are not durable yet
	ClosedHolders    []string      `json:"closed"`   // closed holders
}

// Status returns the state of the side.
func (s *Side) Status() Status {
	st := Status{Instance: s.instance, Role: "side", Target: s.cfg.Target.Name, Model: s.cfg.Target.Model}
	if b, ok := s.accessPolicy.(*BundleSyncer); ok {
		st.Bundle = b.Version()
	}
	s.admission.do(func(a *admitter.Admitter) {
		st.Registered, st.Draining, st.Load = a.Registered(), a.Draining(), a.Load()
		st.Unbilled, st.ClosedHolders = len(a.UnbilledCharges("")), a.ClosedHolders()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	st.BufferedRequests = len(s.jobs)
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
