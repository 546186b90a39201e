package cacher

import (
	"time"

	"daisylane/internal/follower"
)

const (
	// maxChanges and maxBytes bound the changes that are kept for neighbours. One that has
	// fallen behind them reads the store. The newest ones are always kept: all neighbours at
	// once would read a large configuration from the store, over links that may be slow.
	maxChanges = 512
	maxBytes   = 2 << 20
)

// batch is what one response said about the time between two revisions.
type batch struct {
	from, to int64
	changes  []follower.Change
}

// View is what an instance knows of the objects of one kind: where it is in their history
// and which changes led there. It reads no clock: the caller passes the time.
type View struct {
	at         follower.Position
	base       int64 // changes after this revision are kept
	batches    []batch
	changes    int           // in the batches
	bytes      int           // the same
	contact    time.Duration // when the view was known to match the store
	listed     bool          // the position is valid
	everListed bool
	direct     bool // the last response came from the store
	lost       bool // the store has not responded to the last call
}

// Listed records that the objects were listed.
func (v *View) Listed(now time.Duration, at follower.Position) {
	*v = View{at: at, base: at.Revision, contact: now, listed: true, everListed: true, direct: true}
}

// Lost records that a watch of the store has failed.
func (v *View) Lost() { v.lost = true }

// Forget records that the objects have to be listed again.
func (v *View) Forget() {
	v.listed = false
	v.drop()
}

// drop removes all batches.
func (v *View) drop() { v.batches, v.changes, v.bytes = nil, 0, 0 }

// Add records the changes between two positions, as known at the time of the contact.
// direct says that the store has told them.
func (v *View) Add(contact time.Duration, from, to follower.Position, changes []follower.Change, direct bool) {
	if !v.listed || v.at != from {
		v.base = from.Revision
		v.drop()
	}
	v.at, v.listed, v.everListed, v.direct, v.lost = to, true, true, direct, false
	v.contact = max(v.contact, contact)
	if n := len(v.batches); n > 0 && len(changes) == 0 && len(v.batches[n-1].changes) == 0 {
		v.batches[n-1].to = to.Revision
	} else {
		b := batch{from.Revision, to.Revision, changes}
		v.batches = append(v.batches, b)
		v.changes, v.bytes = v.changes+len(changes), v.bytes+b.bytes()
	}
	for len(v.batches) > 1 && (v.changes > maxChanges || v.bytes > maxBytes || len(v.batches) > maxChanges) {
		oldest := v.batches[0]
		v.base, v.batches = oldest.to, v.batches[1:]
		v.changes, v.bytes = v.changes-len(oldest.changes), v.bytes-oldest.bytes()
	}
}

// bytes returns the size of the keys and contents.
func (b batch) bytes() (n int) {
	for _, c := range b.changes {
		n += len(c.Item.Key) + len(c.Item.Body)
	}
	return n
}

// since returns the changes after a revision. It returns false if they are not known.
func (v *View) since(revision int64) ([]follower.Change, bool) {
	if revision < v.base {
		return nil, false
	}
	var list []follower.Change
	for _, b := range v.batches {
		if b.to <= revision {
			continue
		}
		if b.from >= revision {
			list = append(list, b.changes...)
			continue
		}
		last := b.from
		for _, c := range b.changes {
			// Without the revision of each change, older ones than the neighbour knows
			// could follow newer ones.
			if n := int64(c.Item.Version); n <= last || n > b.to {
				return nil, false
			}
			last = int64(c.Item.Version)
			if last > revision {
				list = append(list, c)
			}
		}
	}
	return list, true
}

// Answer returns the answer to a neighbour that asked when it arrived, and until when the
// neighbour waits for a better one. era is the highest era of the store that is known.
func (v *View) Answer(now, arrived time.Duration, era int64, a Ask) (reply Reply, until time.Duration) {
	refuse := func(reason Refusal) (Reply, time.Duration) { return Reply{Refused: reason, Era: era}, now }
	age := time.Duration(a.Age) * time.Millisecond
	switch {
	case !v.listed || !v.direct:
		return refuse(Idle)
	case v.lost || now-v.contact > age:
		return refuse(Away)
	case a.Era != era || v.at.Era != era:
		return refuse(Elsewhere)
	}
	changes, ok := v.since(a.Revision)
	if !ok {
		return refuse(Gone)
	}
	reply = newReply(v.at, changes, v.contact-arrived)
	if len(changes) > 0 || v.contact > arrived {
		return reply, now
	}
	return reply, min(arrived+time.Duration(a.Wait)*time.Millisecond, v.contact+age)
}
