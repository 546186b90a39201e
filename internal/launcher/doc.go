// Package launcher assembles an entry process from its settings, runs it and
// stops it gracefully.
//
// # Usage
//
//	cfg, err := loader.Load("entry.toml", launcher.Defaults())
//	err = launcher.Run(ctx, cfg, os.Stderr) // until ctx ends
//
// When the context ends, the process reports not ready, finishes the requests in
// flight, hands over its budget shards, seals its journal and returns.
package launcher
