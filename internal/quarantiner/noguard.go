package quarantiner

import (
	"context"
	"time"
)

// NoGuard allows all requests and records nothing, for processes without a quarantine.
type NoGuard struct{}

// Ready always reports true.
func (NoGuard) Ready() bool { return true }

// Suspects always reports false.
func (NoGuard) Suspects() bool { return false }

// Check allows the request.
func (NoGuard) Check(Subject) Verdict { return Verdict{Outcome: Allowed} }

// Admit allows the request.
func (g NoGuard) Admit(_ context.Context, s Subject) Verdict { return g.Check(s) }

// RecordWhole does nothing.
func (NoGuard) RecordWhole(Target, time.Time, Subject) {}

// RecordCrash does nothing.
func (NoGuard) RecordCrash(Report, bool) {}

// RecordFailure does nothing.
func (NoGuard) RecordFailure(Report, bool) {}

// RecordEnd does nothing.
func (NoGuard) RecordEnd(Target) {}

// RecordAlive does nothing.
func (NoGuard) RecordAlive(Target, time.Time) {}

// RecordClosed does nothing.
func (NoGuard) RecordClosed(Target, time.Time) {}

// Repeated always reports false.
func (NoGuard) Repeated(Report) bool { return false }
