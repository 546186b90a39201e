// Package forwarder sends requests to targets over pooled HTTP/1.1 connections, one
// request at a time per connection. Unlike net/http's client, it reports whether
// anything was sent, recognises late responses to earlier requests by their id, and
// never retries on its own.
//
// # Usage
//
//	pool := forwarder.New(func(h http.Header) string { return h.Get("X-Id") })
//	req := forwarder.Request{ID: id, Method: "GET", URI: "/", Header: h}
//	res, err := pool.Send(ctx, target.Addr, req)
//	if errors.Is(err, forwarder.ErrNotSent) { ... }
//	defer res.Close()
//	for {
//		event, err := res.NextEvent()
//		...
//	}
package forwarder
