package assembler

import "fmt"

// Offset returns the number of frames received so far.
func (a *Answer) Offset() uint64 { return a.offset }

// Ended reports whether the response is complete and valid.
func (a *Answer) Ended() bool { return a.ended }

// From returns the buffered frames after the first offset frames.
func (b *Buffer) From(offset uint64) ([]Piece, error) {
	if offset < b.droppedFrames {
		return nil, fmt.Errorf("offset %d, frames up to %d are dropped: %w", offset, b.droppedFrames, ErrDropped)
	}
	if offset > b.Count() {
		return nil, fmt.Errorf("offset %d of %d frames: %w", offset, b.Count(), ErrBeyond)
	}
	remaining := b.keptFrames[offset-b.droppedFrames:]
	pieces := make([]Piece, len(remaining))
	for i, data := range remaining {
		pieces[i] = Piece{Seq: offset + uint64(i) + 1, Data: data}
	}
	return pieces, nil
}

// Count returns the number of frames of the response so far, including dropped ones.
func (b *Buffer) Count() uint64 { return b.droppedFrames + uint64(len(b.keptFrames)) }

// Sum returns the checksum of all bytes of the response so far.
func (b *Buffer) Sum() uint64 { return b.sum.Sum64() }
