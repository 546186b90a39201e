// Package assembler checks that a streamed response arrives complete, in order and
// without duplicates, and buffers sent frames so that an interrupted response can be
// resumed.
//
// The data frames of a response are numbered from 1. The end frame carries their
// count and the xxhash checksum of their bytes. The receiver delivers each frame
// once. After a gap it resumes from its offset, the number of frames received.
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

// Errors of [Answer] and [Buffer].
var (
	ErrForeign  = errors.New("frame belongs to another request")
	ErrGap      = errors.New("frames missing; resume from the offset")
	ErrEnded    = errors.New("data frame after the end of the response")
	ErrCount    = errors.New("frame count differs from the end frame")
	ErrChecksum = errors.New("checksum differs from the end frame")
	ErrFull     = errors.New("buffer is full of frames that were not sent")
	ErrDropped  = errors.New("frames at the offset are no longer kept")
	ErrBeyond   = errors.New("offset is beyond the frames of the answer")
)

// Answer is the receiving side of one response. It is not safe for concurrent use.
type Answer struct {
	id     string
	offset uint64
	sum    *xxhash.Digest
	ended  bool
}

// NewAnswer returns the receiving side of the response to request id.
func NewAnswer(id string) *Answer { return &Answer{id: id, sum: xxhash.New()} }

// Piece is a buffered data frame.
type Piece struct {
	Seq  uint64
	Data []byte
}

// Buffer is the sending side of one response. It never drops a frame that was not
// sent yet. It is not safe for concurrent use.
type Buffer struct {
	limit         int    // bytes
	size          int    // bytes in keptFrames
	droppedFrames uint64 // number of frames dropped from the front
	sentFrames    uint64 // highest sequence number that was sent
	keptFrames    [][]byte
	sum           *xxhash.Digest
}

// NewBuffer returns an empty buffer for limit bytes. Only a single frame that is larger
// exceeds the limit.
func NewBuffer(limit int) *Buffer { return &Buffer{limit: limit, sum: xxhash.New()} }
