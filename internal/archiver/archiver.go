// Package archiver keeps the origins of streams in the store, so that any instance can go
// on with a stream at the software version that began it. The decisions are made by
// package registrar.
//
// # Usage
//
//	a := archiver.New(store, "entry-1", archiver.WithLog(log))
//	r := recorder.New(store, log, a.Group())
//	a.OnChange(r.Wake)
//	go a.Run(ctx)
//	versions := a.Versions(ctx, "pool")             // at which a new stream may begin
//	origin, err := a.Origin(ctx, "pool", id, time.Second) // of a stream that is taken up
//	a.Begin(id, origin)
//	defer a.End(id, broken)
package archiver

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"daisylane/internal/checker"
	"daisylane/internal/follower"
	"daisylane/internal/recorder"
	"daisylane/internal/registrar"
	"daisylane/internal/storer"
	"daisylane/internal/waiter"
)

// Kind is the kind of the objects with notes, one for each instance.
const Kind = "streams"

const (
	// minNoteInterval is the time between two writes of the notes of an instance. All
	// instances together make at most maxNoteRate writes a second.
	minNoteInterval = 100 * time.Millisecond
	maxNoteRate     = 80
	// tickInterval is how often notes that are due are looked for.
	tickInterval = 50 * time.Millisecond
	retryDelay   = 150 * time.Millisecond
	// maxListRate limits the lists of notes of all instances together, maxInstanceListRate
	// those of one, per second.
	maxListRate         = 600
	maxInstanceListRate = 20
	listBurst           = 5
	// firstPause is the pause before the notes are read again. It doubles.
	firstPause = 50 * time.Millisecond
	// listWait limits the wait for a version to be listed.
	listWait = 300 * time.Millisecond
	// settleTime is how long after an outage of the store the list of versions is not trusted:
	// live targets register again within two seconds, and their versions are seen within two
	// periods of 250 ms.
	settleTime = 2500 * time.Millisecond
	// abandonedTime is how long an object with notes stays unchanged until it is removed.
	abandonedTime = 10 * time.Minute
)

// ErrUnknown means that it is not known where a stream began.
var ErrUnknown = errors.New("origin of the stream is not known")

// Store holds the notes and the lists of versions.
type Store interface {
	recorder.Store
	Get(ctx context.Context, kind, name string) (storer.Item, error)
	List(ctx context.Context, kind string) ([]storer.Item, follower.Position, error)
	Era() int64
}

// Archiver keeps the origins of streams of one instance. It is safe for concurrent use.
type Archiver struct {
	store     Store
	name      string // of the instance
	log       zerolog.Logger
	fleetSize func() int
	group     *recorder.GroupOf[registrar.Versions]
	wake      func() // called when records are to be stored
	lists     *rate.Limiter
	notes     *sharer // reads the notes of all instances

	mu        sync.Mutex
	refreshes map[string]*sharer // reads of lists of versions, by service
	state     *registrar.Registrar
	changed   chan struct{} // closed when the lists of versions have changed
	shown     map[string][]string
	syncedAt  time.Time            // last contact with the store
	outage    bool                 // registrations of targets are not followed
	outageEnd time.Time            // end of the last outage
	stored    uint64               // version of the own notes in the store
	seen      map[string]unchanged // objects with notes, by name
}

// unchanged is how long an object has had a version.
type unchanged struct {
	version uint64
	since   time.Time
}

// Option changes a setting of an [Archiver].
type Option func(*Archiver)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(a *Archiver) { a.log = log } }

// WithFleetSize sets what returns the number of instances.
func WithFleetSize(f func() int) Option { return func(a *Archiver) { a.fleetSize = f } }

// New returns the archiver of an instance.
func New(store Store, name string, opts ...Option) *Archiver {
	a := &Archiver{
		store: store, name: name, log: zerolog.Nop(), fleetSize: func() int { return 1 }, wake: func() {},
		lists: rate.NewLimiter(maxInstanceListRate, listBurst),
		state: registrar.New(time.Now()), changed: make(chan struct{}), shown: make(map[string][]string), syncedAt: time.Now(),
		seen: make(map[string]unchanged), refreshes: make(map[string]*sharer),
	}
	a.notes = newSharer(a.readNotes)
	a.group = recorder.NewGroup("versions", func(use func(recorder.Records[registrar.Versions])) {
		a.locked(func() { use(a.state) })
	})
	for _, o := range opts {
		o(a)
	}
	return a
}

// Group returns the shared records.
func (a *Archiver) Group() *recorder.GroupOf[registrar.Versions] { return a.group }

// OnChange sets what is called when records are to be stored. It must be called before
// the archiver is used.
func (a *Archiver) OnChange(f func()) { a.wake = f }

// locked calls a function that may change the lists of versions.
func (a *Archiver) locked(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshState()
	change()
	a.announceChanges()
}

// refreshState tells the registrar of the state of the store. The caller holds the lock.
func (a *Archiver) refreshState() {
	a.state.SetEra(a.store.Era())
	a.state.SetUnsettled(a.outage || time.Since(a.outageEnd) < settleTime)
}

// RecordOutage records that the registrations of targets are not followed any more, or are
// followed again.
func (a *Archiver) RecordOutage(ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outage = !ended
	if ended {
		a.outageEnd = time.Now()
	}
}

// outageLately reports whether streams that began in an outage may still be taken up. They are
// noted if their origin is not known.
func (a *Archiver) outageLately() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outage || time.Since(a.outageEnd) < a.state.KeepTime()
}

// announceChanges logs changed lists and wakes those that wait for them. The caller holds
// the lock.
func (a *Archiver) announceChanges() {
	changed := false
	for _, name := range a.state.Services() {
		versions := a.state.Versions(name)
		if slices.Equal(versions, a.shown[name]) {
			continue
		}
		a.shown[name], changed = versions, true
		a.log.Info().Str("service", name).Strs("versions", versions).Msg("versions of streams changed")
	}
	if changed {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// RecordContact records that the view of the lists was current at the given time.
func (a *Archiver) RecordContact(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.syncedAt = now
}

// SetLifetime sets how long one attempt at a stream may last.
func (a *Archiver) SetLifetime(attempt time.Duration) {
	a.locked(func() { a.state.SetLifetime(attempt) })
}

// SetServing sets the versions of the targets of a service. shared says that a route leads
// to other services too, or did lately.
func (a *Archiver) SetServing(service string, versions []string, shared bool) {
	a.locked(func() {
		a.state.SetServing(time.Now(), service, versions)
		a.state.SetShared(service, shared)
	})
}

// KeepTime returns how long a stream may last after a change, over all attempts of its
// caller.
func (a *Archiver) KeepTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.KeepTime()
}

// Ready reports whether the lists of versions were read.
func (a *Archiver) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Listed()
}

// Versions returns the versions at which a stream of a service may begin. It waits for a
// short time if none of those that serve is listed.
func (a *Archiver) Versions(ctx context.Context, service string) []string {
	ctx, cancel := context.WithTimeout(ctx, listWait)
	defer cancel()
	for {
		a.mu.Lock()
		versions := append([]string{}, a.state.Versions(service)...) // nil would be any
		unlisted, stale, changed := a.state.Hasten(time.Now(), service), time.Since(a.syncedAt) > registrar.StaleTime, a.changed
		a.mu.Unlock()
		switch {
		case stale:
			if err := a.refresh(ctx, service); err != nil {
				a.log.Warn().Err(err).Str("service", service).Msg("versions of streams are out of date; beginning none")
				return []string{}
			}
			a.RecordContact(time.Now())
			continue
		case !unlisted:
			return versions
		}
		a.wake()
		select {
		case <-ctx.Done():
			return versions
		case <-changed:
		}
	}
}

// Begin records the origin of a stream that is about to be sent to a target.
func (a *Archiver) Begin(id string, o registrar.Origin) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Begin(id, o)
}

// End records that a stream has ended, and whether its caller may take it up.
func (a *Archiver) End(id string, broken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.End(time.Now(), id, broken)
}

// Origin returns where a stream of a service began, given the ID of the caller's attempt
// that brought its first event. It waits for the notes of others up to the given time. The
// error is [ErrUnknown] if that is not known.
func (a *Archiver) Origin(ctx context.Context, service, id string, wait time.Duration) (registrar.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o, noted := a.lookup(id)
	if noted && (o.IsKnown() || a.owns(id)) {
		return known(o)
	}
	if _, ok := a.only(service); ok {
		// Another instance may have begun streams at a further version meanwhile.
		if err := a.refresh(ctx, service); err != nil {
			return registrar.Origin{}, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		if noted || a.outageLately() {
			if err := a.notes.do(ctx); err != nil {
				return registrar.Origin{}, fmt.Errorf("%w: %w", ErrUnknown, err)
			}
			if o, ok := a.lookup(id); ok {
				return known(o)
			}
		}
		if v, ok := a.only(service); ok {
			return registrar.Origin{Service: service, Version: v}, nil
		}
	}
	if id == "" {
		return registrar.Origin{}, ErrUnknown
	}
	for pause := firstPause; ; pause *= 2 {
		err := a.notes.do(ctx)
		if o, ok := a.lookup(id); ok {
			return known(o)
		}
		if deadline, _ := ctx.Deadline(); ctx.Err() != nil || time.Until(deadline) < pause {
			return registrar.Origin{}, errors.Join(ErrUnknown, err)
		}
		waiter.Sleep(ctx, pause)
	}
}

// known returns an origin if its version is known, and otherwise ErrUnknown.
func known(o registrar.Origin) (registrar.Origin, error) {
	if !o.IsKnown() {
		return registrar.Origin{}, fmt.Errorf("%w: the version of its target was uncertain", ErrUnknown)
	}
	return o, nil
}

func (a *Archiver) lookup(id string) (registrar.Origin, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Lookup(id)
}

func (a *Archiver) owns(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Owns(id)
}

func (a *Archiver) only(service string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refreshState()
	return a.state.Only(service)
}

// refresh reads the list of versions of a service. What it finds is not older than the
// call.
func (a *Archiver) refresh(ctx context.Context, service string) error {
	a.mu.Lock()
	r, ok := a.refreshes[service]
	if !ok {
		r = newSharer(func(ctx context.Context) error { return a.readVersions(ctx, service) })
		a.refreshes[service] = r
	}
	a.mu.Unlock()
	return r.do(ctx)
}

func (a *Archiver) readVersions(ctx context.Context, service string) error {
	stored, err := a.group.Get(ctx, a.store, service)
	switch {
	case errors.Is(err, storer.ErrAbsent):
		a.locked(func() { a.state.ObserveAbsent(service) })
		return nil
	case err != nil:
		return fmt.Errorf("read versions of %s: %w", service, err)
	}
	a.locked(func() { a.state.Observe(time.Now(), stored.Version, stored.Record) })
	return nil
}

// readNotes reads the notes of all instances.
func (a *Archiver) readNotes(ctx context.Context) error {
	a.lists.SetLimit(rate.Limit(min(maxInstanceListRate, maxListRate/float64(max(1, a.fleetSize())))))
	if err := a.lists.Wait(ctx); err != nil {
		return fmt.Errorf("wait for a read: %w", err)
	}
	items, _, err := a.store.List(ctx, Kind)
	if err != nil {
		return fmt.Errorf("read notes of streams: %w", err)
	}
	a.observe(ctx, items)
	return nil
}

// observe takes over the notes of all instances and removes those of instances that are
// long gone.
func (a *Archiver) observe(ctx context.Context, items []storer.Item) {
	now := time.Now()
	var list []registrar.Notes
	var abandoned []storer.Item
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[string]unchanged, len(items))
	for _, item := range items {
		u, ok := a.seen[item.Key]
		if !ok || u.version != item.Version {
			u = unchanged{item.Version, now}
		}
		if seen[item.Key] = u; item.Key != a.name && now.Sub(u.since) > abandonedTime {
			abandoned = append(abandoned, item)
		}
		notes, err := checker.Decode[registrar.Notes](item.Body)
		if err != nil {
			a.log.Error().Err(err).Str("name", item.Key).Msg("stored notes of streams are invalid; ignoring them")
			continue
		}
		list = append(list, notes)
	}
	a.seen = seen
	a.state.ObserveNotes(list)
	for _, item := range abandoned {
		go func() {
			if _, err := a.store.Remove(context.WithoutCancel(ctx), Kind, item.Key, item.Version); err != nil {
				a.log.Warn().Err(err).Str("name", item.Key).Msg("abandoned notes of streams not removed")
			}
		}()
	}
}

// Run stores the notes of this instance until the context ends.
func (a *Archiver) Run(ctx context.Context) {
	waiter.Every(ctx, tickInterval, func(now time.Time) {
		interval := max(minNoteInterval, time.Duration(a.fleetSize())*time.Second/maxNoteRate)
		if err := a.storeNotes(ctx, now, interval); err != nil && ctx.Err() == nil {
			a.log.Warn().Err(err).Msg("notes of streams not stored; retrying")
			waiter.Sleep(ctx, retryDelay)
		}
	})
}

// Close stores what is not stored yet.
func (a *Archiver) Close(ctx context.Context) error { return a.storeNotes(ctx, time.Now(), 0) }

// storeNotes stores the notes of this instance if they are due.
func (a *Archiver) storeNotes(ctx context.Context, now time.Time, interval time.Duration) error {
	a.mu.Lock()
	a.refreshState()
	notes, due := a.state.NotesDue(now, interval)
	version := a.stored
	a.mu.Unlock()
	if !due {
		return nil
	}
	body, err := checker.Encode(notes)
	if err != nil {
		return fmt.Errorf("encode notes: %w", err)
	}
	item, err := a.store.Put(ctx, Kind, a.name, body, version)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.stored = item.Version
		a.state.NotesWritten(notes)
		return nil
	case errors.Is(err, storer.ErrConflict) && item.Version > 0:
		a.stored = item.Version
		a.state.NotesFailed()
		a.adopt(now, item)
		return nil
	case errors.Is(err, storer.ErrAbsent):
		a.stored = 0
	}
	a.state.NotesFailed()
	return err
}

// adopt takes over the notes of a former process of this instance. The caller holds the
// lock.
func (a *Archiver) adopt(now time.Time, item storer.Item) {
	former, err := checker.Decode[registrar.Notes](item.Body)
	if err != nil {
		a.log.Error().Err(err).Msg("notes of the former process are invalid; ignoring them")
		return
	}
	a.state.Adopt(now, former)
}
