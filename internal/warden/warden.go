// Package warden keeps requests away from targets that they would crash. The decisions
// are made by package quarantiner, their records are shared through package recorder.
//
// # Usage
//
//	w := warden.New(store, warden.WithLog(log))
//	r := recorder.New(store, log, w.Groups()...)
//	w.OnChange(r.Wake)
//	if v := w.Check(subject); v.Outcome == quarantiner.Quarantined {
//		// refuse the request
//	}
package warden

import (
	"context"
	"errors"
	"maps"
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

const (
	// claimPause is the time to come back for a request that could not become the trial.
	claimPause = time.Second
	// minSettlePause collects answers that prove parts sound.
	minSettlePause = 50 * time.Millisecond
)

// Warden keeps the quarantine of prompt parts and requests of one instance. It is safe for
// concurrent use.
type Warden struct {
	store    recorder.Store
	group    *recorder.GroupOf[quarantiner.CrashRecord]
	log      zerolog.Logger
	scope    tally.Scope
	onChange func()

	mu       sync.Mutex
	monitor  *quarantiner.Monitor
	settling bool                             // a timer runs until the next answer has proved its parts sound
	shown    map[quarantiner.Fingerprint]bool // what is in quarantine and was logged
}

// Option changes a setting of a [Warden].
type Option func(*Warden)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(w *Warden) { w.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option { return func(w *Warden) { w.scope = s } }

// WithFleetSize sets what returns the number of instances, over which writes are spread.
func WithFleetSize(f func() int) Option { return func(w *Warden) { w.monitor.SetFleetSize(f) } }

// New returns a warden without records.
func New(store recorder.Store, opts ...Option) *Warden {
	w := &Warden{
		store: store, log: zerolog.Nop(), scope: tally.NoopScope, onChange: func() {},
		monitor: quarantiner.NewMonitor(), shown: make(map[quarantiner.Fingerprint]bool),
	}
	w.group = recorder.NewGroup("crash", func(use func(recorder.Records[quarantiner.CrashRecord])) {
		w.locked(func() { use(w.monitor) })
	})
	for _, o := range opts {
		o(w)
	}
	return w
}

// locked calls a function that changes the state.
func (w *Warden) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.logChanges()
}

// Groups returns the shared records.
func (w *Warden) Groups() []recorder.Group { return []recorder.Group{w.group} }

// OnChange sets what is called when records are to be stored. It must be called before
// the warden is used.
func (w *Warden) OnChange(f func()) { w.onChange = f }

// Ready reports whether the records of the fleet were read.
func (w *Warden) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Listed()
}

// Suspects reports whether any request is suspected, so that fingerprints matter.
func (w *Warden) Suspects() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Suspects()
}

// Check says whether a request may be sent to a target, without beginning a trial.
func (w *Warden) Check(s quarantiner.Subject) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.judge(s)
}

// judge returns what is known of a request. The caller holds the lock.
func (w *Warden) judge(s quarantiner.Subject) quarantiner.Verdict {
	v := w.monitor.Judge(time.Now(), s)
	w.logChanges()
	return v
}

// Admit is Check for a request that is sent at once. If a trial is due and no other
// instance begins it, the request is the trial and the outcome is TrialDue.
func (w *Warden) Admit(ctx context.Context, s quarantiner.Subject) quarantiner.Verdict {
	w.mu.Lock()
	v := w.judge(s)
	if v.Outcome == quarantiner.Allowed && !s.Retry {
		w.monitor.RecordSent(s)
	}
	w.mu.Unlock()
	if v.Outcome == quarantiner.TrialDue && !w.claim(ctx, v) {
		v.Outcome, v.RetryAfter = quarantiner.Quarantined, claimPause
	}
	return v
}

// claim claims a trial by a write to a record. It returns false if the trial is not this
// instance's to make.
func (w *Warden) claim(ctx context.Context, v quarantiner.Verdict) bool {
	w.mu.Lock()
	write, ok := w.monitor.BeginTrial(v.Fingerprint)
	w.mu.Unlock()
	if !ok {
		return false
	}
	stored, err := w.group.Put(ctx, w.store, write)
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored.Version > 0 {
		w.monitor.Observe(time.Now(), stored.Version, stored.Record)
	}
	w.monitor.EndClaim(v.Fingerprint)
	log, what := w.logRequest(v.Fingerprint), "request"
	if v.Fingerprint.IsPart() {
		log, what = log.With().Str("service", v.Key.Service).Str("part", strconv.FormatUint(v.Key.Part, 16)).Logger(), "prompt part"
	}
	switch {
	case err == nil:
		log.Warn().Msg("trial of a quarantined " + what + " begins")
	case !errors.Is(err, storer.ErrConflict):
		log.Warn().Err(err).Msg("trial of a quarantined " + what + " not claimed")
	}
	return err == nil
}

// RecordWhole records that a target has answered a request whole, which was sent at a time.
// That the request is sound is shown only once the target has outlived the answer.
func (w *Warden) RecordWhole(t quarantiner.Target, sentAt time.Time, s quarantiner.Subject) {
	w.update(func(now time.Time) ([]quarantiner.Report, bool) {
		under, changed := w.monitor.RecordWhole(now, t, sentAt, s)
		w.settleLater(now)
		return under, changed
	})
}

// RecordInTouch records that the ends of all targets that the store knew of at a time are
// known. Answers whose connection was closed count only then.
func (w *Warden) RecordInTouch(at time.Time) {
	w.settle(func() { w.monitor.RecordInTouch(at) })
}

// RecordAlive records that a watched target was alive at a time, so that its earlier answers
// count.
func (w *Warden) RecordAlive(t quarantiner.Target, at time.Time) {
	w.settle(func() { w.monitor.RecordAlive(t, at) })
}

// RecordClosed records that a watched target has closed connections, but accepts others at a time.
func (w *Warden) RecordClosed(t quarantiner.Target, at time.Time) {
	w.settle(func() { w.monitor.RecordClosed(t, at) })
}

// settle changes what is known of targets and takes account of the answers that they have
// outlived.
func (w *Warden) settle(change func()) {
	w.update(func(now time.Time) ([]quarantiner.Report, bool) {
		change()
		changed := w.monitor.Settle(now)
		w.settleLater(now)
		return nil, changed
	})
}

// settleLater starts a timer for the next answer that is to prove its parts sound. The
// caller holds the lock.
func (w *Warden) settleLater(now time.Time) {
	at, ok := w.monitor.NextSettle()
	if !ok || w.settling {
		return
	}
	w.settling = true
	time.AfterFunc(max(at.Sub(now), minSettlePause), func() {
		w.update(func(now time.Time) ([]quarantiner.Report, bool) {
			w.settling = false
			changed := w.monitor.Settle(now)
			w.settleLater(now)
			return nil, changed
		})
	})
}

// RecordCrash records the end of a target that had not answered a request. about says that
// it was about to answer, so that a part of the prompt may be the cause.
func (w *Warden) RecordCrash(r quarantiner.Report, about bool) {
	r.About = about
	w.update(func(now time.Time) ([]quarantiner.Report, bool) {
		return []quarantiner.Report{r}, w.monitor.RecordCrash(now, r)
	})
	w.RecordEnd(quarantiner.Target{ID: r.Target, Incarnation: r.Incarnation})
}

// RecordFailure records an attempt that was not answered whole while nothing shows yet that
// its target has ended.
func (w *Warden) RecordFailure(r quarantiner.Report, about bool) {
	r.About = about
	w.update(func(now time.Time) ([]quarantiner.Report, bool) { return w.monitor.RecordFailure(now, r) })
}

// RecordEnd records that a target has ended, which counts against the attempts that it may
// have ended under.
func (w *Warden) RecordEnd(t quarantiner.Target) {
	w.update(func(now time.Time) ([]quarantiner.Report, bool) { return w.monitor.RecordEnd(now, t) })
}

// RecordLapse records that the registration of a target has lapsed.
func (w *Warden) RecordLapse(t quarantiner.Target) {
	w.update(func(now time.Time) ([]quarantiner.Report, bool) { return w.monitor.RecordLapse(now, t) })
}

// Repeated reports whether a request, or a part of its prompt, was at more than one crash
// and not answered since.
func (w *Warden) Repeated(r quarantiner.Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Repeated(r)
}

// update changes the state. The change returns the attempts under which a target has ended,
// and whether records are to be stored. That is done after a delay if there are such attempts.
func (w *Warden) update(change func(now time.Time) ([]quarantiner.Report, bool)) {
	w.mu.Lock()
	now := time.Now()
	under, changed := change(now)
	delay := time.Duration(0)
	if changed {
		w.logChanges()
		if len(under) > 0 {
			delay = w.untilWrite(now)
		}
	}
	w.mu.Unlock()
	for _, f := range under {
		w.scope.Tagged(map[string]string{"service": f.Service}).Counter(reporter.Crashes).Inc(1)
	}
	switch {
	case delay > 0:
		time.AfterFunc(delay, w.onChange)
	case changed:
		w.onChange()
	}
}

// untilWrite returns how long the next record to be stored waits for further requests, 0 if there
// is none. The caller holds the lock.
func (w *Warden) untilWrite(now time.Time) time.Duration {
	next, ok := w.monitor.NextWrite()
	if !ok {
		return 0
	}
	return next.Sub(now)
}

// logChanges logs what has come into quarantine or out of it. The caller holds the lock.
func (w *Warden) logChanges() {
	now := make(map[quarantiner.Fingerprint]bool)
	for _, f := range w.monitor.Quarantined() {
		now[f] = true
		if !w.shown[f] {
			w.logChange(f, true)
		}
	}
	for f := range w.shown {
		if !now[f] {
			w.logChange(f, false)
		}
	}
	if !maps.Equal(w.shown, now) {
		w.shown = now
		w.showCounts()
	}
}

// logChange logs that a request or part has come into quarantine or out of it.
func (w *Warden) logChange(f quarantiner.Fingerprint, in bool) {
	log := w.logRequest(f)
	switch {
	case f.IsPart() && in:
		log.Warn().Msg("prompt part quarantined; targets crash under it")
	case f.IsPart():
		log.Warn().Msg("prompt part released")
	case in:
		log.Warn().Msg("request quarantined; targets crash under it")
	default:
		log.Warn().Msg("request released")
	}
}

// showCounts sets the gauges of what is in quarantine.
func (w *Warden) showCounts() {
	parts := 0
	for f := range w.shown {
		if f.IsPart() {
			parts++
		}
	}
	w.scope.Gauge(reporter.QuarantinedParts).Update(float64(parts))
	w.scope.Gauge(reporter.QuarantinedRequests).Update(float64(len(w.shown) - parts))
}

// logRequest returns a log about a request.
func (w *Warden) logRequest(f quarantiner.Fingerprint) zerolog.Logger {
	return w.log.With().Stringer("fingerprint", f).Logger()
}
