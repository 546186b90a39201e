// Package executor is the sidecar process of one target.
//
// It serves the frames Run, Resume, Cancel, Billed, Close, Drain, Status and
// Explain, runs admitted requests at the target over HTTP, and keeps output and
// charges until they are delivered. A request keeps running when the router's
// connection breaks, until its deadline, unless Cancel arrives.
//
// An exchange that starts with Run or Resume is answered with Progress frames
// each second, Accepted when a connection to the target is made, Data frames
// numbered from 1, and End. Refused means that nothing was sent to the target.
// Cancel and Billed may be sent on the same stream or on another one, where
// the side echoes them.
//
// # Usage
//
//	side, err := executor.New(cfg, registry, holders, executor.WithLogger(log))
//	err = side.Serve(ctx, ln)
//
// Serve returns after the graceful stop that the end of ctx starts.
package executor
