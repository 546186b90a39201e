package journaler

import (
	"encoding/json"
	"time"
)

// New returns the journal of a new instance. All its slots are absent.
func New(cfg Config) *Journal {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = heartbeatInterval
	}
	if cfg.Flush == 0 {
		cfg.Flush = flushInterval
	}
	return &Journal{
		cfg:      cfg,
		versions: make([]uint64, cfg.Slots),
		unfolded: make([]map[int]uint64, cfg.Slots),
		folded:   make(map[int]uint64),
	}
}

// Append adds entries to the next record. The token is reported in [Durable].
func (j *Journal) Append(token Token, entries ...Entry) []Action {
	if j.stopped {
		return nil
	}
	j.add(token, entries)
	j.urgent = true
	return j.next()
}

// Defer adds entries to the next record without asking for one. They are written
// with the next other entry, or after the flush interval, or when they are many.
// Charges are deferred, so that the number of writes follows the instances and
// not the requests.
func (j *Journal) Defer(token Token, entries ...Entry) []Action {
	if j.stopped {
		return nil
	}
	j.add(token, entries)
	if j.deferred < maxRecordBytes/2 {
		return nil
	}
	j.urgent = true
	return j.next()
}

// Flush asks for a record with all pending entries.
func (j *Journal) Flush() []Action {
	j.urgent = j.urgent || len(j.pending) > 0
	return j.next()
}

func (j *Journal) add(token Token, entries []Entry) {
	j.pending = append(j.pending, pendingEntry{token, entries})
	j.deferred += sizeOf(entries)
}

// Seal ends the journal at a planned stop, after all pending entries.
func (j *Journal) Seal(token Token) []Action {
	return j.Append(token, Entry{Kind: KindSeal})
}

// Stop ends the journal without a record, when the instance learns elsewhere that
// it is or will be sealed.
func (j *Journal) Stop() { j.stopped = true }

// Written reports that the write took effect.
func (j *Journal) Written(now time.Time, version uint64) []Action {
	f := j.flight
	if f == nil || j.stopped {
		return nil
	}
	slot := j.slot(j.seq + 1)
	j.seq++
	j.versions[slot] = version
	j.unfolded[slot] = f.shards
	j.flight, j.written = nil, now
	actions := []Action{Durable{Seq: j.seq, Tokens: f.tokens}}
	if f.seals {
		j.stopped = true
		return append(actions, Stop{Sealer: j.cfg.Writer})
	}
	return append(actions, j.next()...)
}

// Conflict reports that the slot had another version. The cause can be a seal or
// an earlier attempt of the same write, so the slot is read.
func (j *Journal) Conflict() []Action { return j.Uncertain() }

// Uncertain reports that the response to the write was lost.
func (j *Journal) Uncertain() []Action {
	if j.flight == nil || j.stopped {
		return nil
	}
	j.flight.retry = nil
	return []Action{Read{Key: j.flight.write.Key}}
}

// Failed reports that the platform refused the write or the read without an
// effect. It is repeated at the next tick.
func (j *Journal) Failed(a Action) []Action {
	if j.flight != nil {
		j.flight.retry = a
	}
	return nil
}

// ReadBack reports the slot's content after [Read].
func (j *Journal) ReadBack(now time.Time, s Slot) []Action {
	f := j.flight
	if f == nil || j.stopped {
		return nil
	}
	switch {
	case s.Version != 0 && s.Record.Writer == j.cfg.Writer && s.Record.Seq == j.seq+1:
		return j.Written(now, s.Version)
	case s.Version == f.write.Version:
		f.retry = f.write
		return nil
	default:
		j.stopped = true
		return []Action{Stop{Sealer: s.Record.Writer}}
	}
}

// Folded reports that the shard object includes the journal up to seq.
func (j *Journal) Folded(shard int, seq uint64) []Action {
	j.folded[shard] = max(j.folded[shard], seq)
	for _, shards := range j.unfolded {
		if at, ok := shards[shard]; ok && at <= j.folded[shard] {
			delete(shards, shard)
		}
	}
	return j.next()
}

// Tick repeats failed calls and writes the heartbeat when it is due.
func (j *Journal) Tick(now time.Time) []Action {
	if j.stopped {
		return nil
	}
	if f := j.flight; f != nil {
		if f.retry == nil {
			return nil
		}
		a := f.retry
		f.retry = nil
		return []Action{a}
	}
	idle := now.Sub(j.written)
	if idle >= j.cfg.Heartbeat || len(j.pending) > 0 && idle >= j.cfg.Flush {
		j.wanted = true
	}
	return j.next()
}

// next starts a write if there is something to write and the slot is free.
func (j *Journal) next() []Action {
	if j.flight != nil || j.stopped || !j.wanted && !j.urgent {
		return nil
	}
	seq := j.seq + 1
	slot := j.slot(seq)
	// The slot after the record stays free of unfolded entries, because a
	// successor overwrites it with the seal.
	if len(j.unfolded[slot]) > 0 || len(j.unfolded[j.slot(seq+1)]) > 0 {
		return nil
	}
	f := &flight{shards: make(map[int]uint64)}
	r := Record{Writer: j.cfg.Writer, Seq: seq}
	taken, size := 0, 0
	for _, p := range j.pending {
		seals := len(p.entries) == 1 && p.entries[0].Kind == KindSeal
		size += sizeOf(p.entries)
		if taken > 0 && (size > maxRecordBytes || seals) {
			break
		}
		taken++
		f.tokens = append(f.tokens, p.token)
		r.Entries = append(r.Entries, p.entries...)
		if seals {
			f.seals = true
			break
		}
		for _, e := range p.entries {
			f.shards[e.Shard] = seq
		}
	}
	j.pending = j.pending[taken:]
	j.deferred -= min(size, j.deferred)
	j.wanted, j.urgent = false, len(j.pending) > 0
	body, err := json.Marshal(r)
	if err != nil { // an entry's data is no JSON, which is a programming error
		panic(err)
	}
	f.write = Write{Key: Key(j.cfg.Writer, seq, j.cfg.Slots), Version: j.versions[slot], Body: body}
	j.flight = f
	return []Action{f.write}
}

func (j *Journal) slot(seq uint64) int { return int((seq - 1) % uint64(j.cfg.Slots)) }

func sizeOf(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data) + entryOverheadBytes
	}
	return n
}
