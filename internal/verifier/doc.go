// Package verifier checks that the bytes which a connection returns are responses by the
// grammar of HTTP/1.1, and that a response which ends with its connection is complete.
//
// The readers of net/http accept more than the grammar allows: any three digits as a status,
// names of fields with blanks, lines that end without a carriage return, a length beside
// chunks. What such a response means depends on who reads it, so its body may not be the
// one that was sent. They also take the end of a connection for the end of a response
// without a length, which after a reset it is not.
//
// A [Conn] follows the responses on a connection as they are read. It passes on the bytes
// before the first line that is not allowed, and then only the error, so that no reader
// can take the response for a complete one.
//
// # Usage
//
// With a reader of its own:
//
//	c := verifier.NewConn(conn)
//	c.Expect(http.MethodGet)
//	... write the request
//	res, err := http.ReadResponse(bufio.NewReader(c), req)
//
// With net/http:
//
//	client := &http.Client{Transport: verifier.NewTransport(&http.Transport{})}
//
// # Source
//
// RFC 9112 (messages), RFC 9110 (fields and statuses).
package verifier
