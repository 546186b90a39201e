package executor

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"daisylane/internal/admitter"
)

var errStopped = errors.New("the side stopped")

// register makes the side known, loads the closed holders and allows admission,
// in this order. A successor that lists the sides after its closure therefore
// finds this side, or this side finds the closure.
func (s *Side) register(ctx context.Context, m Member) {
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

func (s *Side) tryRegister(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.registry.Register(ctx, m); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	closed, err := s.registry.Closures(ctx)
	if err != nil {
		return fmt.Errorf("load closed holders: %w", err)
	}
	s.desk.decide(func(a *admitter.Admitter) { a.Register(closed) })
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
	s.carryOut(ask(s.desk, func(a *admitter.Admitter) []admitter.Action {
		var actions []admitter.Action
		for _, holder := range closed {
			actions = append(actions, a.Close(holder)...)
		}
		return actions
	}))
}

// stop finishes running requests and delivers charges. If charges remain, the
// registration stays: their reservations must not be released before the side
// is known to be gone.
func (s *Side) stop(ctx context.Context, m Member) {
	s.drain(false)
	s.await(s.cfg.Limits.Deadline.Std()+keepPeriod, func(a *admitter.Admitter) bool { return a.Idle() })
	flushed := s.await(s.cfg.Limits.Flush.Std(), func(a *admitter.Admitter) bool { return len(a.Unbilled("")) == 0 })
	s.awaitReaders(s.cfg.Limits.Flush.Std())
	if !flushed {
		s.log.Error().Int("charges", s.Status().Unbilled).Msg("charges not delivered, registration is kept")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.registry.Deregister(ctx, m); err != nil {
		s.log.Warn().Err(err).Msg("deregistration failed")
		return
	}
	s.log.Info().Str("instance", m.Name).Msg("side stopped")
}

func (s *Side) await(limit time.Duration, done func(*admitter.Admitter) bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(stopPoll) {
		if ask(s.desk, done) {
			return true
		}
		if !time.Now().Before(end) {
			return false
		}
	}
}

// awaitReaders lets streams read the rest of their answers.
func (s *Side) awaitReaders(limit time.Duration) {
	for end := time.Now().Add(limit); s.reads.Load() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
}

// abort ends the requests that still run.
func (s *Side) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		j.cancel(errStopped)
	}
}
