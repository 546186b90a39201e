package receiver

import (
	"fmt"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/forwarder"
	"daisylane/internal/retrier"
	"daisylane/internal/throttler"
)

func throttlerTarget(t follower.Target) throttler.Target {
	return throttler.Target{Service: t.Service, ID: t.ID, Incarnation: t.Incarnation}
}

// recordCold records what the head of a response says about the cold time of its target.
func (d *Dispatcher) recordCold(sentAt time.Time, t follower.Target, m ResponseMeta) {
	if m.Cold != nil {
		d.limits.RecordCold(throttlerTarget(t), sentAt, *m.Cold)
	}
}

// restarted reports whether idle connections to a target have ended, in a service where one
// that has started again must not get requests as if it were warm. The attempt is not made.
func (j *job) restarted(t follower.Target) (attemptResult, bool) {
	limits := j.r.dispatcher.limits
	if !limits.GuardsStart(t.Service) || !j.r.pool.DropClosed(t.Addr) {
		return attemptResult{}, false
	}
	limits.Suspect(throttlerTarget(t), false)
	return attemptResult{outcome: retrier.NotRun, err: fmt.Errorf("%w: target %s has closed its connections", forwarder.ErrNotSent, t.ID)}, true
}

// recordRefused records that the address of a target refuses connections.
func (j *job) recordRefused(t follower.Target) {
	j.r.dispatcher.limits.Suspect(throttlerTarget(t), true)
}
