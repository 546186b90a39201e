// Package warden keeps requests away from targets that they would crash. The decisions
// are made by package quarantiner, their records are shared through package recorder.
//
// # Usage
//
//	w := warden.New(store, warden.WithLog(log))
//	r := recorder.New(store, log, w.Group())
//	w.OnChange(r.Wake)
//	if v := w.Check("pool", parts); v.Outcome == quarantiner.Quarantined {
//		// refuse the request
//	}
package warden

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/quarantiner"
	"daisylane/internal/recorder"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
)

// claimPause is the time to come back for a request that could not become the trial.
const claimPause = time.Second

// Warden keeps the quarantine of prompt parts of one instance. It is safe for concurrent
// use.
type Warden struct {
	store    recorder.Store
	group    *recorder.GroupOf[quarantiner.Record]
	log      zerolog.Logger
	scope    tally.Scope
	onChange func()

	mu    sync.Mutex
	state *quarantiner.Quarantine
	shown map[quarantiner.Key]bool // quarantined parts that were logged
}

// Option changes a setting of a [Warden].
type Option func(*Warden)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(w *Warden) { w.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(w *Warden) { w.scope = s } }

// New returns a warden without records.
func New(store recorder.Store, opts ...Option) *Warden {
	w := &Warden{
		store: store, log: zerolog.Nop(), scope: tally.NoopScope, onChange: func() {},
		state: quarantiner.New(), shown: make(map[quarantiner.Key]bool),
	}
	w.group = recorder.NewGroup("part", func(use func(recorder.Records[quarantiner.Record])) {
		w.mu.Lock()
		defer w.mu.Unlock()
		use(w.state)
		w.logChanges()
	})
	for _, o := range opts {
		o(w)
	}
	return w
}

// Group returns the shared records.
func (w *Warden) Group() *recorder.GroupOf[quarantiner.Record] { return w.group }

// OnChange sets what is called when records are to be stored. It must be called before
// the warden is used.
func (w *Warden) OnChange(f func()) { w.onChange = f }

// Ready reports whether the records of the fleet were read.
func (w *Warden) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Listed()
}

// Check says whether a request may be sent to a target of a service, without beginning a
// trial.
func (w *Warden) Check(service string, parts []uint64) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Check(time.Now(), service, parts)
}

// Admit is Check for a request that is sent at once. If a trial is due and no other
// instance begins it, the request is the trial and the outcome is TrialDue.
func (w *Warden) Admit(ctx context.Context, service string, parts []uint64) quarantiner.Verdict {
	w.mu.Lock()
	v := w.state.Check(time.Now(), service, parts)
	if v.Outcome != quarantiner.TrialDue {
		w.mu.Unlock()
		return v
	}
	claim, ok := w.state.BeginTrial(v.Key)
	w.mu.Unlock()
	refusal := quarantiner.Verdict{Outcome: quarantiner.Quarantined, Key: v.Key, RetryAfter: claimPause}
	if !ok {
		return refusal
	}
	stored, err := w.group.Put(ctx, w.store, claim)
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored.Version > 0 {
		w.state.Observe(time.Now(), stored.Version, stored.Record)
	}
	w.state.EndClaim(v.Key)
	if err != nil {
		if !errors.Is(err, storer.ErrConflict) {
			w.logKey(v.Key).Err(err).Msg("trial of a quarantined prompt part not claimed")
		}
		return refusal
	}
	w.logKey(v.Key).Int("trial", claim.Record.Trials).Msg("trial of a quarantined prompt part begins")
	return v
}

// RecordAnswer records that a target has answered a request.
func (w *Warden) RecordAnswer(service string, parts []uint64) {
	w.update(func() bool { return w.state.RecordAnswer(time.Now(), service, parts) })
}

// RecordCrash records the end of a target that was about to answer a request.
func (w *Warden) RecordCrash(r quarantiner.Report) {
	w.update(func() bool { return w.state.RecordCrash(time.Now(), r) })
}

// update changes the state, which says whether records are to be stored.
func (w *Warden) update(change func() bool) {
	w.mu.Lock()
	changed := change()
	if changed {
		w.logChanges()
	}
	w.mu.Unlock()
	if changed {
		w.onChange()
	}
}

// logChanges logs which parts have come into quarantine or out of it. The caller holds
// the lock.
func (w *Warden) logChanges() {
	now := make(map[quarantiner.Key]bool)
	for _, k := range w.state.Quarantined() {
		now[k] = true
		if !w.shown[k] {
			w.logKey(k).Msg("prompt part quarantined; targets crash under it")
		}
	}
	for k := range w.shown {
		if !now[k] {
			w.logKey(k).Msg("prompt part released")
		}
	}
	w.shown = now
	w.scope.Gauge(reporter.QuarantinedParts).Update(float64(len(now)))
}

// logKey returns a log line about a part.
func (w *Warden) logKey(k quarantiner.Key) *zerolog.Event {
	return w.log.Warn().Str("service", k.Service).Str("part", strconv.FormatUint(k.Part, 16))
}
