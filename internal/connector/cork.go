package connector

import (
	"encoding/binary"
	"fmt"
	"net"
)

// Layout of a yamux header: version, type, flags, stream id, length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// corkConn joins the header and the body of a yamux data frame, which yamux
// writes one after the other, into one write. Half of the system calls of a
// stream of small frames are saved. yamux writes from one goroutine only.
type corkConn struct {
	net.Conn
	held []byte // header whose body follows
}

func newCorkConn(conn net.Conn) net.Conn { return &corkConn{Conn: conn} }

// Write holds back a header until its body comes.
func (c *corkConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if err != nil {
		return 0, fmt.Errorf("write frame: %w", err)
	}
	return len(p), nil
}

func announcesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
