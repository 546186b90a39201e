package flooder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// SmallBytes is the size of the largest body of an ordinary client.
	SmallBytes = 100_000
	// floodBytes ends what has no end, should nothing else end it.
	floodBytes = 1 << 20
	// stallTime is how long a connection takes no byte until its client counts as stalled.
	stallTime = 1500 * time.Millisecond
	// floodTime bounds the load of a case.
	floodTime = 20 * time.Second
)

// Request is what the requests of clients have in common.
type Request struct {
	Method string // empty: POST
	Path   string
	Header []string // lines
	// MaxBodyBytes is the largest body that the entry takes.
	MaxBodyBytes int
}

// head returns the header of a request with further lines.
func (r Request) head(lines ...string) string {
	method := r.Method
	if method == "" {
		method = "POST"
	}
	all := append([]string{method + " " + r.Path + " HTTP/1.1", "Host: a.example"}, r.Header...)
	return strings.Join(append(all, lines...), "\r\n") + "\r\n"
}

// Case is a kind of abusive client.
type Case struct {
	Name     string
	Clients  int
	requests int // whole requests that each client sends
	send     func(c net.Conn, r Request) error
}

const (
	declared = "Content-Length: %d"
	chunked  = "Transfer-Encoding: chunked"
)

// Cases are the kinds of abusive clients.
var Cases = []Case{
	{"header over the limit", 150, 0, func(c net.Conn, r Request) error {
		return write(c, r.head("X-Filler: "+strings.Repeat("a", 40_000)))
	}},
	{"endless header fields", 150, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head(), "X-Filler: aaaaaaaaaaaaaaaa\r\n", floodBytes)
	}},
	{"endless header line", 150, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head()+"X-Filler: ", "a", floodBytes)
	}},
	{"empty lines", 150, 0, func(c net.Conn, _ Request) error { return repeat(c, "", "\r\n", floodBytes) }},
	{"empty lines after a request", 150, 1, func(c net.Conn, r Request) error {
		return repeat(c, r.head(fmt.Sprintf(declared, 0))+"\r\n", "\r\n", floodBytes)
	}},
	{"large bodies, declared only", 60, 0, func(c net.Conn, r Request) error {
		return write(c, r.head(fmt.Sprintf(declared, r.MaxBodyBytes))+"\r\n")
	}},
	{"large bodies, whole", 60, 0, func(c net.Conn, r Request) error {
		return write(c, r.head(fmt.Sprintf(declared, r.MaxBodyBytes))+"\r\n"+strings.Repeat("a", r.MaxBodyBytes-1))
	}},
	{"large bodies, in pieces", 60, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head(fmt.Sprintf(declared, r.MaxBodyBytes))+"\r\n", "a", r.MaxBodyBytes-1)
	}},
	{"small bodies", 300, 0, func(c net.Conn, r Request) error {
		return write(c, r.head(fmt.Sprintf(declared, SmallBytes))+"\r\n"+strings.Repeat("a", SmallBytes-1))
	}},
	{"large chunks", 60, 0, func(c net.Conn, r Request) error {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("a", 1<<16))
		return repeat(c, r.head(chunked)+"\r\n", chunk, (r.MaxBodyBytes>>16-1)*len(chunk))
	}},
	{"chunks of one byte", 60, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head(chunked)+"\r\n", "1\r\na\r\n", 6*r.MaxBodyBytes/16)
	}},
	{"endless chunk extension", 60, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head(chunked)+"\r\n1;", "a", floodBytes)
	}},
	{"endless trailers", 60, 0, func(c net.Conn, r Request) error {
		return repeat(c, r.head(chunked, "Trailer: X-Filler")+"\r\n1\r\na\r\n0\r\n", "X-Filler: aaaa\r\n", floodBytes)
	}},
	{"requests behind a body without end", 60, 0, func(c net.Conn, r Request) error {
		inner := r.head(fmt.Sprintf(declared, 1)) + "\r\na"
		return repeat(c, r.head(chunked)+"\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(inner), inner), 4*r.MaxBodyBytes)
	}},
	{"answers never read", 100, 40, func(c net.Conn, r Request) error {
		return write(c, strings.Repeat(r.head(fmt.Sprintf(declared, 1))+"\r\na", 40))
	}},
	{"silent connections", 700, 0, func(net.Conn, Request) error { return nil }},
}

// Flood is the load of a case.
type Flood struct {
	conns    []net.Conn
	requests int // whole ones
}

// Start sends the load of a case and returns when each client has stalled or is closed. The
// connections stay open on the clients' side.
func (k Case) Start(t *testing.T, addr string, r Request) *Flood {
	t.Helper()
	f := &Flood{requests: k.Clients * k.requests}
	var wg sync.WaitGroup
	for range k.Clients {
		c, err := net.DialTimeout("tcp", addr, stallTime)
		if err != nil {
			continue // refused, which is allowed
		}
		f.conns = append(f.conns, c)
		wg.Go(func() {
			// The process may close the connection, or leave bytes unread, at any time.
			_ = k.send(c, r)
		})
	}
	wg.Wait()
	if len(f.conns) == 0 {
		t.Errorf("no connection of %d was accepted", k.Clients)
	}
	return f
}

// Stop closes the connections.
func (f *Flood) Stop() {
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// write writes bytes until the peer takes none for stallTime.
func write(c net.Conn, s string) error {
	end := time.Now().Add(floodTime)
	for len(s) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(stallTime)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		n, err := io.WriteString(c, s[:min(len(s), 32<<10)])
		s = s[n:]
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) || time.Now().After(end) {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}

// repeat writes a head, and then a piece as often as it fits into the given number of bytes.
func repeat(c net.Conn, head, piece string, size int) error {
	if err := write(c, head); err != nil {
		return err
	}
	per := max(1, (16<<10)/len(piece))
	pieces := strings.Repeat(piece, per)
	for n := size / len(piece); n > 0; n -= per {
		if err := write(c, pieces[:min(n, per)*len(piece)]); err != nil {
			return err
		}
	}
	return nil
}
