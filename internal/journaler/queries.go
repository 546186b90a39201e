package journaler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Seq returns the number of the last durable record.
func (j *Journal) Seq() uint64 { return j.seq }

// Stopped reports whether the journal no longer accepts entries.
func (j *Journal) Stopped() bool { return j.stopped }

// UnfoldedFraction returns the fraction of the slots whose records are not folded.
func (j *Journal) UnfoldedFraction() float64 {
	used := 0
	for _, shards := range j.unfoldedBySlot {
		if len(shards) > 0 {
			used++
		}
	}
	return float64(used) / float64(j.cfg.Slots)
}

// FoldDue reports whether so many slots are unfolded that a fold is due.
func (j *Journal) FoldDue() bool { return j.UnfoldedFraction() >= foldThreshold }

// Unfolded returns the sorted numbers of the shards that have unfolded records.
func (j *Journal) Unfolded() []int {
	var list []int
	for _, shards := range j.unfoldedBySlot {
		for shard := range shards {
			if !slices.Contains(list, shard) {
				list = append(list, shard)
			}
		}
	}
	slices.Sort(list)
	return list
}

// Replay checks the listed slots of an instance's journal and returns their records in
// order. The listing need not be atomic: a gap is an error, and a record that was
// written after the listing makes the write of the seal conflict.
func Replay(instance string, slots int, listed []Slot) (Log, error) {
	log := Log{Instance: instance, ringSize: slots}
	list := slices.DeleteFunc(slices.Clone(listed), func(s Slot) bool { return s.Version == 0 })
	slices.SortFunc(list, func(a, b Slot) int { return cmp.Compare(a.Record.Seq, b.Record.Seq) })
	versions := make(map[string]uint64, len(list))
	for i, s := range list {
		r := s.Record
		versions[s.Key] = s.Version
		switch {
		case s.Key != SlotKey(instance, r.Seq, slots), r.Writer != instance && !r.IsSeal():
			return log, fmt.Errorf("replay %s: record %d of %s: %w", s.Key, r.Seq, r.Writer, ErrWriter)
		case i > 0 && r.Seq != list[i-1].Record.Seq+1,
			i == 0 && r.Seq != 1 && len(list) < slots:
			return log, fmt.Errorf("replay %s before record %d: %w", instance, r.Seq, ErrGap)
		}
		if r.IsSeal() {
			log.Sealed, log.Sealer = true, r.Writer
			continue
		}
		log.Records = append(log.Records, r)
		log.LastSeq = r.Seq
	}
	log.sealVersion = versions[SlotKey(instance, log.LastSeq+1, slots)]
	return log, nil
}

// SealWrite returns the write that seals the journal in the slot after the last record,
// so that the next write of its writer conflicts. If the seal conflicts or its response
// is lost, the caller lists the journal again.
func (l Log) SealWrite(successor string) WriteSlot {
	r := Record{Writer: successor, Seq: l.LastSeq + 1, Entries: []Entry{{Kind: KindSeal}}}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a Record without data always encodes
	}
	return WriteSlot{Key: SlotKey(l.Instance, l.LastSeq+1, l.ringSize), Version: l.sealVersion, Body: body}
}

// VisitAfter calls visit for each entry of a shard in the records after seq, with the
// number of the entry's record.
func (l Log) VisitAfter(shard int, seq uint64, visit func(seq uint64, e Entry) error) error {
	for _, r := range l.Records {
		if r.Seq <= seq {
			continue
		}
		for _, e := range r.Entries {
			if e.Shard != shard {
				continue
			}
			if err := visit(r.Seq, e); err != nil {
				return fmt.Errorf("record %d of %s: %w", r.Seq, l.Instance, err)
			}
		}
	}
	return nil
}
