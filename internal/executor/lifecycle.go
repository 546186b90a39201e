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

// registerWithRetry writes the registration, then loads the closed holders and the
// revoked reservations, and only then allows admission. The order guarantees that
// either a successor that lists the sides after it has closed a holder finds this
// side, or this side finds the closure. The same holds for a holder that revokes
// reservations.
func (s *Side) registerWithRetry(ctx context.Context, m watcher.Member) {
	for ctx.Err() == nil {
		err := s.tryRegister(ctx, m)
		if err == nil {
			s.log.Info().Str("instance", m.Name).Str("addr", m.Addr).Msg("side registered")
			return
		}
		s.log.Warn().Err(err).Msg("registration failed; retrying")
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
	closed, err := s.registry.ClosedHolders(ctx)
	if err != nil {
		return fmt.Errorf("load closed holders: %w", err)
	}
	revoked, err := s.registry.Revocations(ctx)
	if err != nil {
		return fmt.Errorf("load revoked reservations: %w", err)
	}
	s.admission.do(func(a *admitter.Admitter) {
		for holder, t := range revoked {
			a.Revoke(holder, t.Below, t.Numbers) // no actions to apply: nothing is queued before registration
		}
		a.Register(closed)
	})
	return nil
}

// pollClosures loads the closed holders and closes their reservations.
func (s *Side) pollClosures(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	closed, err := s.registry.ClosedHolders(ctx)
	if err != nil {
		s.log.Debug().Err(err).Msg("loading closed holders failed")
		return
	}
	s.applyActions(call(s.admission, func(a *admitter.Admitter) []admitter.Action {
		var actions []admitter.Action
		for _, holder := range closed {
			actions = append(actions, a.CloseHolder(holder)...)
		}
		return actions
	}))
}

// shutDown runs the steps of the graceful shutdown.
func (s *Side) shutDown(ctx context.Context, m watcher.Member) {
	limits := drainer.Limits{Finish: s.cfg.Limits.MaxDeadline.Std() + retentionPeriod, Flush: s.cfg.Limits.FlushTimeout.Std()}
	d := drainer.NewSide(limits)
	s.drain(false)
	d.Begin(time.Now())
	var deregistered atomic.Bool
	for d.Step() != drainer.Stopped {
		progress := s.drainProgress()
		progress.Deregistered = deregistered.Load()
		for _, step := range d.Observe(time.Now(), progress) {
			s.log.Info().Str("step", string(step)).Msg("stopping")
			if step == drainer.Leaving {
				s.tasks.Go(func() { deregistered.Store(s.deregisterWithRetry(ctx, m)) })
			}
		}
		time.Sleep(shutdownPollInterval)
	}
	if timedOut := d.TimedOut(); len(timedOut) > 0 {
		s.log.Warn().Any("steps", timedOut).Bool("registered", d.KeepsRegistration()).Int("charges", s.Status().Unbilled).
			Msg("shutdown steps timed out")
	}
}

func (s *Side) drainProgress() drainer.Progress {
	p := drainer.Progress{OpenStreams: int(s.readers.Load())}
	s.admission.do(func(a *admitter.Admitter) { p.Requests, p.Charges = a.OpenCount(), len(a.UnbilledCharges("")) })
	return p
}

// deregisterWithRetry deletes the registration. It returns false if ctx ends first.
func (s *Side) deregisterWithRetry(ctx context.Context, m watcher.Member) bool {
	for {
		err := s.tryDeregister(ctx, m)
		if err == nil {
			return true
		}
		s.log.Warn().Err(err).Msg("deregistration failed; retrying")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(registerInterval):
		}
	}
}

func (s *Side) tryDeregister(ctx context.Context, m watcher.Member) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := s.registry.Deregister(ctx, m); err != nil {
		return fmt.Errorf("deregister: %w", err)
	}
	return nil
}

// cancelJobs cancels the requests that are still running.
func (s *Side) cancelJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		j.cancel(errStopped)
	}
}
