package quarantiner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// entry is the state of one suspected part.
type entry struct {
	record  Record // as stored, with the changes below
	version uint64 // of the stored record, 0: none
	dirty   bool   // record has crashes that are not stored
	marking bool   // record is to be stored as that of a known part
	writeAt time.Time
	cleared bool // the part was answered; the stored record is to be removed
	sending bool // a write is in progress
	trying  bool // a trial is being claimed

	crashedAt time.Time // when the last crash was learned of
	changedAt time.Time // when crashes or trials last changed
}

// Quarantine holds the suspected parts of one process. It is not safe for concurrent use.
type Quarantine struct {
	entries     map[Key]*entry
	quarantined map[Key]bool
	listed      bool
	answered    memory[Key] // when parts were last answered at this instance
	released    map[Key]release
}

// release remembers the crashes that an answer has made void. A write from before it may
// be done later.
type release struct {
	crashes []Crash
	at      time.Time
}

// New returns an empty quarantine.
func New() *Quarantine {
	return &Quarantine{entries: make(map[Key]*entry), quarantined: make(map[Key]bool), answered: newMemory[Key](), released: make(map[Key]release)}
}

// Quarantined returns the keys of the parts in quarantine.
func (q *Quarantine) Quarantined() []Key { return slices.Collect(maps.Keys(q.quarantined)) }

// Listed reports whether the stored records were taken over.
func (q *Quarantine) Listed() bool { return q.listed }

// Check says whether a request with the given parts may be sent to a target. The last
// part belongs to the request alone.
func (q *Quarantine) Check(now time.Time, service string, parts []uint64) Verdict {
	if len(q.quarantined) == 0 {
		return Verdict{Outcome: Allowed}
	}
	v := Verdict{Outcome: Allowed}
	for _, p := range shared(parts) {
		k := Key{service, p}
		if !q.quarantined[k] {
			continue
		}
		e := q.entries[k]
		left := e.record.pause() - now.Sub(e.changedAt)
		if left > 0 || e.trying || v.Outcome != Allowed {
			return Verdict{Outcome: Quarantined, Key: k, RetryAfter: max(left, v.RetryAfter, sameMoment)}
		}
		v = Verdict{Outcome: TrialDue, Key: k}
	}
	return v
}

// shared returns the parts that other requests may have too.
func shared(parts []uint64) []uint64 { return parts[:max(0, len(parts)-1)] }

// RecordAnswer records that a target has answered a request, which makes its parts sound.
// It returns whether a record is to be written.
func (q *Quarantine) RecordAnswer(now time.Time, service string, parts []uint64) bool {
	changed := false
	for _, p := range shared(parts) {
		k := Key{service, p}
		q.answered.add(now, k)
		e, ok := q.entries[k]
		if !ok || e.cleared {
			continue
		}
		changed = true
		if q.quarantined[k] {
			q.clearExplained(now, e)
		}
		q.release(now, k, e)
	}
	if changed {
		q.judge()
	}
	return changed
}

// clear ends the suspicion against a part.
func (q *Quarantine) clear(k Key, e *entry) {
	if e.version == 0 && !e.sending {
		delete(q.entries, k)
		return
	}
	e.cleared = true
}

// release ends the suspicion against a part because of an answer.
func (q *Quarantine) release(now time.Time, k Key, e *entry) {
	maps.DeleteFunc(q.released, func(_ Key, r release) bool { return now.Sub(r.at) > releaseTime })
	if len(q.released) < maxRecords {
		q.released[k] = release{e.record.Crashes, now}
	}
	q.clear(k, e)
}

// clearExplained ends the suspicion against the parts that were at the same crashes as a
// quarantined one.
func (q *Quarantine) clearExplained(now time.Time, by *entry) {
	for k, e := range q.entries {
		if e != by && e.record.Service == by.record.Service && containsAll(by.record.Crashes, e.record.Crashes) {
			q.release(now, k, e)
		}
	}
}

// RecordCrash counts a crash against the parts of a request. It returns whether a record
// is to be written.
func (q *Quarantine) RecordCrash(now time.Time, r Report) bool {
	type candidate struct {
		key   Key
		depth int
		known bool
	}
	var candidates []candidate
	for depth, p := range shared(r.Parts) {
		k := Key{r.Service, p}
		at, known := q.answered.at(k)
		if known && now.Sub(at) < answeredRecently {
			continue
		}
		candidates = append(candidates, candidate{k, depth, known})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.known != b.known {
			if b.known {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.depth, a.depth)
	})
	candidates = candidates[:min(len(candidates), maxPartsPerCrash)]
	changed := false
	for _, s := range candidates {
		e, ok := q.entries[s.key]
		if !ok || e.cleared {
			if !ok && !q.makeRoom() {
				continue
			}
			e = &entry{version: q.version(s.key), record: Record{Service: r.Service, Part: strconv.FormatUint(s.key.Part, 16), Depth: s.depth, Known: s.known}}
			q.entries[s.key] = e
		}
		c := Crash{Target: r.Target, Incarnation: r.Incarnation, Begun: r.Begun, Trial: r.Trial}
		before := len(e.record.Crashes)
		next := e.record.WithCrash(c, now.Sub(e.crashedAt) < sameMoment)
		if before > 0 && slices.Equal(next.Crashes, e.record.Crashes) {
			continue
		}
		e.record, e.dirty, e.writeAt, e.crashedAt, e.changedAt = next, true, now, now, now
		changed = true
	}
	if changed {
		q.judge()
	}
	return changed
}

// makeRoom makes sure that there is room for one more record. It drops the least suspect
// part if there are too many, and returns false if all are quarantined.
func (q *Quarantine) makeRoom() bool {
	n := 0
	var least *entry
	for k, e := range q.entries {
		if e.cleared {
			continue
		}
		n++
		if !q.quarantined[k] && (least == nil || cmp.Or(cmp.Compare(len(e.record.Crashes), len(least.record.Crashes)), e.changedAt.Compare(least.changedAt)) < 0) {
			least = e
		}
	}
	if n < maxRecords {
		return true
	}
	if least == nil {
		return false
	}
	q.clear(least.record.Key(), least)
	return true
}

// version returns the version of the stored record of a part.
func (q *Quarantine) version(k Key) uint64 {
	if e, ok := q.entries[k]; ok {
		return e.version
	}
	return 0
}

// suspect is a record during a judgement.
type suspect struct {
	record Record
	over   int // moments of crashes that are not explained yet, beyond the threshold
}

// judge derives the parts in quarantine from the records. Of the parts that crashes have
// in common, the most suspect one explains these crashes, and the others are judged by
// the rest.
func (q *Quarantine) judge() {
	clear(q.quarantined)
	var left []suspect
	explained := make(map[string]map[Target]bool) // by service
	for _, e := range q.entries {
		if s := (suspect{e.record, e.record.over(nil)}); !e.cleared && s.over >= 0 {
			left = append(left, s)
		}
	}
	for len(left) > 0 {
		at := 0
		for i := range left {
			if compareSuspects(left[i], left[at]) > 0 {
				at = i
			}
		}
		s := &left[at]
		known := explained[s.record.Service]
		switch over := s.record.over(known); {
		case over < 0:
			left = slices.Delete(left, at, at+1)
		case over < s.over:
			s.over = over
		default:
			if known == nil {
				known = make(map[Target]bool)
				explained[s.record.Service] = known
			}
			for _, c := range s.record.Crashes {
				known[c.target()] = true
			}
			q.quarantined[s.record.Key()] = true
			left = slices.Delete(left, at, at+1)
		}
	}
	q.judgeOtherServices()
}

// judgeOtherServices puts parts in quarantine under which a target of a further service
// has crashed. A route that moves to it takes the requests along.
func (q *Quarantine) judgeOtherServices() {
	parts := make(map[uint64]bool, len(q.quarantined))
	for k := range q.quarantined {
		parts[k.Part] = true
	}
	for k, e := range q.entries {
		if parts[k.Part] && !e.cleared && !e.record.Known && e.record.begun() > 0 {
			q.quarantined[k] = true
		}
	}
}

// compareSuspects orders records by how far they are above their threshold, then by the
// targets that had begun to answer, then by how special the part is.
func compareSuspects(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(a.over, b.over),
		cmp.Compare(a.record.begun(), b.record.begun()),
		cmp.Compare(a.record.Depth, b.record.Depth),
		cmp.Compare(b.record.Part, a.record.Part),
		cmp.Compare(b.record.Service, a.record.Service),
	)
}

// BeginTrial returns the write that claims a trial for one request. The caller must then
// call EndClaim.
func (q *Quarantine) BeginTrial(k Key) (Write, bool) {
	e, ok := q.entries[k]
	if !ok || e.trying || e.version == 0 {
		return Write{}, false
	}
	e.trying = true
	return Write{Name: k.Name(), Record: e.record.WithTrial(), Version: e.version}, true
}

// EndClaim ends the claim of a trial. If it was stored, Observe has to be called before.
func (q *Quarantine) EndClaim(k Key) {
	if e, ok := q.entries[k]; ok {
		e.trying = false
	}
}

// Observe takes over a stored record.
func (q *Quarantine) Observe(now time.Time, version uint64, r Record) {
	k := r.Key()
	e, ok := q.entries[k]
	if !ok {
		e = &entry{}
		q.entries[k] = e
	}
	if version <= e.version {
		return
	}
	e.version = version
	if e.cleared && len(r.Crashes) > 0 && !containsAll(e.record.Crashes, r.Crashes) {
		e.cleared = false // a target has crashed since
	}
	old := e.record
	merged := r
	if e.dirty {
		for _, c := range old.Crashes {
			merged = merged.WithCrash(c, now.Sub(e.crashedAt) < sameMoment)
		}
		e.dirty = !slices.Equal(merged.Crashes, r.Crashes)
	}
	crashed := !containsAll(old.Crashes, merged.Crashes)
	if crashed || old.Trials != merged.Trials {
		e.changedAt = now
	}
	if crashed {
		e.crashedAt = now
	}
	e.record = merged
	if r, ok := q.released[k]; ok && now.Sub(r.at) < releaseTime && containsAll(r.crashes, merged.Crashes) {
		e.cleared, e.dirty = true, false
	}
	_, known := q.answered.at(k)
	wasMarking := e.marking
	if e.marking = known && !merged.Known; e.marking {
		e.record = merged.WithKnown()
		if !wasMarking {
			e.writeAt = now.Add(rand.N(maxKnownDelay))
		}
	}
	q.judge()
}

// containsAll reports whether all crashes of b are among those of a.
func containsAll(a, b []Crash) bool {
	return !slices.ContainsFunc(b, func(c Crash) bool { return !slices.ContainsFunc(a, c.sameTarget) })
}

// ObserveRemoved takes over the removal of a stored record.
func (q *Quarantine) ObserveRemoved(name string, version uint64) {
	k, _ := parseName(name)
	e, ok := q.entries[k]
	if !ok || version < e.version {
		return
	}
	if e.dirty && !e.cleared {
		e.version = 0 // crashes that were not stored yet are stored anew
		return
	}
	delete(q.entries, k)
	q.judge()
}

// ObserveList takes over the list of all stored records. If the store was restored from
// an older copy, records that it lacks now are stored again.
func (q *Quarantine) ObserveList(now time.Time, list []Stored, restored bool) {
	q.listed = true
	listed := make(map[Key]bool, len(list))
	for _, s := range list {
		k := s.Record.Key()
		listed[k] = true
		if e, ok := q.entries[k]; ok && restored {
			e.version, e.dirty, e.writeAt = 0, true, now // its versions are given out again
		}
		q.Observe(now, s.Version, s.Record)
	}
	for k, e := range q.entries {
		switch {
		case listed[k]:
		case restored && !e.cleared:
			e.version, e.dirty, e.writeAt = 0, true, now.Add(rand.N(maxKnownDelay))
		case e.version > 0 && !e.dirty || e.cleared:
			delete(q.entries, k)
		default:
			e.version = 0
		}
	}
	q.judge()
}

// Due returns the changes that are to be stored now. The caller must call Written, Failed
// or Gone for each.
func (q *Quarantine) Due(now time.Time) []Write {
	q.expire(now)
	var due []Write
	for k, e := range q.entries {
		switch {
		case e.sending:
		case e.cleared:
			e.sending = true
			due = append(due, Write{Name: k.Name(), Record: e.record, Version: e.version, Remove: true})
		case (e.dirty || e.marking) && !now.Before(e.writeAt):
			e.sending = true
			due = append(due, Write{Name: k.Name(), Record: e.record, Version: e.version})
		}
	}
	return due
}

// expire ends old suspicions, and the least ones if there are too many.
func (q *Quarantine) expire(now time.Time) {
	for k, e := range q.entries {
		if !q.quarantined[k] && !e.cleared && now.Sub(e.changedAt) > suspicionTime {
			q.clear(k, e)
		}
	}
	for n := len(q.entries); n > maxRecords && q.makeRoom(); n-- {
	}
}

// Written records that a change is stored, with its new version.
func (q *Quarantine) Written(now time.Time, w Write, version uint64) {
	e, ok := q.entries[w.Record.Key()]
	if !ok {
		return
	}
	e.sending = false
	if w.Remove {
		if e.cleared {
			delete(q.entries, w.Record.Key())
			q.judge()
		} else {
			e.version = 0
		}
		return
	}
	q.Observe(now, version, w.Record)
}

// Failed records that a change was not stored, or that this is not known.
func (q *Quarantine) Failed(w Write) {
	if e, ok := q.entries[w.Record.Key()]; ok {
		e.sending = false
	}
}

// Gone records that the record to be changed does not exist.
func (q *Quarantine) Gone(w Write) {
	q.Failed(w)
	q.ObserveRemoved(w.Name, w.Version)
}
