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
	"slices"
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
	store      recorder.Store
	partGroup  *recorder.GroupOf[quarantiner.Record]
	crashGroup *recorder.GroupOf[quarantiner.CrashRecord]
	log        zerolog.Logger
	scope      tally.Scope
	onChange   func()

	mu            sync.Mutex
	parts         *quarantiner.Quarantine
	crashes       *quarantiner.Crashes
	attempts      *quarantiner.Attempts
	settling      bool                     // a timer runs until the next answer has proved its parts sound
	shownParts    map[quarantiner.Key]bool // quarantined parts that were logged
	shownRequests map[quarantiner.Fingerprint]bool
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
		parts: quarantiner.New(), crashes: quarantiner.NewCrashes(), attempts: quarantiner.NewAttempts(), shownParts: make(map[quarantiner.Key]bool), shownRequests: make(map[quarantiner.Fingerprint]bool),
	}
	w.partGroup = recorder.NewGroup("part", func(use func(recorder.Records[quarantiner.Record])) {
		w.locked(func() { use(w.parts) })
	})
	w.crashGroup = recorder.NewGroup("crash", func(use func(recorder.Records[quarantiner.CrashRecord])) {
		w.locked(func() { use(w.crashes) })
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
func (w *Warden) Groups() []recorder.Group { return []recorder.Group{w.partGroup, w.crashGroup} }

// OnChange sets what is called when records are to be stored. It must be called before
// the warden is used.
func (w *Warden) OnChange(f func()) { w.onChange = f }

// Ready reports whether the records of the fleet were read.
func (w *Warden) Ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parts.Listed() && w.crashes.Listed()
}

// Suspects reports whether any request is suspected, so that fingerprints matter.
func (w *Warden) Suspects() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes.Suspects()
}

// Check says whether a request may be sent to a target, without beginning a trial.
func (w *Warden) Check(s quarantiner.Subject) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	part, request := w.verdicts(s)
	return stricter(part, request)
}

// verdicts returns what is known of the parts of a request and of the request itself. The
// caller holds the lock.
func (w *Warden) verdicts(s quarantiner.Subject) (part, request quarantiner.Verdict) {
	now := time.Now()
	return w.parts.Check(now, s.Service, s.Parts), w.checkCrashes(now, s)
}

// checkCrashes returns what is known of a request from the crashes. The caller holds the
// lock.
func (w *Warden) checkCrashes(now time.Time, s quarantiner.Subject) quarantiner.Verdict {
	if !w.crashes.Suspects() {
		return quarantiner.Verdict{Outcome: quarantiner.Allowed}
	}
	v := w.crashes.Check(now, s.Fingerprints())
	if i := slices.Index(s.PartFingerprints(), v.Fingerprint); i >= 0 && v.Outcome != quarantiner.Allowed {
		v.Key = quarantiner.Key{Service: s.Service, Part: s.Parts[i]}
	}
	return v
}

// stricter returns the verdict that allows less.
func stricter(part, request quarantiner.Verdict) quarantiner.Verdict {
	switch {
	case part.Outcome == quarantiner.Quarantined && request.Outcome == quarantiner.Quarantined:
		request.RetryAfter = max(part.RetryAfter, request.RetryAfter)
		return request
	case request.Outcome == quarantiner.Quarantined, part.Outcome == quarantiner.Allowed:
		return request
	}
	return part
}

// Admit is Check for a request that is sent at once. If a trial is due and no other
// instance begins it, the request is the trial and the outcome is TrialDue.
func (w *Warden) Admit(ctx context.Context, s quarantiner.Subject) quarantiner.Verdict {
	w.mu.Lock()
	part, request := w.verdicts(s)
	w.mu.Unlock()
	v := stricter(part, request)
	if v.Outcome != quarantiner.TrialDue {
		return v
	}
	claimed := true
	if request.Outcome == quarantiner.TrialDue {
		claimed = claim[quarantiner.CrashRecord]{
			what: "request", log: w.logRequest(request.Fingerprint), group: w.crashGroup, records: w.crashes,
			begin: func() (quarantiner.CrashWrite, bool) { return w.crashes.BeginTrial(request.Fingerprint) },
			end:   func() { w.crashes.EndClaim(request.Fingerprint) },
		}.store(ctx, w)
	}
	if claimed && part.Outcome == quarantiner.TrialDue {
		claimed = claim[quarantiner.Record]{
			what: "prompt part", log: w.logPart(part.Key), group: w.partGroup, records: w.parts,
			begin: func() (quarantiner.Write, bool) { return w.parts.BeginTrial(part.Key) },
			end:   func() { w.parts.EndClaim(part.Key) },
		}.store(ctx, w)
	}
	if !claimed {
		v.Outcome, v.RetryAfter = quarantiner.Quarantined, claimPause
	}
	return v
}

// claim is the claim of a trial by a write to a record of type R.
type claim[R recorder.Record] struct {
	what    string // what is tried
	log     zerolog.Logger
	group   *recorder.GroupOf[R]
	records recorder.Records[R]
	begin   func() (recorder.Write[R], bool)
	end     func()
}

// store makes the write. It returns false if the trial is not this instance's to make.
func (c claim[R]) store(ctx context.Context, w *Warden) bool {
	w.mu.Lock()
	write, ok := c.begin()
	w.mu.Unlock()
	if !ok {
		return false
	}
	stored, err := c.group.Put(ctx, w.store, write)
	w.mu.Lock()
	defer w.mu.Unlock()
	if stored.Version > 0 {
		c.records.Observe(time.Now(), stored.Version, stored.Record)
	}
	c.end()
	switch {
	case err == nil:
		c.log.Warn().Msg("trial of a quarantined " + c.what + " begins")
	case !errors.Is(err, storer.ErrConflict):
		c.log.Warn().Err(err).Msg("trial of a quarantined " + c.what + " not claimed")
	}
	return err == nil
}

// RecordAnswer records that a target has answered a request, so that no part of its prompt
// crashes targets.
func (w *Warden) RecordAnswer(s quarantiner.Subject) {
	w.update(0, func() bool { return w.parts.RecordAnswer(time.Now(), s.Service, s.Parts) })
}

// RecordWhole records that a target has answered a request whole, which was sent at a time. That the parts of the
// prompt are sound is shown only once the target has outlived the answer.
func (w *Warden) RecordWhole(t quarantiner.Target, sentAt time.Time, s quarantiner.Subject) {
	var under []quarantiner.Failure
	w.update(0, func() bool {
		now := time.Now()
		if under = w.attempts.AddAnswer(now, t, sentAt, s); len(under) == 0 {
			w.crashes.RecordAnswered(s.PartFingerprints())
		}
		w.settleLater(now)
		return w.crashes.RecordAnswer(now, s.Requests)
	})
	w.recordUnder(under)
}

// settleLater starts a timer for the next answer that is to prove its parts sound. The
// caller holds the lock.
func (w *Warden) settleLater(now time.Time) {
	at, ok := w.attempts.NextSurvival()
	if !ok || w.settling {
		return
	}
	w.settling = true
	time.AfterFunc(max(at.Sub(now), minSettlePause), func() {
		w.update(0, func() bool {
			now := time.Now()
			w.settling = false
			changed := w.crashes.RecordSurvived(now, w.attempts.Survived(now))
			w.settleLater(now)
			return changed
		})
	})
}

// RecordCrash records the end of a target that had not answered a request. about says that
// it was about to answer, so that a part of the prompt may be the cause.
func (w *Warden) RecordCrash(r quarantiner.Report, about bool) {
	w.recordUnder([]quarantiner.Failure{{Report: r, About: about}})
	w.RecordEnd(quarantiner.Target{ID: r.Target, Incarnation: r.Incarnation})
}

// RecordFailure records an attempt that was not answered whole while nothing shows yet that
// its target has ended.
func (w *Warden) RecordFailure(r quarantiner.Report, about bool) {
	f := quarantiner.Failure{Report: r, About: about}
	w.mu.Lock()
	ended := w.attempts.AddFailure(time.Now(), f)
	w.mu.Unlock()
	if ended {
		w.recordUnder([]quarantiner.Failure{f})
	}
}

// RecordEnd records that a target has ended, which counts against the attempts that it may
// have ended under.
func (w *Warden) RecordEnd(t quarantiner.Target) {
	w.mu.Lock()
	under := w.attempts.End(time.Now(), t)
	w.mu.Unlock()
	w.recordUnder(under)
}

// RecordLapse records that the registration of a target has lapsed.
func (w *Warden) RecordLapse(t quarantiner.Target) {
	w.mu.Lock()
	under := w.attempts.Lapse(time.Now(), t)
	w.mu.Unlock()
	w.recordUnder(under)
}

// Repeated reports whether a request, or a part of its prompt, was at more than one crash
// and not answered since.
func (w *Warden) Repeated(r quarantiner.Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes.Repeated(r)
}

// recordUnder counts the end of a target against attempts.
func (w *Warden) recordUnder(list []quarantiner.Failure) {
	for _, f := range list {
		w.scope.Tagged(map[string]string{"service": f.Service}).Counter(reporter.Crashes).Inc(1)
		w.update(quarantiner.CrashWriteDelay, func() bool {
			if f.Answered {
				w.crashes.RecordFatal(quarantiner.Subject{Parts: f.Parts}.PartFingerprints())
			}
			return w.crashes.RecordCrash(time.Now(), f.Report)
		})
		if f.About {
			w.update(0, func() bool { return w.parts.RecordCrash(time.Now(), f.Report) })
		}
	}
}

// update changes the state. The change says whether records are to be stored, which is
// done after a delay.
func (w *Warden) update(delay time.Duration, change func() bool) {
	w.mu.Lock()
	changed := change()
	if changed {
		w.logChanges()
	}
	w.mu.Unlock()
	switch {
	case changed && delay > 0:
		time.AfterFunc(delay, w.onChange)
	case changed:
		w.onChange()
	}
}

// logChanges logs what has come into quarantine or out of it. The caller holds the lock.
func (w *Warden) logChanges() {
	logDifference(w.shownParts, w.parts.Quarantined(), func(k quarantiner.Key, in bool) {
		log := w.logPart(k)
		if in {
			log.Warn().Msg("prompt part quarantined; targets crash under it")
		} else {
			log.Warn().Msg("prompt part released")
		}
	})
	logDifference(w.shownRequests, w.crashes.Quarantined(), func(f quarantiner.Fingerprint, in bool) {
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
	})
	w.scope.Gauge(reporter.QuarantinedParts).Update(float64(len(w.shownParts)))
	w.scope.Gauge(reporter.QuarantinedRequests).Update(float64(len(w.shownRequests)))
}

// logDifference calls a function for what is new in a list or no longer in it, and changes
// shown to the list.
func logDifference[K comparable](shown map[K]bool, list []K, log func(k K, in bool)) {
	now := make(map[K]bool, len(list))
	for _, k := range list {
		if now[k] = true; !shown[k] {
			shown[k] = true
			log(k, true)
		}
	}
	for k := range shown {
		if !now[k] {
			delete(shown, k)
			log(k, false)
		}
	}
}

// logPart returns a log about a part.
func (w *Warden) logPart(k quarantiner.Key) zerolog.Logger {
	return w.log.With().Str("service", k.Service).Str("part", strconv.FormatUint(k.Part, 16)).Logger()
}

// logRequest returns a log about a request.
func (w *Warden) logRequest(f quarantiner.Fingerprint) zerolog.Logger {
	return w.log.With().Stringer("fingerprint", f).Logger()
}
