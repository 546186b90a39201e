package follower

import "time"

// settleTime is how long after an outage of the store a list that still names a process does
// not prove that it runs: one that started in its place during the outage may not have
// registered yet. Live targets have done so two seconds after the store is available again.
const settleTime = 2200 * time.Millisecond

// doubtTime is how long a doubt is kept after the version has become certain again. Streams that
// were sent before that have ended by then.
const doubtTime = time.Minute

// doubt is what was observed of the end of a target's process. The version of the target is
// uncertain from the observation until the store confirms it.
type doubt struct {
	open    bool      // the version is uncertain
	since   time.Time // when the version became uncertain
	at      time.Time // the last observation
	listed  Target    // as it was registered then
	refused bool      // the address refused connections, and has accepted none since
	// The process that was certain before: it started the streams that were sent between the
	// observation before that and the last confirmation.
	known    Target
	from, to time.Time
}

// RecordClosed records that the other side has closed a connection to an address. It returns
// the targets there whose version has become uncertain.
func (r *Roster) RecordClosed(now time.Time, addr string) []Target {
	return r.recordEnd(now, addr, false)
}

// RecordRefused records that an address has refused a connection. It returns the targets
// there whose version has become uncertain.
func (r *Roster) RecordRefused(now time.Time, addr string) []Target {
	return r.recordEnd(now, addr, true)
}

func (r *Roster) recordEnd(now time.Time, addr string, refused bool) (uncertain []Target) {
	for id, t := range r.targets {
		if t.Addr != addr {
			continue
		}
		d, ok := r.doubts[id]
		if !ok {
			d = &doubt{}
			r.doubts[id] = d
		}
		if !d.open {
			d.from, d.to, d.known = d.at, r.provenAt(d), t
			d.open, d.since, d.refused = true, now, false
			uncertain = append(uncertain, t)
		}
		d.at, d.listed, d.refused = now, t, d.refused || refused
	}
	return uncertain
}

// RecordDialled records that an address has accepted a connection. If it refused them before,
// a process that is not registered yet may have accepted it. It returns the targets of which
// that is so.
func (r *Roster) RecordDialled(now time.Time, addr string) (back []Target) {
	for id, d := range r.doubts {
		if t, ok := r.targets[id]; ok && d.refused && t.Addr == addr {
			d.refused, d.at = false, now
			back = append(back, t)
		}
	}
	return back
}

// RecordSilence records that the store was silent until now.
func (r *Roster) RecordSilence(now time.Time) { r.settledAt = now.Add(settleTime) }

// RecordContact records that the view matches a response of the store to a call that was
// begun at the given time. It returns the targets whose version is certain again.
func (r *Roster) RecordContact(begun time.Time) (certain []Target) {
	if begun.After(r.contact) {
		r.contact = begun
	}
	for id, d := range r.doubts {
		switch {
		case r.confirm(begun, id):
			certain = append(certain, r.targets[id])
		case !d.open && begun.Sub(d.at) > doubtTime:
			delete(r.doubts, id)
		}
	}
	return certain
}

// Confirm records that the store lists a process in the response to a call that was begun at
// the given time. It reports whether its version is certain again.
func (r *Roster) Confirm(begun time.Time, t Target) bool {
	listed, ok := r.targets[t.ID]
	return ok && listed.sameProcess(t) && r.confirm(begun, t.ID)
}

// confirm ends the doubt of a target if the process that is listed now is proven by a call to
// the store. A process whose address refuses connections has ended, so that it is still
// listed proves nothing.
func (r *Roster) confirm(begun time.Time, id string) bool {
	d, ok := r.doubts[id]
	t, listed := r.targets[id]
	if _, missing := r.missing[id]; !ok || !listed || missing || !d.open || !begun.After(d.at) {
		return false
	}
	if t.sameProcess(d.listed) && (d.refused || begun.Before(r.settledAt)) {
		return false
	}
	d.open, d.refused, d.to = false, false, begun
	return true
}

// provenAt returns when the last call was begun that proved the process of a target.
func (r *Roster) provenAt(d *doubt) time.Time {
	if d.to.After(r.contact) {
		return d.to
	}
	return r.contact
}

// Lists reports whether a target is listed as the same process.
func (r *Roster) Lists(t Target) bool {
	listed, ok := r.targets[t.ID]
	return ok && listed.sameProcess(t)
}

// IsUncertain reports whether the version of a target is uncertain.
func (r *Roster) IsUncertain(id string) bool {
	d, ok := r.doubts[id]
	return ok && d.open
}

// AppendUncertain appends the IDs of the targets whose version is uncertain.
func (r *Roster) AppendUncertain(list []string) []string {
	for id, d := range r.doubts {
		if d.open {
			list = append(list, id)
		}
	}
	return list
}

// StartedBy returns the version of the process that started a stream, which was sent at the
// given time to a target whose version was uncertain. It returns false while that is not
// known.
func (r *Roster) StartedBy(t Target, sentAt time.Time) (version string, ok bool) {
	listed, ok := r.targets[t.ID]
	d, doubted := r.doubts[t.ID]
	switch {
	case !ok || !doubted:
		return "", false
	case !d.open:
		return listed.Version, listed.sameProcess(t) || sentAt.After(d.at) && !r.provenAt(d).Before(sentAt)
	}
	// The observation that made the version uncertain again may be the end of this stream.
	known := sentAt.Before(d.since) && (d.known.sameProcess(t) || sentAt.After(d.from) && !d.to.Before(sentAt))
	return d.known.Version, known
}
