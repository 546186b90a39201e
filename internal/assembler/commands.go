package assembler

import "fmt"

// Data accepts one data frame and reports whether to deliver its bytes.
// Duplicates are not delivered and are no error.
func (a *Answer) Data(id string, seq uint64, data []byte) (bool, error) {
	if id != a.id {
		return false, fmt.Errorf("data for %q in the answer to %q: %w", id, a.id, ErrForeign)
	}
	if seq <= a.offset && seq > 0 {
		return false, nil
	}
	if a.ended {
		return false, fmt.Errorf("frame %d: %w", seq, ErrEnded)
	}
	if seq != a.offset+1 {
		return false, fmt.Errorf("frame %d after %d: %w", seq, a.offset, ErrGap)
	}
	a.offset = seq
	_, _ = a.sum.Write(data)
	return true, nil
}

// End checks a complete answer. After [ErrGap] the answer can be resumed; after
// [ErrCount] or [ErrChecksum] it is lost.
func (a *Answer) End(id string, count, sum uint64) error {
	switch {
	case id != a.id:
		return fmt.Errorf("end for %q in the answer to %q: %w", id, a.id, ErrForeign)
	case count > a.offset:
		return fmt.Errorf("end after %d of %d frames: %w", a.offset, count, ErrGap)
	case count < a.offset:
		return fmt.Errorf("end after %d of %d frames: %w", a.offset, count, ErrCount)
	case sum != a.sum.Sum64():
		return fmt.Errorf("checksum %x, want %x: %w", a.sum.Sum64(), sum, ErrChecksum)
	}
	a.ended = true
	return nil
}

// Append keeps a frame and returns its position. It drops the oldest frames
// that were sent, and returns [ErrFull] if that does not make enough room.
func (b *Buffer) Append(data []byte) (uint64, error) {
	for b.size+len(data) > b.limit && len(b.kept) > 0 {
		if b.base >= b.sent {
			return 0, ErrFull
		}
		b.size -= len(b.kept[0])
		b.kept[0] = nil
		b.kept = b.kept[1:]
		b.base++
	}
	b.kept = append(b.kept, data)
	b.size += len(data)
	_, _ = b.sum.Write(data)
	return b.Count(), nil
}

// Sent records that frames up to seq were sent.
func (b *Buffer) Sent(seq uint64) { b.sent = max(b.sent, min(seq, b.Count())) }
