package journaler

import (
	"encoding/json"
	"time"
)

// New returns the journal of a new instance, which has no slots in the platform yet.
func New(cfg Config) *Journal {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = heartbeatInterval
	}
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = flushInterval
	}
	return &Journal{
		cfg:            cfg,
		versions:       make([]uint64, cfg.Slots),
		unfoldedBySlot: make([]map[int]uint64, cfg.Slots),
		foldedSeq:      make(map[int]uint64),
	}
}

// Append adds entries to the next record and requests a write. The token is reported
// in [Durable].
func (j *Journal) Append(token Token, entries ...Entry) []Action {
	if j.stopped {
		return nil
	}
	j.addPending(token, entries)
	j.writeNow = true
	return j.startWrite()
}

// AppendDeferred adds entries to the next record without requesting a write. They are
// written with the next appended entry, after the flush interval, or when the pending
// entries reach half of the maximum record size. Charges are deferred, so that the number of
// writes grows with the number of instances and not with the number of requests.
func (j *Journal) AppendDeferred(token Token, entries ...Entry) []Action {
	if j.stopped {
		return nil
	}
	j.addPending(token, entries)
	if j.pendingBytes < maxRecordBytes/2 {
		return nil
	}
	j.writeNow = true
	return j.startWrite()
}

// Flush requests a write of all pending entries.
func (j *Journal) Flush() []Action {
	j.writeNow = j.writeNow || len(j.pending) > 0
	return j.startWrite()
}

func (j *Journal) addPending(token Token, entries []Entry) {
	j.pending = append(j.pending, pendingEntry{token, entries})
	j.pendingBytes += estimateBytes(entries)
}

// Seal ends the journal at a graceful shutdown, with a sealing record after all pending
// entries.
func (j *Journal) Seal(token Token) []Action {
	return j.Append(token, Entry{Kind: KindSeal})
}

// Stop ends the journal without a record. It is called when the instance learns from
// another source that the journal is sealed or will be.
func (j *Journal) Stop() { j.stopped = true }

// WriteSucceeded reports that a [WriteSlot] succeeded.
func (j *Journal) WriteSucceeded(now time.Time, version uint64) []Action {
	f := j.inFlight
	if f == nil || j.stopped {
		return nil
	}
	slot := j.slotIndex(j.seq + 1)
	j.seq++
	j.versions[slot] = version
	j.unfoldedBySlot[slot] = f.shards
	j.inFlight, j.lastWritten = nil, now
	actions := []Action{Durable{Seq: j.seq, Tokens: f.tokens}}
	if f.isSeal {
		j.stopped = true
		return append(actions, Ended{Sealer: j.cfg.Writer})
	}
	return append(actions, j.startWrite()...)
}

// WriteConflicted reports that a [WriteSlot] failed because the slot had another version.
// The cause is a seal or an earlier attempt of the same write, so the slot is read back.
func (j *Journal) WriteConflicted() []Action { return j.WriteUncertain() }

// WriteUncertain reports that the response to a [WriteSlot] was lost. The slot is read back.
func (j *Journal) WriteUncertain() []Action {
	if j.inFlight == nil || j.stopped {
		return nil
	}
	j.inFlight.retryAction = nil
	return []Action{ReadSlot{Key: j.inFlight.write.Key}}
}

// ActionFailed reports that a [WriteSlot] or [ReadSlot] failed without an effect. It is
// retried at the next Tick.
func (j *Journal) ActionFailed(a Action) []Action {
	if j.inFlight != nil {
		j.inFlight.retryAction = a
	}
	return nil
}

// SlotRead reports the content of the slot after [ReadSlot].
func (j *Journal) SlotRead(now time.Time, s Slot) []Action {
	f := j.inFlight
	if f == nil || j.stopped {
		return nil
	}
	switch {
	case s.Version != 0 && s.Record.Writer == j.cfg.Writer && s.Record.Seq == j.seq+1:
		return j.WriteSucceeded(now, s.Version)
	case s.Version == f.write.Version:
		f.retryAction = f.write
		return nil
	default:
		j.stopped = true
		return []Action{Ended{Sealer: s.Record.Writer}}
	}
}

// Folded reports that the shard object contains the shard's entries up to record seq.
func (j *Journal) Folded(shard int, seq uint64) []Action {
	j.foldedSeq[shard] = max(j.foldedSeq[shard], seq)
	for _, shards := range j.unfoldedBySlot {
		if at, ok := shards[shard]; ok && at <= j.foldedSeq[shard] {
			delete(shards, shard)
		}
	}
	return j.startWrite()
}

// Tick retries a failed call, or writes pending entries or the heartbeat when they are
// due.
func (j *Journal) Tick(now time.Time) []Action {
	if j.stopped {
		return nil
	}
	if f := j.inFlight; f != nil {
		if f.retryAction == nil {
			return nil
		}
		a := f.retryAction
		f.retryAction = nil
		return []Action{a}
	}
	idle := now.Sub(j.lastWritten)
	if idle >= j.cfg.HeartbeatInterval || len(j.pending) > 0 && idle >= j.cfg.FlushInterval {
		j.recordDue = true
	}
	return j.startWrite()
}

// startWrite starts a write if one is requested, none is in flight and the slot is free.
func (j *Journal) startWrite() []Action {
	if j.inFlight != nil || j.stopped || !j.recordDue && !j.writeNow {
		return nil
	}
	seq := j.seq + 1
	slot := j.slotIndex(seq)
	// The slot after the record must have no unfolded entries either, because a
	// successor may overwrite it with the seal.
	if len(j.unfoldedBySlot[slot]) > 0 || len(j.unfoldedBySlot[j.slotIndex(seq+1)]) > 0 {
		return nil
	}
	f := &inFlightRecord{shards: make(map[int]uint64)}
	r := Record{Writer: j.cfg.Writer, Seq: seq}
	taken, size := 0, 0
	for _, p := range j.pending {
		seals := len(p.entries) == 1 && p.entries[0].Kind == KindSeal
		size += estimateBytes(p.entries)
		if taken > 0 && (size > maxRecordBytes || seals) {
			break
		}
		taken++
		f.tokens = append(f.tokens, p.token)
		r.Entries = append(r.Entries, p.entries...)
		if seals {
			f.isSeal = true
			break
		}
		for _, e := range p.entries {
			f.shards[e.Shard] = seq
		}
	}
	j.pending = j.pending[taken:]
	j.pendingBytes -= min(size, j.pendingBytes)
	j.recordDue, j.writeNow = false, len(j.pending) > 0
	body, err := json.Marshal(r)
	if err != nil { // the data of an entry is not valid JSON: a programming error
		panic(err)
	}
	f.write = WriteSlot{Key: SlotKey(j.cfg.Writer, seq, j.cfg.Slots), Version: j.versions[slot], Body: body}
	j.inFlight = f
	return []Action{f.write}
}

func (j *Journal) slotIndex(seq uint64) int { return int((seq - 1) % uint64(j.cfg.Slots)) }

func estimateBytes(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data) + entryOverheadBytes
	}
	return n
}
