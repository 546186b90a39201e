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
	maxMismatched    = 2        // skipped responses to other requests per exchange
	maxDiscardBytes  = 64 << 10 // body bytes read and discarded so that a connection can be reused
	maxEventBytes    = 64 << 10 // size limit of an event
	maxInformational = 8        // skipped 1xx responses
	// writePieceBytes takes a link of 10 Mbit/s 52 ms.
	writePieceBytes = 64 << 10
	// maxHeadBytes limits the head of a response together with the 1xx responses before
	// it.
	maxHeadBytes = 64 << 10
	// maxDrainTime limits the wait for the rest of a body that is only read to keep the
	// connection, which costs less to open than the wait.
	maxDrainTime = 100 * time.Millisecond
)

var errDrainTooSlow = fmt.Errorf("rest of the response took over %v", maxDrainTime)

var errHeadTooLarge = fmt.Errorf("head of the response is over %d bytes", maxHeadBytes)

// ErrMismatchedResponse means that the connection returned responses to other requests.
var ErrMismatchedResponse = errors.New("responses belong to other requests")

// ErrWithdrawn means that the request was not permitted any more when it could be sent.
var ErrWithdrawn = errors.New("request was withdrawn")

// ErrIncompleteEvent means that a stream ended within an event, or that an event was
// larger than the size limit.
var ErrIncompleteEvent = errors.New("stream ended within an event")

// Request is a request to a target. Header must be complete except for Host and
// Content-Length, which are added.
type Request struct {
	ID      string
	Method  string
	URI     string // path and query, unchanged from the caller's request
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // the caller sent a body, possibly an empty one
	// Permitted is called once there is a connection, right before anything is sent. If it
	// returns false, Send fails with [ErrWithdrawn]. nil permits the request.
	Permitted func() bool
	// OnProgress is called whenever the connection takes a part of the request, or bytes arrive
	// from the target, from the first one of the head to the end of the body. nil is not called.
	OnProgress func()
}

// Response is the response of a target. Its body has not been read yet.
type Response struct {
	Status   int
	Header   http.Header
	pool     *Pool
	conn     *conn
	res      *http.Response
	stop     func() bool
	complete bool
	closed   bool
	events   eventBuffer
}

// Send sends a request and returns the response once its head has arrived. If ctx
// ends, all reads and writes fail, including reads of the body, and the connection is
// closed.
func (p *Pool) Send(ctx context.Context, addr string, r Request) (*Response, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	if r.Permitted != nil && !r.Permitted() {
		p.keep(c, defaultIdleTimeout)
		return nil, ErrWithdrawn
	}
	c.requests++
	c.in.onRead = r.OnProgress
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

// exchange sends a request on c and returns the response to it. Responses to other
// requests that arrive before it are skipped. A response without an id is accepted
// only with a status of 300 or above and if c has sent no other request.
func (p *Pool) exchange(c *conn, r Request) (*Response, error) {
	c.Expect(r.Method)
	n, werr := c.writePieces(r.encode(), r.OnProgress)
	if werr != nil && n == 0 && c.requests == 1 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, werr)
	}
	// The response is read even if the write failed, because a target may respond before
	// it has read the whole request.
	for range maxMismatched + 1 {
		res, err := c.readResponseHead(r.Method)
		if err != nil {
			c.recordError(errors.Join(err, werr))
			return nil, fmt.Errorf("read response: %w", errors.Join(err, werr))
		}
		id := p.requestID(res.Header)
		if id == r.ID || id == "" && c.requests == 1 && res.StatusCode >= http.StatusMultipleChoices {
			if werr != nil {
				res.Close = true
			}
			a := &Response{Status: res.StatusCode, Header: res.Header, pool: p, conn: c, res: res}
			c.closing.Store(!a.KeepsConnection())
			return a, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes || res.Close {
			return nil, fmt.Errorf("%w: response has id %q", ErrMismatchedResponse, id)
		}
	}
	return nil, ErrMismatchedResponse
}

// writePieces writes b and calls onProgress after each piece, unless it is nil.
func (c *conn) writePieces(b []byte, onProgress func()) (written int, err error) {
	for written < len(b) {
		n, err := c.Write(b[written:min(len(b), written+writePieceBytes)])
		if written += n; err != nil {
			return written, err
		}
		if onProgress != nil {
			onProgress()
		}
	}
	return written, nil
}

// readResponseHead reads the head of the next response, skipping 1xx responses.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	c.in.limit(maxHeadBytes)
	defer c.in.limit(unlimited)
	for range maxInformational {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.New("too many 1xx responses")
}

// encode returns the bytes of the request. A body is always sent with Content-Length.
func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writes to a buffer do not fail
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// ContentLength returns the length of the body, or -1 if it is not known in advance.
func (a *Response) ContentLength() int64 { return a.res.ContentLength }

// Delimited reports whether the response has a Content-Length or a chunked body. If
// not, the end of the body cannot be distinguished from a broken connection.
func (a *Response) Delimited() bool {
	return a.res.ContentLength >= 0 || len(a.res.TransferEncoding) > 0
}

// KeepsConnection reports whether the connection outlasts the response. If not, its end says
// nothing about the target.
func (a *Response) KeepsConnection() bool { return a.Delimited() && !a.res.Close }

// Read reads from the body. It returns [io.EOF] once the body is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.res.Body.Read(b)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		a.complete = true
	default:
		a.conn.recordError(err)
	}
	return n, err
}

// NextEvent returns the next complete event of a stream, including the empty line that ends
// it, or [io.EOF] after the last one. The result is valid until the next call.
func (a *Response) NextEvent() ([]byte, error) { return a.events.next(a) }

// Close ends the exchange. The connection is returned to the pool if the complete
// response was read, and closed otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() || !a.complete || !a.KeepsConnection() {
		_ = a.conn.Close()
		return
	}
	a.pool.release(a.conn, a.Header)
}

// eventBuffer splits a body into server-sent events.
type eventBuffer struct {
	data       []byte
	eventStart int // offset of the next event
	scanned    int // offset up to which the end of the event was searched
}

// next returns the next event of r.
func (e *eventBuffer) next(r io.Reader) ([]byte, error) {
	for {
		if end := e.eventEnd(); end > 0 {
			event := e.data[e.eventStart:end]
			e.eventStart, e.scanned = end, end
			return event, nil
		}
		if len(e.data)-e.eventStart > maxEventBytes {
			return nil, fmt.Errorf("%w: event is over %d bytes", ErrIncompleteEvent, maxEventBytes)
		}
		if e.eventStart > 0 {
			n := copy(e.data, e.data[e.eventStart:])
			e.data, e.scanned, e.eventStart = e.data[:n], e.scanned-e.eventStart, 0
		}
		if cap(e.data)-len(e.data) < readBufferBytes/2 {
			e.data = append(make([]byte, 0, 2*cap(e.data)+readBufferBytes), e.data...)
		}
		n, err := r.Read(e.data[len(e.data):cap(e.data)])
		e.data = e.data[:len(e.data)+n]
		if err != nil && e.eventEnd() < 0 {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.data[e.eventStart:])) > 0 {
				return nil, ErrIncompleteEvent
			}
			return nil, err
		}
	}
}

// eventEnd returns the offset after the next event, or -1 if it is not complete yet. It
// records how far it searched, so that the next call continues there.
func (e *eventBuffer) eventEnd() int {
	from := max(e.eventStart, e.scanned-3)
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
	e.scanned = len(e.data)
	return -1
}

// EventID returns the id field of an event, or "" if it has none.
func EventID(event []byte) string {
	for line := range bytes.Lines(event) {
		name, value, ok := strings.Cut(strings.TrimRight(string(line), "\r\n"), ":")
		if ok && name == "id" {
			return strings.TrimPrefix(value, " ")
		}
	}
	return ""
}

// Drain reads and discards the rest of the body so that the connection can be reused.
// It fails if 64 KiB or more are left, or if they take too long to arrive. Close the
// response after an error.
func (a *Response) Drain() error {
	timer := time.AfterFunc(maxDrainTime, func() { _ = a.conn.SetReadDeadline(time.Unix(1, 0)) })
	n, err := io.Copy(io.Discard, io.LimitReader(readerFunc(a.Read), maxDiscardBytes))
	if !timer.Stop() {
		a.complete = false // the deadline may yet be set, so the connection can't be reused
		err = errors.Join(errDrainTooSlow, err)
	}
	if err != nil {
		return fmt.Errorf("drain response: %w", err)
	}
	if n == maxDiscardBytes {
		return errors.New("drain response: body is too long")
	}
	return nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
