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
//	r := assembler.NewResponse(id)
//	deliver, err := r.AcceptData(f.GetId(), f.GetSeq(), payload)
//	if errors.Is(err, assembler.ErrGap) {
//		// resume from r.Offset()
//	}
//	err = r.AcceptEnd(f.GetId(), count, sum)
//
// Sender:
//
//	b := assembler.NewSendBuffer(maxBytes)
//	seq, err := b.Append(payload)
//	frames, err := b.FramesFrom(offset)
//	b.MarkSent(seq)
package assembler

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of [Response] and [SendBuffer].
var (
	ErrWrongRequest    = errors.New("frame belongs to another request")
	ErrGap             = errors.New("frames missing; resume from the offset")
	ErrDataAfterEnd    = errors.New("data frame after the end of the response")
	ErrFrameCount      = errors.New("frame count differs from the end frame")
	ErrChecksum        = errors.New("checksum differs from the end frame")
	ErrFull            = errors.New("buffer is full of frames that were not sent")
	ErrDropped         = errors.New("frames at the offset are no longer kept")
	ErrOffsetBeyondEnd = errors.New("offset is beyond the frames of the answer")
)

// Response is the receiving end of one response. It is not safe for concurrent use.
type Response struct {
	id     string
	offset uint64
	sum    *xxhash.Digest
	ended  bool
}

// NewResponse returns the receiving end of the response to request id.
func NewResponse(id string) *Response { return &Response{id: id, sum: xxhash.New()} }

// BufferedFrame is a buffered data frame.
type BufferedFrame struct {
	Seq  uint64
	Data []byte
}

// SendBuffer is the sending end of one response. It never drops a frame that was not
// sent yet. It is not safe for concurrent use.
type SendBuffer struct {
	limit         int    // bytes
	size          int    // bytes in keptFrames
	droppedFrames uint64 // number of frames dropped from the front
	sentFrames    uint64 // highest sequence number that was sent
	keptFrames    [][]byte
	sum           *xxhash.Digest
}

// NewSendBuffer returns an empty buffer for limit bytes. It exceeds the limit only to
// hold a single frame that is larger.
func NewSendBuffer(limit int) *SendBuffer { return &SendBuffer{limit: limit, sum: xxhash.New()} }
