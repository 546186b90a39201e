package assembler

import "fmt"

// Offset returns the number of frames received so far.
func (r *Response) Offset() uint64 { return r.offset }

// IsComplete reports whether the response is complete and valid.
func (r *Response) IsComplete() bool { return r.ended }

// FramesFrom returns the buffered frames after the first offset frames.
func (b *SendBuffer) FramesFrom(offset uint64) ([]BufferedFrame, error) {
	if offset < b.droppedFrames {
		return nil, fmt.Errorf("offset %d, frames up to %d are dropped: %w", offset, b.droppedFrames, ErrDropped)
	}
	if offset > b.Count() {
		return nil, fmt.Errorf("offset %d of %d frames: %w", offset, b.Count(), ErrOffsetBeyondEnd)
	}
	remaining := b.keptFrames[offset-b.droppedFrames:]
	frames := make([]BufferedFrame, len(remaining))
	for i, data := range remaining {
		frames[i] = BufferedFrame{Seq: offset + uint64(i) + 1, Data: data}
	}
	return frames, nil
}

// Count returns the number of frames of the response so far, including dropped ones.
func (b *SendBuffer) Count() uint64 { return b.droppedFrames + uint64(len(b.keptFrames)) }

// Checksum returns the checksum of all bytes of the response so far.
func (b *SendBuffer) Checksum() uint64 { return b.sum.Sum64() }
