package verifier

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the bytes are not a response by the grammar of HTTP/1.1.
var ErrMalformed = errors.New("malformed HTTP response")

const (
	maxQuotedBytes = 64 // of a line in an error
	minStatus      = 100
	maxStatus      = 599

	token = "[-!#$%&'*+.^_`|~0-9A-Za-z]+" // pattern of a token
)

// chunkLine is the pattern of the line before a chunk, with its extensions.
var chunkLine = regexp.MustCompile(`^([0-9A-Fa-f]+)([ \t]*;[ \t]*` + token + `([ \t]*=[ \t]*(` + token + `|"([^"\\\x00-\x08\x0a-\x1f\x7f]|\\[^\x00-\x08\x0a-\x1f\x7f])*"))?)*$`)

// state is the part of a response that is expected next.
type state int

const (
	statusLine state = iota // or the end of the connection
	fields
	body       // of a known length
	closedBody // to the end of the connection
	chunkSize
	chunkData
	chunkEnd
	trailers
)

// scanner follows the responses in a sequence of bytes.
type scanner struct {
	state     state
	line      []byte // beginning of a line that is not complete
	status    int
	http10    bool   // the response has version 1.0
	hasLength bool   // of the body
	chunked   bool   // the body
	left      uint64 // bytes of the body or chunk
}

// scan returns how many bytes of b are allowed, and an error for the ones after them. A line
// counts as a whole, but the beginning of one that is not complete is allowed. headRequest
// means that the response is to a HEAD request and has no body.
func (s *scanner) scan(b []byte, headRequest bool) (n int, err error) {
	for n < len(b) {
		switch s.state {
		case closedBody:
			return len(b), nil
		case body, chunkData:
			n += s.skip(len(b) - n)
			continue
		}
		end := bytes.IndexByte(b[n:], '\n') + 1
		if end == 0 {
			s.line = append(s.line, b[n:]...)
			return len(b), nil
		}
		line := b[n : n+end]
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = nil
		}
		if err := s.scanLine(line, headRequest); err != nil {
			return n, err
		}
		n += end
	}
	return n, nil
}

// skip passes over at most n bytes of the body or chunk and returns their number.
func (s *scanner) skip(n int) int {
	skipped := min(s.left, uint64(n))
	if s.left -= skipped; s.left > 0 {
		return int(skipped)
	}
	if s.state == chunkData {
		s.state = chunkEnd
	} else {
		s.state = statusLine
	}
	return int(skipped)
}

// scanLine checks a complete line and sets the next state.
func (s *scanner) scanLine(line []byte, headRequest bool) error {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return malformed("line without a carriage return", line)
	}
	switch s.state {
	case statusLine:
		return s.scanStatusLine(line)
	case chunkSize:
		return s.scanChunkSize(line)
	case chunkEnd:
		if len(line) > 0 {
			return malformed("chunk longer than its size", line)
		}
		s.state = chunkSize
		return nil
	}
	switch {
	case len(line) > 0:
		return s.scanField(line)
	case s.state == trailers:
		s.state = statusLine
		return nil
	}
	return s.endHead(headRequest)
}

// scanStatusLine checks the first line of a response.
func (s *scanner) scanStatusLine(line []byte) error {
	version, rest, ok := bytes.Cut(line, []byte(" "))
	code, reason, separated := bytes.Cut(rest, []byte(" "))
	if !ok || !separated || !isVersion(version) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed("status line", line)
	}
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != 3 || status < minStatus || status > maxStatus {
		return malformed("status", line)
	}
	// No request asks for another protocol.
	if status == http.StatusSwitchingProtocols {
		return malformed("switch of protocols", line)
	}
	*s = scanner{state: fields, status: int(status), http10: string(version) == "HTTP/1.0"}
	return nil
}

// isVersion reports whether a version is one of HTTP/1.
func isVersion(b []byte) bool {
	minor, ok := bytes.CutPrefix(b, []byte("HTTP/1."))
	return ok && len(minor) == 1 && minor[0] >= '0' && minor[0] <= '9'
}

// scanField checks a line of the head or of the trailers. A folded line is not allowed.
func (s *scanner) scanField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("field name", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field value", line)
	}
	if s.state == trailers {
		return nil
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || s.hasLength && s.left != n {
			return malformed("length", line)
		}
		s.left, s.hasLength = n, true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if s.chunked || s.http10 || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("transfer encoding", line)
		}
		s.chunked = true
	}
	return nil
}

// endHead sets the state after the empty line that ends a head.
func (s *scanner) endHead(headRequest bool) error {
	if s.chunked && s.hasLength {
		return malformed("length beside chunks", nil)
	}
	switch {
	case headRequest, s.status < http.StatusOK, s.status == http.StatusNoContent, s.status == http.StatusNotModified:
		s.state = statusLine
	case s.chunked:
		s.state = chunkSize
	case !s.hasLength:
		s.state = closedBody
	case s.left == 0:
		s.state = statusLine
	default:
		s.state = body
	}
	return nil
}

// scanChunkSize checks the line before a chunk.
func (s *scanner) scanChunkSize(line []byte) error {
	size := line
	if bytes.IndexByte(line, ';') >= 0 {
		parts := chunkLine.FindSubmatch(line)
		if parts == nil {
			return malformed("chunk extension", line)
		}
		size = parts[1]
	}
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil {
		return malformed("chunk size", line)
	}
	if s.left, s.state = n, chunkData; n == 0 {
		s.state = trailers
	}
	return nil
}

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, line[:min(len(line), maxQuotedBytes)])
}
