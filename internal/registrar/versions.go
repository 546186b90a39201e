package registrar

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// service is the state of one service.
type service struct {
	record     Versions // as stored
	version    uint64   // of the stored record, 0: none
	sending    bool
	writeAt    time.Time            // of a version that is not listed yet
	serving    map[string]bool      // versions of the listed targets
	lastServed map[string]time.Time // of listed versions that no longer serve
	carried    map[string]bool      // listed before a restore of the store
	shared     bool                 // a route leads to other services too, or did lately
}

// Registrar holds the state of one process. It is not safe for concurrent use.
type Registrar struct {
	startedAt time.Time
	era       int64
	knownEra  int64         // of the store, in which this instance knows all versions
	lifetime  time.Duration // of a stream, over all attempts of its caller
	listed    bool
	services  map[string]*service

	streams map[string]*stream
	found   map[string]Origin
	urgent  bool
	notedAt time.Time

	unsettled bool // targets may serve versions that they have not registered yet
}

// New returns a registrar without records.
func New(now time.Time) *Registrar {
	return &Registrar{startedAt: now, lifetime: minLifetime, services: make(map[string]*service), streams: make(map[string]*stream), found: make(map[string]Origin)}
}

func (r *Registrar) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{serving: make(map[string]bool), lastServed: make(map[string]time.Time), carried: make(map[string]bool)}
		s.record.Service = name
		r.services[name] = s
	}
	return s
}

// Services returns the names of all services.
func (r *Registrar) Services() []string { return slices.Collect(maps.Keys(r.services)) }

// Listed reports whether the stored records were taken over.
func (r *Registrar) Listed() bool { return r.listed }

// SetEra sets the era of the store.
func (r *Registrar) SetEra(era int64) { r.era = era }

// SetLifetime sets how long one attempt at a stream may last.
func (r *Registrar) SetLifetime(attempt time.Duration) { r.lifetime = max(minLifetime, 2*attempt) }

// KeepTime is how long a version is listed after its last target has left, and an origin
// is known after its stream has broken off.
func (r *Registrar) KeepTime() time.Duration { return StaleTime + r.lifetime }

// SetServing sets the versions of the targets of a service.
func (r *Registrar) SetServing(now time.Time, name string, versions []string) {
	s := r.service(name)
	for v := range s.serving {
		if !slices.Contains(versions, v) {
			delete(s.serving, v)
			s.lastServed[v] = now
		}
	}
	for _, v := range versions {
		if s.serving[v] = true; !s.record.Has(v) && s.writeAt.IsZero() {
			s.writeAt = now.Add(rand.N(maxSpread))
		}
		delete(s.lastServed, v)
	}
}

// SetShared sets whether a route leads to other services than this one too, or did lately.
// A stream that is taken up may then have begun at one of them.
func (r *Registrar) SetShared(name string, shared bool) {
	r.service(name).shared = shared
}

// Versions returns the versions at which a stream of a service may begin.
func (r *Registrar) Versions(name string) []string { return r.service(name).record.Versions }

// Hasten makes the versions that serve due at once if none of them is listed, and reports
// whether that is so.
func (r *Registrar) Hasten(now time.Time, name string) bool {
	s := r.service(name)
	for v := range s.serving {
		if s.record.Has(v) {
			return false
		}
	}
	if len(s.serving) == 0 {
		return false
	}
	s.writeAt = now
	return true
}

// SetUnsettled sets whether targets may serve versions that they have not registered yet.
func (r *Registrar) SetUnsettled(unsettled bool) { r.unsettled = unsettled }

// Only returns the version at which all streams of the routes to a service have begun, if
// there is one. Streams with a note of an unknown origin are excepted.
func (r *Registrar) Only(name string) (string, bool) {
	s, ok := r.services[name]
	if !ok || r.unsettled || s.shared || s.version == 0 || s.record.Era != r.era || len(s.record.Versions) != 1 {
		return "", false
	}
	v := s.record.Versions[0]
	for _, other := range []map[string]bool{s.serving, s.carried} {
		for w := range other {
			if w != v {
				return "", false
			}
		}
	}
	return v, true
}

// next returns the record that should be stored.
func (r *Registrar) next(now time.Time, s *service) Versions {
	set := make(map[string]bool)
	for _, v := range s.record.Versions {
		end, ended := s.lastServed[v]
		if s.serving[v] || !ended || now.Sub(end) < r.KeepTime() || r.begunAt(s.record.Service, v) {
			set[v] = true
		}
	}
	maps.Copy(set, s.carried)
	if !now.Before(s.writeAt) {
		maps.Copy(set, s.serving)
	}
	next := Versions{Service: s.record.Service, Versions: slices.Sorted(maps.Keys(set)), Era: s.record.Era}
	if len(next.Versions) > maxVersions {
		next.Versions = next.Versions[:maxVersions]
	}
	if r.knowsEra(now, s) {
		next.Era = r.era
	}
	return next
}

// knowsEra reports whether this instance knows all versions at which streams may have
// begun in the present era of the store: it has known the list before, the list is new, or
// no stream is older than the instance.
func (r *Registrar) knowsEra(now time.Time, s *service) bool {
	return r.knownEra == r.era || s.version == 0 || now.Sub(r.startedAt) > r.KeepTime()
}

// begunAt reports whether this instance has a stream that began at a version.
func (r *Registrar) begunAt(service, version string) bool {
	for _, s := range r.streams {
		if s.origin == (Origin{service, version}) {
			return true
		}
	}
	return false
}

// Due returns the changes of lists that are to be stored now. The caller must call
// Written, Failed or Gone for each.
func (r *Registrar) Due(now time.Time) []Write {
	if !r.listed {
		return nil
	}
	var due []Write
	for name, s := range r.services {
		if s.sending || len(s.serving)+len(s.carried)+len(s.record.Versions) == 0 {
			continue
		}
		next := r.next(now, s)
		if len(next.Versions) == 0 || s.version > 0 && next.Era == s.record.Era && slices.Equal(next.Versions, s.record.Versions) {
			continue
		}
		s.sending = true
		due = append(due, Write{Name: name, Record: next, Version: s.version})
	}
	return due
}

// Observe takes over a stored list.
func (r *Registrar) Observe(now time.Time, version uint64, v Versions) {
	s := r.service(v.Service)
	if version <= s.version {
		return
	}
	s.version, s.record = version, v
	for _, name := range v.Versions {
		delete(s.carried, name)
		if _, ended := s.lastServed[name]; !ended && !s.serving[name] {
			// Its targets may have left just now.
			s.lastServed[name] = now.Add(rand.N(r.lifetime))
		}
	}
	maps.DeleteFunc(s.lastServed, func(name string, _ time.Time) bool { return !v.Has(name) })
	if !r.missing(s) {
		s.writeAt = time.Time{}
	}
}

// missing reports whether a version that serves is not listed.
func (r *Registrar) missing(s *service) bool {
	for v := range s.serving {
		if !s.record.Has(v) {
			return true
		}
	}
	return false
}

// ObserveRemoved takes over the removal of a stored list.
func (r *Registrar) ObserveRemoved(name string, version uint64) {
	if s, ok := r.services[name]; ok && version >= s.version {
		r.carry(s)
	}
}

// ObserveAbsent records that the store has no list of a service.
func (r *Registrar) ObserveAbsent(name string) { r.carry(r.service(name)) }

// carry makes a list that the store no longer has due again.
func (r *Registrar) carry(s *service) {
	for _, v := range s.record.Versions {
		s.carried[v] = true
	}
	s.version, s.record = 0, Versions{Service: s.record.Service}
}

// ObserveList takes over all stored lists. After a restore of the store they are merged
// with what was known before.
func (r *Registrar) ObserveList(now time.Time, list []Stored, restored bool) {
	if r.listed && restored {
		r.knownEra = r.era
		r.noteAgain()
	}
	known := r.listed
	r.listed = true
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Record.Service] = true
		if restored && known {
			r.carry(r.service(s.Record.Service))
		}
		r.Observe(now, s.Version, s.Record)
	}
	for name, s := range r.services {
		if !listed[name] && s.version > 0 {
			r.carry(s)
		}
	}
}

// Written records that a list is stored, with its version.
func (r *Registrar) Written(now time.Time, w Write, version uint64) {
	s := r.service(w.Name)
	s.sending = false
	r.Observe(now, version, w.Record)
}

// Failed records that a list was not stored, or that this is not known.
func (r *Registrar) Failed(w Write) { r.service(w.Name).sending = false }

// Gone records that the list to be changed does not exist.
func (r *Registrar) Gone(w Write) {
	r.Failed(w)
	r.ObserveRemoved(w.Name, w.Version)
}
