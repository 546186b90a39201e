package connector

import (
	"bytes"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"daisylane/internal/wirepb"
)

// bufferConn is a connection that reads and writes a buffer in memory.
type bufferConn struct {
	net.Conn
	bytes.Buffer
}

func (c *bufferConn) Read(p []byte) (int, error)  { return c.Buffer.Read(p) }
func (c *bufferConn) Write(p []byte) (int, error) { return c.Buffer.Write(p) }

func encode(f *testing.F, frames ...*wirepb.Frame) []byte {
	f.Helper()
	conn := &bufferConn{}
	s := newStream(conn)
	for _, frame := range frames {
		if err := s.Send(frame); err != nil {
			f.Fatal(err)
		}
	}
	return conn.Bytes()
}

// Guards against a crash or unbounded memory use when a peer sends arbitrary bytes,
// and against a frame that changes when it is sent on.
func FuzzReceive(f *testing.F) {
	run := &wirepb.Run{Reservation: &wirepb.Reservation{Holder: "h", Number: 1, Tokens: 9}, Payload: []byte("{}")}
	f.Add(encode(f, &wirepb.Frame{Id: "q", Body: &wirepb.Frame_Run{Run: run}}))
	f.Add(encode(f,
		&wirepb.Frame{Id: "q", Seq: 1, Body: &wirepb.Frame_Data{Data: &wirepb.Data{Bytes: []byte("a")}}},
		&wirepb.Frame{Id: "q", Body: &wirepb.Frame_End{End: &wirepb.End{Count: 1, Sum: 7, Outcome: "whole"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &bufferConn{}
		_, _ = in.Write(data)
		s := newStream(in)
		for {
			frame, err := s.Receive()
			if err != nil {
				return
			}
			if m := Unwrap(frame); m != nil {
				if _, err := Wrap(frame.GetId(), m); err != nil {
					t.Fatal(err)
				}
			}
			out := &bufferConn{}
			if err := newStream(out).Send(frame); err != nil {
				t.Fatal(err)
			}
			again, err := newStream(out).Receive()
			if err != nil || !proto.Equal(frame, again) {
				t.Fatalf("frame %v was received as %v, err = %v", frame, again, err)
			}
		}
	})
}
