package assembler

import "fmt"

// Offset returns how many frames were received.
func (a *Answer) Offset() uint64 { return a.offset }

// Ended reports whether the answer is complete.
func (a *Answer) Ended() bool { return a.ended }

// From returns the kept frames after the given number of frames.
func (b *Buffer) From(offset uint64) ([]Piece, error) {
	if offset < b.base {
		return nil, fmt.Errorf("offset %d, frames up to %d are dropped: %w", offset, b.base, ErrDropped)
	}
	if offset > b.Count() {
		return nil, fmt.Errorf("offset %d of %d frames: %w", offset, b.Count(), ErrBeyond)
	}
	rest := b.kept[offset-b.base:]
	pieces := make([]Piece, len(rest))
	for i, data := range rest {
		pieces[i] = Piece{Seq: offset + uint64(i) + 1, Data: data}
	}
	return pieces, nil
}

// Count returns the number of frames of the answer so far.
func (b *Buffer) Count() uint64 { return b.base + uint64(len(b.kept)) }

// Sum returns the checksum of all bytes so far.
func (b *Buffer) Sum() uint64 { return b.sum.Sum64() }
