// Package assembler checks that an answer arrives complete, in order and once,
// and keeps sent frames so that a broken answer can be resumed.
//
// Data frames of an answer are numbered from 1. The end frame carries their
// count and the xxhash sum of their bytes. The receiver delivers each frame
// once; after a gap it resumes from its offset, the number of frames received.
//
// # Usage
//
// Receiver:
//
//	a := assembler.NewAnswer(id)
//	deliver, err := a.Data(f.GetId(), f.GetSeq(), payload)
//	if errors.Is(err, assembler.ErrGap) {
//		// resume from a.Offset()
//	}
//	err = a.End(f.GetId(), count, sum)
//
// Sender:
//
//	b := assembler.NewBuffer(maxBytes)
//	seq, err := b.Append(payload)
//	frames, err := b.From(offset)
//	b.Sent(seq)
package assembler

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of answers and buffers.
var (
	ErrForeign  = errors.New("frame belongs to another request")
	ErrGap      = errors.New("frames are missing, resume from the offset")
	ErrEnded    = errors.New("data after the end of the answer")
	ErrCount    = errors.New("answer has another number of frames than its end says")
	ErrChecksum = errors.New("answer has another checksum than its end says")
	ErrFull     = errors.New("buffer is full of frames that were not sent")
	ErrDropped  = errors.New("frames at the offset are no longer kept")
	ErrBeyond   = errors.New("offset is beyond the frames of the answer")
)

// Answer is the receiving side of one answer. It is not safe for concurrent use.
type Answer struct {
	id     string
	offset uint64
	sum    *xxhash.Digest
	ended  bool
}

// NewAnswer returns an empty answer to request id.
func NewAnswer(id string) *Answer { return &Answer{id: id, sum: xxhash.New()} }

// Piece is a kept data frame.
type Piece struct {
	Seq  uint64
	Data []byte
}

// Buffer is the sending side of one answer. Frames that no stream has sent are
// never dropped. It is not safe for concurrent use.
type Buffer struct {
	limit int
	size  int
	base  uint64 // frames dropped from the front
	sent  uint64 // highest frame that was sent
	kept  [][]byte
	sum   *xxhash.Digest
}

// NewBuffer returns an empty buffer that keeps about limit bytes.
func NewBuffer(limit int) *Buffer { return &Buffer{limit: limit, sum: xxhash.New()} }
