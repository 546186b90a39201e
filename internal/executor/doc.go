// Package executor implements the side, the process that runs next to one target
// and sends the requests of routers to it.
//
// A side handles the frames Run, Resume, Cancel, Billed, Close, Drain, Status and
// Explain. It runs admitted requests at the target over HTTP and keeps output and
// charges until they are delivered. If the router's connection breaks, a request
// keeps running until its deadline, unless Cancel arrives.
//
// A stream that starts with Run or Resume receives a Progress frame each second,
// Accepted when a connection to the target is made, Data frames numbered from 1,
// and End. Refused means that nothing was sent to the target. Cancel and Billed
// may be sent on the same stream, or on another one, where the side echoes them.
//
// # Usage
//
//	side, err := executor.New(cfg, registry, settler, executor.WithLogger(log))
//	err = side.Serve(ctx, ln)
//
// When ctx ends, Serve shuts down gracefully and then returns.
package executor
