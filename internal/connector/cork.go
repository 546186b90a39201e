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

// corkConn combines the header and the body of a yamux data frame, which yamux
// writes separately, into one write. This halves the system calls for a stream of
// small frames. It needs no lock, because yamux writes from one goroutine only.
type corkConn struct {
	net.Conn
	bufferedHeader []byte // header that waits for its body
}

func newCorkConn(conn net.Conn) net.Conn { return &corkConn{Conn: conn} }

// Write delays the header of a data frame until the body is written.
func (c *corkConn) Write(p []byte) (int, error) {
	if len(c.bufferedHeader) == 0 && isDataHeader(p) {
		c.bufferedHeader = append(c.bufferedHeader, p...)
		return len(p), nil
	}
	if len(c.bufferedHeader) == 0 {
		return c.Conn.Write(p)
	}
	c.bufferedHeader = append(c.bufferedHeader, p...)
	_, err := c.Conn.Write(c.bufferedHeader)
	c.bufferedHeader = c.bufferedHeader[:0]
	if err != nil {
		return 0, fmt.Errorf("write frame: %w", err)
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
