package throttler

import (
	"math"
	"math/rand/v2"
	"time"
)

// limited is the state of a target with a limit.
type limited struct {
	record    Record
	version   uint64 // of the stored record, 0: none
	dirty     bool   // the record is to be stored
	lifted    bool   // the target names no limit any more; the stored record is to be removed
	sending   bool   // a write is in progress
	writeAt   time.Time
	storedAt  time.Time
	learnedAt time.Time // when the limit was last confirmed
	goneAt    time.Time // when the target was removed from the list, zero: it is listed

	permits      int
	permitsUntil time.Time
	asking       bool
	askAt        time.Time // not before
	wantedAt     time.Time // of the last request that could use the target
	ready        int       // ready targets of the service then
}

// bucket gives out permits of one target, at its home.
type bucket struct {
	tokens  float64
	at      time.Time
	askers  map[string]asker // by instance
	expires time.Time
}

// asker is an instance that has asked for permits.
type asker struct {
	at     time.Time
	demand float64
}

// demand counts the requests to a service.
type demand struct {
	count float64
	at    time.Time
}

// Throttle holds the limited targets of one process. It is not safe for concurrent use.
type Throttle struct {
	targets map[string]*limited // by ID
	buckets map[string]*bucket
	demands map[string]demand // by service
}

// New returns a throttle without limits.
func New() *Throttle {
	return &Throttle{targets: make(map[string]*limited), buckets: make(map[string]*bucket), demands: make(map[string]demand)}
}

// Limits returns the limits in force, by target.
func (t *Throttle) Limits() map[string]float64 {
	m := make(map[string]float64)
	for id, l := range t.targets {
		if !l.lifted {
			m[id] = l.record.PerSecond
		}
	}
	return m
}

// RecordLimit takes over what a response of a target says, nil if it names no limit.
// sentAt is when the request was sent: a response may overtake others, so it ends only a
// limit that was known then. It returns whether the limit has begun, changed or ended.
func (t *Throttle) RecordLimit(now time.Time, target Target, sentAt time.Time, perSecond *float64) bool {
	l, ok := t.targets[target.ID]
	switch {
	case perSecond == nil && (!ok || l.lifted || sentAt.Before(l.learnedAt)):
		return false
	case perSecond == nil:
		t.lift(l, now)
		return true
	case !ok && len(t.targets) >= maxTargets:
		return false
	}
	r := Record{target.Service, target.ID, target.Incarnation, *perSecond}
	if !ok || l.lifted || l.record.Incarnation != r.Incarnation {
		l = &limited{version: t.version(target.ID), record: r, dirty: true, writeAt: now.Add(rand.N(MaxWriteDelay)), learnedAt: now}
		t.targets[target.ID] = l
		return true
	}
	l.learnedAt, l.goneAt = now, time.Time{}
	old := l.record.PerSecond
	l.record.PerSecond = *perSecond
	if math.Abs(*perSecond-old) <= minLimitChange*old || l.dirty {
		return false
	}
	l.dirty, l.writeAt = true, l.storedAt.Add(limitInterval+rand.N(MaxWriteDelay))
	return true
}

// version returns the version of the stored record of a target.
func (t *Throttle) version(id string) uint64 {
	if l, ok := t.targets[id]; ok {
		return l.version
	}
	return 0
}

// lift ends a limit.
func (t *Throttle) lift(l *limited, now time.Time) {
	if l.version == 0 && !l.sending {
		delete(t.targets, l.record.Target)
		return
	}
	l.lifted, l.dirty, l.writeAt = true, false, now
}

// Forget records that a target is not listed. The registration of one that lives on may
// come back, so its limit stays in force for a while.
func (t *Throttle) Forget(now time.Time, id string) {
	delete(t.buckets, id)
	if l, ok := t.targets[id]; ok && l.goneAt.IsZero() {
		l.goneAt = now.Add(rand.N(removeDelay)) // one instance is the first to remove the record
	}
}

// RecordRequest counts a request to a service.
func (t *Throttle) RecordRequest(now time.Time, service string) {
	if len(t.targets) == 0 {
		return
	}
	d := t.demands[service]
	t.demands[service] = demand{d.decayed(now) + 1, now}
}

func (d demand) decayed(now time.Time) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// AppendClosed appends the targets of a service that may get no request now. A request
// that could use them makes this instance ask for permits. ready is the number of ready
// targets of the service.
func (t *Throttle) AppendClosed(list []string, now time.Time, service string, ready int) []string {
	for id, l := range t.targets {
		if l.lifted || l.record.Service != service {
			continue
		}
		l.wantedAt, l.ready = now, ready
		if !l.open(now) {
			list = append(list, id)
		}
	}
	return list
}

func (l *limited) open(now time.Time) bool { return l.permits > 0 && now.Before(l.permitsUntil) }

// Take uses a permit for a request to a target, if the target has a limit.
func (t *Throttle) Take(now time.Time, id string) {
	if l, ok := t.targets[id]; ok && l.open(now) {
		l.permits--
	}
}

// OpensIn returns the shortest time until one of the given targets may get a request, 0
// if none of them has a limit.
func (t *Throttle) OpensIn(now time.Time, ids []string) time.Duration {
	least := time.Duration(0)
	for _, id := range ids {
		l, ok := t.targets[id]
		if !ok || l.lifted || l.open(now) {
			continue
		}
		left := max(l.askAt.Sub(now), minAskPause)
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// AsksDue returns the permits to be asked for now. The caller must call Granted or AskLost
// for each.
func (t *Throttle) AsksDue(now time.Time) []Ask {
	var due []Ask
	for id, l := range t.targets {
		if l.lifted || l.asking || l.open(now) || now.Before(l.askAt) || now.Sub(l.wantedAt) > wantedTime {
			continue
		}
		rate := t.demands[l.record.Service].decayed(now) / demandTime.Seconds()
		good := permitTime(l.record.PerSecond)
		if rand.Float64() > rate*good.Seconds() {
			l.askAt = now.Add(good / 2) // another instance will rather use the permit
			continue
		}
		l.asking = true
		demand := rate / float64(max(1, l.ready))
		n := int(math.Ceil(demand * askHorizon.Seconds()))
		due = append(due, Ask{
			Service: l.record.Service, Target: id, Incarnation: l.record.Incarnation, PerSecond: l.record.PerSecond, Permits: min(max(n, 1), maxPermits), Demand: demand,
		})
	}
	return due
}

// permitTime returns how long a permit is good. It covers the time to the next request of
// an instance that takes part in the load. The fewer permits there are, the longer.
func permitTime(perSecond float64) time.Duration {
	if perSecond <= lowLimit {
		return longPermitTime
	}
	return shortPermitTime
}

// Granted takes over the reply to an ask.
func (t *Throttle) Granted(now time.Time, id string, g Grant) {
	l, ok := t.targets[id]
	if !ok {
		return
	}
	l.asking = false
	if g.Permits > 0 {
		l.permits, l.permitsUntil = g.Permits, now.Add(permitTime(l.record.PerSecond))
	}
	l.askAt = now.Add(time.Duration(g.Pause) * time.Millisecond)
}

// AskLost records that an ask got no reply.
func (t *Throttle) AskLost(now time.Time, id string) {
	if l, ok := t.targets[id]; ok {
		l.asking, l.askAt = false, now.Add(lostPause/2+rand.N(lostPause))
	}
}

// Grant gives out permits of a target as its home.
func (t *Throttle) Grant(now time.Time, a Ask) Grant {
	perSecond := a.PerSecond
	if l, ok := t.targets[a.Target]; ok && !l.lifted && l.record.Incarnation == a.Incarnation {
		perSecond = l.record.PerSecond
	}
	b, ok := t.buckets[a.Target]
	if !ok {
		t.expireBuckets(now)
		if len(t.buckets) >= maxTargets {
			return Grant{Pause: maxAskPause.Milliseconds()}
		}
		// It begins empty, since a former home may have given out permits just before.
		b = &bucket{at: now, askers: make(map[string]asker)}
		t.buckets[a.Target] = b
	}
	perSecond = max(perSecond, trialRate)
	full := max(minBurst, perSecond*burstTime.Seconds())
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), full)
	b.at, b.expires = now, now.Add(time.Minute)
	share := b.shareOf(now, a)
	// Whoever asks first must not take what others need as well, but nothing is left over.
	n := min(a.Permits, int(b.tokens), int(b.tokens*share+rand.Float64()))
	if n == 0 && b.tokens >= full {
		n = 1
	}
	b.tokens -= float64(n)
	if n > 0 {
		return Grant{Permits: n}
	}
	turn := time.Duration(min(1/(perSecond*share), 2*maxAskPause.Seconds()) * float64(time.Second))
	pause := min(max(turn/2+rand.N(turn/2), minAskPause), maxAskPause)
	return Grant{Pause: pause.Milliseconds()}
}

// shareOf returns the share of an instance in the demand of those that asked lately.
func (b *bucket) shareOf(now time.Time, a Ask) float64 {
	own := max(a.Demand, minDemand)
	total := own
	for name, k := range b.askers {
		switch {
		case now.Sub(k.at) > maxAskPause:
			delete(b.askers, name)
		case name != a.Instance:
			total += k.demand
		}
	}
	if _, ok := b.askers[a.Instance]; ok || len(b.askers) < maxAskers {
		b.askers[a.Instance] = asker{now, own}
	}
	return own / total
}

func (t *Throttle) expireBuckets(now time.Time) {
	for id, b := range t.buckets {
		if now.After(b.expires) {
			delete(t.buckets, id)
		}
	}
}

// Observe takes over a stored record.
func (t *Throttle) Observe(now time.Time, version uint64, r Record) {
	l, ok := t.targets[r.Target]
	if !ok {
		l = &limited{record: r, learnedAt: now}
		t.targets[r.Target] = l
	}
	if version <= l.version {
		return
	}
	l.version, l.storedAt = version, now
	switch {
	case l.lifted:
		if r != l.record {
			*l = limited{record: r, version: version, storedAt: now, learnedAt: now, sending: l.sending} // named again since
		}
	case l.dirty && r.Incarnation >= l.record.Incarnation:
		l.dirty = math.Abs(r.PerSecond-l.record.PerSecond) > minLimitChange*l.record.PerSecond
		l.writeAt = now.Add(limitInterval + rand.N(MaxWriteDelay))
	case !l.dirty:
		l.record, l.learnedAt = r, now
	}
}

// ObserveRemoved takes over the removal of a stored record: some instance got a response
// that names no limit.
func (t *Throttle) ObserveRemoved(name string, version uint64) {
	l, ok := t.targets[name]
	switch {
	case !ok || version < l.version:
	case l.dirty && !l.lifted:
		l.version = 0
	default:
		delete(t.targets, name)
	}
}

// ObserveList takes over the list of all stored records. If the store was restored from
// an older copy, limits that it lacks now are stored again.
func (t *Throttle) ObserveList(now time.Time, list []Stored, restored bool) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Record.Target] = true
		if l, ok := t.targets[s.Record.Target]; ok && restored {
			l.version = 0 // its versions are given out again
		}
		t.Observe(now, s.Version, s.Record)
	}
	for id, l := range t.targets {
		switch {
		case listed[id]:
		case restored && !l.lifted:
			l.version, l.dirty, l.writeAt = 0, true, now.Add(rand.N(MaxWriteDelay))
		case l.version > 0 && !l.dirty || l.lifted:
			delete(t.targets, id)
		default:
			l.version = 0
		}
	}
}

// Due returns the changes that are to be stored now. The caller must call Written, Failed
// or Gone for each.
func (t *Throttle) Due(now time.Time) []Write {
	var due []Write
	for id, l := range t.targets {
		if !l.goneAt.IsZero() && !l.lifted && now.Sub(l.goneAt) > keepGone {
			t.lift(l, now)
		}
		if l.sending || now.Before(l.writeAt) || !l.dirty && !l.lifted {
			continue
		}
		l.sending = true
		due = append(due, Write{Name: id, Record: l.record, Version: l.version, Remove: l.lifted})
	}
	return due
}

// Written records that a change is stored, with its new version.
func (t *Throttle) Written(now time.Time, w Write, version uint64) {
	l, ok := t.targets[w.Name]
	if !ok {
		return
	}
	l.sending = false
	switch {
	case w.Remove && l.lifted:
		delete(t.targets, w.Name)
	case w.Remove:
		l.version = 0
	default:
		t.Observe(now, version, w.Record)
	}
}

// Failed records that a change was not stored, or that this is not known.
func (t *Throttle) Failed(w Write) {
	if l, ok := t.targets[w.Name]; ok {
		l.sending = false
	}
}

// Gone records that the record to be changed does not exist.
func (t *Throttle) Gone(w Write) {
	t.Failed(w)
	t.ObserveRemoved(w.Name, w.Version)
}
