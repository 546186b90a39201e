package assembler

import "fmt"

// AcceptData accepts one data frame and reports whether its bytes must be delivered.
// Duplicates are ignored: they are neither delivered nor an error.
func (r *Response) AcceptData(id string, seq uint64, data []byte) (bool, error) {
	if id != r.id {
		return false, fmt.Errorf("data for %q in the response to %q: %w", id, r.id, ErrWrongRequest)
	}
	if seq <= r.offset && seq > 0 {
		return false, nil
	}
	if r.ended {
		return false, fmt.Errorf("frame %d: %w", seq, ErrDataAfterEnd)
	}
	if seq != r.offset+1 {
		return false, fmt.Errorf("frame %d after %d: %w", seq, r.offset, ErrGap)
	}
	r.offset = seq
	_, _ = r.sum.Write(data)
	return true, nil
}

// AcceptEnd checks the end frame against the received frames. After [ErrGap] the response
// can be resumed; after [ErrFrameCount] or [ErrChecksum] it is lost.
func (r *Response) AcceptEnd(id string, count, sum uint64) error {
	switch {
	case id != r.id:
		return fmt.Errorf("end for %q in the response to %q: %w", id, r.id, ErrWrongRequest)
	case count > r.offset:
		return fmt.Errorf("end after %d of %d frames: %w", r.offset, count, ErrGap)
	case count < r.offset:
		return fmt.Errorf("end after %d of %d frames: %w", r.offset, count, ErrFrameCount)
	case sum != r.sum.Sum64():
		return fmt.Errorf("checksum %x, want %x: %w", r.sum.Sum64(), sum, ErrChecksum)
	}
	r.ended = true
	return nil
}

// Append adds a frame and returns its sequence number. If the buffer is full, it drops
// the oldest frames that were already sent. It returns [ErrFull] if that does not free
// enough room.
func (b *SendBuffer) Append(data []byte) (uint64, error) {
	for b.size+len(data) > b.limit && len(b.keptFrames) > 0 {
		if b.droppedFrames >= b.sentFrames {
			return 0, ErrFull
		}
		b.size -= len(b.keptFrames[0])
		b.keptFrames[0] = nil
		b.keptFrames = b.keptFrames[1:]
		b.droppedFrames++
	}
	b.keptFrames = append(b.keptFrames, data)
	b.size += len(data)
	_, _ = b.sum.Write(data)
	return b.Count(), nil
}

// MarkSent records that all frames up to seq were sent, so that Append may drop them.
func (b *SendBuffer) MarkSent(seq uint64) { b.sentFrames = max(b.sentFrames, min(seq, b.Count())) }
