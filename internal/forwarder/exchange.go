package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxStrays    = 2        // answers of other requests that are skipped on one connection
	maxStrayBody = 64 << 10 // bytes of one of them
	maxEvent     = 1 << 20  // bytes of one event
	maxInterim   = 8        // answers with a 1xx status
)

// ErrStray means that the connection gave answers to other requests.
var ErrStray = errors.New("answers to other requests")

// ErrEvent means that a stream ended within an event.
var ErrEvent = errors.New("stream ended within an event")

// Request is what a target gets. The header must be complete but for the host
// and the length of the body.
type Request struct {
	ID     string
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	Framed bool // the caller sent a body, which may be empty
}

// Answer is the answer of a target, whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	pool   *Pool
	conn   *conn
	res    *http.Response
	stop   func() bool
	whole  bool
	closed bool
	events eventBuffer
}

// Send sends a request on one connection and returns the head of the answer.
// When the context ends, the connection is closed, also while the body is read.
func (p *Pool) Send(ctx context.Context, addr string, r Request) (*Answer, error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.uses++
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) exchange(c *conn, r Request) (*Answer, error) {
	n, werr := c.Write(r.encode())
	if werr != nil && n == 0 && c.uses == 1 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, werr)
	}
	// A target may answer before it has read the whole request.
	for range maxStrays + 1 {
		res, err := c.answer(r.Method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", errors.Join(err, werr))
		}
		id := p.idOf(res.Header)
		if id == r.ID || id == "" && c.uses == 1 && res.StatusCode >= http.StatusMultipleChoices {
			if werr != nil {
				res.Close = true
			}
			return &Answer{Status: res.StatusCode, Header: res.Header, pool: p, conn: c, res: res}, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBody)); err != nil || n == maxStrayBody || res.Close {
			return nil, fmt.Errorf("%w: answer with id %q", ErrStray, id)
		}
	}
	return nil, ErrStray
}

// answer reads the head of the next answer that is not an interim one.
func (c *conn) answer(method string) (*http.Response, error) {
	for range maxInterim {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// encode returns the request as it is sent. The body always has a length.
func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer does not fail
	if r.Framed || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Length returns the length of the body, or -1 if it is not known beforehand.
func (a *Answer) Length() int64 { return a.res.ContentLength }

// Delimited reports whether the end of the body can be told from a broken
// connection.
func (a *Answer) Delimited() bool {
	return a.res.ContentLength >= 0 || len(a.res.TransferEncoding) > 0
}

// Read reads the body. [io.EOF] means that it is complete.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.res.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Event returns the next complete event of a stream with its empty line, or
// [io.EOF] after the last one. The result is valid until the next call.
func (a *Answer) Event() ([]byte, error) { return a.events.next(a) }

// Close ends the exchange. The connection is kept if the answer was read whole.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() || !a.whole || a.res.Close || !a.Delimited() {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.Header)
}

// eventBuffer splits a body into events.
type eventBuffer struct {
	data  []byte
	start int // of the next event
	seen  int // searched so far
}

func (e *eventBuffer) next(r io.Reader) ([]byte, error) {
	for {
		if end := e.end(); end > 0 {
			event := e.data[e.start:end]
			e.start, e.seen = end, end
			return event, nil
		}
		if len(e.data)-e.start > maxEvent {
			return nil, fmt.Errorf("%w: it has over %d bytes", ErrEvent, maxEvent)
		}
		if e.start > 0 {
			n := copy(e.data, e.data[e.start:])
			e.data, e.seen, e.start = e.data[:n], e.seen-e.start, 0
		}
		if cap(e.data)-len(e.data) < readBuffer/2 {
			e.data = append(make([]byte, 0, 2*cap(e.data)+readBuffer), e.data...)
		}
		n, err := r.Read(e.data[len(e.data):cap(e.data)])
		e.data = e.data[:len(e.data)+n]
		if err != nil && e.end() < 0 {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.data[e.start:])) > 0 {
				return nil, ErrEvent
			}
			return nil, err
		}
	}
}

// end returns where the next event ends, or -1.
func (e *eventBuffer) end() int {
	from := max(e.start, e.seen-3)
	for i := from; i+1 < len(e.data); i++ {
		if e.data[i] != '\n' {
			continue
		}
		if e.data[i+1] == '\n' {
			return i + 2
		}
		if e.data[i+1] == '\r' && i+2 < len(e.data) && e.data[i+2] == '\n' {
			return i + 3
		}
	}
	e.seen = len(e.data)
	return -1
}

// EventID returns the id of an event, or "".
func EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		name, value, ok := strings.Cut(strings.TrimRight(string(line), "\r\n"), ":")
		if ok && name == "id" {
			return strings.TrimPrefix(value, " ")
		}
	}
	return ""
}

// Drain reads the rest of a short body, so that the connection can be kept.
func (a *Answer) Drain() error {
	n, err := io.Copy(io.Discard, io.LimitReader(readerFunc(a.Read), maxStrayBody))
	if err != nil {
		return fmt.Errorf("drain answer: %w", err)
	}
	if n == maxStrayBody {
		return errors.New("drain answer: body is long")
	}
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
