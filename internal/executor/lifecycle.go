package executor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
	"daisylane/internal/drainer"
	"daisylane/internal/watcher"
)

var errStopped = errors.New("the side stopped")

// register makes the side known, loads the closed holders and the ended
// reservations and allows admission, in this order. A successor that lists the
// sides after its closure therefore finds this side, or this side finds the
// closure. The same holds for a holder that ends reservations.
func (s *Side) register(ctx context.Context, m watcher.Member) {
	for ctx.Err() == nil {
		err := s.tryRegister(ctx, m)
		if err == nil {
			s.log.Info().Str("instance", m.Name).Str("addr", m.Addr).Msg("side registered")
			return
		}
		s.log.Warn().Err(err).Msg("registration failed, trying again")
		select {
		case <-ctx.Done():
		case <-time.After(registerInterval):
		}
	}
}

func (s *Side) tryRegister(ctx context.Context, m watcher.Member) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.registry.Register(ctx, m); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	closed, err := s.registry.Closures(ctx)
	if err != nil {
		return fmt.Errorf("load closed holders: %w", err)
	}
	ended, err := s.registry.Revocations(ctx)
	if err != nil {
		return fmt.Errorf("load ended reservations: %w", err)
	}
	s.admission.decide(func(a *admitter.Admitter) {
		for holder, t := range ended {
			a.Revoke(holder, t.Below, t.Numbers) // nothing waits before the registration
		}
		a.Register(closed)
	})
	return nil
}

func (s *Side) pollClosures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	closed, err := s.registry.Closures(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("closed holders not loaded")
		return
	}
	s.carryOut(ask(s.admission, func(a *admitter.Admitter) []admitter.Action {
		var actions []admitter.Action
		for _, holder := range closed {
			actions = append(actions, a.Close(holder)...)
		}
		return actions
	}))
}

// stop carries out the stop sequence.
func (s *Side) stop(ctx context.Context, m watcher.Member) {
	limits := drainer.Limits{Finish: s.cfg.Limits.Deadline.Std() + keepPeriod, Flush: s.cfg.Limits.Flush.Std()}
	d := drainer.NewSide(limits)
	s.drain(false)
	d.Begin(time.Now())
	var left atomic.Bool
	for d.Step() != drainer.Stopped {
		facts := s.facts()
		facts.Left = left.Load()
		for _, step := range d.Observe(time.Now(), facts) {
			s.log.Info().Str("step", string(step)).Msg("stopping")
			if step == drainer.Leaving {
				s.work.Go(func() { left.Store(s.leave(ctx, m)) })
			}
		}
		time.Sleep(stopPoll)
	}
	if late := d.Late(); len(late) > 0 {
		s.log.Warn().Any("steps", late).Bool("registered", d.KeepsRegistration()).Int("charges", s.Status().Unbilled).
			Msg("stopped before all steps were complete")
	}
}

func (s *Side) facts() drainer.Facts {
	f := drainer.Facts{Readers: int(s.reads.Load())}
	s.admission.decide(func(a *admitter.Admitter) { f.Requests, f.Charges = a.OpenCount(), len(a.Unbilled("")) })
	return f
}

// leave deletes the registration and reports success.
func (s *Side) leave(ctx context.Context, m watcher.Member) bool {
	for {
		err := s.tryLeave(ctx, m)
		if err == nil {
			return true
		}
		s.log.Warn().Err(err).Msg("deregistration failed, trying again")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(registerInterval):
		}
	}
}

func (s *Side) tryLeave(ctx context.Context, m watcher.Member) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.registry.Deregister(ctx, m); err != nil {
		return fmt.Errorf("deregister: %w", err)
	}
	return nil
}

// abort ends the requests that still run.
func (s *Side) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		j.cancel(errStopped)
	}
}
