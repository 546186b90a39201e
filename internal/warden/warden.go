// Package warden shares warnings about prompts between the instances of a fleet, through
// records in the store. The decisions are made by package quarantiner.
//
// # Usage
//
//	w := warden.New(store, warden.WithLog(log))
//	go w.Run(ctx)
//	go follower.New(store, warden.Kind, w).Run(ctx)
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

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/quarantiner"
	"daisylane/internal/reporter"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// Kind is the kind of the stored records.
const Kind = "warnings"

const (
	// retryDelay is the pause after a write that failed.
	retryDelay = 150 * time.Millisecond
	// sweepInterval is how often writes without a signal are looked for.
	sweepInterval = 500 * time.Millisecond
)

// Store holds the records. Both writes are conditional on the version; with
// [storer.ErrConflict] they return the current object.
type Store interface {
	Put(ctx context.Context, kind, name string, body []byte, version uint64) (storer.Item, error)
	Remove(ctx context.Context, kind, name string, version uint64) (storer.Item, error)
}

// Warden shares the quarantine of prompt parts. It is safe for concurrent use and
// implements [follower.Handler].
type Warden struct {
	store  Store
	log    zerolog.Logger
	scope  tally.Scope
	signal chan struct{}

	mu       sync.Mutex
	state    *quarantiner.Quarantine
	listed   bool
	restored bool
	shown    map[quarantiner.Key]bool // quarantined parts that were logged
}

// Option changes a setting of a [Warden].
type Option func(*Warden)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(w *Warden) { w.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(w *Warden) { w.scope = s } }

// New returns a warden without records.
func New(store Store, opts ...Option) *Warden {
	w := &Warden{
		store: store, log: zerolog.Nop(), scope: tally.NoopScope, signal: make(chan struct{}, 1),
		state: quarantiner.New(), shown: make(map[quarantiner.Key]bool),
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Run stores changes of the records until the context ends.
func (w *Warden) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signal:
		case <-sweep.C:
		}
		w.mu.Lock()
		due := w.state.Due(time.Now())
		w.mu.Unlock()
		failed := false
		for _, d := range due {
			if err := w.write(ctx, d); err != nil {
				failed = true
				w.log.Warn().Err(err).Str("name", d.Key.Name()).Msg("warning not stored; retrying")
			}
		}
		if failed {
			waiter.Sleep(ctx, retryDelay)
			w.wake()
		}
	}
}

// wake makes Run look for due writes.
func (w *Warden) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// write makes one write. A conflict is no error: the current record is taken over, and
// the change is due again if it still matters.
func (w *Warden) write(ctx context.Context, d quarantiner.Write) error {
	item, err := w.put(ctx, d)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.logChanges()
	switch {
	case err == nil:
		w.state.Written(time.Now(), d, item.Version)
		return nil
	case errors.Is(err, storer.ErrConflict):
		w.state.Failed(d)
		w.observe(item)
		w.wake()
		return nil
	case errors.Is(err, storer.ErrAbsent):
		w.state.Gone(d)
		w.wake()
		return nil
	}
	w.state.Failed(d)
	return err
}

func (w *Warden) put(ctx context.Context, d quarantiner.Write) (storer.Item, error) {
	if d.Remove {
		return w.store.Remove(ctx, Kind, d.Key.Name(), d.Version)
	}
	body, err := checker.Encode(d.Record)
	if err != nil {
		return storer.Item{}, err
	}
	return w.store.Put(ctx, Kind, d.Key.Name(), body, d.Version)
}

// Ready reports whether the records were read.
func (w *Warden) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
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
	refusal := quarantiner.Verdict{Outcome: quarantiner.Quarantined, Key: v.Key, RetryAfter: time.Second}
	if !ok {
		return refusal
	}
	item, err := w.put(ctx, claim)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.state.Observe(time.Now(), item.Version, claim.Record)
	case errors.Is(err, storer.ErrConflict):
		w.observe(item)
	}
	w.state.EndClaim(v.Key)
	if err != nil {
		return refusal
	}
	w.logKey(v.Key).Int("trial", claim.Record.Trials).Msg("trial of a quarantined prompt part begins")
	return v
}

// RecordAnswer records that a target has answered a request.
func (w *Warden) RecordAnswer(service string, parts []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.RecordAnswer(time.Now(), service, parts) {
		w.logChanges()
		w.wake()
	}
}

// RecordCrash records the end of a target that was about to answer a request.
func (w *Warden) RecordCrash(r quarantiner.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.RecordCrash(time.Now(), r) {
		w.logChanges()
		w.wake()
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

// observe takes over a stored object. The caller holds the lock.
func (w *Warden) observe(item storer.Item) {
	if len(item.Body) == 0 {
		return // a conflict without the current object; the watch brings it
	}
	r, err := checker.Decode[quarantiner.Record](item.Body)
	if err != nil || r.Key().Name() != item.Key {
		w.log.Error().Err(err).Str("name", item.Key).Uint64("version", item.Version).Msg("stored warning is invalid; ignoring it")
		return
	}
	w.state.Observe(time.Now(), item.Version, r)
}

// Listed implements [follower.Handler].
func (w *Warden) Listed(items []storer.Item) {
	var list []quarantiner.Stored
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, item := range items {
		r, err := checker.Decode[quarantiner.Record](item.Body)
		if err != nil || r.Key().Name() != item.Key {
			w.log.Error().Err(err).Str("name", item.Key).Uint64("version", item.Version).Msg("stored warning is invalid; ignoring it")
			continue
		}
		list = append(list, quarantiner.Stored{Record: r, Version: item.Version})
	}
	w.state.ObserveList(time.Now(), list, w.restored)
	w.listed, w.restored = true, false
	w.logChanges()
	w.wake()
}

// Changed implements [follower.Handler].
func (w *Warden) Changed(changes []follower.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range changes {
		if !c.Deleted {
			w.observe(c.Item)
			continue
		}
		if k, ok := quarantiner.ParseName(c.Item.Key); ok {
			w.state.ObserveRemoved(k, c.Item.Version)
		}
	}
	w.logChanges()
	w.wake()
}

// Disconnected implements [follower.Handler].
func (w *Warden) Disconnected(err error) { w.log.Warn().Err(err).Msg("warnings are not followed") }

// Reconnected implements [follower.Handler].
func (w *Warden) Reconnected() { w.log.Info().Msg("warnings are followed again") }

// Restored implements [follower.Handler].
func (w *Warden) Restored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restored = true
	w.log.Warn().Msg("store was restored from an older copy; warnings are stored again")
}

// Synced implements [follower.Handler].
func (w *Warden) Synced() {}
