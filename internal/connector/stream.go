package connector

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"daisylane/internal/wirepb"
)

// maxFrameBytes bounds the memory that a frame from a peer can take.
const maxFrameBytes = 4 << 20

var unmarshaler = protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}

// Stream is one exchange of frames with a peer. Send is safe for concurrent use;
// Receive must be called from one goroutine at a time.
type Stream struct {
	conn    net.Conn
	r       *bufio.Reader
	mu      sync.Mutex // serializes writes in Send
	session *session   // set on streams that Pool.Open returned
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn)}
}

// Send writes one frame.
func (s *Stream) Send(f *wirepb.Frame) error {
	if size := proto.Size(f); size > maxFrameBytes {
		return fmt.Errorf("send frame of %d bytes: %w", size, ErrTooLarge)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := protodelim.MarshalTo(s.conn, f); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// Receive reads the next frame. It returns io.EOF when the peer closed the stream.
func (s *Stream) Receive() (*wirepb.Frame, error) {
	f := &wirepb.Frame{}
	if err := unmarshaler.UnmarshalFrom(s.r, f); err != nil {
		var tooLarge *protodelim.SizeTooLargeError
		if errors.As(err, &tooLarge) {
			return nil, fmt.Errorf("receive frame of %d bytes: %w", tooLarge.Size, ErrTooLarge)
		}
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	return f, nil
}

// Reply sends a message as a response to frame f.
func (s *Stream) Reply(f *wirepb.Frame, m proto.Message) error {
	response, err := Wrap(f.GetId(), m)
	if err != nil {
		return fmt.Errorf("reply: %w", err)
	}
	return s.Send(response)
}

// Refuse sends a refusal as the response to frame f.
func (s *Stream) Refuse(f *wirepb.Frame, e *RefusedError) error {
	return s.Reply(f, e.Message())
}

// Peer returns the name of the instance at the other end of a stream that [Pool.Open]
// returned, and "" for other streams.
func (s *Stream) Peer() string {
	if s.session == nil {
		return ""
	}
	return s.session.peer.GetInstance()
}

// SetDeadline sets the deadline of pending and future Send and Receive calls.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// SetReadDeadline sets the deadline of pending and future Receive calls.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes the stream. The session stays open.
func (s *Stream) Close() error { return s.conn.Close() }
