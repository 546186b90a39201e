// Package verifier checks that a response which ends with its connection is complete.
//
// A reader takes the end of a connection for the end of a response without a length, which
// after a reset it is not. A [Conn] returns an error in its place.
//
// # Usage
//
//	c := verifier.NewConn(conn)
//	... write the request
//	res, err := http.ReadResponse(bufio.NewReader(c), req)
package verifier
