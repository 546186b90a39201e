package registrar

import (
	"cmp"
	"slices"
	"time"
)

// stream is a stream of this instance, or of a former process of it.
type stream struct {
	origin  Origin
	endedAt time.Time // when it broke off, zero: it runs
	stored  bool      // the stored notes have it
}

// Mixed reports whether streams of a service may have begun at several versions.
func (r *Registrar) Mixed(service string) bool {
	_, ok := r.Only(service)
	return !ok
}

// needsNote reports whether the origin of a stream does not follow from the lists.
func (r *Registrar) needsNote(s *stream) bool {
	return r.Mixed(s.origin.Service) || !r.service(s.origin.Service).record.Has(s.origin.Version)
}

// Begin records the origin of a stream that is about to be sent to a target, or that is
// gone on with. It replaces the origin of a former attempt.
func (r *Registrar) Begin(id string, o Origin) {
	if id == "" || len(id) > maxIDBytes {
		return
	}
	s, ok := r.streams[id]
	if !ok {
		if len(r.streams) >= maxNotes && !r.dropOldest() {
			return
		}
		s = &stream{origin: o}
		r.streams[id] = s
	}
	if s.origin != o {
		s.origin, s.stored = o, false
	}
	s.endedAt = time.Time{}
}

// End records that a stream has ended. If it broke off, its caller may take it up at any
// instance.
func (r *Registrar) End(now time.Time, id string, broken bool) {
	s, ok := r.streams[id]
	switch {
	case !ok:
		return
	case !broken:
		delete(r.streams, id)
	default:
		s.endedAt = now
		r.urgent = r.urgent || !s.stored && r.needsNote(s)
	}
}

// dropOldest drops the stream that broke off first. It returns false if all run.
func (r *Registrar) dropOldest() bool {
	oldest := ""
	for id, s := range r.streams {
		if !s.endedAt.IsZero() && (oldest == "" || s.endedAt.Before(r.streams[oldest].endedAt)) {
			oldest = id
		}
	}
	delete(r.streams, oldest)
	return oldest != ""
}

// hasUnstored reports whether a stream is to be noted and is not.
func (r *Registrar) hasUnstored() bool {
	for _, s := range r.streams {
		if !s.stored && r.needsNote(s) {
			return true
		}
	}
	return false
}

// Owns reports whether a stream is one of this instance, or of a former process of it.
func (r *Registrar) Owns(id string) bool { return r.streams[id] != nil }

// Lookup returns the origin of a stream, if it is known.
func (r *Registrar) Lookup(id string) (Origin, bool) {
	if s, ok := r.streams[id]; ok {
		return s.origin, true
	}
	o, ok := r.found[id]
	return o, ok
}

// NotesDue returns the notes of this instance if they are to be stored now. interval is
// the time between two writes, unless a stream has broken off that is not noted.
func (r *Registrar) NotesDue(now time.Time, interval time.Duration) (Notes, bool) {
	r.prune(now)
	if r.urgent {
		interval = min(interval, urgentInterval)
	}
	if now.Sub(r.notedAt) < interval || !r.hasUnstored() {
		return Notes{}, false
	}
	r.notedAt, r.urgent = now, false
	return r.notes(), true
}

// notes returns the notes of all streams whose origin is not plain.
func (r *Registrar) notes() Notes {
	var n Notes
	for id, s := range r.streams {
		if s.stored || r.needsNote(s) {
			n.Streams = append(n.Streams, Note{id, s.origin})
		}
	}
	slices.SortFunc(n.Streams, func(a, b Note) int { return cmp.Compare(a.ID, b.ID) })
	return n
}

// prune forgets streams that broke off long ago.
func (r *Registrar) prune(now time.Time) {
	for id, s := range r.streams {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > r.KeepTime() {
			delete(r.streams, id)
		}
	}
}

// NotesWritten records that notes are stored.
func (r *Registrar) NotesWritten(n Notes) {
	for _, note := range n.Streams {
		if s, ok := r.streams[note.ID]; ok && s.origin == note.Origin {
			s.stored = true
		}
	}
}

// noteAgain makes the notes of all streams due, which the store may have lost.
func (r *Registrar) noteAgain() {
	for _, s := range r.streams {
		s.stored = false
	}
}

// NotesFailed records that notes were not stored, or that this is not known.
func (r *Registrar) NotesFailed() { r.urgent = true }

// Adopt takes over the notes of a former process of this instance, whose streams have
// broken off.
func (r *Registrar) Adopt(now time.Time, n Notes) {
	for _, note := range n.Streams {
		if _, ok := r.streams[note.ID]; !ok && len(r.streams) < maxNotes {
			r.streams[note.ID] = &stream{origin: note.Origin, endedAt: now}
		}
	}
}

// ObserveNotes takes over the notes of all instances.
func (r *Registrar) ObserveNotes(list []Notes) {
	clear(r.found)
	for _, n := range list {
		for _, note := range n.Streams {
			if len(r.found) < maxFound {
				r.found[note.ID] = note.Origin
			}
		}
	}
}
