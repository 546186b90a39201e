// Package forwarder exchanges one request at a time with a target over kept
// HTTP/1.1 connections. Unlike a general client it reports whether anything was
// sent, tells a late answer to an earlier request apart by its id, and does not
// repeat anything on its own.
//
// # Usage
//
//	pool := forwarder.New(func(h http.Header) string { return h.Get("X-Id") })
//	answer, err := pool.Send(ctx, target.Addr, forwarder.Request{ID: id, Method: "GET", URI: "/", Header: h})
//	if errors.Is(err, forwarder.ErrNotSent) { ... }
//	defer answer.Close()
//	for {
//		event, err := answer.Event()
//		...
//	}
package forwarder
